// Rules on configurations: what was acknowledged is kept, read, followed and not gone back behind.

package gatewaystandin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
)

// Kept checks that what was acknowledged is in the configuration read back at the end, at a time, or older than it; and what is
// read is what was sent.
func Kept(final *routing.Config, sent map[uint64]Version, at time.Duration) (bad []history.Violation) {
	say := func(format string, args ...any) {
		bad = append(bad, history.Violation{Rule: "CONFIG", Time: at, What: fmt.Sprintf(format, args...)})
	}
	parents := map[uint64]uint64{}
	for n, v := range sent {
		if v.Acked > 0 {
			if other, ok := parents[v.Parent]; ok {
				say("%d and %d, both on top of %d, were both acknowledged", other, n, v.Parent)
			}
			parents[v.Parent] = n
		}
		if v.Acked > 0 && v.WellKnownBad {
			say("%d is invalid and was acknowledged", n)
		}
		if v.Lost && !v.WellKnownBad && strings.HasPrefix(v.Refusal, "400") {
			say("%d is valid and was refused: %s", n, v.Refusal)
		}
	}
	if final == nil {
		say("the newest configuration does not come")
		return bad
	}
	in := chain(final.Generation, sent)
	for n, v := range sent {
		if v.Acked > 0 && !in[n] {
			say("%d was acknowledged at %.3fs, and %d, read back, does not build on it", n, v.Acked.Seconds(),
				final.Generation)
		}
	}
	switch v, ok := sent[final.Generation]; {
	case !ok:
		say("%d was read back and never sent", final.Generation)
	case v.Lost:
		say("%d was refused (%s) and is in force", final.Generation, v.Refusal)
	case !Same(v.Config, final):
		say("%d was read back as %s, not as %s", final.Generation, plain(final), plain(v.Config))
	}
	return bad
}

// chain is a version with all that it builds on.
func chain(n uint64, sent map[uint64]Version) map[uint64]bool {
	in := map[uint64]bool{}
	for n != 0 && !in[n] {
		in[n] = true
		n = sent[n].Parent
	}
	return in
}

// reads: what is read is not older than what was acknowledged before it was asked.
func reads(h []history.Event, t *Backends) (bad []history.Violation) {
	for _, e := range h {
		if e.Kind != ReadBack {
			continue
		}
		for n, v := range t.Versions {
			if v.Acked > 0 && v.Acked < e.Deadline && float64(n) > e.Number {
				bad = append(bad, history.Violation{Rule: "CONFIG", Time: e.Time, What: fmt.Sprintf(
					"%.0f was read, asked at %.3fs, though %d was acknowledged at %.3fs", e.Number,
					e.Deadline.Seconds(), n, v.Acked.Seconds())})
			}
		}
	}
	return bad
}

// acks: a proper order is acknowledged within its time where the core was settled all the while.
func acks(t *Backends, c *calm, h []history.Event) (bad []history.Violation) {
	last := h[len(h)-1].Time
	if i := slices.IndexFunc(h, func(e history.Event) bool { return e.Kind == history.Complete }); i >= 0 {
		last = h[i].Time // the operator has gone, while long reads may go on
	}
	for n, v := range t.Versions {
		late := v.Sent + Bounds().AckWithin
		if v.Lost || v.Acked > 0 && v.Acked <= late || late > last {
			continue
		}
		if c.coreStable(v.Sent, late) {
			bad = append(bad, history.Violation{Rule: "Acks", Time: late,
				What: fmt.Sprintf("%d, sent at %.3fs, has no acknowledgement by then", n,
					v.Sent.Seconds()), Timed: true})
		}
	}
	return bad
}

// routes: what runs was asked so, by a service that some configuration names for it, and nodes in touch go
// by the configurations that may be in force.
func routes(h []history.Event, t *Backends, c *calm, slack time.Duration) (bad []history.Violation) {
	all, byID := attemptsOf(h)
	x := &routeChecker{backends: t, calm: c, slack: slack, force: t.force(newestRead(h))}
	for _, e := range Run(h) {
		switch {
		case e.Kind == Mixed:
			x.bad = append(x.bad, history.Violation{Rule: "MIXED", Time: e.Time, Who: e.Target, Txn: e.Txn, What: e.What})
		case e.Kind == history.Arrived && byID[e.Txn] == nil:
			x.bad = append(x.bad, history.Violation{Rule: "UNASKED", Time: e.Time, Who: e.Who, Txn: e.Txn, What: "no client sent it"})
		}
	}
	for _, r := range all {
		x.checkRequested(r)
		x.inForce(r)
	}
	return x.bad
}

// newestRead is the version that was read last.
func newestRead(h []history.Event) (newest uint64) {
	for _, e := range h {
		if e.Kind == ReadBack {
			newest = uint64(e.Number)
		}
	}
	return newest
}

// routeChecker holds tries to the configurations.
type routeChecker struct {
	backends *Backends
	calm     *calm
	slack    time.Duration
	force    []Version // in order; see Backends.force
	bad      []history.Violation
}

func (r *routeChecker) report(clientTry *clientAttempt, rule string, timed bool, at time.Duration, format string, args ...any) {
	r.bad = append(r.bad, history.Violation{Rule: rule, Time: at, Who: clientTry.ask.Target, Txn: clientTry.route.Txn, Key: clientTry.route.What,
		What: fmt.Sprintf(format, args...), Timed: timed})
}

// checkRequested: what ran is what was asked, as its tenant, by a service that some configuration ever sent names for it.
func (r *routeChecker) checkRequested(clientTry *clientAttempt) {
	ever := map[string]bool{}
	for _, v := range r.backends.Versions {
		for _, s := range targets(v.Config, clientTry.route) {
			ever[s] = true
		}
	}
	for _, e := range clientTry.ran {
		if e.Target != clientTry.route.Target {
			r.report(clientTry, "UNASKED", false, e.Time, "asked %s, ran %s", clientTry.route.Target, e.Target)
		}
		if e.Key != clientTry.ask.Key && clientTry.ask.Time > 0 {
			r.report(clientTry, "UNASKED", false, e.Time, "ran as the tenant %q, its key is of %q", e.Key, clientTry.ask.Key)
		}
		if !ever[r.backends.Services[e.Who]] {
			r.report(clientTry, "ROUTE", false, e.Time, "ran at %s, of a service that no configuration names for it", e.Who)
		}
	}
}

// inForce: a node in touch answers and routes by a configuration that may be in force.
func (r *routeChecker) inForce(clientTry *clientAttempt) {
	if clientTry.ask.Time == 0 || len(r.force) == 0 {
		return
	}
	end := max(clientTry.answer.Time, clientTry.ask.Time)
	for _, e := range clientTry.ran {
		end = max(end, e.Time)
	}
	if !r.calm.touch(clientTry.ask.Target, clientTry.ask.Time, end) {
		return
	}
	allowed, some, none := r.allowed(clientTry, end)
	if code := clientTry.answer.Number; !none && some && (code == 401 || code == 403 || code == 404) {
		r.report(clientTry, "CONFIG", true, clientTry.answer.Time,
			"answered %.0f, though every configuration that may be in force has its route and key", code)
	}
	for _, e := range clientTry.ran {
		if !allowed[r.backends.Services[e.Who]] {
			r.report(clientTry, "CONFIG", true, e.Time, "ran at %s, as only an older configuration allows", e.Who)
		}
	}
}

// allowed gives the services that versions which may be in force during a try name for it, and whether some or any of these
// versions name one, or none.
func (r *routeChecker) allowed(clientTry *clientAttempt, end time.Duration) (services map[string]bool, some, none bool) {
	from := 0
	for i, v := range r.force {
		if v.Acked > 0 && v.Acked+Bounds().ApplyWithin+r.slack < clientTry.ask.Time {
			from = i
		}
	}
	services = map[string]bool{}
	for _, v := range r.force[from:] {
		if v.Sent > end {
			break
		}
		to := targets(v.Config, clientTry.route)
		for _, s := range to {
			services[s] = true
		}
		some, none = some || len(to) > 0, none || len(to) == 0
	}
	return services, some, none
}

// force are the versions that were in force, in order: the newest that was read or acknowledged, and what it builds on.
func (b *Backends) force(read uint64) (all []Version) {
	for n, v := range b.Versions {
		if v.Acked > 0 { // none may have been read
			read = max(read, n)
		}
	}
	for n := range chain(read, b.Versions) {
		if v, ok := b.Versions[n]; ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, version Version) int { return int(a.Config.Generation) - int(version.Config.Generation) })
	return all
}

// slowedTimes as long may a node that is not in touch take to show what it knows.
const slowedTimes = 8

// backwards: within one life a node does not go back behind a version whose effect a backend has seen.
func backwards(h []history.Event, t *Backends, c *calm, slack time.Duration) (bad []history.Violation) {
	type sight struct {
		at     time.Duration
		oldest int // in force, that explains it
	}
	route, ask, seen := map[string]history.Event{}, map[string]history.Event{}, map[string][]sight{}
	force := t.force(newestRead(h))
	for _, e := range Run(h) {
		switch e.Kind {
		case Route:
			route[e.Txn] = e
		case history.Requested:
			ask[e.Txn] = e
		case history.Up:
			delete(seen, e.Who)
		case history.Arrived:
			a, ok := ask[e.Txn]
			oldest, newest := -1, -1
			for i := range force {
				if slices.Contains(targets(force[i].Config, route[e.Txn]), t.Services[e.Who]) {
					if newest = i; oldest < 0 {
						oldest = i
					}
				}
			}
			if !ok || newest < 0 {
				continue
			}
			within := Bounds().RevertSlack
			if !c.touch(a.Target, a.Time, e.Time) {
				within *= slowedTimes
			}
			known := 0
			for _, s := range seen[a.Target] {
				if s.at+within+slack < a.Time {
					known = max(known, s.oldest)
				}
			}
			if newest < known {
				bad = append(bad, history.Violation{Rule: "CONFIG", Time: e.Time, Who: a.Target, Txn: e.Txn, Key: a.Key, Timed: true, What: fmt.Sprintf(
					"ran at %s, as no version after %d allows, though %d was seen in force", e.Who, force[newest].Config.Generation,
					force[known].Config.Generation)})
			}
			if all := seen[a.Target]; len(all) == 0 || all[len(all)-1].oldest < oldest {
				seen[a.Target] = append(all, sight{e.Time, oldest})
			}
		}
	}
	return bad
}

// targets are the services that a configuration names for a request.
func targets(b *routing.Config, route history.Event) (all []string) {
	r := routeOf(b, route)
	if r == nil {
		return nil
	}
	if r.Target != "" {
		all = append(all, r.Target)
	}
	for _, w := range r.WeightedTargets {
		if w.Weight > 0 {
			all = append(all, w.Target)
		}
	}
	return all
}
