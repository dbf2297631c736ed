package gatewaystandin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

// Kinds of events that the rules on single requests ask for, beside the history's own.
const (
	Sealed  history.Kind = "sealed" // a client got a failure, N, that bears the seal What
	Crashed history.Kind = "crash"  // a backend has ended, and what it had under way with it; What is inOrder where it had left before
	Reloads history.Kind = "reload" // a node is told by SIGHUP that its settings have changed
)

// inOrder is the end of a backend that drained before.
const inOrder = "in order"

// BackendEnds is the event of a backend's end: in order, after a drain, or not.
func BackendEnds(id string, drained bool) history.Event {
	e := history.Event{Who: id, Kind: Crashed}
	if drained {
		e.What = inOrder
	}
	return e
}

// Figures of the rules, as the operators' pages have them.
const (
	maxExcessAttempts  = 3   // requests that may run on more backends than their route's max_tries
	usedShare          = 0.7 // of its time: beside a configuration a request cut later is not counted
	abortRatio         = 3.0 // as often as at other times may requests be cut beside a configuration
	minAddedRequests   = 20  // requests on routes that were added later, from which they are judged
	starvedShare       = 0.25
	minExpectedServed  = 5.0 // of a kind or tenant that must be expected, so that fewer are no chance
	minKindRequests    = 100 // requests of a kind or tenant, from which it is judged
	maxDeadlineOverrun = 250 * time.Millisecond
	afterGrace         = time.Second
	afterConfigApply   = time.Second
)

// checkRequests holds single requests to the rules that speak of them.
func checkRequests(h []history.Event, t *Backends, c *calm, slack time.Duration) (bad []history.Violation) {
	x := &requestChecker{all: requestsOf(h), backends: t, calm: c, slack: slack, crashes: map[string][]time.Duration{}}
	for _, e := range h {
		switch e.Kind {
		case ReadBack:
			x.force = t.force(uint64(e.Number))
		case Crashed:
			x.crashes[e.Who] = append(x.crashes[e.Who], e.Time)
		}
	}
	bad = append(bad, sealedFailures(h)...)
	bad = append(bad, x.checkAttemptBudget()...)
	bad = append(bad, x.losses(h)...)
	bad = append(bad, x.addedRoutes()...)
	bad = append(bad, x.checkDeadlines()...)
	bad = append(bad, x.ranOn(h)...)
	return append(bad, x.starved()...)
}

// requestChecker is what these rules go by.
type requestChecker struct {
	all      []*clientAttempt
	force    []Version // in order; see Backends.force
	backends *Backends
	calm     *calm
	slack    time.Duration
	crashes  map[string][]time.Duration
}

// sealedFailures: a failure that bears a backend's seal has the status that this backend gave.
func sealedFailures(h []history.Event) (bad []history.Violation) {
	type given struct {
		seal   string
		status float64
	}
	gave := map[given]bool{}
	for _, e := range h {
		if e.Kind == standin.Fails {
			gave[given{sealOf(e.Who, e.Txn), e.Number}] = true
		}
	}
	for _, e := range h {
		if e.Kind == Sealed && !gave[given{e.What, e.Number}] {
			bad = append(bad, history.Violation{Rule: "MIXED", Time: e.Time, Who: e.Target, Txn: e.Txn,
				What: fmt.Sprintf("%.0f under the seal %q, which that backend did not give", e.Number, e.What)})
		}
	}
	return bad
}

// sealOf is a backend's seal on its answer to a try.
func sealOf(backend, txn string) string { return backend + "." + txn }

// inForce are the versions that may be in force for a try at any moment until a time: the newest that every node has by
// when it was asked, and those sent since.
func (r *requestChecker) inForce(clientTry *clientAttempt, until time.Duration) []Version {
	from := 0
	for i, v := range r.force {
		if v.Acked > 0 && v.Acked+Bounds().ApplyWithin+r.slack < clientTry.ask.Time {
			from = i
		}
	}
	to := from
	for to < len(r.force) && r.force[to].Sent <= until {
		to++
	}
	return r.force[min(from, to):to]
}

// ended is when a try was over, as far as anybody saw.
func (c *clientAttempt) ended() time.Duration {
	end := max(c.end.Time, c.ask.Time)
	for _, e := range c.ran {
		end = max(end, e.Time)
	}
	return end
}

// routeOf is the route of a configuration that a request goes by.
func routeOf(b *routing.Config, route history.Event) (found *routing.ConfigRoute) {
	for _, h := range b.Vhosts {
		if h.Hostname != route.Key {
			continue
		}
		for i, r := range h.PathList {
			if strings.HasPrefix(route.Target, r.PathPrefix) && (found == nil || len(r.PathPrefix) > len(found.PathPrefix)) {
				found = &h.PathList[i]
			}
		}
	}
	return found
}

// checkAttemptBudget: no more than a few requests run, in one try, on more backends than their route's max_tries.
func (r *requestChecker) checkAttemptBudget() (bad []history.Violation) {
	for _, clientTry := range r.all {
		most := 0
		for _, v := range r.inForce(clientTry, clientTry.ended()) {
			if route := routeOf(v.Config, clientTry.route); route != nil {
				most = max(most, route.MaxTries, 1)
			}
		}
		at := map[string]bool{}
		for _, e := range clientTry.ran {
			if !between(r.crashes[e.Who], clientTry.ask.Time, clientTry.ended()) {
				at[e.Who] = true
			}
		}
		if most > 0 && len(at) > most {
			bad = append(bad, history.Violation{Rule: "BUDGET", Time: clientTry.ran[len(clientTry.ran)-1].Time, Who: clientTry.ask.Target, Txn: clientTry.ask.Txn,
				Key: clientTry.route.What, What: fmt.Sprintf("ran on %d backends, %d are the most in one try", len(at), most)})
		}
	}
	if len(bad) <= maxExcessAttempts {
		return nil
	}
	return bad
}

// timeout is the longest time that a route lets a try be held, by any version that may be in force; nought: there is none.
func (r *requestChecker) timeout(clientTry *clientAttempt) (most time.Duration) {
	for _, v := range r.inForce(clientTry, clientTry.ended()) {
		route := routeOf(v.Config, clientTry.route)
		if route == nil || route.Deadline == nil {
			continue
		}
		if d, err := time.ParseDuration(*route.Deadline); err == nil {
			most = max(most, d)
		}
	}
	return most
}

// checkDeadlines: a node without trouble does not hold a request a quarter of a second past its route's deadline.
func (r *requestChecker) checkDeadlines() (bad []history.Violation) {
	for _, clientTry := range r.all {
		most := r.timeout(clientTry)
		if most == 0 || clientTry.end.Time <= clientTry.ask.Time+most+maxDeadlineOverrun+r.slack || !r.undisturbed(clientTry.ask.Target, clientTry.ask.Time, clientTry.end.Time) {
			continue
		}
		bad = append(bad, history.Violation{Rule: "Held", Time: clientTry.end.Time, Who: clientTry.ask.Target, Txn: clientTry.ask.Txn, Key: clientTry.route.What, Timed: true,
			What: fmt.Sprintf("held for %s, its route's deadline is %s", clientTry.end.Time-clientTry.ask.Time, most)})
	}
	return bad
}

// undisturbed tells whether a node was in no trouble of its own for a whole time, and a while before.
func (r *requestChecker) undisturbed(node string, from, to time.Duration) bool {
	begin := from - Bounds().InTouch
	return !between(r.calm.events[node], begin, to) && !r.calm.off.meets(node, begin, to)
}

// addedRoutes: nodes in touch serve requests on routes that were added later not much seldomer than those on the first ones.
func (r *requestChecker) addedRoutes() (bad []history.Violation) {
	if len(r.force) == 0 {
		return nil
	}
	first, added := map[string]share{}, map[string]share{}
	for _, clientTry := range r.all {
		versions := r.inForce(clientTry, clientTry.ended())
		if clientTry.end.Number == 429 || clientTry.end.Kind == "" || clientTry.end.Kind == history.ClientLeft || len(versions) == 0 || !r.calm.touch(clientTry.ask.Target, clientTry.ask.Time, clientTry.ended()) ||
			slices.ContainsFunc(versions, func(v Version) bool { return routeOf(v.Config, clientTry.route) == nil }) {
			continue
		}
		to := added
		if routeOf(r.force[0].Config, clientTry.route) != nil {
			to = first
		}
		for _, of := range []string{"", clientTry.ask.Target} {
			to[of] = to[of].with(clientTry.end)
		}
	}
	for of, a := range added {
		f := first[of]
		least := starvedShare * f.rate() // where few of the first are served, more are asked for to tell it from chance
		if a.requested >= minAddedRequests && f.requested > 0 && a.rate() < least && least*float64(a.requested) >= minExpectedServed {
			bad = append(bad, history.Violation{Rule: "CONFIG", Time: r.all[len(r.all)-1].ask.Time, Who: of, What: fmt.Sprintf(
				"served %d of %d on routes added later%s, %d of %d on the first", a.served, a.requested, a.describeOthers(), f.served, f.requested)})
		}
	}
	slices.SortFunc(bad, func(a, b history.Violation) int { return cmp.Compare(a.Who, b.Who) })
	return bad
}

// share counts requests and those of them that were served.
type share struct {
	requested, served int
	others            map[int]int // requests that were not served, by the status of their answer; 0: they got none
}

func (s share) with(end history.Event) share {
	s.requested++
	if end.Kind == history.Answered && int(end.Number)/100 == 2 {
		s.served++
		return s
	}
	if s.others == nil {
		s.others = map[int]int{}
	}
	if end.Kind == history.Answered {
		s.others[int(end.Number)]++
	} else {
		s.others[0]++
	}
	return s
}

// describeOthers tells what became of the requests that were not served: 404 shows an old configuration, 503 a node that knows that it
// may have one.
func (s share) describeOthers() string {
	if len(s.others) == 0 {
		return ""
	}
	var all []string
	for _, status := range slices.Sorted(maps.Keys(s.others)) {
		name := fmt.Sprint(status)
		if status == 0 {
			name = "no answer"
		}
		all = append(all, fmt.Sprintf("%s: %d", name, s.others[status]))
	}
	return " (" + strings.Join(all, ", ") + ")"
}

func (s share) rate() float64 { return float64(s.served) / float64(max(s.requested, 1)) }

// starved: no kind of request and no tenant is served much seldomer than all. What lies beyond a tenant's limit is not owed, nor
// what no configuration in force allows, nor a route that was added later at a node that was out of touch: it can't know of it.
func (r *requestChecker) starved() (bad []history.Violation) {
	all, by := share{}, map[string]share{}
	for _, clientTry := range r.all {
		versions := r.inForce(clientTry, clientTry.ended())
		if clientTry.end.Number == 429 || clientTry.end.Kind == "" || !r.begun(clientTry) || slices.ContainsFunc(versions, func(v Version) bool { return routeOf(v.Config, clientTry.route) == nil }) {
			continue
		}
		if routeOf(r.force[0].Config, clientTry.route) == nil && !r.calm.touch(clientTry.ask.Target, clientTry.ask.Time, clientTry.ended()) {
			continue // it may not have been told of the route
		}
		all = all.with(clientTry.end)
		for _, of := range []string{kindOf(clientTry), "tenant " + clientTry.ask.Key} {
			by[of] = by[of].with(clientTry.end)
		}
	}
	for name, most := range r.limits() {
		of := "tenant " + name
		by[of] = share{requested: min(by[of].requested, most), served: by[of].served}
	}
	for of, s := range by {
		least := starvedShare * all.rate() // fewer are expected than can be told from chance on days that serve next to nothing
		if s.requested >= minKindRequests && s.rate() < least && least*float64(s.requested) >= minExpectedServed {
			bad = append(bad, history.Violation{Rule: "Starved", Time: r.all[len(r.all)-1].ask.Time, Key: of, What: fmt.Sprintf(
				"served %d of %d that are owed, of all %d of %d", s.served, s.requested, all.served, all.requested)})
		}
	}
	slices.SortFunc(bad, func(a, b history.Violation) int { return cmp.Compare(a.Key, b.Key) })
	return bad
}

// begun tells whether the first configuration was in force everywhere when a request was sent.
func (r *requestChecker) begun(clientTry *clientAttempt) bool {
	return len(r.force) > 0 && r.force[0].Acked > 0 && clientTry.ask.Time > r.force[0].Acked+Bounds().ApplyWithin
}

// kindOf is a request's kind: its route's, or that of all routes that come and go.
func kindOf(r *clientAttempt) string {
	if r.route.Key == hostGuests {
		return "kind " + hostGuests
	}
	return "kind " + r.route.What
}

// limits are how many requests of each metered tenant are owed over the whole time, at the most.
func (r *requestChecker) limits() map[string]int {
	limits := map[string]int{}
	if len(r.all) == 0 {
		return limits
	}
	seconds := (r.all[len(r.all)-1].ask.Time - r.all[0].ask.Time).Seconds()
	for _, v := range r.force {
		for _, t := range v.Config.Tenants {
			if t.RatePerS > 0 {
				limits[t.Name] = max(limits[t.Name], int(t.RatePerS*seconds+t.Burst))
			}
		}
	}
	return limits
}
