package coordination_test

import (
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/lab/callers"
	"clovergap/internal/lab/callhistory"
)

// day is a cluster with callers and faults, and what the callers saw.
type day struct {
	*cluster
	callers     *callers.Callers
	history     []*callhistory.Record
	faultsEnded bool
}

// newDay draws a day from a seed. knobs remove defences at all nodes.
func newDay(seed uint64, knobs coordination.TestingKnobs) *day {
	d := &day{cluster: newCluster(seed, 5, knobs)}
	d.callers = callers.Start(d, d.rng, callers.Config{Lockers: 6, MaxWatcherPause: testHistory, LongTTLs: true})
	d.after(300*ms, d.injectFault)
	return d
}

// Now and the others are callers.World.
func (d *day) Now() time.Duration                  { return d.now }
func (d *day) After(wait time.Duration, do func()) { d.after(wait, do) }

// play plays a day and the audit at its end, and returns the violations.
func (d *day) play(span time.Duration) (violations []callhistory.Violation) {
	d.runUntil(span)
	d.faultsEnded = true
	d.callers.Stop()
	d.runUntil(span + 25*time.Second)
	d.callers.Audit()
	d.runUntil(span + 35*time.Second)
	violations = callhistory.Check(d.history, callhistory.Config{HistoryRetention: testHistory})
	for _, m := range d.callers.Unanswered() {
		violations = append(violations, callhistory.Violation{Rule: callhistory.RuleLost, Text: m})
	}
	return violations
}

// injectFault draws a fault, and schedules the next one.
func (d *day) injectFault() {
	if d.faultsEnded {
		return
	}
	n := d.nodes[d.rng.IntN(len(d.nodes))]
	id := groups.GroupOf(callers.Names()[d.rng.IntN(len(callers.Names()))])
	if d.rng.IntN(2) == 0 {
		n = d.logs[id].leader
	}
	to := nodeAddress(d.rng.IntN(len(d.nodes)))
	switch d.rng.IntN(7) {
	case 0:
		d.makeLeader(id, d.nodes[d.rng.IntN(len(d.nodes))])
	case 1: // a leader is stopped, another one is elected meanwhile
		n.freeze(d.randomDuration(100*ms, 4*time.Second))
		d.after(d.randomDuration(0, 400*ms), func() {
			for id := range groups.ID(groups.Count) {
				if d.logs[id].leader == n && n.frozen {
					d.makeLeader(id, d.randomOther(n))
				}
			}
		})
	case 2:
		n.restart()
	case 3: // messages to a node are delayed
		late := []string{to, nodeAddress(d.logs[id].leader.index)}[d.rng.IntN(2)]
		n = d.nodes[d.rng.IntN(len(d.nodes))]
		n.delayedUntil[late] = d.now + d.randomDuration(100*ms, 3*time.Second)
	case 4:
		n.brokenLinks[to] = true
		n.service.PeerDisconnected(to)
		d.after(d.randomDuration(50*ms, 2*time.Second), func() { n.brokenLinks[to] = false })
	case 5:
		n.isolated = true
		d.after(d.randomDuration(100*ms, 2*time.Second), func() { n.isolated = false })
	case 6:
		for id := range groups.ID(groups.Count) {
			d.makeLeader(id, d.nodes[d.rng.IntN(len(d.nodes))])
		}
	}
	d.after(d.randomDuration(50*ms, 1500*ms), d.injectFault)
}

// Call sends a call to a node and records its end. done is called once: with a record that has ended, or with one that the caller gave up.
func (d *day) Call(caller string, c coordination.Call, done func(*callhistory.Record)) {
	r := &callhistory.Record{Caller: caller, Call: c, Sent: d.now, Ended: callhistory.Never}
	d.history = append(d.history, r)
	isDone := false
	end := func() {
		if !isDone {
			isDone = true
			done(r)
		}
	}
	n := d.nodes[d.rng.IntN(len(d.nodes))]
	incarnation := n.incarnation
	d.after(d.randomDuration(ms/2, 2*ms), func() {
		if n.incarnation != incarnation {
			end()
			return
		}
		n.runTurn(func() {
			n.service.Submit(c, func(result coordination.Result) {
				d.after(d.randomDuration(ms/2, 2*ms), func() {
					if isDone || n.incarnation != incarnation || d.rng.IntN(50) == 0 && !d.faultsEnded { // the connection is reset
						end()
						return
					}
					r.Result, r.Ended = result, d.now
					if result.Status == coordination.StatusAmbiguous {
						r.Ended = callhistory.Never
					}
					end()
				})
			})
		})
	})
	d.after(time.Second+c.Timeout, end)
	if d.rng.IntN(15) == 0 && !d.faultsEnded { // the connection is reset while the call is under way
		d.after(d.randomDuration(0, 60*ms), end)
	}
}
