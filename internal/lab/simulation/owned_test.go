package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/replication"
)

// What a node hands to its links and to its disk it changes no more: these have goroutines of their own, and write it when they
// come to it. Days with leaders that change, members that are replaced, and whole states that travel.
func TestWhatIsHandedOverIsLeftAlone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1) {
		d := DrawHard(Site{Nodes: 5, Disks: 3}, 500+seed, 5, 4*time.Second)
		d.checkOwnership = true
		for _, b := range Play(d).Broken {
			t.Errorf("seed %d: %s", 500+seed, b)
		}
	}
}

// A frame that its sender changes while it waits for its link is told.
func TestOwnersAreWatched(t *testing.T) {
	w := newWorld(&Day{Site: Site{Nodes: 3, Disks: 3}.Usual(), Seed: 1, checkOwnership: true})
	entries := []replication.WireEntry{{Index: 1, Data: []byte("a")}, {Index: 2, Data: []byte("b")}}
	look := w.watchUnchanged("node-0", &node.Frame{Core: &node.CoreMessage{Message: replication.WireMessage{Entries: entries}}})
	look()
	must.SliceEmpty(t, w.broken)
	entries[1].Data = []byte("c") // as a log does that cuts its end off and grows again in place
	look()
	must.SliceLen(t, 1, w.broken)
	must.Eq(t, "OWNER", w.broken[0].Rule)
}
