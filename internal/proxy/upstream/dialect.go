package upstream

import (
	"bytes"
	"strconv"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
)

// Dialect interprets backends' answers.
type Dialect interface {
	// Read interprets an answer to the request that its connection carries: a complete one, or the head of one that is streamed.
	Read(x Request, r *http1.Reader, b []byte) Meaning
	// Wary tells that a request may have effect as soon as any byte of it is written; if false, only when all are.
	Wary() bool
}

// Request is the request that a connection carries.
type Request struct {
	ID      string // that the client gave to it; empty if the front knows none
	Once    bool   // it must take effect at most once
	Backend control.BackendID
}

// Meaning is the interpretation of an answer.
type Meaning struct {
	Other  bool // it belongs to another request, and is skipped
	Ending control.Ending
	Final  bool // no success, yet it goes to the client as it is
	Load   []float64
	Closes bool          // the connection is not used again, even if the answer allows it
	Idle   time.Duration // how long the connection may stay idle; 0: as configured
}

// Reports is the dialect of backends that report their load with each answer.
type Reports struct {
	fields []string
	load   []float64
}

// NewReports makes the dialect; fields are the names in a load report, in the order of the settings.
func NewReports(fields []string) *Reports {
	return &Reports{fields: fields, load: make([]float64, len(fields))}
}

// Wary is false: these backends start only on a complete request.
func (*Reports) Wary() bool { return false }

// Read implements Dialect.
func (r *Reports) Read(_ Request, reader *http1.Reader, b []byte) Meaning {
	v := Meaning{Ending: control.Errored, Load: r.report(reader, b)} // other statuses may come after some effect
	switch reader.Status() {
	case 200:
		v.Ending = control.Succeeded
	case 503, 504:
		if word, _ := reader.Get(b, "srv-declined"); string(word) == "1" {
			v.Ending = control.Rejected
		}
	}
	return v
}

// report parses the load in an answer's srv-load header: name=number, separated by commas.
func (r *Reports) report(reader *http1.Reader, b []byte) []float64 {
	v, _ := reader.Get(b, "srv-load")
	if len(v) == 0 {
		return nil
	}
	for i := range r.load {
		r.load[i] = -1 // not reported
	}
	for len(v) > 0 {
		one, rest, _ := bytes.Cut(v, []byte(","))
		v = rest
		name, figure, ok := bytes.Cut(bytes.TrimSpace(one), []byte("="))
		if !ok {
			continue
		}
		for i, f := range r.fields {
			if string(name) == f {
				if x, err := strconv.ParseFloat(string(figure), 64); err == nil && x >= 0 {
					r.load[i] = x
				}
			}
		}
	}
	return r.load
}
