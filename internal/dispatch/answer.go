package dispatch

import (
	"bytes"
	"strconv"

	"clovergap/control"
	"clovergap/internal/gate"
	"clovergap/internal/http1"
	"clovergap/internal/slots"
)

// ending tells what a backend's answer means, and whether it ever ran.
func ending(r *http1.Reader, b []byte) control.Ending {
	switch r.Status() {
	case 200:
		return control.Settled
	case 503, 504:
		if v, _ := r.Get(b, "srv-declined"); string(v) == "1" {
			return control.Full
		}
	}
	return control.Errored // whatever else it says, it may have run
}

// answered ends a submission by its answer and keeps the connection where it may carry another.
func (c *conn) answered(ref slots.Ref, s *submission, b []byte, size int) {
	o := gate.Outcome{Ending: ending(&c.r, b), Load: c.d.report(&c.r, b)}
	if o.Ending == control.Settled {
		o.Body = c.r.Body(b)
		o.Kind, _ = c.r.Get(b, "content-type")
	}
	keep := !c.r.Closes && s.mayRun() && len(b) == size && c.b.ready // else nobody would find it again
	c.sub, c.carries, s.conn = 0, false, nil
	c.d.tell(ref, s, o)
	if !keep || !c.b.ready || c.l.IsClosed() {
		c.close()
		return
	}
	c.l.In.Drop(size)
	c.r.Reset()
	c.idleAt = c.d.e.Now()
	c.b.idle = append(c.b.idle, c)
}

// report reads the load that an answer tells: names and numbers, in the order that the settings have.
func (d *Dispatch) report(r *http1.Reader, b []byte) []float64 {
	v, _ := r.Get(b, "srv-load")
	if len(v) == 0 {
		return nil
	}
	for i := range d.load {
		d.load[i] = -1 // not told
	}
	for len(v) > 0 {
		one, rest, _ := bytes.Cut(v, []byte(","))
		v = rest
		name, figure, ok := bytes.Cut(bytes.TrimSpace(one), []byte("="))
		if !ok {
			continue
		}
		for i, f := range d.fields {
			if string(name) == f {
				if x, err := strconv.ParseFloat(string(figure), 64); err == nil && x >= 0 {
					d.load[i] = x
				}
			}
		}
	}
	return d.load
}
