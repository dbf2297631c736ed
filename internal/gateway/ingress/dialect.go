package ingress

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/upstream"
)

// idleShare and idleLess are what of a backend's word on idle connections is used: what is written to one
// that is just being closed may be lost, and nobody knows then whether it ran.
const (
	idleShare = 0.8
	idleLess  = 100 * time.Millisecond
)

// Dialect is what the gateway's backends mean by their answers.
type Dialect struct{ lookups Lookups }

// NewDialect makes it. deployment is told of a backend that another has replaced, and nothing else.
func NewDialect(lookups Lookups) *Dialect { return &Dialect{lookups} }

// Wary is true: a backend may begin as soon as anything of a request has reached it.
func (*Dialect) Wary() bool { return true }

// Read tells what an answer means. Only X-Not-Run and 421 prove that the request never ran.
func (d *Dialect) Read(x upstream.Request, r *http1.Reader, b []byte) upstream.Meaning {
	id, many := r.Get(b, "x-attempt-id")
	if len(id) == 0 || many {
		return upstream.Meaning{Ending: control.ConnectionLost} // no backend's answer
	}
	if string(id) != x.ID {
		return upstream.Meaning{Other: true}
	}
	v := upstream.Meaning{Ending: control.Errored}
	notRun, _ := r.Get(b, "x-not-run")
	switch s := r.Status(); {
	case s == 421:
		v.Ending, v.Closes = control.Rejected, true
		d.lookups.Gone(x.Backend)
	case notRun != nil:
		v.Ending = control.Rejected
	case s < 300:
		seal, _ := r.Get(b, "x-backend-seal")
		form, _ := r.Get(b, "content-encoding")
		if len(seal) > 0 && (len(form) == 0 || http1.Same(form, "identity")) {
			v.Ending = control.Succeeded
		}
	case s == 408 || s == 429 || s == 503: // a promise that the backend does not keep: it may have run
	case s < 500:
		v.Ending = control.Succeeded // the service's own word, whatever it is
	default:
		v.Final = x.Once
	}
	if idle, _ := r.Get(b, "keep-alive"); idle != nil {
		if most, ok := span(idle); ok {
			v.Idle = time.Duration(idleShare*float64(most)) - idleLess
			v.Closes = v.Closes || v.Idle <= 0
		}
	}
	return v
}
