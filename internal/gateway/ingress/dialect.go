package ingress

import (
	"bytes"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/upstream"
)

// The idle timeout of a connection to a backend is the timeout of the backend's Keep-Alive header, times
// idleTimeoutFactor, minus idleTimeoutMargin. A request that is written while the backend closes the connection may be
// lost, and the gateway cannot tell whether such a request ran.
const (
	idleTimeoutFactor = 0.8
	idleTimeoutMargin = 100 * time.Millisecond
)

// maxKeepAliveSeconds is the largest accepted timeout of a Keep-Alive header, in seconds.
const maxKeepAliveSeconds = 1 << 20

// Dialect interprets the responses of the gateway's backends.
type Dialect struct{ catalog Catalog }

// NewDialect returns a Dialect. The Dialect only calls the method BackendReplaced of catalog.
func NewDialect(catalog Catalog) *Dialect { return &Dialect{catalog} }

// Wary returns true: a request whose bytes were partly sent is treated as a request that may have run. A backend may start
// to run a request as soon as the backend has received any byte of the request.
func (*Dialect) Wary() bool { return true }

// Read returns the meaning of a response for the request that was sent on the connection. Only the X-Not-Run header and
// status 421 prove that the request did not run. A response with the ID of another request is marked as Other.
func (d *Dialect) Read(carried upstream.Request, head *http1.Reader, message []byte) upstream.Meaning {
	id, repeated := head.Get(message, "x-attempt-id")
	if len(id) == 0 || repeated {
		return upstream.Meaning{Ending: control.ConnectionLost} // a valid response has exactly one X-Attempt-Id header
	}
	if string(id) != carried.ID {
		return upstream.Meaning{Other: true}
	}
	meaning := d.interpretStatus(carried, head, message)
	if value, _ := head.Get(message, "keep-alive"); value != nil {
		if timeout, ok := keepAliveTimeout(value); ok {
			meaning.Idle = time.Duration(idleTimeoutFactor*float64(timeout)) - idleTimeoutMargin
			meaning.Closes = meaning.Closes || meaning.Idle <= 0
		}
	}
	return meaning
}

// interpretStatus returns the meaning of the status and the headers of a response whose ID matches the request. Status
// 421 means that a different backend answered than the backend to which the request was addressed. The catalog is then
// notified.
func (d *Dialect) interpretStatus(carried upstream.Request, head *http1.Reader, message []byte) upstream.Meaning {
	meaning := upstream.Meaning{Ending: control.Errored}
	notRun, _ := head.Get(message, "x-not-run")
	switch status := head.Status(); {
	case status == 421:
		meaning.Ending, meaning.Closes = control.Rejected, true
		d.catalog.BackendReplaced(carried.Backend)
	case notRun != nil:
		meaning.Ending = control.Rejected
	case status < 300:
		if hasSealWithoutEncoding(head, message) {
			meaning.Ending = control.Succeeded
		}
	case status == 408 || status == 429 || status == 503: // without X-Not-Run, the request may have run
	case status < 500:
		meaning.Ending = control.Succeeded // a response of the service itself
	default:
		meaning.Final = carried.Once
	}
	return meaning
}

// hasSealWithoutEncoding reports whether a response has an X-Backend-Seal header and no content encoding. An encoding shows that
// an intermediary may have changed the body after the backend sealed the response.
func hasSealWithoutEncoding(head *http1.Reader, message []byte) bool {
	seal, _ := head.Get(message, "x-backend-seal")
	encoding, _ := head.Get(message, "content-encoding")
	return len(seal) > 0 && (len(encoding) == 0 || http1.Same(encoding, "identity"))
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header. The second result is false if the header
// has no valid timeout.
func keepAliveTimeout(value []byte) (time.Duration, bool) {
	for len(value) > 0 {
		var parameter []byte
		parameter, value, _ = bytes.Cut(value, []byte(","))
		name, number, _ := bytes.Cut(bytes.TrimSpace(parameter), []byte("="))
		if http1.Same(bytes.TrimSpace(name), "timeout") {
			seconds, ok := http1.Number(bytes.TrimSpace(number), maxKeepAliveSeconds)
			return time.Duration(seconds) * time.Second, ok
		}
	}
	return 0, false
}
