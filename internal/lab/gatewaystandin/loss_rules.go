package gatewaystandin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"clovergap/internal/history"
)

// planned is all planned work of a history, and what unplanned trouble there was beside it.
type planned struct {
	terminations map[string][]time.Duration // SIGTERMs, by node
	reloads      map[string][]time.Duration // SIGHUPs, by node
	faults       [][2]time.Duration         // unplanned, from and to
}

// newPlanned reads it from a history. A node's end is planned if it was told to end, and that in its time.
func newPlanned(h []history.Event, c *calm) *planned {
	p := &planned{terminations: map[string][]time.Duration{}, reloads: map[string][]time.Duration{}}
	for _, e := range h {
		switch e.Kind {
		case Terminates:
			p.terminations[e.Who] = append(p.terminations[e.Who], e.Time)
		case Reloads:
			p.reloads[e.Who] = append(p.reloads[e.Who], e.Time)
		case Crashed:
			if e.What != inOrder {
				p.faults = append(p.faults, [2]time.Duration{e.Time, e.Time})
			}
		}
	}
	isDown := func(e history.Event) bool { return e.Kind == history.Down || e.Kind == history.Up }
	downs := slices.DeleteFunc(slices.Clone(h), func(e history.Event) bool { return !isDown(e) })
	for who, spans := range newOff(downs) {
		for _, s := range spans {
			if !p.endsByItself(downs, who, s[0]) {
				p.faults = append(p.faults, s)
			}
		}
	}
	for _, spans := range newOff(slices.DeleteFunc(slices.Clone(h), isDown)) {
		p.faults = append(p.faults, spans...)
	}
	for _, g := range c.gaps {
		p.faults = append(p.faults, [2]time.Duration{g.from, g.to})
	}
	return p
}

// endsByItself tells whether a node that went down then was told to end, and was not killed before its grace was over.
func (p *planned) endsByItself(downs []history.Event, node string, at time.Duration) bool {
	if !between(p.terminations[node], at-Bounds().ShutdownGrace-afterGrace, at) {
		return false
	}
	inOrder := slices.ContainsFunc(downs, func(e history.Event) bool {
		return e.Who == node && e.Time == at && e.Kind == history.Down && e.What == history.CleanExit
	})
	return inOrder || !between(p.terminations[node], at-Bounds().ShutdownGrace+1, at)
}

// quiet tells whether there was no unplanned trouble anywhere in a time.
func (p *planned) quiet(from, to time.Duration) bool {
	return !slices.ContainsFunc(p.faults, func(s [2]time.Duration) bool { return s[0] <= to && s[1] >= from })
}

// losses: around planned work, and in no other trouble, who has read a request does not end its connection without an answer.
func (r *requestChecker) losses(h []history.Event) (bad []history.Violation) {
	p := newPlanned(h, r.calm)
	over := map[string]time.Duration{} // when the last backend had done with a try
	for _, e := range h {
		if e.Kind == history.Finished {
			over[e.Txn] = e.Time
		}
	}
	beside := map[string]*besideConfigs{}
	for _, clientTry := range r.all {
		if clientTry.end.Kind == "" || !p.quiet(clientTry.ask.Time-Bounds().InTouch, clientTry.end.Time) {
			continue
		}
		of := beside[clientTry.ask.Target]
		if of == nil {
			of = &besideConfigs{}
			beside[clientTry.ask.Target] = of
		}
		cut := r.aborted(clientTry)
		at, ends := r.ending(p, clientTry)
		switch {
		case cut && ends:
			if !workedOn(clientTry, over[clientTry.ask.Txn], at) {
				bad = append(bad, r.lost(clientTry, "while its node was told to end"))
			}
		case cut && reloading(p, clientTry):
			bad = append(bad, r.lost(clientTry, "while its node read its settings again"))
		case r.config(clientTry):
			of.duringChanges = of.duringChanges.with(clientTry.end)
			if cut && clientTry.end.Time-clientTry.ask.Time < time.Duration(usedShare*float64(r.allowed(clientTry))) {
				of.aborted = append(of.aborted, clientTry)
			}
		default:
			of.otherwise = of.otherwise.with(clientTry.end)
			if cut {
				of.abortedOtherwise++
			}
		}
	}
	for _, of := range beside {
		if of.often() {
			for _, item := range of.aborted {
				bad = append(bad, r.lost(item, "while a configuration was on its way"))
			}
		}
	}
	slices.SortFunc(bad, func(a, b history.Violation) int { return strings.Compare(a.Txn, b.Txn) })
	return bad
}

// besideConfigs is what became of one node's requests while a configuration was on its way, and at other times.
type besideConfigs struct {
	duringChanges, otherwise share
	aborted                  []*clientAttempt
	abortedOtherwise         int
}

// often tells whether it cut requests over three times as often beside configurations as at other times.
func (b *besideConfigs) often() bool {
	return float64(len(b.aborted))*float64(max(b.otherwise.requested, 1)) > abortRatio*float64(b.abortedOtherwise)*float64(b.duringChanges.requested)
}

func (r *requestChecker) lost(clientTry *clientAttempt, when string) history.Violation {
	return history.Violation{Rule: "LOST", Time: clientTry.end.Time, Who: clientTry.ask.Target, Txn: clientTry.ask.Txn, Key: clientTry.route.What, Timed: true,
		What: fmt.Sprintf("its connection ended without an answer after %s, %s", clientTry.end.Time-clientTry.ask.Time, when)}
}

// allowed is how long a try may take: what its client waits, and its route's timeout.
func (r *requestChecker) allowed(clientTry *clientAttempt) time.Duration {
	left := clientTry.ask.Deadline - clientTry.ask.Time
	if t := r.timeout(clientTry); t > 0 {
		left = min(left, t)
	}
	return left
}

// aborted tells whether a connection ended without an answer, by the node's doing and before the time was over.
func (r *requestChecker) aborted(clientTry *clientAttempt) bool {
	took := clientTry.end.Time - clientTry.ask.Time
	if clientTry.end.Kind != history.Unanswered || clientTry.spoilt || took+r.slack >= r.allowed(clientTry) {
		return false
	}
	for _, e := range clientTry.ran {
		if between(r.crashes[e.Who], clientTry.ask.Time, clientTry.end.Time) {
			return false
		}
	}
	return len(clientTry.ran) > 0 || took > Bounds().LossSlack
}

// ending tells whether a try ended while its node was told to end, and since when that was.
func (r *requestChecker) ending(p *planned, clientTry *clientAttempt) (at time.Duration, ends bool) {
	for _, t := range p.terminations[clientTry.ask.Target] {
		if t <= clientTry.end.Time && clientTry.end.Time <= t+Bounds().ShutdownGrace+afterGrace+r.slack {
			return t, true
		}
	}
	return 0, false
}

// sentSoon is how long after its node was told to end a try may be sent, to be excused by a backend that is at work to the last.
const sentSoon = 3 * time.Second

// workedOn tells whether a backend was still at work in the last sixth of its node's grace on a try that was sent soon after the node was
// told to end.
func workedOn(r *clientAttempt, over, told time.Duration) bool {
	last := told + Bounds().ShutdownGrace*5/6
	return len(r.ran) > 0 && r.ask.Time <= told+sentSoon && r.end.Time >= last && (over == 0 || over >= last)
}

// reloading tells whether a try was sent up to a while after its node was told to read its settings, and cut after that.
func reloading(p *planned, r *clientAttempt) bool {
	return slices.ContainsFunc(p.reloads[r.ask.Target], func(t time.Duration) bool {
		return r.ask.Time <= t+Bounds().ApplyWithin && r.end.Time >= t
	})
}

// config tells whether a try ended while a configuration that may be in force was on its way.
func (r *requestChecker) config(clientTry *clientAttempt) bool {
	return slices.ContainsFunc(r.force, func(v Version) bool {
		to := v.Acked + Bounds().ApplyWithin + afterConfigApply
		return v.Sent <= clientTry.end.Time && (v.Acked == 0 || clientTry.end.Time <= to)
	})
}
