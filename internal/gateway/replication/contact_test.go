package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What is held against a member's word of contact, by an observer who sees all: what was acknowledged so long ago is
// committed here, and no view newer than the one that it names was led by then. A member that stands still says nothing; what
// it says when it wakes is judged by the time that it is.

// wakes tells a member the time before anything else.
func (w *cluster) wakes(i int) {
	if w.timed {
		w.places[i].p.Now(w.now)
	}
}

func (w *cluster) judgeContact() {
	if !w.timed {
		return
	}
	for _, s := range w.places {
		age, view, ok := s.p.Contact(w.now)
		if !ok {
			continue
		}
		for n, at := range w.ackedAt {
			if e := w.order[n]; at < w.now-age && e.Index > s.p.committed {
				w.fail("member %d is in contact since %v in view %d, and lacks %d of %v", s.disk.Me, w.now-age, view, e.Index, at)
			}
		}
	}
}

// timed lets time pass by steps, and by nothing else: nobody asks for a view before an hour of silence.
func timed(w *cluster) *cluster {
	for _, s := range w.places {
		s.p.terms.Patience = time.Hour
	}
	w.timed = true
	for range 2 { // the second brings clocks back
		w.now += time.Second
		w.heartbeat(0)
		w.settle()
	}
	return w
}

var contactScenarios = []scenario{
	{"an old leader, and answers that come late", func(f fault) *cluster {
		w := timed(newCluster(3, 0, f, budget{changes: 1, beats: 1, ticks: 2}))
		w.heartbeat(0)
		w.among([]int{0}, []int{1, 2})
		late := w.flight
		w.leads(1, 2)
		w.only(1, 2)
		w.syncs(2)
		w.flight = append(w.flight, late...)
		return w
	}, []fault{contactByReceipt, contactLeads}},
	{"a follower, and word that comes late", func(f fault) *cluster {
		w := timed(newCluster(3, 0, f, budget{changes: 1, ticks: 2}))
		w.heartbeat(0)
		late := w.flight
		w.leads(1, 0)
		w.only(1, 0)
		w.syncs(0)
		for _, m := range late {
			if m.s.To.ID == w.places[2].disk.Me {
				w.flight = append(w.flight, m)
			}
		}
		return w
	}, []fault{followByReceipt}},
	{"a new leader that does not know what was acknowledged", func(f fault) *cluster {
		w := timed(newCluster(3, 0, f, budget{ticks: 1, beats: 1})).propose()
		w.syncs(0)
		w.only(0, 1)
		w.syncs(1)
		w.only(1, 0) // acknowledged
		w.now += time.Second
		w.leads(1, 2)
		return w
	}, []fault{contactEarly}},
	{"a follower that lacks some", func(f fault) *cluster {
		w := timed(newCluster(3, 0, f, budget{ticks: 1, beats: 2})).propose()
		w.places[0].p.Propose(2, []byte("y"))
		w.pull(0)
		w.syncs(0)
		w.among([]int{0}, []int{1})
		w.syncs(1)
		w.among([]int{1}, []int{0})
		w.now += time.Second
		return w
	}, []fault{contactAhead}},
	{"a cut, a new view, a change", func(f fault) *cluster {
		return timed(newCluster(3, 0, f, budget{promises: 1, changes: 1, beats: 1, ticks: 2}))
	}, nil},
}

func TestContactInAllOrders(t *testing.T) { exploreAll(t, contactScenarios) }

type ack struct {
	at    time.Duration
	index uint64
}

// waits: what comes to a process that stands still is read when it goes on.
func (w *walk) waits(d *simNode, act func()) bool {
	if d.stands <= w.now {
		return false
	}
	w.at(d.stands-w.now, act)
	return true
}

func (w *walk) judgeContact(i int) {
	d := w.nodes[i]
	if d.p.role == leading && w.led[d.p.promise] == 0 {
		w.led[d.p.promise] = w.now
	}
	age, view, ok := d.p.Contact(w.now)
	if !ok {
		return
	}
	since := w.now - age
	for n := len(w.acks) - 1; n >= 0 && w.acks[n].at >= since-time.Minute; n-- {
		if a := w.acks[n]; a.at < since && a.index > d.index {
			w.fail("node %d is in contact since %v, and lacks %d of %v", i, since, a.index, a.at)
		}
	}
	for v, at := range w.led {
		if v > view && at < since {
			w.fail("node %d is in contact since %v by view %d, and %d was led at %v", i, since, view, v, at)
		}
	}
}

// chills lets processes stand still, and parts leaders from the others one way or both, for up to so long as votes need many times
// over; what stood in a process or on a link comes late.
func (w *walk) chills() {
	if w.calm {
		return
	}
	i := w.rng.Intn(len(w.nodes))
	if l := w.leader(); l >= 0 && w.rng.Intn(3) > 0 {
		i = l
	}
	switch w.rng.Intn(3) {
	case 0:
		w.nodes[i].stands = w.now + w.ms(4000)
	default:
		in, out := w.rng.Intn(2) == 0, w.rng.Intn(2) == 0
		for o := range w.nodes {
			if in || !out {
				w.cut[[2]int{o, i}] = true
			}
			if out || !in {
				w.cut[[2]int{i, o}] = true
			}
		}
		w.at(w.ms(5000), func() { clear(w.cut) })
	}
	w.at(w.ms(3000), w.chills)
}

func contactWalk(t *testing.T, seed int64, f fault) *walk {
	return troubled(t, seed, f, (*walk).chills, 30*time.Second)
}

// Nobody says that its word is newer than it is, whoever stands still or is not heard; ten calm seconds later all
// have word of a majority again, within a few heartbeats.
func TestContactOnWalks(t *testing.T) {
	for seed := range int64(maxStates(10_000) / 250) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := contactWalk(t, seed, sound)
			must.Eq(t, "", w.wrong)
			for i, d := range w.nodes {
				age, _, ok := d.p.Contact(w.now)
				must.True(t, ok && age < 5*DefaultTerms().Beat, must.Sprintf("node %d: %v %v", i, age, ok))
			}
		})
	}
}

func TestContactWalksFindFaults(t *testing.T) {
	walksFind(t, contactWalk, 200, contactByReceipt, followByReceipt, contactEarly, contactLeads)
}
