package ingress

import (
	"bytes"
	"strconv"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// hop tells whether a header concerns one connection only, or is written anew here.
func hop(name []byte) bool {
	switch len(name) {
	case 2:
		return http1.Same(name, "te")
	case 6:
		return http1.Same(name, "expect")
	case 7:
		return http1.Same(name, "upgrade") || http1.Same(name, "trailer")
	case 10:
		return http1.Same(name, "connection") || http1.Same(name, "keep-alive")
	case 14:
		return http1.Same(name, "content-length")
	case 16:
		return http1.Same(name, "proxy-connection")
	case 17:
		return http1.Same(name, "transfer-encoding")
	case 18:
		return http1.Same(name, "proxy-authenticate")
	case 19:
		return http1.Same(name, "proxy-authorization")
	}
	return false
}

// ours tells whether a request's header is the gateway's own to set, whatever a client says.
func ours(name []byte) bool {
	return http1.Same(name, "x-tenant") || http1.Same(name, "x-expect-backend") || http1.Same(name, "x-deadline-ms") ||
		http1.Same(name, "host") || http1.Same(name, "authorization")
}

// kept tells whether a header goes on though Connection may name it: nobody may take it away from a message.
func kept(name []byte) bool {
	return http1.Same(name, "x-attempt-id") || http1.Same(name, "x-backend-seal")
}

// named tells whether Connection names a header.
type named struct {
	r *http1.Reader
	b []byte
	n bool // it names any
}

func names(r *http1.Reader, b []byte) named {
	x := named{r: r, b: b}
	r.Each(b, func(name, value []byte) {
		if len(name) == 10 && http1.Same(name, "connection") &&
			!http1.Same(value, "keep-alive") && !http1.Same(value, "close") {
			x.n = true
		}
	})
	return x
}

func (n *named) has(name []byte) (found bool) {
	if !n.n {
		return false
	}
	n.r.Each(n.b, func(data, value []byte) {
		if len(data) == 10 && http1.Same(data, "connection") {
			found = found || http1.Names(value, name)
		}
	})
	return found
}

// AppendTo writes what goes on to a backend: method, target, body and end-to-end headers as they came, with
// the backend's id, the tenant and what is left of the time.
func (h *Handler) AppendTo(b []byte, who, txn slots.Ref, at control.BackendID, wait time.Duration) []byte {
	c := h.in.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return b
	}
	to := h.lookups.BackendName(at)
	if to == "" {
		return b
	}
	r, m := c.Request()
	v := visitOf(c)
	if v.spent { // what has gone of its body can't go again
		return b
	}
	b = append(append(b, r.Method(m)...), ' ')
	b = append(append(b, r.Target(m)...), " HTTP/1.1\r\n"...)
	host, _ := r.Get(m, "host")
	b = http1.AppendHeader(b, "Host", host)
	x := names(r, m)
	r.Each(m, func(name, value []byte) {
		if !hop(name) && !ours(name) && (kept(name) || !x.has(name)) {
			b = append(append(b, name...), ": "...)
			b = append(append(b, value...), '\r', '\n')
		}
	})
	b = append(append(append(b, "X-Expect-Backend: "...), to...), '\r', '\n')
	if v.Tenant != "" {
		b = append(append(append(b, "X-Tenant: "...), v.Tenant...), '\r', '\n')
	}
	b = http1.AppendNumber(b, "X-Deadline-Ms", max(int(wait/time.Millisecond), 1))
	length, given, chunked := r.Framed()
	var body []byte
	if !c.Flows() { // chunks are put together by now
		body = r.Body(m)
		length, given, chunked = len(body), given || chunked || wants(r.Method(m)), false
	}
	b = appendFraming(b, length, given, chunked)
	return append(append(b, "\r\n"...), body...)
}

func appendFraming(b []byte, length int, given, chunked bool) []byte {
	switch {
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case given:
		b = http1.AppendNumber(b, "Content-Length", length)
	}
	return b
}

// wants tells whether a method's requests say how long they are though there is no body.
func wants(method []byte) bool {
	return string(method) == "POST" || string(method) == "PUT" || string(method) == "PATCH"
}

// appendHead passes an answer's head on: status and end-to-end headers as they came. head: it answers a
// HEAD.
func appendHead(b []byte, r *http1.Reader, m []byte, head, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status()), 10)
	b = append(append(append(b, ' '), r.Reason(m)...), '\r', '\n')
	x := names(r, m)
	r.Each(m, func(name, value []byte) {
		if !hop(name) && (kept(name) || !x.has(name)) {
			b = append(append(b, name...), ": "...)
			b = append(append(b, value...), '\r', '\n')
		}
	})
	told, _ := r.Get(m, "content-length")
	switch length, given, chunked := r.Framed(); {
	case r.Status() == 204:
	case head || r.Status() == 304: // the length is that of a body which does not come
		if len(told) > 0 {
			b = http1.AppendHeader(b, "Content-Length", told)
		}
	case r.Done():
		b = http1.AppendNumber(b, "Content-Length", len(r.Body(m)))
	default:
		b = appendFraming(b, length, given, chunked)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// span reads the whole seconds of a Keep-Alive header; false: it gives none.
func span(v []byte) (time.Duration, bool) {
	for len(v) > 0 {
		var one []byte
		one, v, _ = bytes.Cut(v, []byte(","))
		name, figure, _ := bytes.Cut(bytes.TrimSpace(one), []byte("="))
		if http1.Same(bytes.TrimSpace(name), "timeout") {
			n, ok := http1.Number(bytes.TrimSpace(figure), 1<<20)
			return time.Duration(n) * time.Second, ok
		}
	}
	return 0, false
}
