package membership

import "time"

// Hellos are said when a link comes up and when something of a node changes. One that is lost is said again: a node that has had none
// of another one, or only one that is out of date, can't turn to it for as long as the link lasts, whatever else is lost meanwhile.
const (
	helloEvery = time.Second // no sooner again to the same node
	helloMost  = 6           // to one that is as it was, beyond what links and changes ask for: a program of the version before confirms none
)

// hello is what was said to a node, and what it has said of having heard it.
type hello struct {
	at       time.Duration // when we last said one
	knew     uint64        // what we then said we know of it; 0: nothing
	again    int           // how often it was said again since either has changed
	confirms bool          // it knows us as we are
}

// stamp tells two states of a node apart (FNV-1a by words). It is never 0. It is asked for of each peer several times a second.
func (n *Node) stamp() uint64 {
	flags := uint64(0)
	if n.Founded {
		flags |= 1
	}
	if n.Leaving {
		flags |= 2
	}
	h := uint64(fnvOffset)
	for _, word := range [...]uint64{n.Life, uint64(n.Disk), n.House, flags} {
		h = (h ^ word) * fnvPrime
		h ^= h >> 32
	}
	return max(h, 1)
}

// heard takes a node's own hello; p is what was known of it before.
func (s *hello) heard(h Hello, p *peer, own Node) {
	s.confirms = h.Knows == own.stamp()
	if !p.met || p.stamp() != h.Door.stamp() {
		s.again = 0
	}
}

// owed tells whether one is to be said again: without one of its we ask for as long as it takes, else until each has said that it knows
// the other as it is.
func (s *hello) owed(p *peer, now time.Duration) bool {
	if !p.linked || !p.up || now-s.at < helloEvery {
		return false
	}
	return !p.met || s.again < helloMost && (s.knew != p.stamp() || !s.confirms)
}

// greet says hello over a link that is up.
func (c *Roster) greet(addr string, p *peer) {
	p.hello.at, p.hello.knew = c.now, 0
	if p.met {
		p.hello.knew = p.stamp()
	}
	c.do(Action{Verb: Greet, Addr: addr})
}

// helloAgain says one again where it is owed.
func (c *Roster) helloAgain(addr string, p *peer) {
	if p.hello.owed(p, c.now) {
		p.hello.again++
		c.greet(addr, p)
	}
}
