package ingress

import (
	"bytes"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/upstream"
)

// A connection to a backend is kept idle for a part of what its Keep-Alive header grants: a request that is written
// to one just being closed may be lost, and nobody knows then whether it ran.
const (
	idleTimeoutFactor = 0.8
	idleTimeoutMargin = 100 * time.Millisecond
)

// maxKeepAliveSeconds bounds the timeout of a Keep-Alive header.
const maxKeepAliveSeconds = 1 << 20

// Dialect interprets the responses of the gateway's backends.
type Dialect struct{ catalog Catalog }

// NewDialect makes it. Of the catalog only BackendReplaced is called.
func NewDialect(catalog Catalog) *Dialect { return &Dialect{catalog} }

// Wary is true: a backend may begin as soon as any byte of a request has reached it.
func (*Dialect) Wary() bool { return true }

// Read tells what a response proves. Only X-Not-Run and 421 prove that the request did not run.
func (d *Dialect) Read(carried upstream.Request, head *http1.Reader, message []byte) upstream.Meaning {
	id, repeated := head.Get(message, "x-attempt-id")
	if len(id) == 0 || repeated {
		return upstream.Meaning{Ending: control.ConnectionLost} // no backend answers like this
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

// interpret tells what the status and the headers of the request's own response prove.
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
		if hasValidSeal(head, message) {
			meaning.Ending = control.Succeeded
		}
	case status == 408 || status == 429 || status == 503: // without X-Not-Run: the request may have run
	case status < 500:
		meaning.Ending = control.Succeeded // the service's own response, whatever it says
	default:
		meaning.Final = carried.Once
	}
	return meaning
}

// isSealed tells whether a backend vouches for a response whose body nobody has recoded.
func hasValidSeal(head *http1.Reader, message []byte) bool {
	seal, _ := head.Get(message, "x-backend-seal")
	encoding, _ := head.Get(message, "content-encoding")
	return len(seal) > 0 && (len(encoding) == 0 || http1.Same(encoding, "identity"))
}

// keepAliveTimeout reads the seconds of a Keep-Alive header's timeout; false: it has none.
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
