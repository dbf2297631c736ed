package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// upstreamFixture is a node with a disk that many nodes begin to follow at the same time, as after the loss of all nodes.
type upstreamFixture struct {
	registry    *Registry
	recordsSent map[Slot]int  // number of records sent, by receiver
	unacked     []pendingAck  // acknowledgements to be delivered
	fullSyncs   map[Slot]bool // receivers of a message that starts a full sync
}

// pendingAck is an acknowledgement that the node receives at a later time.
type pendingAck struct {
	dueAt time.Duration
	to    Slot
	seq   uint64
}

// sameZone returns the same zone for every backend and follower.
func sameZone(int) string { return "" }

// newUpstreamFixture returns a node with the given numbers of backends and followers. zone returns the zone of the backend
// or follower with index i.
func newUpstreamFixture(backends, followers int, zone func(i int) string) *upstreamFixture {
	c := &upstreamFixture{registry: New(0, Config{HeartbeatInterval: time.Minute, MinCopies: 1, Incarnation: 1}, 0), recordsSent: map[Slot]int{},
		fullSyncs: map[Slot]bool{}}
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

// takeMessages takes all messages that the node sends now and returns the number of updates in them. The acknowledgement of
// each message becomes due after ackDelay.
func (c *upstreamFixture) takeMessages(ackDelay time.Duration) (sent int) {
	for a, ok := c.registry.Next(); ok; a, ok = c.registry.Next() {
		if m, isSend := a.(Send); isSend && m.Message.Seq != 0 {
			sent += len(m.Message.Updates)
			c.recordsSent[m.Target] += len(m.Message.Updates)
			c.fullSyncs[m.Target] = c.fullSyncs[m.Target] || m.Message.FullSync
			c.unacked = append(c.unacked, pendingAck{c.registry.now + ackDelay, m.Target, m.Message.Seq})
		}
	}
	return sent
}

// runUntil advances the clock to the time until, in steps of 10 ms. The acknowledgement of each message is delivered after
// ackDelay.
func (c *upstreamFixture) runUntil(until time.Duration, ackDelay time.Duration) {
	for now := c.registry.now; now <= until; now += 10 * time.Millisecond {
		c.registry.Tick(now)
		pending := c.unacked
		c.unacked = nil
		for _, ack := range pending {
			if ack.dueAt <= now {
				c.registry.Receive(ack.to, Message{Acks: []uint64{ack.seq}})
			} else {
				c.unacked = append(c.unacked, ack)
			}
		}
		c.takeMessages(ackDelay)
	}
}

// TestFullSyncsAreBounded guards against a node that syncs all of its new followers at once. On a busy machine, each follower
// received its records so late that the follower timed out and requested all records from another node. With 300 nodes, the
// nodes served no requests for half a minute.
func TestFullSyncsAreBounded(t *testing.T) {
	const backends, followers = 1000, 100
	c := newUpstreamFixture(backends, followers, sameZone)
	must.LessEq(t, maxFullSyncs*maxInFlight*maxUpdatesPerMessage, c.takeMessages(time.Hour)) // no follower acknowledges
	c = newUpstreamFixture(backends, followers, sameZone)
	c.runUntil(4*time.Second, 10*time.Millisecond)
	for s := range followers {
		must.True(t, c.fullSyncs[Slot(s+1)])
		must.Eq(t, backends, c.recordsSent[Slot(s+1)]) // each record once
	}
}

// TestLateAcksCauseFewResends guards against repeated resends of messages that are acknowledged late. Such resends added load
// to a node that was already busy.
func TestLateAcksCauseFewResends(t *testing.T) {
	const backends, followers = 1000, 100
	c := newUpstreamFixture(backends, followers, sameZone)
	sent := func() (n int) {
		for _, x := range c.recordsSent {
			n += x
		}
		return n
	}
	c.runUntil(90*time.Second, 800*time.Millisecond)
	for s := range followers {
		must.GreaterEq(t, backends, c.recordsSent[Slot(s+1)])
	}
	// With a resend every 300 ms, the node sent 3.7 times as many records.
	must.LessEq(t, 2*backends*followers, sent())
}

// TestLostFollowersEndTheirFullSyncs guards against full syncs of lost followers that count as running forever. A full sync
// must end when its follower is lost, and the next queued full sync must then start.
func TestLostFollowersEndTheirFullSyncs(t *testing.T) {
	c := newUpstreamFixture(1000, 2*maxFullSyncs, sameZone)
	c.takeMessages(time.Hour)
	nodes := []Node{{Slot: 0, ControlAddr: "c:1", Live: true, HasDisk: true}}
	for s := range 2 * maxFullSyncs {
		nodes = append(nodes, Node{Slot: Slot(s + 1), Live: s >= maxFullSyncs, Follows: s >= maxFullSyncs})
	}
	c.registry.SetNodes(nodes) // The followers that were synced first are lost.
	c.unacked = nil
	c.runUntil(4*time.Second, 10*time.Millisecond)
	for s := maxFullSyncs; s < 2*maxFullSyncs; s++ {
		must.Eq(t, 1000, c.recordsSent[Slot(s+1)])
	}
}

// TestIdlePeersAreNotVisited guards against a cost of inputs that grows with the number of peers. Next must check only the
// peers to which something is to be sent or which have not acknowledged a message. When Next checked all peers, a heartbeat
// cost three times as much with 300 nodes as with 100.
func TestIdlePeersAreNotVisited(t *testing.T) {
	c := newUpstreamFixture(100, 50, sameZone)
	c.takeMessages(time.Hour)
	must.SliceNotEmpty(t, c.registry.activePeers)
	for range 20 {
		pending := c.unacked
		c.unacked = nil
		for _, ack := range pending {
			c.registry.Receive(ack.to, Message{Acks: []uint64{ack.seq}})
		}
		c.takeMessages(time.Hour)
	}
	must.SliceEmpty(t, c.registry.activePeers)
	must.True(t, c.registry.HasReadyBackend())
	c.registry.Deregister("i-7") // The departure is sent to all followers.
	c.takeMessages(time.Hour)
	must.SliceLen(t, 50, c.registry.activePeers)
	// All followers are removed.
	c.registry.SetNodes([]Node{{Slot: 0, ControlAddr: "c:1", Live: true, HasDisk: true}})
	must.SliceEmpty(t, c.registry.activePeers)
	must.False(t, New(0, Config{}, 0).HasReadyBackend())
}

// TestFullSyncSendsOwnZoneFirst guards against a long start-up after the loss of all nodes. On slow links, hundreds of
// followers waited until all records of hundreds of backends had arrived. A follower can serve requests with the backends of
// its zone alone. These backends must be sent to all waiting followers before further full syncs start. The limit
// maxFullSyncs applies to the syncs of a zone too.
func TestFullSyncSendsOwnZoneFirst(t *testing.T) {
	const zones, backends, followers = 6, 600, 4 * maxFullSyncs
	zone := func(i int) string { return fmt.Sprint("zone-", i%zones) }
	c := newUpstreamFixture(backends, followers, zone)
	inZone, sent := map[Slot]map[string]bool{}, map[Slot]map[string]bool{}
	for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
		c.registry.Tick(now)
		for a, ok := c.registry.Next(); ok; a, ok = c.registry.Next() {
			m, isSend := a.(Send)
			if !isSend || m.Message.Seq == 0 {
				continue
			}
			if inZone[m.Target] == nil {
				inZone[m.Target], sent[m.Target] = map[string]bool{}, map[string]bool{}
			}
			for _, record := range m.Message.Updates {
				sent[m.Target][record.ID] = true
				if record.Zone == zone(int(m.Target)-1) {
					inZone[m.Target][record.ID] = true
				}
			}
			if m.Message.FullSync {
				c.fullSyncs[m.Target] = true
			}
			c.unacked = append(c.unacked, pendingAck{now, m.Target, m.Message.Seq})
		}
		if len(c.fullSyncs) > maxFullSyncs { // The first full syncs are not checked, because no zone sync was queued ahead of them.
			must.MapLen(t, followers, inZone)
			for s := range inZone {
				must.MapLen(t, backends/zones, inZone[s],
					must.Sprintf("all backends of a follower's zone must be sent before further full syncs start: follower=%d time=%v", s, now))
			}
		}
		for _, ack := range c.unacked {
			c.registry.Receive(ack.to, Message{Acks: []uint64{ack.seq}})
		}
		c.unacked = nil
	}
	for s := range followers {
		must.MapLen(t, backends, sent[Slot(s+1)])
	}
}
