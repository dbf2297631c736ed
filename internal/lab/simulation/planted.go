package simulation

import (
	"time"

	"clovergap/control"
	"clovergap/internal/lab/gatewaystandin"
)

// plant is a fault that a test puts into the nodes of a simulated day, so that the judge is seen to find it.
type plant int

const (
	sound        plant = iota
	cutsAtTheEnd       // a node that is told to end closes the connections of what is under way
	refusesAdded       // routes that the first configuration did not have are answered 503
	refusesKind        // one kind of request is
	deniesRuns         // what a backend ran and failed is told as not sent, where it may run twice
)

// refuses tells whether a planted fault refuses a request out of hand.
func (w *world) refuses(want *gatewaystandin.Want) bool {
	switch w.planted {
	case refusesAdded:
		return gatewaystandin.ComesAndGoes(want)
	case refusesKind:
		return want.Effectful
	}
	return false
}

// denies gives the ending that a node is told in place of a true one.
func (w *world) denies(s *submission, e control.Ending) control.Ending {
	if w.planted == deniesRuns && e == control.Errored && s.try != nil && !s.try.want.Effectful {
		return control.Unreachable
	}
	return e
}

// cuts closes the connections of what a node has under way, until it has ended.
func (p *process) cuts() {
	p.w.every(cutEach, func() bool {
		for _, nr := range sortedKeys(p.upstreams.tries) {
			t := p.upstreams.tries[nr]
			p.w.after(p.w.way(p.m.zone, t.want.Zone), func() { p.w.clients.unheard(t) })
		}
		return !p.over
	})
}

const cutEach = 10 * time.Millisecond
