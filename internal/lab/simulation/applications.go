package simulation

import (
	"math/rand/v2"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/history"
	"clovergap/internal/lab/callers"
	"clovergap/internal/lab/callhistory"
)

// applications are the callers of coordination on a day that has some, and what they saw. Like clients they stand outside of all cuts.
type applications struct {
	world   *world
	rng     *rand.Rand
	callers *callers.Callers
	history []*callhistory.Record
}

const (
	callTimeout            = time.Second     // after which a caller turns elsewhere
	lockExpiryTimeout      = 8 * time.Second // by then all locks are free that nobody asks more time for
	auditTimeout           = 5 * time.Second
	linearizabilityTimeout = 20 * time.Second // of real time, for the linearizability of a name
	ruleOfCall             = "Call"           // what a day names them by, before the rule's own name
)

// beginApplications has the day's callers begin.
func (w *world) beginApplications() {
	if w.day.Callers == 0 {
		return
	}
	a := &applications{world: w, rng: source(w.day.Seed, 0xca11)}
	w.applications = a
	a.callers = callers.Start(a, a.rng, callers.Config{Lockers: w.day.Callers, MaxWatcherPause: w.machines[0].settings.Bounds.WatchHistory / 4})
}

// endApplications has them end, asks for all once more, and judges what they saw.
func (w *world) endApplications(r *Result) {
	a := w.applications
	if a == nil {
		return
	}
	a.callers.Stop()
	w.until(w.now+lockExpiryTimeout, nil)
	a.callers.Audit()
	w.until(w.now+auditTimeout, nil)
	r.Calls = len(a.history)
	for _, x := range a.history {
		if x.IsDefinite() {
			r.ClearCalls++
		}
	}
	wrong := callhistory.Check(a.history, callhistory.Config{HistoryRetention: w.machines[0].settings.Bounds.WatchHistory})
	illegal, undecided := callhistory.Linearizable(a.history, linearizabilityTimeout)
	r.Undecided = len(undecided)
	for _, v := range append(wrong, illegal...) {
		w.broken = append(w.broken, history.Violation{Rule: ruleOfCall + " " + string(v.Rule), Time: w.now, Who: "application", What: v.Text})
	}
	for _, m := range a.callers.UnansweredAuditCalls() {
		w.broken = append(w.broken, history.Violation{Rule: ruleOfCall + " " + string(callhistory.RuleLost), Time: w.now, Who: "application", What: m})
	}
}

// Now and the others are callers.Environment.
func (a *applications) Now() time.Duration                  { return a.world.now }
func (a *applications) After(wait time.Duration, do func()) { a.world.after(wait, do) }

// Call sends a call to a node and waits for its answer: a second, and as long as a watch waits.
func (a *applications) Call(caller string, c coordination.Call, then func(*callhistory.Record)) {
	w := a.world
	r := &callhistory.Record{Caller: caller, Call: c, Sent: w.now, Ended: callhistory.Never}
	a.history = append(a.history, r)
	told := false
	tell := func() {
		if !told {
			told = true
			then(r)
		}
	}
	w.after(callTimeout+c.Timeout, tell)
	m := w.machines[a.rng.IntN(len(w.machines))]
	if m.poweredOff {
		return
	}
	way := span(a.rng, 500*time.Microsecond, 2*time.Millisecond)
	w.after(way, func() {
		p := m.process
		if p == nil || p.upstreams.stoppedListening {
			w.after(way, tell)
			return
		}
		p.turn(func() {
			w.turnKind = "applications"
			p.node.Coordinate(c, p.InputDelay(), func(answer coordination.Result) {
				w.after(way, func() {
					if told || p.ended {
						tell()
						return
					}
					if r.Result = answer; answer.Status != coordination.StatusAmbiguous {
						r.Ended = w.now
					}
					tell()
				})
			})
		})
	})
}
