package ingress

import (
	"strconv"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// AppendTo appends the request for a backend to b. Method, target, body and end-to-end headers are those of the client.
// AppendTo adds the backend's ID, the tenant and the remaining time. It appends nothing if the client has disconnected,
// if the backend is no longer known, or if a part of a streamed body was already forwarded.
func (h *Handler) AppendTo(b []byte, who, txn slots.Ref, backendID control.BackendID, timeLeft time.Duration) []byte {
	c := h.server.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return b
	}
	backend := h.catalog.BackendName(backendID)
	if backend == "" {
		return b
	}
	head, message := c.Request()
	state := stateOf(c)
	if state.bodySent {
		return b
	}
	b = append(append(b, head.Method(message)...), ' ')
	b = append(append(b, head.Target(message)...), " HTTP/1.1\r\n"...)
	host, _ := head.Get(message, "host")
	b = http1.AppendHeader(b, "Host", host)
	b = appendEndToEnd(b, head, message, isGatewayHeader)
	b = append(append(append(b, "X-Expect-Backend: "...), backend...), '\r', '\n')
	if state.Tenant != "" {
		b = append(append(append(b, "X-Tenant: "...), state.Tenant...), '\r', '\n')
	}
	b = http1.AppendNumber(b, "X-Deadline-Ms", max(int(timeLeft/time.Millisecond), 1))
	length, known, chunked := head.Framed()
	var body []byte
	if !c.Flows() { // the chunks of a buffered body were joined
		body = head.Body(message)
		length, known, chunked = len(body), known || chunked || alwaysSendsLength(head.Method(message)), false
	}
	b = appendFraming(b, length, known, chunked)
	return append(append(b, "\r\n"...), body...)
}

// alwaysSendsLength reports whether requests of a method have a Content-Length header even without a body (RFC 9110, 8.6).
func alwaysSendsLength(method []byte) bool {
	return string(method) == "POST" || string(method) == "PUT" || string(method) == "PATCH"
}

// appendHead appends the head of the response for a client to b. Status and end-to-end headers are those of the backend.
// isHEAD means that the request's method is HEAD. last means that the connection is closed after the response.
func appendHead(b []byte, head *http1.Reader, message []byte, isHEAD, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(head.Status()), 10)
	b = append(append(append(b, ' '), head.Reason(message)...), '\r', '\n')
	b = appendEndToEnd(b, head, message, dropNoHeader)
	switch length, known, chunked := head.Framed(); {
	case head.Status() == 204:
	case isHEAD || head.Status() == 304: // Content-Length describes a body that is not sent
		if declared, _ := head.Get(message, "content-length"); len(declared) > 0 {
			b = http1.AppendHeader(b, "Content-Length", declared)
		}
	case head.Done():
		b = http1.AppendNumber(b, "Content-Length", len(head.Body(message)))
	default:
		b = appendFraming(b, length, known, chunked)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
