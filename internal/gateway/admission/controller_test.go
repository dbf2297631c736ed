package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// free is a quota that limits nobody.
func free() *control.Quota {
	return control.NewQuota(1, 0, 1, 0, control.QuotaTerms{Gap: 200 * ms, ViewLife: time.Second,
		DatagramsPerSecond: 100})
}

// desk is one office with a hand-driven host.
type desk struct {
	*Controller
	t    *testing.T // where it is set
	now  time.Duration
	seen []control.Decision // but wake-ups and notes
}

func newDesk(call Call, backends int) *desk { return newSeededDesk(1, call, backends) }

func newSeededDesk(seed int64, call Call, backends int) *desk {
	d := &desk{Controller: New(seed, Terms{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 64, Nodes: 2},
		free(), 0)}
	call.Targets = []Target{{1, 1}}
	d.SetCall(1, call)
	d.list(control.Ready, 1, backends)
	d.at(30 * time.Second) // tokens have come in
	return d
}

func (d *desk) list(state control.BackendState, from, to int) {
	for i := from; i <= to; i++ {
		d.ListChanged(false, []control.Listing{{ID: control.BackendID(i), State: state, Size: 4, Service: 1}})
	}
}

// at goes there in turns, as a host does that is woken.
func (d *desk) at(t time.Duration) {
	for d.now < t {
		d.now = min(d.now+10*ms, t)
		d.turn()
	}
}

func (d *desk) turn() {
	d.Now(d.now)
	for x, ok := d.Next(); ok; x, ok = d.Next() {
		if x.Verb != control.Wake && x.Verb != control.Note {
			d.seen = append(d.seen, x)
		}
	}
}

func (d *desk) take(id control.TxnID) {
	d.TxnTaken(control.Txn{ID: id, Product: 1, Units: 1, Expiry: d.now + 10*time.Second})
	d.turn()
}

// ends ends what was sent last.
func (d *desk) ends(how control.Ending, over bool) {
	x := d.last()
	d.SubmissionEnded(x.Txn, d.txns[x.Txn].nr-1, x.Backend, how, over, 50*ms, nil)
	d.turn()
}

func (d *desk) last() control.Decision { return d.seen[len(d.seen)-1] }

var pure = Call{Aim: 400 * ms, Deadline: 1500 * ms, MaxTries: 2}
var bid = Call{Effectful: true, Aim: 400 * ms, Deadline: 1500 * ms, MaxTries: 2}

func TestEnds(t *testing.T) {
	must.MapLen(t, 4*(int(control.NotSent)+1), ends)
	for k, e := range ends {
		unrun := k.how == control.Full || k.how == control.Unreachable || k.how == control.NotSent
		must.Eq(t, !unrun, e.ran)
		if k.begun || k.how == control.Settled {
			must.Eq(t, given, e.answer)
			must.False(t, e.elsewhere)
		} else {
			must.Eq(t, unrun, e.answer == declined) // a refusal is a promise that it has not run
			must.Eq(t, unrun || !k.effectful, e.elsewhere)
		}
		// And so does the office, with the last try left and with none.
		call := map[bool]Call{false: pure, true: bid}[k.effectful]
		for call.MaxTries = 1; call.MaxTries <= 2; call.MaxTries++ {
			d := newDesk(call, 3)
			d.take(1)
			must.Eq(t, control.Submit, d.last().Verb)
			first := d.last().Backend
			d.ends(k.how, k.begun || k.how == control.Settled)
			x := d.last()
			switch {
			case e.answer == given:
				must.Len(t, 1, d.seen)
			case e.elsewhere && (call.MaxTries == 2 || !e.arrived) && k.how != control.TimedOut:
				must.Eq(t, control.Submit, x.Verb)
				must.NotEq(t, first, x.Backend)
				d.ends(control.Full, false)
				must.Eq(t, e.ran, d.last().Verb == control.Void)
			case e.answer == declined:
				must.Eq(t, control.Decline, x.Verb)
			default:
				must.Eq(t, control.Void, x.Verb)
			}
			must.Eq(t, len(d.txns), d.services[0].holds)
		}
	}
}

// However many are turned away, what goes out again in any window keeps to the rule, and a new start has
// nothing.
func TestBudget(t *testing.T) {
	const nodes, window = 4, 10 * time.Second
	b := make([]budget, nodes)
	for i := range b {
		b[i].window = window
	}
	var firsts, again [120]float64 // by second
	for now := time.Duration(0); now < 120*time.Second; now += 10 * ms {
		for i := range b {
			b[i].turn(now, dripPart*64/nodes)
			if s := int(now.Seconds()); s%40 > 25 || now%(500*ms) == 0 { // bursts, and a trickle between them
				b[i].earn(earnPart * 0.2)
				firsts[s]++
			}
			for s := int(now.Seconds()); (s%20 > 8) && b[i].spend(); { // saved up, then all at once
				again[s]++
			}
			if now == 66*time.Second {
				b[i] = budget{window: window, at: now, nr: int64(now / (window / parts))}
				must.False(t, b[i].spend())
			}
		}
	}
	sum := func(of [120]float64, from int) (n float64) {
		for s := max(from, 0); s < min(from+10, 120); s++ {
			n += of[s]
		}
		return n
	}
	all := 0.0
	for s := range 120 {
		requests := max(sum(firsts, s), sum(firsts, s-5), sum(firsts, s-10))
		must.LessEq(t, 0.2*requests+64, sum(again, s))
		all += again[s]
	}
	must.Greater(t, 100, all) // and it is of use
}

// A storm of sheds ends in refusals once the budget is used up, whatever the seed: how many are sent at all before the backends are left alone
// goes by chance. Every send is counted, also of requests that waited for a backend first.
func TestStorm(t *testing.T) {
	const seeds = 12
	sent := 0
	for seed := range int64(seeds) {
		d := newSeededDesk(seed+1, pure, 40)
		firsts, again, looked := map[control.TxnID]bool{}, 0, 0
		shed := func() {
			for ; looked < len(d.seen); looked++ {
				x := d.seen[looked]
				if x.Verb != control.Submit {
					continue
				}
				if firsts[x.Txn] {
					again++
				}
				firsts[x.Txn] = true
				d.SubmissionEnded(x.Txn, d.txns[x.Txn].nr-1, x.Backend, control.Full, false, 50*ms, nil)
				d.turn()
			}
		}
		for id := control.TxnID(1); id <= 2000; id++ {
			d.take(id)
			shed()
			d.at(d.now + 2*ms)
			shed()
		}
		d.at(d.now + time.Second)
		must.LessEq(t, 0.1*float64(len(firsts))+2*dripPart*64/2, float64(again))
		must.MapLen(t, d.services[0].balancer.Out(), d.txns)
		sent += len(firsts)
	}
	must.Greater(t, 50*seeds, sent)
}

func TestDeadline(t *testing.T) {
	d := newDesk(bid, 1)
	from := d.now
	d.take(1)
	must.Eq(t, 1500*ms-margin, d.last().Limit)
	d.at(from + 1490*ms)
	must.Len(t, 1, d.seen)
	d.at(from + 1500*ms)
	must.Eq(t, []control.Verb{control.Submit, control.Void, control.Recall}, d.verbs())
	must.Eq(t, LackTime, d.seen[1].Why)
	must.MapLen(t, 1, d.txns) // its end is still to come
	d.SubmissionEnded(1, 0, 1, control.CalledOff, true, 1500*ms, nil)
	must.MapEmpty(t, d.txns)
}

func (d *desk) verbs() (all []control.Verb) {
	for _, x := range d.seen {
		all = append(all, x.Verb)
	}
	return all
}

// After a standstill nothing is sent whose time is over.
func TestStandstill(t *testing.T) {
	d := newDesk(pure, 1)
	d.TxnTaken(control.Txn{ID: 1, Product: 1, Expiry: d.now + 1500*ms})
	d.TxnTaken(control.Txn{ID: 2, Product: 1, Expiry: d.now + 60*time.Second})
	d.calls[1].Deadline = 0
	d.TxnTaken(control.Txn{ID: 3, Product: 1, Expiry: d.now + 60*time.Second})
	d.now += 2 * time.Second
	d.turn()
	must.Eq(t, []control.Verb{control.Decline, control.Decline, control.Submit}, d.verbs())
	must.Eq(t, d.now, d.stallTo)
}

// What all backends have enough for waits by rank for a bounded time; one that drains gets nothing new, and
// what is out there goes on.
func TestLine(t *testing.T) {
	d := newDesk(pure, 1)
	low := pure
	low.Priority, low.Targets = 5, []Target{{1, 1}}
	d.SetCall(2, low)
	id := control.TxnID(1)
	for d.take(id); d.last().Txn == id; d.take(id) {
		id++
	}
	d.TxnTaken(control.Txn{ID: 100, Product: 2, Expiry: d.now + time.Minute})
	d.take(101)
	d.seen = d.seen[:1]
	d.SubmissionEnded(1, 0, 1, control.Settled, true, 50*ms, nil) // proven now: it gets more
	d.turn()
	for i, want := range []control.TxnID{1, id, 101, 100} {
		must.Eq(t, want, d.seen[i].Txn)
	}
	d.list(control.Draining, 1, 1)
	d.take(200)
	from := d.now
	d.at(from + 60*ms)
	must.Eq(t, 100, d.last().Txn)
	d.at(from + 100*ms)
	must.Eq(t, control.Decline, d.last().Verb)
	must.Eq(t, 200, d.last().Txn)
	must.Greater(t, 0, d.last().Limit)
	d.SubmissionEnded(101, 0, 1, control.Settled, true, 50*ms, nil)
	must.MapLen(t, d.services[0].balancer.Out(), d.txns)
}

// A request beyond its quota is refused at once, with the time after which there is some.
func TestQuota(t *testing.T) {
	d := newDesk(pure, 3)
	d.meter.(*control.Quota).SetLimit(7, 1, 2)
	d.at(d.now + 5*time.Second)
	for id := control.TxnID(1); id <= 3; id++ {
		d.TxnTaken(control.Txn{ID: id, Product: 1, Customer: 7, Units: 1, Expiry: d.now + time.Minute})
		d.turn()
	}
	must.Eq(t, []control.Verb{control.Submit, control.Submit, control.Decline}, d.verbs())
	must.Eq(t, LackUnits, d.last().Why)
	must.Between(t, 500*ms, d.last().Limit, 1001*ms)
}

// A backend that owes answers for long, while others answer, is given up by what may run twice.
func TestDead(t *testing.T) {
	d := newDesk(pure, 2)
	for id := control.TxnID(1); id <= 60; id++ { // backend 1 is silent
		d.take(id)
		if d.last().Verb == control.Submit && d.last().Txn == id && d.last().Backend == 2 {
			d.at(d.now + 20*ms)
			d.SubmissionEnded(id, 0, 2, control.Settled, true, 20*ms, nil)
		}
	}
	recalls := 0
	for _, x := range d.seen {
		if x.Verb == control.Recall {
			recalls++
		}
	}
	must.Greater(t, 0, recalls)
}

var _ Meter = (*control.Quota)(nil)

// Ids come round: what was asked for at a time for a request that is long gone does nothing to the one that has its id now.
func TestExpiryOfFormerLife(t *testing.T) {
	d := newDesk(Call{Effectful: true, Aim: time.Second, MaxTries: 1}, 1)
	d.take(7) // expires in 10 s
	d.turn()
	d.SubmissionEnded(7, 0, 1, control.Settled, true, ms, nil)
	d.at(d.now + 9*time.Second)
	d.take(7)
	d.turn()
	d.seen = nil
	d.at(d.now + 5*time.Second)
	must.SliceEmpty(t, d.seen)
	d.at(d.now + 6*time.Second)
	must.Eq(t, control.Void, d.seen[0].Verb)
}

// Parts of a route get the share of their weights within few requests, over all nodes together and while configurations come and go; a part
// without backends leaves its share to the others. Guards against shares left to chance, which is off by 0.05 or more in one of twelve
// times 300 requests.
func TestWeightsAreKept(t *testing.T) {
	const nodes, each = 12, 25
	for _, weights := range [][]int{{50, 50}, {90, 10}, {1, 2, 3}, {97, 3}} {
		sum, got := 0, map[control.ServiceID]int{}
		for _, w := range weights {
			sum += w
		}
		for n := range nodes {
			o := New(int64(n), Terms{RetryRatio: 0.2, RetryWindow: 10 * time.Second, Nodes: nodes}, free(), 0)
			call := Call{Deadline: time.Second}
			for i, w := range weights {
				id := control.ServiceID(i + 1)
				call.Targets = append(call.Targets, Target{id, w})
				o.ListChanged(false, []control.Listing{{ID: control.BackendID(id), State: control.Ready, Size: 4, Service: id}})
			}
			for i := range each {
				if i%4 == 0 {
					o.SetCall(1, call)
				}
				got[o.chooseService(o.calls[1]).id]++
			}
		}
		for i, w := range weights {
			share := float64(got[control.ServiceID(i+1)]) / (nodes * each)
			must.Between(t, float64(w)/float64(sum)-0.02, share, float64(w)/float64(sum)+0.02, must.Sprint(weights, got))
		}
	}
	o := New(1, Terms{Nodes: 1}, free(), 0)
	o.SetCall(1, Call{Targets: []Target{{1, 50}, {2, 50}}})
	o.ListChanged(false, []control.Listing{{ID: 2, State: control.Ready, Size: 4, Service: 2}})
	for range 20 {
		must.Eq(t, 2, o.chooseService(o.calls[1]).id)
	}
}
