package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// followerCrowd is a node with a disk that many follow, all at once: what happens after the loss of all nodes.
type followerCrowd struct {
	registry  *Registry
	records   map[Slot]int // sent to each
	unacked   []pendingAck
	fullSyncs map[Slot]bool
}

type pendingAck struct {
	at  time.Duration
	to  Slot
	seq uint64
}

// oneZone has all backends and followers in one zone.
func oneZone(int) string { return "" }

// newFollowerCrowd is a node with some backends and followers, each in the zone of its number.
func newFollowerCrowd(backends, followers int, zone func(i int) string) *followerCrowd {
	c := &followerCrowd{registry: New(0, Config{HeartbeatInterval: time.Minute, MinCopies: 1, Incarnation: 1}, 0), records: map[Slot]int{}, fullSyncs: map[Slot]bool{}}
	nodes := []Node{{Slot: 0, ControlAddr: "c:1", Live: true, HasDisk: true}}
	c.registry.SetNodes(nodes)
	for i := range backends {
		c.registry.Heartbeat(Record{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("b:", i), Zone: zone(i), Capacity: 1, Phase: Ready, Seq: 1})
	}
	for _, ok := c.registry.Next(); ok; _, ok = c.registry.Next() {
	}
	for s := range followers {
		nodes = append(nodes, Node{Slot: Slot(s + 1), Zone: zone(s), Live: true, Follows: true})
	}
	c.registry.SetNodes(nodes)
	return c
}

// collect takes what is to be sent, each acknowledged after a while, and counts the updates in it.
func (f *followerCrowd) collect(after time.Duration) (sent int) {
	for a, ok := f.registry.Next(); ok; a, ok = f.registry.Next() {
		if m, is := a.(Send); is && m.Message.Seq != 0 {
			sent += len(m.Message.Updates)
			f.records[m.Target] += len(m.Message.Updates)
			f.fullSyncs[m.Target] = f.fullSyncs[m.Target] || m.Message.FullSync
			f.unacked = append(f.unacked, pendingAck{f.registry.now + after, m.Target, m.Message.Seq})
		}
	}
	return sent
}

// runUntil goes on to a time; acknowledgements come when they are due.
func (f *followerCrowd) runUntil(t time.Duration, after time.Duration) {
	for now := f.registry.now; now <= t; now += 10 * time.Millisecond {
		f.registry.Tick(now)
		rest := f.unacked
		f.unacked = nil
		for _, d := range rest {
			if d.at <= now {
				f.registry.Receive(d.to, Message{Acks: []uint64{d.seq}})
			} else {
				f.unacked = append(f.unacked, d)
			}
		}
		f.collect(after)
	}
}

// Guards against a node that all begin to follow at once and that syncs all of them together. With little processor time each got its part so
// late that it gave up and asked another node, for all of it again: at 300 nodes nothing else was done any more, and nothing was
// served for half a minute.
func TestFullSyncsAreBounded(t *testing.T) {
	const backends, followers = 1000, 100
	c := newFollowerCrowd(backends, followers, oneZone)
	must.LessEq(t, maxFullSyncs*maxInFlight*maxUpdatesPerMessage, c.collect(time.Hour)) // nobody acknowledges
	c = newFollowerCrowd(backends, followers, oneZone)
	c.runUntil(4*time.Second, 10*time.Millisecond)
	for s := range followers {
		must.True(t, c.fullSyncs[Slot(s+1)])
		must.Eq(t, backends, c.records[Slot(s+1)]) // each once
	}
}

// What is acknowledged late is not sent again and again: that made a busy node busier.
func TestLateAcksCostLittle(t *testing.T) {
	const backends, followers = 1000, 100
	c := newFollowerCrowd(backends, followers, oneZone)
	sent := func() (n int) {
		for _, x := range c.records {
			n += x
		}
		return n
	}
	c.runUntil(90*time.Second, 800*time.Millisecond)
	for s := range followers {
		must.GreaterEq(t, backends, c.records[Slot(s+1)])
	}
	must.LessEq(t, 2*backends*followers, sent()) // it was 3.7 times as much when it went again each 300 ms
}

// A full sync ends with the node that it goes to: the next one's begins.
func TestFullSyncsGoOn(t *testing.T) {
	c := newFollowerCrowd(1000, 2*maxFullSyncs, oneZone)
	c.collect(time.Hour)
	nodes := []Node{{Slot: 0, ControlAddr: "c:1", Live: true, HasDisk: true}}
	for s := range 2 * maxFullSyncs {
		nodes = append(nodes, Node{Slot: Slot(s + 1), Live: s >= maxFullSyncs, Follows: s >= maxFullSyncs})
	}
	c.registry.SetNodes(nodes) // those that were synced first are lost
	c.unacked = nil
	c.runUntil(4*time.Second, 10*time.Millisecond)
	for s := maxFullSyncs; s < 2*maxFullSyncs; s++ {
		must.Eq(t, 1000, c.records[Slot(s+1)])
	}
}

// An input costs a look at the peers that it concerns: at none, where nothing is to be sent. Guards against a look at all of them, by which a
// heartbeat cost with three hundred nodes three times what it did with a hundred.
func TestIdlePeersCostNothing(t *testing.T) {
	c := newFollowerCrowd(100, 50, oneZone)
	c.collect(time.Hour)
	must.SliceNotEmpty(t, c.registry.activePeers)
	for range 20 {
		rest := c.unacked
		c.unacked = nil
		for _, d := range rest {
			c.registry.Receive(d.to, Message{Acks: []uint64{d.seq}})
		}
		c.collect(time.Hour)
	}
	must.SliceEmpty(t, c.registry.activePeers)
	must.True(t, c.registry.HasReady())
	c.registry.Deregister("i-7") // that is for all
	c.collect(time.Hour)
	must.SliceLen(t, 50, c.registry.activePeers)
	c.registry.SetNodes([]Node{{Slot: 0, ControlAddr: "c:1", Live: true, HasDisk: true}}) // nobody is there any more
	must.SliceEmpty(t, c.registry.activePeers)
	must.False(t, New(0, Config{}, 0).HasReady())
}

// What a node needs to serve comes first: the backends of its own zone, to all that wait, before the next full sync, and within the same
// bound. Guards against hundreds of nodes that wait for the last of hundreds of backends on thin links after the loss of all.
func TestFullSyncSendsOwnZoneFirst(t *testing.T) {
	const zones, backends, followers = 6, 600, 4 * maxFullSyncs
	zone := func(i int) string { return fmt.Sprint("zone-", i%zones) }
	c := newFollowerCrowd(backends, followers, zone)
	inZone, sent := map[Slot]map[string]bool{}, map[Slot]map[string]bool{}
	for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
		c.registry.Tick(now)
		for a, ok := c.registry.Next(); ok; a, ok = c.registry.Next() {
			m, is := a.(Send)
			if !is || m.Message.Seq == 0 {
				continue
			}
			if inZone[m.Target] == nil {
				inZone[m.Target], sent[m.Target] = map[string]bool{}, map[string]bool{}
			}
			for _, w := range m.Message.Updates {
				sent[m.Target][w.ID] = true
				if w.Zone == zone(int(m.Target)-1) {
					inZone[m.Target][w.ID] = true
				}
			}
			if m.Message.FullSync {
				c.fullSyncs[m.Target] = true
			}
			c.unacked = append(c.unacked, pendingAck{now, m.Target, m.Message.Seq})
		}
		if len(c.fullSyncs) > maxFullSyncs { // the first ones had nobody before them
			must.MapLen(t, followers, inZone)
			for s := range inZone {
				must.MapLen(t, backends/zones, inZone[s], must.Sprintf("node %d at %v", s, now))
			}
		}
		for _, d := range c.unacked {
			c.registry.Receive(d.to, Message{Acks: []uint64{d.seq}})
		}
		c.unacked = nil
	}
	for s := range followers {
		must.MapLen(t, backends, sent[Slot(s+1)])
	}
}
