package membership

import "time"

// Hellos are said when a link comes up and when something of a node changes. One that is lost is said again: a node that has had none
// of another one, or only one that is out of date, can't turn to it for as long as the link lasts, whatever else is lost meanwhile.
const (
	helloInterval   = time.Second // no sooner again to the same node
	maxHelloRepeats = 6           // to one that is as it was, beyond what links and changes ask for: a program of the version before confirms none
)

// helloState is what was said to a node, and what it has said of having heard it.
type helloState struct {
	sentAt       time.Duration // when we last said one
	acknowledged uint64        // what we then said we know of it; 0: nothing
	repeats      int           // how often it was said again since either has changed
	confirmed    bool          // it knows us as we are
}

// fingerprint tells two states of a node apart (FNV-1a by words). It is never 0. It is asked for of each peer several times a second.
func (n *Node) fingerprint() uint64 {
	flags := uint64(0)
	if n.Bootstrapped {
		flags |= 1
	}
	if n.Leaving {
		flags |= 2
	}
	h := uint64(fnvOffset)
	for _, word := range [...]uint64{n.Incarnation, uint64(n.Disk), n.ClusterID, flags} {
		h = (h ^ word) * fnvPrime
		h ^= h >> 32
	}
	return max(h, 1)
}

// received takes a node's own hello; p is what was known of it before.
func (h *helloState) received(hello Hello, p *peer, own Node) {
	h.confirmed = hello.Acknowledged == own.fingerprint()
	if !p.introduced || p.fingerprint() != hello.Node.fingerprint() {
		h.repeats = 0
	}
}

// needsRepeat tells whether one is to be said again: without one of its we ask for as long as it takes, else until each has said that it knows
// the other as it is.
func (h *helloState) needsRepeat(p *peer, now time.Duration) bool {
	if !p.linkWanted || !p.linkUp || now-h.sentAt < helloInterval {
		return false
	}
	return !p.introduced || h.repeats < maxHelloRepeats && (h.acknowledged != p.fingerprint() || !h.confirmed)
}

// sendHello says hello over a link that is up.
func (r *Roster) sendHello(addr string, p *peer) {
	p.hello.sentAt, p.hello.acknowledged = r.now, 0
	if p.introduced {
		p.hello.acknowledged = p.fingerprint()
	}
	r.push(Action{Kind: SendHello, Addr: addr})
}

// repeatHello says one again where it is owed.
func (r *Roster) repeatHello(addr string, p *peer) {
	if p.hello.needsRepeat(p, r.now) {
		p.hello.repeats++
		r.sendHello(addr, p)
	}
}
