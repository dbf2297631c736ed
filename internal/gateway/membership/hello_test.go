package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a lost hello that is not sent again. When hellos were sent only once per link, two of three members never sent a
// hello to a node that had lost power. The node then followed the third member even after that member had stopped making progress
// (incident mvk-anadolu 7). Whichever hellos are lost, each of two linked nodes must learn the other's current description, and must
// then send no more hellos.
func TestLostHelloIsRepeated(t *testing.T) {
	// Each of the first hellos, counted over both nodes together, is delivered or lost. hellos is the number of these hellos. Bit i of
	// lost is 1 if hello i+1 is lost. The count starts again when the description of the node "disk" changes.
	const hellos = 5
	for lost := range 1 << hellos {
		now := time.Minute
		node := New(Node{Addr: "node", Incarnation: 2}, Config{Seeds: []string{"disk"}}, now)
		disk := New(Node{Addr: "disk", Disk: 7, Bootstrapped: true, Incarnation: 9}, Config{Seeds: []string{"disk"}}, now)
		disk.HandleHello("node", Hello{Node: Node{Addr: "node", Incarnation: 1}}) // from the earlier incarnation of node
		takeActions(disk)
		node.LinkUp("disk")
		disk.LinkUp("node")
		sent, last := 0, time.Duration(0)
		deliverHellos := func(from, to *Roster) {
			for _, a := range takeActions(from) {
				if a.Kind != SendHello || a.Addr != to.self.Addr {
					continue
				}
				h := from.HelloTo(to.self.Addr)
				sent, last = sent+1, now
				if sent > hellos || lost>>(sent-1)&1 == 0 {
					to.HandleHello(from.self.Addr, h)
				}
			}
		}
		changes := now + 10*time.Second
		for end := now + 20*time.Second; now < end; now += refreshInterval {
			if now == changes {
				sent = 0 // the bits of lost apply again, to the hellos after the change
				disk.SetCluster(8, 3)
			}
			for _, r := range []*Roster{node, disk} {
				r.Tick(now)
				r.FrameReceived(map[*Roster]string{node: "disk", disk: "node"}[r]) // other frames keep both nodes reachable
			}
			deliverHellos(node, disk)
			deliverHellos(disk, node)
		}
		must.True(t, node.IsLive("disk"), must.Sprintf("lost hellos %05b (lowest bit: first hello)", lost))
		must.Eq(t, disk.self, node.peers["disk"].Node, must.Sprintf("lost hellos %05b (lowest bit: first hello)", lost))
		must.Eq(t, node.self, disk.peers["node"].Node, must.Sprintf("lost hellos %05b (lowest bit: first hello)", lost))
		must.LessEq(t, hellos+4, sent)
		must.Less(t, changes+(hellos+3)*helloInterval, last) // after this time no hello is sent
	}
}

// Guards against unlimited repeats of hellos. A peer whose version does not acknowledge hellos gets a limited number of repeats. A
// peer that has acknowledged this node's description gets none.
func TestHelloRepeatsAreBounded(t *testing.T) {
	me := Node{Addr: "disk", Disk: 7, Incarnation: 7, Bootstrapped: true}
	for _, acknowledged := range []uint64{0, me.fingerprint()} {
		now := time.Minute
		r := New(me, Config{Seeds: []string{"disk"}}, now)
		r.HandleHello("node", Hello{Node: Node{Addr: "node", Incarnation: 1}, Acknowledged: acknowledged})
		r.LinkUp("node")
		sent := countActions(takeActions(r), SendHello, "node")
		must.Eq(t, 1, sent)
		for range 100 {
			now += refreshInterval
			r.Tick(now)
			r.FrameReceived("node")
			sent += countActions(takeActions(r), SendHello, "node")
		}
		must.Eq(t, map[uint64]int{0: 1 + maxHelloRepeats, me.fingerprint(): 1}[acknowledged], sent)
	}
}

// Guards against a change of a description that does not change its fingerprint, so that other nodes would not learn of the change.
func TestEveryFieldChangesFingerprint(t *testing.T) {
	seen := map[uint64]Node{}
	for incarnation := range uint64(4) {
		for disk := range DiskID(4) {
			for cluster := range uint64(4) {
				for flags := range 4 {
					n := Node{Incarnation: incarnation, Disk: disk, ClusterID: cluster, Bootstrapped: flags&1 > 0, Leaving: flags&2 > 0}
					other, twice := seen[n.fingerprint()]
					must.False(t, twice, must.Sprint(n, other))
					seen[n.fingerprint()] = n
				}
			}
		}
	}
	must.MapNotContainsKey(t, seen, 0)
}
