package ingress

import (
	"clovergap/internal/proxy/http1"
)

// isHopByHop reports whether a header applies to a single connection, or is replaced by the header that appendFraming
// writes. The length of the name is compared first, so most headers need no comparison of strings.
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

// isGatewayHeader reports whether a request header of the client is dropped, because the gateway writes the header itself
// or because the header is not meant for the backend (Authorization).
func isGatewayHeader(name []byte) bool {
	return http1.Same(name, "x-tenant") || http1.Same(name, "x-expect-backend") || http1.Same(name, "x-deadline-ms") ||
		http1.Same(name, "host") || http1.Same(name, "authorization")
}

// isProtected reports whether a header is forwarded even if the Connection header names it. Without the protected headers
// a response can't be matched with the request.
func isProtected(name []byte) bool {
	return http1.Same(name, "x-attempt-id") || http1.Same(name, "x-backend-seal")
}

// connectionOptions are the header names that a message's Connection headers list. The listed headers are hop-by-hop.
type connectionOptions struct {
	head     *http1.Reader
	message  []byte
	nonEmpty bool // if false, contains need not search the message
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

// contains reports whether a Connection header of the message lists header.
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

// appendEndToEnd appends the headers of a message to b without changes. Hop-by-hop headers are left out, and so are the
// headers for which drop returns true.
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

// dropNoHeader returns false for every header. It is used as the argument drop of appendEndToEnd.
func dropNoHeader([]byte) bool { return false }

// appendFraming appends the header that determines the end of a body: Transfer-Encoding if chunked is true, else
// Content-Length if known is true, even if length is 0.
func appendFraming(b []byte, length int, known, chunked bool) []byte {
	switch {
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case known:
		b = http1.AppendNumber(b, "Content-Length", length)
	}
	return b
}
