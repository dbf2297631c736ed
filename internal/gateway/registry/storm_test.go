package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crowd is a node with a disk that many follow, all at once: what happens after the loss of all nodes.
type crowd struct {
	b       *Registry
	records map[Slot]int // sent to each
	due     []due
	all     map[Slot]bool
}

type due struct {
	at time.Duration
	to Slot
	nr uint64
}

func newCrowd(backends, followers int) *crowd {
	c := &crowd{b: New(0, Terms{BeatInterval: time.Minute, Enough: 1, Life: 1}, 0), records: map[Slot]int{}, all: map[Slot]bool{}}
	c.b.SetNodes([]Node{{Seat: 0, Control: "c:1", Live: true, Firm: true}})
	for i := range backends {
		c.b.Beat(Record{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("b:", i), Capacity: 1, Phase: Ready, Seq: 1})
	}
	for _, ok := c.b.Next(); ok; _, ok = c.b.Next() {
	}
	nodes := []Node{{Seat: 0, Control: "c:1", Live: true, Firm: true}}
	for s := range followers {
		nodes = append(nodes, Node{Seat: Slot(s + 1), Live: true, Hears: true})
	}
	c.b.SetNodes(nodes)
	return c
}

// takes takes what is to be sent, each confirmed after a while, and gives the words in it.
func (c *crowd) takes(after time.Duration) (sent int) {
	for a, ok := c.b.Next(); ok; a, ok = c.b.Next() {
		if m, is := a.(Send); is && m.Message.Nr != 0 {
			sent += len(m.Message.Words)
			c.records[m.To] += len(m.Message.Words)
			c.all[m.To] = c.all[m.To] || m.Message.All
			c.due = append(c.due, due{c.b.now + after, m.To, m.Message.Nr})
		}
	}
	return sent
}

// until goes on to a time; confirmations come when they are due.
func (c *crowd) until(t time.Duration, after time.Duration) {
	for now := c.b.now; now <= t; now += 10 * time.Millisecond {
		c.b.Now(now)
		rest := c.due
		c.due = nil
		for _, d := range rest {
			if d.at <= now {
				c.b.Heard(d.to, Message{Acks: []uint64{d.nr}})
			} else {
				c.due = append(c.due, d)
			}
		}
		c.takes(after)
	}
}

// A node that all begin to follow at once told all of them everything together. With little processor time each then got its share so
// late that it gave up, and asked another node, for all of it again: at 300 nodes nothing else was done any more, and nothing was
// served for half a minute.
func TestTransfersAreBounded(t *testing.T) {
	const backends, followers = 1000, 100
	c := newCrowd(backends, followers)
	must.LessEq(t, transfersMost*flightMost*wordsMost, c.takes(time.Hour)) // nobody confirms
	c = newCrowd(backends, followers)
	c.until(4*time.Second, 10*time.Millisecond)
	for s := range followers {
		must.True(t, c.all[Slot(s+1)])
		must.Eq(t, backends, c.records[Slot(s+1)]) // each once
	}
}

// What is confirmed late is not said again and again: that made a busy node busier.
func TestLateConfirmationsCostLittle(t *testing.T) {
	const backends, followers = 1000, 100
	c := newCrowd(backends, followers)
	sent := func() (n int) {
		for _, x := range c.records {
			n += x
		}
		return n
	}
	c.until(90*time.Second, 800*time.Millisecond)
	for s := range followers {
		must.GreaterEq(t, backends, c.records[Slot(s+1)])
	}
	must.LessEq(t, 2*backends*followers, sent()) // it was 3.7 times as much when it went again each 300 ms
}

// A transfer ends with the node that it goes to: the next one's begins.
func TestTransfersGoOn(t *testing.T) {
	c := newCrowd(1000, 2*transfersMost)
	c.takes(time.Hour)
	nodes := []Node{{Seat: 0, Control: "c:1", Live: true, Firm: true}}
	for s := range 2 * transfersMost {
		nodes = append(nodes, Node{Seat: Slot(s + 1), Live: s >= transfersMost, Hears: s >= transfersMost})
	}
	c.b.SetNodes(nodes) // those that were told first are lost
	c.due = nil
	c.until(4*time.Second, 10*time.Millisecond)
	for s := transfersMost; s < 2*transfersMost; s++ {
		must.Eq(t, 1000, c.records[Slot(s+1)])
	}
}

// A turn looks at the nodes that it concerns: where nothing is to be told, at none. It looked at all of them three times, whatever it was
// for, so that a beat cost with three hundred nodes three times what it did with a hundred.
func TestNothingToTellCostsNothing(t *testing.T) {
	c := newCrowd(100, 50)
	c.takes(time.Hour)
	must.SliceNotEmpty(t, c.b.busy)
	for range 20 {
		rest := c.due
		c.due = nil
		for _, d := range rest {
			c.b.Heard(d.to, Message{Acks: []uint64{d.nr}})
		}
		c.takes(time.Hour)
	}
	must.SliceEmpty(t, c.b.busy)
	must.True(t, c.b.Serves())
	c.b.Leave("i-7", 2) // that is for all
	c.takes(time.Hour)
	must.SliceLen(t, 50, c.b.busy)
	c.b.SetNodes([]Node{{Seat: 0, Control: "c:1", Live: true, Firm: true}}) // nobody is there any more
	must.SliceEmpty(t, c.b.busy)
	must.False(t, New(0, Terms{}, 0).Serves())
}

// What a node needs to serve comes first: the backends of its own zone, to all that wait, before the next one is told all there is, and
// within the same bound. Guards against hundreds of nodes that wait for the last of hundreds of backends on thin links after the loss of all.
func TestOwnZoneComesFirst(t *testing.T) {
	const zones, backends, followers = 6, 600, 4 * transfersMost
	c := &crowd{b: New(0, Terms{BeatInterval: time.Minute, Enough: 1, Life: 1}, 0), records: map[Slot]int{}, all: map[Slot]bool{}}
	nodes := []Node{{Seat: 0, Control: "c:1", Live: true, Firm: true}}
	c.b.SetNodes(nodes)
	zone := func(i int) string { return fmt.Sprint("zone-", i%zones) }
	for i := range backends {
		c.b.Beat(Record{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("b:", i), Zone: zone(i), Capacity: 1, Phase: Ready, Seq: 1})
	}
	for _, ok := c.b.Next(); ok; _, ok = c.b.Next() {
	}
	for s := range followers {
		nodes = append(nodes, Node{Seat: Slot(s + 1), Zone: zone(s), Live: true, Hears: true})
	}
	c.b.SetNodes(nodes)
	near, told := map[Slot]map[string]bool{}, map[Slot]map[string]bool{}
	for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
		c.b.Now(now)
		for a, ok := c.b.Next(); ok; a, ok = c.b.Next() {
			m, is := a.(Send)
			if !is || m.Message.Nr == 0 {
				continue
			}
			if near[m.To] == nil {
				near[m.To], told[m.To] = map[string]bool{}, map[string]bool{}
			}
			for _, w := range m.Message.Words {
				told[m.To][w.ID] = true
				if w.Zone == nodes[m.To].Zone {
					near[m.To][w.ID] = true
				}
			}
			if m.Message.All {
				c.all[m.To] = true
			}
			c.due = append(c.due, due{now, m.To, m.Message.Nr})
		}
		if len(c.all) > transfersMost { // the first ones had nobody before them
			must.MapLen(t, followers, near)
			for s := range near {
				must.MapLen(t, backends/zones, near[s], must.Sprintf("node %d at %v", s, now))
			}
		}
		for _, d := range c.due {
			c.b.Heard(d.to, Message{Acks: []uint64{d.nr}})
		}
		c.due = nil
	}
	for s := range followers {
		must.MapLen(t, backends, told[Slot(s+1)])
	}
}
