package emulator

import (
	"math"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// Two marks stand beside the module. The seeing one knows every bucket, every backend's load and every fault at
// once: an upper mark that no front door can reach. The plain one lets all in, to any backend of its list: a
// lower one.

// omniscientLateShare is the share of the time left to the SLA time that a backend's load may stand for.
const omniscientLateShare = 0.5

// simple is a decider without quotas, views or peers.
type simple struct {
	node       *node
	omniscient bool
	txns       map[slots.Ref]*simpleTxn
	next       slots.Ref
	ready      []control.BackendID
	state      map[control.BackendID]control.BackendState
	choose     func(*attempt) *backend
}

type simpleTxn struct {
	txn      control.Txn
	who      slots.Ref
	attempts int
	out      bool
	ran      bool
	done     bool
}

func seeing(d *node) decider { return newSimple(d, true) }
func plain(d *node) decider  { return newSimple(d, false) }

func newSimple(d *node, sees bool) *simple {
	p := &simple{node: d, omniscient: sees, txns: map[slots.Ref]*simpleTxn{}, state: map[control.BackendID]control.BackendState{}}
	p.choose = p.pick
	return p
}

func (s *simple) Take(x control.Txn, _ gate.Front, who slots.Ref) (slots.Ref, bool) {
	s.next++
	t := &simpleTxn{txn: x, who: who}
	s.txns[s.next] = t
	ref := s.next
	life := s.node.incarnation
	s.node.world.at(x.Expiry-2*time.Millisecond, func() {
		if !t.done && s.node.running && s.node.incarnation == life {
			s.node.turn(func() { s.end(ref, t) })
		}
	})
	s.send(ref, t)
	return ref, true
}

// end gives a txn up.
func (s *simple) end(ref slots.Ref, t *simpleTxn) {
	if t.done {
		return
	}
	t.done = true
	product := s.node.world.spec.Products[t.txn.Product]
	if product.Judged().Safe() || !t.ran && !t.out {
		s.node.Reject(t.who, ref, 0, control.ReasonNoBackend)
	} else {
		s.node.Fail(t.who, ref, control.ReasonNoBackend)
	}
}

// send sends a txn on, or gives it up.
func (s *simple) send(ref slots.Ref, t *simpleTxn) {
	w := s.node.world
	tr := w.clients.attempts[uint32(t.who)]
	if tr == nil || t.done {
		return
	}
	to := s.choose(tr)
	if to == nil {
		s.end(ref, t)
		return
	}
	nr := t.attempts
	t.attempts, t.out = t.attempts+1, true
	s.node.submit(ref, nr, tr, to, t.txn.Expiry-w.now-3*time.Millisecond)
}

func (s *simple) pick(t *attempt) *backend {
	w := s.node.world
	if !s.omniscient {
		if len(s.ready) == 0 {
			return nil
		}
		return w.byID[s.ready[w.netRand.IntN(len(s.ready))]]
	}
	book, plan := w.checker.customer(t.request.customer), w.spec.Plans[t.request.customer.plan]
	if book.quota.levelAt(w.now) < 1 || plan.OpenCap > 0 && book.inFlight >= plan.OpenCap ||
		plan.Ceiling > 0 && book.hardLimit.levelAt(w.now) < 1 {
		return nil
	}
	var best *backend
	least := math.Inf(1)
	for _, b := range w.backends {
		if b.dead || b.state != control.Ready || b.warmth() < 1 || !b.reachable(s.node) || b.failing > 0 {
			continue
		}
		if _, told := s.node.unavailableSince[b.id]; told || s.state[b.id] != control.Ready {
			continue
		}
		load := float64(len(b.active)+len(b.waiting)+1) / b.capacity()
		if b.zone != s.node.zone {
			load *= 1.02
		}
		if load < least {
			best, least = b, load
		}
	}
	// What would be late takes the place of what would not.
	if product := w.spec.Products[t.request.product]; least*t.request.mean > omniscientLateShare*(product.SLA.D()-(w.now-t.request.firstSent)).Seconds() {
		return nil
	}
	return best
}

func (s *simple) Left(ref slots.Ref) {
	if t := s.txns[ref]; t != nil {
		t.done = true
	}
}

func (s *simple) Ended(ref slots.Ref, _ int, _ control.BackendID, o gate.Outcome) {
	t := s.txns[ref]
	if t == nil {
		return
	}
	t.out = false
	switch o.Ending {
	case control.Succeeded:
		if !t.done {
			t.done = true
			s.node.Complete(t.who, ref, o)
		}
	case control.Rejected, control.Unreachable, control.NotSent:
		if s.omniscient && t.attempts < s.node.world.spec.Limits.Submissions && !t.done {
			s.send(ref, t)
			return
		}
		s.end(ref, t)
	default:
		t.ran = true
		s.end(ref, t)
	}
	if t.done {
		delete(s.txns, ref)
	}
}

func (s *simple) EndpointsChanged(whole bool, list []control.Endpoint) {
	if whole {
		clear(s.state)
		s.ready = s.ready[:0]
	}
	for _, l := range list {
		if _, ok := s.state[l.ID]; !ok && l.State == control.Ready {
			s.ready = append(s.ready, l.ID)
		}
		s.state[l.ID] = l.State
		if l.State != control.Ready {
			for i, id := range s.ready {
				if id == l.ID {
					s.ready = append(s.ready[:i], s.ready[i+1:]...)
					break
				}
			}
		}
	}
}

func (s *simple) DatagramReceived(control.GatewayID, []byte) {}
func (s *simple) Live(uint32) bool                           { return false }
func (s *simple) Due(uint32)                                 {}
func (s *simple) RunDecisions()                              {}
