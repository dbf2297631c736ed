package simulation

import (
	"time"

	"clovergap/control"
	"clovergap/internal/lab/gatewaystandin"
)

// plantedFault is a fault that a test puts into the nodes of a simulated day, so that the judge is seen to find it.
type plantedFault int

const (
	noPlantedFault     plantedFault = iota
	closesOnShutdown                // a node that is told to end closes the connections of what is under way
	rejectsNewRoutes                // routes that the first configuration did not have are answered 503
	rejectsOneKind                  // one kind of request is
	reportsRunAsUnsent              // what a backend ran and failed is told as not sent, where it may run twice
	keepsStalledLinks               // a link to a peer that dials again is kept, however old it is
)

// plantedReject tells whether a planted fault refuses a request out of hand.
func (w *world) plantedReject(want *gatewaystandin.Request) bool {
	switch w.planted {
	case rejectsNewRoutes:
		return gatewaystandin.ComesAndGoes(want)
	case rejectsOneKind:
		return want.Effectful
	}
	return false
}

// plantedEnding gives the ending that a node is told in place of a true one.
func (w *world) plantedEnding(s *submission, e control.Ending) control.Ending {
	if w.planted == reportsRunAsUnsent && e == control.Errored && s.request != nil && !s.request.want.Effectful {
		return control.Unreachable
	}
	return e
}

// closeClientConns closes the connections of what a node has under way, until it has ended.
func (p *process) closeClientConns() {
	p.world.every(closeInterval, func() bool {
		for _, nr := range sortedKeys(p.upstreams.attempts) {
			t := p.upstreams.attempts[nr]
			p.world.after(p.world.delay(p.machine.zone, t.want.Zone), func() { p.world.clients.timedOut(t) })
		}
		return !p.ended
	})
}

const closeInterval = 10 * time.Millisecond
