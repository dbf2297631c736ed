package upstream

import (
	"bytes"
	"strconv"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/http1"
)

// Dialect is what backends mean by their answers.
type Dialect interface {
	// Read tells what a whole answer means, to the request that its connection carries.
	Read(x Request, r *http1.Reader, b []byte) Meaning
	// Wary tells that a request may have run as soon as any byte of it is written, not only when all are.
	Wary() bool
}

// Request is the request that a connection carries.
type Request struct {
	ID      string // its client's, where the front knows one
	Once    bool   // it may run at most once
	Backend control.BackendID
}

// Meaning is what a whole answer means.
type Meaning struct {
	Other  bool // it belongs to another request: it is passed over, and the right one awaited
	Ending control.Ending
	Final  bool // no success, yet the client is to have it as it is
	Load   []float64
	Closes bool          // the connection is not used again, though the answer doesn't say so
	Idle   time.Duration // how long it may stay idle; 0: as the terms have it
}

// Reports is the dialect of backends that tell their load with each answer.
type Reports struct {
	fields []string
	load   []float64
}

// NewReports makes it; fields are what a load report may name, in the order of the settings.
func NewReports(fields []string) *Reports {
	return &Reports{fields: fields, load: make([]float64, len(fields))}
}

// Wary is false: here a backend begins with a whole request only.
func (*Reports) Wary() bool { return false }

// Read tells whether it ever ran.
func (r *Reports) Read(_ Request, reader *http1.Reader, b []byte) Meaning {
	v := Meaning{Ending: control.Errored, Load: r.report(reader, b)} // whatever else it says, it may have run
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

// report reads the load that an answer tells: names and numbers, in the order that the settings have.
func (r *Reports) report(reader *http1.Reader, b []byte) []float64 {
	v, _ := reader.Get(b, "srv-load")
	if len(v) == 0 {
		return nil
	}
	for i := range r.load {
		r.load[i] = -1 // not told
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
