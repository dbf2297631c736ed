package gatewaystandin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
)

// Run leaves out the arrivals at backends that turned the request away after all, from their queue: it has
// not run.
func Run(h []history.Event) []history.Event {
	type at struct {
		who, txn string
		n        float64
	}
	turned := map[at]bool{}
	for _, e := range h {
		if e.Kind == history.Turned && e.N > 0 {
			turned[at{e.Who, e.Txn, e.N}] = true
		}
	}
	out := make([]history.Event, 0, len(h))
	for _, e := range h {
		if e.Kind != history.Arrived || !turned[at{e.Who, e.Txn, e.N}] {
			out = append(out, e)
		}
	}
	return out
}

// Twice checks that an effectful try runs at most once, and what was answered 429, 503, 408 or 421 has not run and
// never will.
func Twice(h []history.Event) (bad []history.Broken) {
	ask, ran, final := map[string]history.Event{}, map[string][]history.Event{}, map[string]history.Event{}
	for _, e := range Run(h) {
		switch e.Kind {
		case history.Asked:
			ask[e.Txn] = e
		case history.Arrived:
			ran[e.Txn] = append(ran[e.Txn], e)
		case history.Answered:
			final[e.Txn] = e
		}
	}
	for _, e := range h { // in the history's order
		if e.Kind != history.Asked || e.What != "effectful" {
			continue
		}
		runs := ran[e.Txn]
		if len(runs) > 1 {
			bad = append(bad, history.Broken{Rule: "TWICE", T: runs[1].T, Who: e.At, Txn: e.Txn,
				What: fmt.Sprintf("ran at %s and at %s", runs[0].Who, runs[1].Who)})
		}
		if f, ok := final[e.Txn]; ok && len(runs) > 0 && (f.N == 429 || f.N == 503 || f.N == 408 || f.N == 421) {
			bad = append(bad, history.Broken{Rule: "REFUSED", T: f.T, Who: e.At, Txn: e.Txn,
				What: fmt.Sprintf("answered %.0f, ran at %s at %.3fs", f.N, runs[0].Who, runs[0].T.Seconds())})
		}
	}
	return bad
}

// Quotas checks that in no window do a tenant's requests that were sent and that ran in it pass (rate x window + burst)
// x (1 + excess) + margin, over all nodes.
func Quotas(h []history.Event) (bad []history.Broken) {
	b := Bounds()
	sent := map[string]history.Event{}
	for _, e := range h {
		if e.Kind == history.Asked {
			sent[e.Txn] = e
		}
	}
	type run struct{ sent, ran time.Duration }
	by, seen := map[string][]run{}, map[string]bool{}
	for _, e := range Run(h) {
		if a, ok := sent[e.Txn]; ok && e.Kind == history.Arrived && !seen[e.Txn] && a.Key != "" {
			seen[e.Txn] = true
			by[a.Key] = append(by[a.Key], run{a.T, e.T})
		}
	}
	for _, t := range First().Tenants {
		if t.RatePerS <= 0 {
			continue
		}
		most := (t.RatePerS*b.QuotaWindow.Seconds()+t.Burst)*(1+b.QuotaExcess) + b.QuotaMargin
		worst, at := 0, time.Duration(0)
		runs := by[t.Name] // in the order of ran
		for _, first := range runs {
			n := 0
			for _, r := range runs {
				if r.sent >= first.sent && r.ran <= first.sent+b.QuotaWindow {
					n++
				}
			}
			if n > worst {
				worst, at = n, first.sent
			}
		}
		if float64(worst) > most {
			bad = append(bad, history.Broken{Rule: "QUOTA", T: at, Key: t.Name,
				What: fmt.Sprintf("%d ran in %s, %.0f is the most", worst, b.QuotaWindow, most)})
		}
	}
	return bad
}

// budgets: in no window does a service receive more arrivals after the first of each request than its share
// of the requests for it and the extra. What was turned away counts, and the best of three windows of
// requests does.
func budgets(h []history.Event, t *Backends) (bad []history.Broken) {
	b := Bounds()
	service, versions := t.Services, t.Versions
	prefixes := map[string][]string{} // services that any version names, by host and the path's first part
	named := func(e history.Event) []string {
		key := e.Key + e.At[:strings.Index(e.At[1:], "/")+2]
		if all, ok := prefixes[key]; ok {
			return all
		}
		var all []string
		for _, v := range versions {
			all = append(all, targets(v.Config, e)...)
		}
		slices.Sort(all)
		prefixes[key] = slices.Compact(all)
		return prefixes[key]
	}
	asks, again := map[string][]time.Duration{}, map[string][]time.Duration{}
	came, counted := map[string]bool{}, map[string]bool{}
	for _, e := range h {
		switch at := service[e.Who]; {
		case e.Kind == Route:
			for _, s := range named(e) {
				asks[s] = append(asks[s], e.T)
			}
		case at == "" || e.Kind != history.Arrived && e.Kind != history.Turned:
		case e.N > 0 && counted[fmt.Sprint(e.Who, e.Txn, e.N)]: // turned away from its queue: it had arrived
		default:
			counted[fmt.Sprint(e.Who, e.Txn, e.N)] = true
			if came[at+e.Txn] {
				again[at] = append(again[at], e.T)
			}
			came[at+e.Txn] = true
		}
	}
	within := func(all []time.Duration, from, to time.Duration) (n int) {
		for _, t := range all {
			if t >= from && t <= to {
				n++
			}
		}
		return n
	}
	for s, list := range again {
		for _, end := range list {
			n, w := within(list, end-b.RetryWindow, end), b.RetryWindow
			if float64(n) <= b.RetryExtra {
				continue
			}
			asked := max(within(asks[s], end-w, end), within(asks[s], end-2*w, end-w),
				within(asks[s], end-3*w/2, end-w/2))
			if most := b.RetryRatio*float64(asked) + b.RetryExtra; float64(n) > most {
				bad = append(bad, history.Broken{Rule: "BUDGET", T: end, Key: s,
					What: fmt.Sprintf("%d further arrivals in %s, %.0f are the most", n, w, most)})
				break
			}
		}
	}
	return bad
}

// Kept checks that what was acknowledged is in the configuration read back at the end, at a time, or older than it; and what is
// read is what was sent.
func Kept(final *routing.Config, sent map[uint64]Version, at time.Duration) (bad []history.Broken) {
	say := func(format string, args ...any) {
		bad = append(bad, history.Broken{Rule: "CONFIG", T: at, What: fmt.Sprintf(format, args...)})
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

// Trouble on a node's machine or its links, by whoever brings it.
const (
	Troubled history.Kind = "trouble"
	Eased    history.Kind = "eased"
)

// Backends is who played a history, as far as the rules ask.
type Backends struct {
	Nodes    map[string]string // names, by where they take control calls
	Cores    []string          // those with a disk
	Services map[string]string // of every backend that ever was
	Versions map[uint64]Version
}

// Backends names who played.
func (t *Deployment) Backends() *Backends {
	c := &Backends{Nodes: map[string]string{}, Services: map[string]string{}, Versions: t.Operator.Versions()}
	for _, d := range t.Nodes {
		c.Nodes[d.Control] = d.Name
	}
	for _, d := range t.Cores() {
		c.Cores = append(c.Cores, d.Name)
	}
	for _, l := range t.All() {
		c.Services[l.ID] = l.Service
	}
	return c
}

// calm tells when nodes were in touch, by what the rig did to them.
type calm struct {
	events map[string][]time.Duration // of each node: ends, starts, stops, goes
	core   []time.Duration
	off    off
	gaps   []gap
	cores  []string
}

const always = time.Duration(1<<63 - 1)

func newCalm(h []history.Event, t *Backends) *calm {
	c := &calm{events: map[string][]time.Duration{}, off: newOff(h), gaps: gapsOf(h), cores: t.Cores}
	nodes := map[string]bool{}
	for _, name := range t.Nodes {
		nodes[name] = true
	}
	for _, e := range h {
		switch core := slices.Contains(c.cores, e.Who); e.Kind {
		case history.Down, history.Stopped, history.Up, history.Goes, Terminates, Troubled, Eased:
			if !nodes[e.Who] {
				continue
			}
			c.events[e.Who] = append(c.events[e.Who], e.T)
			if core {
				c.core = append(c.core, e.T)
			}
		case Parted, Joined: // of a cut, both ends must be of the core to unsettle it
			if core && slices.Contains(c.cores, e.At) {
				c.core = append(c.core, e.T)
			}
		}
	}
	return c
}

// off is when nodes were down, stood still or were in trouble.
type off map[string][][2]time.Duration

// newOff reads it from a history; what else ends a node may be named.
func newOff(h []history.Event, downs ...history.Kind) off {
	o, open := off{}, map[string]map[history.Kind]time.Duration{}
	for _, e := range h {
		begins, ends := history.Kind(""), history.Kind("")
		switch {
		case e.Kind == history.Down || slices.Contains(downs, e.Kind):
			begins = history.Down
		case e.Kind == history.Stopped || e.Kind == Troubled:
			begins = e.Kind
		case e.Kind == history.Up:
			ends = history.Down
		case e.Kind == history.Goes:
			ends = history.Stopped
		case e.Kind == Eased:
			ends = Troubled
		default:
			continue
		}
		if open[e.Who] == nil {
			open[e.Who] = map[history.Kind]time.Duration{}
		}
		if _, is := open[e.Who][begins]; begins != "" && !is { // a kill is told when it is sent, and when it is seen
			open[e.Who][begins] = e.T
		}
		if from, is := open[e.Who][ends]; is {
			o[e.Who] = append(o[e.Who], [2]time.Duration{from, e.T})
			delete(open[e.Who], ends)
		}
	}
	for who, kinds := range open {
		for _, from := range kinds {
			o[who] = append(o[who], [2]time.Duration{from, always})
		}
	}
	return o
}

// graceNear is how close to its end a node has used up its grace.
const graceNear = 1500 * time.Millisecond

// OutOfGrace tells whether a node that was told to end did so about then, with its grace used up: what takes longer
// than that can't be waited for.
func OutOfGrace(h []history.Event, node string, at time.Duration) bool {
	told := always
	for _, e := range h {
		switch {
		case e.Who != node:
		case e.Kind == Terminates:
			told = min(told, e.T)
		case e.Kind == history.Down:
			if e.T-told > Bounds().Grace-graceNear && e.T-at < graceNear/3 && at-e.T < graceNear/3 {
				return true
			}
			told = always
		}
	}
	return false
}

// meets tells whether a node was off at any moment of a time.
func (o off) meets(who string, from, to time.Duration) bool {
	return slices.ContainsFunc(o[who], func(s [2]time.Duration) bool { return s[0] <= to && s[1] >= from })
}

func between(all []time.Duration, from, to time.Duration) bool {
	return slices.ContainsFunc(all, func(t time.Duration) bool { return t >= from && t <= to })
}

// settled tells whether the core was, for a whole time.
func (c *calm) settled(from, to time.Duration) bool {
	begin := from - Bounds().InTouch
	return !between(c.core, begin, to) && slices.ContainsFunc(c.cores, func(who string) bool {
		return !c.off.meets(who, begin, to) && c.reaches(who, begin, to, true)
	})
}

// touch tells whether a node was in touch for a whole time.
func (c *calm) touch(node string, from, to time.Duration) bool {
	begin := from - Bounds().InTouch
	return !between(c.events[node], begin, to) && !c.off.meets(node, begin, to) && c.settled(from, to) &&
		!slices.ContainsFunc(c.cores, func(o string) bool { // without a path to one that has to do with most of the core
			return !c.off.meets(o, begin, to) && c.reaches(o, begin, to, false) && !c.joined(node, o, begin, to, true)
		})
}

// Judge holds a history against the rules that clients, backends and the operator can see broken. Slack is
// how slow the machine itself was.
func Judge(h []history.Event, t *Backends, slack time.Duration) (bad []history.Broken) {
	c := newCalm(h, t)
	bad = append(bad, Twice(h)...)
	bad = append(bad, Quotas(h)...)
	bad = append(bad, budgets(h, t)...)
	bad = append(bad, drains(h, t, c, slack)...)
	bad = append(bad, reads(h, t)...)
	bad = append(bad, acks(t, c, h)...)
	bad = append(bad, backwards(h, t, c, slack)...)
	bad = append(bad, judgeRequests(h, t, c, slack)...)
	return append(bad, routes(h, t, c, slack)...)
}

// drains: nothing reaches a backend by a node in touch more than the drain after a node in touch
// acknowledged that it leaves.
func drains(h []history.Event, t *Backends, c *calm, slack time.Duration) (bad []history.Broken) {
	ask, told := map[string]history.Event{}, map[string]time.Duration{}
	for _, e := range h {
		switch e.Kind {
		case history.Asked:
			ask[e.Txn] = e
		case history.Told:
			if _, ok := told[e.At]; !ok && c.touch(t.Nodes[e.Who], e.T, e.T) {
				told[e.At] = e.T
			}
		case history.Arrived:
			at, ok := told[e.Who]
			a := ask[e.Txn]
			if ok && e.T > at+Bounds().Drain+slack && c.touch(a.At, min(a.T, at), e.T) {
				bad = append(bad, history.Broken{Rule: "DRAIN", T: e.T, Who: a.At, Txn: e.Txn, Timed: true,
					What: fmt.Sprintf("reached %s %.2fs after its drain was acknowledged", e.Who, (e.T - at).Seconds())})
			}
		}
	}
	return bad
}

// reads: what is read is not older than what was acknowledged before it was asked.
func reads(h []history.Event, t *Backends) (bad []history.Broken) {
	for _, e := range h {
		if e.Kind != ReadBack {
			continue
		}
		for n, v := range t.Versions {
			if v.Acked > 0 && v.Acked < e.Due && float64(n) > e.N {
				bad = append(bad, history.Broken{Rule: "CONFIG", T: e.T, What: fmt.Sprintf(
					"%.0f was read, asked at %.3fs, though %d was acknowledged at %.3fs", e.N,
					e.Due.Seconds(), n, v.Acked.Seconds())})
			}
		}
	}
	return bad
}

// acks: a proper order is acknowledged within its time where the core was settled all the while.
func acks(t *Backends, c *calm, h []history.Event) (bad []history.Broken) {
	last := h[len(h)-1].T
	if i := slices.IndexFunc(h, func(e history.Event) bool { return e.Kind == history.Closes }); i >= 0 {
		last = h[i].T // the operator has gone, while long reads may go on
	}
	for n, v := range t.Versions {
		late := v.Sent + Bounds().AckWithin
		if v.Lost || v.Acked > 0 && v.Acked <= late || late > last {
			continue
		}
		if c.settled(v.Sent, late) {
			bad = append(bad, history.Broken{Rule: "Acks", T: late,
				What: fmt.Sprintf("%d, sent at %.3fs, has no acknowledgement by then", n,
					v.Sent.Seconds()), Timed: true})
		}
	}
	return bad
}

// routes: what runs was asked so, by a service that some configuration names for it, and nodes in touch go
// by the configurations that may be in force.
func routes(h []history.Event, t *Backends, c *calm, slack time.Duration) (bad []history.Broken) {
	type request struct {
		route, ask, final history.Event
		ran               []history.Event
	}
	all, order := map[string]*request{}, []string{}
	newest, last := uint64(0), time.Duration(0)
	for _, e := range Run(h) {
		r := all[e.Txn]
		switch {
		case e.Kind == Route:
			all[e.Txn] = &request{route: e}
			order = append(order, e.Txn)
		case e.Kind == Mixed:
			bad = append(bad, history.Broken{Rule: "MIXED", T: e.T, Who: e.At, Txn: e.Txn, What: e.What})
		case e.Kind == ReadBack:
			newest = uint64(e.N)
		case e.Kind == history.Arrived && r == nil:
			bad = append(bad, history.Broken{Rule: "UNASKED", T: e.T, Who: e.Who, Txn: e.Txn,
				What: "no client sent it"})
		case r == nil:
		case e.Kind == history.Asked:
			r.ask = e
		case e.Kind == history.Answered:
			r.final = e
		case e.Kind == history.Arrived:
			r.ran = append(r.ran, e)
		}
		last = max(last, e.T)
	}
	service, versions := t.Services, t.Versions
	force := t.force(newest)
	for _, id := range order {
		r := all[id]
		say := func(rule string, timed bool, at time.Duration, format string, args ...any) {
			bad = append(bad, history.Broken{Rule: rule, T: at, Who: r.ask.At, Txn: id, Key: r.route.What,
				What: fmt.Sprintf(format, args...), Timed: timed})
		}
		ever := map[string]bool{} // services that any configuration ever sent names
		for _, v := range versions {
			for _, s := range targets(v.Config, r.route) {
				ever[s] = true
			}
		}
		for _, e := range r.ran {
			if e.At != r.route.At {
				say("UNASKED", false, e.T, "asked %s, ran %s", r.route.At, e.At)
			}
			if e.Key != r.ask.Key && r.ask.T > 0 {
				say("UNASKED", false, e.T, "ran as the tenant %q, its key is of %q", e.Key, r.ask.Key)
			}
			if !ever[service[e.Who]] {
				say("ROUTE", false, e.T, "ran at %s, of a service that no configuration names for it", e.Who)
			}
		}
		if r.ask.T == 0 || len(force) == 0 {
			continue
		}
		end := max(r.final.T, r.ask.T)
		for _, e := range r.ran {
			end = max(end, e.T)
		}
		if !c.touch(r.ask.At, r.ask.T, end) {
			continue
		}
		from := 0
		for i, v := range force {
			if v.Acked > 0 && v.Acked+Bounds().ApplyWithin+slack < r.ask.T {
				from = i
			}
		}
		allowed, some, none := map[string]bool{}, false, false
		for _, v := range force[from:] {
			if v.Sent > end {
				break
			}
			to := targets(v.Config, r.route)
			for _, s := range to {
				allowed[s] = true
			}
			some, none = some || len(to) > 0, none || len(to) == 0
		}
		if code := r.final.N; !none && some && (code == 401 || code == 403 || code == 404) {
			say("CONFIG", true, r.final.T,
				"answered %.0f, though every configuration that may be in force has its route and key", code)
		}
		for _, e := range r.ran {
			if !allowed[service[e.Who]] {
				say("CONFIG", true, e.T, "ran at %s, as only an older configuration allows", e.Who)
			}
		}
	}
	return bad
}

// force are the versions that were in force, in order: the newest that was read or acknowledged, and what it builds on.
func (t *Backends) force(read uint64) (all []Version) {
	for n, v := range t.Versions {
		if v.Acked > 0 { // none may have been read
			read = max(read, n)
		}
	}
	for n := range chain(read, t.Versions) {
		if v, ok := t.Versions[n]; ok {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b Version) int { return int(a.Config.Generation) - int(b.Config.Generation) })
	return all
}

// slowedTimes as long may a node that is not in touch take to show what it knows.
const slowedTimes = 8

// backwards: within one life a node does not go back behind a version whose effect a backend has seen.
func backwards(h []history.Event, t *Backends, c *calm, slack time.Duration) (bad []history.Broken) {
	type sight struct {
		at     time.Duration
		oldest int // in force, that explains it
	}
	route, ask, seen, read := map[string]history.Event{}, map[string]history.Event{}, map[string][]sight{}, uint64(0)
	for _, e := range h {
		if e.Kind == ReadBack {
			read = uint64(e.N)
		}
	}
	force := t.force(read)
	for _, e := range Run(h) {
		switch e.Kind {
		case Route:
			route[e.Txn] = e
		case history.Asked:
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
			if !c.touch(a.At, a.T, e.T) {
				within *= slowedTimes
			}
			known := 0
			for _, s := range seen[a.At] {
				if s.at+within+slack < a.T {
					known = max(known, s.oldest)
				}
			}
			if newest < known {
				bad = append(bad, history.Broken{Rule: "CONFIG", T: e.T, Who: a.At, Txn: e.Txn, Key: a.Key, Timed: true, What: fmt.Sprintf(
					"ran at %s, as no version after %d allows, though %d was seen in force", e.Who, force[newest].Config.Generation,
					force[known].Config.Generation)})
			}
			if all := seen[a.At]; len(all) == 0 || all[len(all)-1].oldest < oldest {
				seen[a.At] = append(all, sight{e.T, oldest})
			}
		}
	}
	return bad
}

// targets are the services that a configuration names for a request.
func targets(b *routing.Config, route history.Event) (all []string) {
	longest := -1
	for _, h := range b.Vhosts {
		if h.Hostname != route.Key {
			continue
		}
		for _, r := range h.PathList {
			if len(r.PathPrefix) > longest && strings.HasPrefix(route.At, r.PathPrefix) {
				longest, all = len(r.PathPrefix), nil
				if r.Target != "" {
					all = append(all, r.Target)
				}
				for _, w := range r.WeightedTargets {
					if w.Weight > 0 {
						all = append(all, w.Target)
					}
				}
			}
		}
	}
	return all
}
