package membership

import "time"

// Hellos are said when a link comes up and when something of a node changes. One that is lost is said again: a node that has had none
// of another one, or of its present life, can't turn to it for as long as the link lasts, whatever else is lost meanwhile.
const (
	helloEvery = time.Second // no sooner again to the same node
	helloMost  = 4           // to one in a life of its, beyond what links and changes ask for: a program of the version before confirms none
)

// hello is what was said to a node, and what it has said of having heard it.
type hello struct {
	at       time.Duration // when we last said one
	life     uint64        // its life that we then said we know; 0: none
	again    int           // how often it was said again in this life of its
	confirms bool          // it knows our present life
}

// heard takes a node's own hello; p is what was known of it before.
func (s *hello) heard(h Hello, p *peer, ownLife uint64) {
	s.confirms = h.Knows == ownLife
	if !p.met || p.Life != h.Door.Life {
		s.again = 0
	}
}

// owed tells whether one is to be said again: without one of its we ask for as long as it takes, else until each has said that it knows
// the other's present life.
func (s *hello) owed(p *peer, now time.Duration) bool {
	if !p.linked || !p.up || now-s.at < helloEvery {
		return false
	}
	return !p.met || s.again < helloMost && (s.life != p.Life || !s.confirms)
}

// greet says hello over a link that is up.
func (c *Roster) greet(addr string, p *peer) {
	p.hello.at, p.hello.life = c.now, 0
	if p.met {
		p.hello.life = p.Life
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
