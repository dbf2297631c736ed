package ingress

import (
	"clovergap/internal/proxy/http1"
)

// isHopByHop tells whether a header concerns one connection only, or is written anew by appendFraming. The length
// comes first: most headers need no comparison.
func isHopByHop(name []byte) bool {
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

// isGatewayHeader tells whether a header of a request is the gateway's own to set, whatever a client says.
func isGatewayHeader(name []byte) bool {
	return http1.Same(name, "x-tenant") || http1.Same(name, "x-expect-backend") || http1.Same(name, "x-deadline-ms") ||
		http1.Same(name, "host") || http1.Same(name, "authorization")
}

// isProtected tells whether a header is forwarded even where Connection names it: without it the attempt can't be
// told from another.
func isProtected(name []byte) bool {
	return http1.Same(name, "x-attempt-id") || http1.Same(name, "x-backend-seal")
}

// connectionOptions are the headers that a message's Connection header names, which are then hop-by-hop too.
type connectionOptions struct {
	head     *http1.Reader
	message  []byte
	nonEmpty bool // false spares a search for each header
}

func newConnectionOptions(head *http1.Reader, message []byte) connectionOptions {
	options := connectionOptions{head: head, message: message}
	head.Each(message, func(name, value []byte) {
		if isConnection(name) && !http1.Same(value, "keep-alive") && !http1.Same(value, "close") {
			options.nonEmpty = true
		}
	})
	return options
}

// names tells whether Connection names a header.
func (c *connectionOptions) contains(header []byte) (found bool) {
	if !c.nonEmpty {
		return false
	}
	c.head.Each(c.message, func(name, value []byte) {
		if isConnection(name) {
			found = found || http1.Names(value, header)
		}
	})
	return found
}

func isConnection(name []byte) bool {
	return len(name) == len("connection") && http1.Same(name, "connection")
}

// appendEndToEnd adds the headers of a message that are neither hop-by-hop nor dropped, as they came.
func appendEndToEnd(b []byte, head *http1.Reader, message []byte, drop func(name []byte) bool) []byte {
	options := newConnectionOptions(head, message)
	head.Each(message, func(name, value []byte) {
		if !isHopByHop(name) && !drop(name) && (isProtected(name) || !options.contains(name)) {
			b = append(append(b, name...), ": "...)
			b = append(append(b, value...), '\r', '\n')
		}
	})
	return b
}

// noHeader drops none.
func dropNoHeader([]byte) bool { return false }

// appendFraming adds the header that says where a body ends. known: a length is written though the body may be empty.
func appendFraming(b []byte, length int, known, chunked bool) []byte {
	switch {
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case known:
		b = http1.AppendNumber(b, "Content-Length", length)
	}
	return b
}
