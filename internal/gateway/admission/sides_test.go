package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// odd sends requests with odd numbers to the new version.
type odd struct{ told []Compared }

func (s *odd) Begin(id control.TxnID, _ control.ProductID, service control.ServiceID) Began {
	return Began{Number: 7, Side: rollout.Side(id % 2), Counts: true, Tenant: uint32(service)}
}
func (s *odd) Ended(e Compared) { s.told = append(s.told, e) }

const firstNew = 11 // backends from here on are of the new version

func newSides(call Call, old, new int) (*desk, *odd) {
	d, s := newDesk(call, old), &odd{}
	d.SetSides(s)
	d.listNew(control.Ready, new)
	d.SetRollout(1, 2, Shared)
	return d, s
}

func (d *desk) listNew(state control.BackendState, n int) {
	for i := range n {
		d.ListChanged(false, []control.Listing{{ID: control.BackendID(firstNew + i), State: state, Size: 4, Service: 2}})
	}
}

func (d *desk) isNew(what string) bool {
	d.t.Helper()
	must.Eq(d.t, control.Submit, d.last().Verb, must.Sprint(what))
	return d.last().Backend >= firstNew
}

// Where a first submission goes, and where a further one: to the old version, to the new one only from there and where the old
// has nobody; never from old to new. Only first ones are told.
func TestSides(t *testing.T) {
	d, s := newSides(pure, 3, 3)
	d.t = t
	d.take(1)
	must.True(t, d.isNew("first, new"))
	d.ends(control.Errored, false)
	must.False(t, d.isNew("again, from new"))
	d.ends(control.Settled, true)
	d.take(2)
	must.False(t, d.isNew("first, old"))
	d.ends(control.Errored, false)
	must.False(t, d.isNew("again, from old"))
	d.ends(control.Settled, true)
	must.SliceLen(t, 2, s.told)
	must.Eq(t, Compared{Began: Began{7, rollout.New, true, 1}, Service: 1, Kind: 1, At: s.told[0].At, Ending: control.Errored,
		Took: 50 * ms}, s.told[0])
	must.Eq(t, rollout.Old, s.told[1].Side)

	d.list(control.Gone, 1, 3)
	d.take(3)
	must.True(t, d.isNew("new, with no old"))
	d.ends(control.Errored, false)
	must.True(t, d.isNew("again, with no old"))
	d.ends(control.Settled, true)
	d.take(4)
	d.at(d.now + time.Second)
	must.Eq(t, control.Decline, d.last().Verb) // old, with no old

	d.list(control.Ready, 1, 1)
	d.listNew(control.Gone, 3)
	n := len(s.told)
	d.take(5)
	must.False(t, d.isNew("new, with no new"))
	d.ends(control.Errored, false)
	must.SliceLen(t, n, s.told) // that is no verdict
	must.Eq(t, control.Void, d.last().Verb)
}

// At a pull-back what waits for the new version goes to the old one; what was sent there ends as it may, and what did not run
// goes on at the old one.
func TestPullBack(t *testing.T) {
	d, s := newSides(bid, 5, 1)
	defer func() { must.SliceLen(t, 1, s.told) }() // the one that was sent there and ended
	d.t = t
	id := control.TxnID(1)
	for d.take(id); d.last().Txn == id; d.take(id) {
		id += 2
	}
	must.Greater(t, 1, id)
	d.SetRollout(1, 2, Shut)
	d.turn()
	must.Eq(t, id, d.last().Txn)
	must.False(t, d.isNew("waited"))
	d.ends(control.Settled, true)
	d.SubmissionEnded(1, 0, firstNew, control.Full, false, 50*ms, nil) // it has not run
	d.turn()
	must.Eq(t, 1, d.last().Txn)
	must.False(t, d.isNew("turned away"))
	d.take(101)
	must.False(t, d.isNew("pulled back"))
	d.list(control.Gone, 1, 5)
	d.take(103)
	d.at(d.now + time.Second)
	must.Eq(t, control.Decline, d.last().Verb) // not even where there is nobody else
	d.SetRollout(1, 2, Spare)
	d.listNew(control.Ready, 2)
	d.take(105)
	must.True(t, d.isNew("spare"))
}

// One that finds the new version short of room waits for it, and then goes to the old one instead of nowhere.
func TestShortOfRoom(t *testing.T) {
	d, s := newSides(pure, 3, 1)
	d.t = t
	id := control.TxnID(1)
	for d.take(id); d.last().Txn == id; d.take(id) {
		id += 2
	}
	d.at(d.now + 100*ms)
	must.Eq(t, id, d.last().Txn)
	must.False(t, d.isNew("no room"))
	d.ends(control.Errored, false)
	must.SliceEmpty(t, s.told) // it did not end on its own side
}

// Whatever comes in whatever order: nothing of the old side is sent to the new version, nothing at all while that is shut, and
// the budget of further tries is one.
func TestNeverFromOldToNew(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		d, _ := newSides(map[bool]Call{true: pure, false: bid}[seed%2 == 0], 3, 3)
		open, id := Shared, control.TxnID(0)
		out := map[control.TxnID]control.Decision{}
		nr := map[control.TxnID]int{}
		sent := map[bool]int{}
		for range 600 {
			switch rng.Intn(8) {
			case 0:
				open = Open(rng.Intn(2)) * Shared
				d.SetRollout(1, 2, open)
			case 1:
				d.list(control.BackendState(rng.Intn(2)), 1, 3)
			case 2:
				d.listNew(control.BackendState(rng.Intn(2)), 3)
			case 3, 4:
				id++
				d.take(id)
			default:
				for i, x := range out {
					delete(out, i)
					how := control.Ending(rng.Intn(int(control.NotSent)))
					d.SubmissionEnded(i, nr[i]-1, x.Backend, how, how == control.Settled, 20*ms, nil)
					break
				}
			}
			d.at(d.now + 10*ms)
			for _, x := range d.seen {
				if x.Verb != control.Submit {
					continue
				}
				isNew := x.Backend >= firstNew
				must.False(t, isNew && (x.Txn%2 == 0 || open == Shut), must.Sprint(seed, " ", x))
				sent[isNew]++
				out[x.Txn] = x
				nr[x.Txn]++
			}
			d.seen = nil
		}
		must.Positive(t, sent[true])
		must.Positive(t, sent[false])
		must.True(t, d.service(1).budget == d.service(2).budget)
	}
}
