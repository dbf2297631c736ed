package ingress

import (
	"bytes"
	"time"

	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/http1"
)

// clientRequest is what the gateway reads of a client's request. Its bytes are the connection's: valid while it waits.
type clientRequest struct {
	id       []byte // X-Attempt-Id
	host     []byte // as it came
	path     []byte // without the query
	key      []byte // nil: none
	deadline time.Duration
}

// problem is why a request is answered with 400; the zero value is none.
type requestProblem struct {
	text    string
	counter counters.ID
}

// parseRequest reads a request. What it says wrongly is named in the order of the checks below.
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

// apiKey reads a key, which is sent as `Token KEY`; other credentials are passed over. nil: there is none.
func apiKey(head *http1.Reader, message []byte) (key []byte, repeated bool) {
	value, repeated := head.Get(message, "authorization")
	const scheme = "token "
	if len(value) <= len(scheme) || !http1.Same(value[:len(scheme)], scheme) {
		return nil, repeated
	}
	return bytes.TrimLeft(value[len(scheme):], " "), repeated
}

// clientDeadline reads how long the client waits, at least 1 ns; 0: it does not say. A fraction of a millisecond is
// cut off.
func clientDeadline(head *http1.Reader, message []byte) (deadline time.Duration, valid bool) {
	value, repeated := head.Get(message, "x-deadline-ms")
	if value == nil {
		return 0, true
	}
	integer, _, _ := bytes.Cut(value, []byte("."))
	ms, ok := http1.Number(integer, int(maxClientDeadline/time.Millisecond))
	return max(time.Duration(ms)*time.Millisecond, 1), ok && !repeated
}

// canonicalHost gives a host in lower case, without its port. It is valid until the next call.
func (h *Handler) canonicalHost(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 { // an IPv6 address has colons of its own
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
