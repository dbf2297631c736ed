package ingress

import (
	"bytes"
	"time"

	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/http1"
)

// clientRequest holds the parsed fields of a client's request. The slices refer to the connection's buffer and are valid
// only while the request waits for its response.
type clientRequest struct {
	id       []byte        // X-Attempt-Id
	host     []byte        // as the client sent it, with any port
	path     []byte        // without the query
	key      []byte        // API key; nil for none
	deadline time.Duration // time that the client waits for the response; 0 if the client sent no X-Deadline-Ms header
}

// requestProblem is the reason why a request is answered with 400. The zero value means that the request is valid.
type requestProblem struct {
	text    string
	counter counters.ID
}

// parseRequest returns the parsed fields of a request, or the first problem in the order of the checks below.
func parseRequest(c *downstream.Client) (clientRequest, requestProblem) {
	head, message := c.Request()
	target := head.Target(message)
	id, idRepeated := head.Get(message, "x-attempt-id")
	host, hostRepeated := head.Get(message, "host")
	key, keyRepeated := apiKey(head, message)
	deadline, deadlineValid := clientDeadline(head, message)
	switch {
	case target[0] != '/':
		return clientRequest{}, requestProblem{"a path is needed", counters.BadRequest}
	case hostRepeated || len(host) == 0:
		return clientRequest{}, requestProblem{"host: one is needed", counters.BadRequest}
	case idRepeated || len(id) == 0 || len(id) > maxAttemptIDBytes:
		return clientRequest{}, requestProblem{"x-attempt-id: one is needed", counters.BadID}
	case keyRepeated:
		return clientRequest{}, requestProblem{"authorization: more than one", counters.BadRequest}
	case !deadlineValid:
		return clientRequest{}, requestProblem{"x-deadline-ms: one number of milliseconds", counters.BadRequest}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	return clientRequest{id: id, host: host, path: path, key: key, deadline: deadline}, requestProblem{}
}

// apiKey returns the API key of a request, which is sent as `Authorization: Token KEY`. The key is nil if the header is
// missing or uses another scheme. repeated means that the request has more than one Authorization header.
func apiKey(head *http1.Reader, message []byte) (key []byte, repeated bool) {
	value, repeated := head.Get(message, "authorization")
	const scheme = "token "
	if len(value) <= len(scheme) || !http1.Same(value[:len(scheme)], scheme) {
		return nil, repeated
	}
	return bytes.TrimLeft(value[len(scheme):], " "), repeated
}

// clientDeadline returns the value of the X-Deadline-Ms header, at least 1 ns, or 0 if the header is missing. A fraction of
// a millisecond is dropped. valid is false if the header is not a number, is too large or is repeated.
func clientDeadline(head *http1.Reader, message []byte) (deadline time.Duration, valid bool) {
	value, repeated := head.Get(message, "x-deadline-ms")
	if value == nil {
		return 0, true
	}
	integer, _, _ := bytes.Cut(value, []byte("."))
	ms, ok := http1.Number(integer, int(maxClientDeadline/time.Millisecond))
	return max(time.Duration(ms)*time.Millisecond, 1), ok && !repeated
}

// canonicalHost returns a host in lower case and without the port. The result is valid until the next call.
func (h *Handler) canonicalHost(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 { // an IPv6 address contains colons
		host = host[:i]
	}
	for i, c := range host {
		if c >= 'A' && c <= 'Z' {
			h.hostBuffer = append(append(h.hostBuffer[:0], host[:i]...), bytes.ToLower(host[i:])...)
			return h.hostBuffer
		}
	}
	return host
}
