package gatewaystandin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/history"
)

// sent is a try that its client waits two seconds for; status 0: its connection ended without an answer.
func sent(id, path string, at, took time.Duration, status float64, backends ...string) []history.Event {
	host := map[string]string{"/browse/1": hostProgramme, "/book/1": hostTickets, "/late/1": hostGuests}[path]
	h := []history.Event{{Time: at, Who: "clients", Kind: Route, Txn: id, Key: host, Target: path, What: "r" + path},
		{Time: at, Who: "clients", Kind: history.Requested, Txn: id, Target: "d0", Number: 1, What: "pure", Deadline: at + 2*s}}
	for i, who := range backends {
		h = append(h, history.Event{Time: at + time.Duration(i+1)*10*time.Millisecond, Who: who, Kind: history.Arrived, Txn: id, Target: path})
	}
	end := history.Event{Time: at + took, Who: "clients", Kind: history.Answered, Txn: id, Number: status}
	if status == 0 {
		end.Kind = history.Unanswered
	}
	return append(h, end)
}

// several are tries by turns, a tenth of a second apart.
func several(n int, from time.Duration, one func(id string, at time.Duration) []history.Event) (h []history.Event) {
	for i := range n {
		at := from + time.Duration(i)*s/10
		h = append(h, one(fmt.Sprint(from, i), at)...)
	}
	return h
}

// later is the first configuration, and one at 20 s that adds a route, and at 60 s one that lowers its max_tries.
func later() map[uint64]*Version {
	next := First()
	next.Generation = 4
	guest(next, (&draft{draw: func(int) int { return 0 }, config: next}).guestRoute(1))
	next.Vhosts[len(next.Vhosts)-1].PathList[0].PathPrefix = "/late/"
	last := clone(next)
	last.Generation = 7
	last.Vhosts[len(last.Vhosts)-1].PathList[0].MaxTries = 1
	return map[uint64]*Version{1: {Config: First(), Sent: s, Acked: s}, 4: {Config: next, Parent: 1, Sent: 20 * s, Acked: 20 * s},
		7: {Config: last, Parent: 4, Sent: 60 * s, Acked: 60 * s}}
}

// A try is excused that is sent within 3 s of the word to end and has its backend at work in the last sixth of the grace: no other.
func TestWorkedOn(t *testing.T) {
	told, last := 10*s, 10*s+Bounds().ShutdownGrace*5/6
	for _, c := range []struct {
		asked, ended, over time.Duration
		ran, excused       bool
	}{
		{told + 3*s, last, 0, true, true}, {told + 3*s, last, last, true, true}, {told - s, last + s, last + s, true, true},
		{told + 3*s, last - 1, 0, true, false}, {told + 3*s, last, last - 1, true, false}, {told + 3*s + 1, last, 0, true, false},
		{told + 3*s, last, 0, false, false},
	} {
		r := &clientAttempt{ask: history.Event{Time: c.asked}, end: history.Event{Time: c.ended}}
		if c.ran {
			r.ran = []history.Event{{}}
		}
		must.Eq(t, c.excused, workedOn(r, c.over, told), must.Sprintf("%+v", c))
	}
}

// Each rule that MORE.md brought finds its planted fault, and only that; beside each stands what is no fault.
func TestRequestRulesFindWhatIsBroken(t *testing.T) {
	event := func(at time.Duration, who string, kind history.Kind) []history.Event {
		return []history.Event{{Time: at, Who: who, Kind: kind}}
	}
	join := func(all ...[]history.Event) (h []history.Event) {
		for _, x := range all {
			h = append(h, x...)
		}
		return h
	}
	browse := func(id string, at time.Duration) []history.Event { return sent(id, "/browse/1", at, s/10, 200, "p") }
	served := several(30, 30*s, browse)
	many := several(120, 30*s, browse)
	late := func(status float64) []history.Event {
		return several(30, 40*s, func(id string, at time.Duration) []history.Event { return sent(id, "/late/1", at, s/10, status) })
	}
	sealed := func(seal string, status float64) []history.Event {
		return join(sent("a", "/browse/1", 30*s, s/10, status, "p"),
			[]history.Event{{Time: 31 * s, Who: "clients", Kind: Sealed, Txn: "a", Target: "d0", Number: status, What: seal}})
	}
	fails := []history.Event{{Time: 30*s + s/20, Who: "p", Kind: "fails", Txn: "a", Number: 500}}
	tries := func(n int, path string, from time.Duration, backends ...string) []history.Event {
		return several(n, from, func(id string, at time.Duration) []history.Event { return sent(id, path, at, s/10, 200, backends...) })
	}
	cut := sent("a", "/browse/1", 30*s, s, 0, "p")
	cutAt := func(at, took time.Duration) []history.Event { return sent("a", "/browse/1", at, took, 0, "p") }
	book := several(120, 42*s, func(id string, at time.Duration) []history.Event { return sent(id, "/book/1", at, s/10, 503) })
	of := func(tenant string, n, served int) (h []history.Event) { // fifty a second, the first ones served
		for i := range n {
			at, status := 42*s+time.Duration(i)*s/50, 503.0
			if i < served {
				status = 200
			}
			x := sent(fmt.Sprint(tenant, i), "/browse/1", at, s/10, status)
			x[1].Key = tenant
			h = append(h, x...)
		}
		return h
	}
	left := func(n int, what string, runs time.Duration) []history.Event { // clients that leave a tenth of a second after they asked
		return several(n, 30*s, func(id string, at time.Duration) []history.Event {
			h := sent(id, "/browse/1", at, s/10, 0, "p")
			h[1].What, h[3].Kind = what, history.ClientLeft
			return append(h, history.Event{Time: at + runs, Who: "p", Kind: history.Finished, Txn: id})
		})
	}
	for name, c := range map[string]struct {
		h    []history.Event
		rule string // the one that is found; none: nothing is
	}{
		"a failure as its backend gave it":      {join(sealed(sealOf("p", "a"), 500), fails), ""},
		"another status under its seal":         {join(sealed(sealOf("p", "a"), 502), fails), "MIXED"},
		"the seal of a success under a failure": {sealed(sealOf("p", "a"), 504), "MIXED"},
		"another backend's seal":                {join(sealed(sealOf("p2", "a"), 500), fails), "MIXED"},

		"as many tries as there may be":    {tries(9, "/browse/1", 30*s, "p", "p2"), ""},
		"one more, three times":            {tries(3, "/browse/1", 30*s, "p", "p2", "p3"), ""},
		"one more, four times":             {tries(4, "/browse/1", 30*s, "p", "p2", "p3"), "BUDGET"},
		"one more, where one had crashed":  {join(tries(4, "/browse/1", 30*s, "p", "p2", "p3"), event(30*s, "p", Crashed), event(30*s+s/10, "p2", Crashed), event(30*s+s/5, "p3", Crashed), event(30*s+s*3/10, "p", Crashed)), ""},
		"the lower bound, while it may be": {tries(9, "/late/1", 60*s, "p", "p2"), ""},
		"the lower bound":                  {tries(9, "/late/1", 70*s, "p", "p2"), "BUDGET"},

		"cut by an end":                           {join(event(29*s, "d0", Terminates), cut), "LOST"},
		"cut by a kill while it ends":             {join(event(29*s, "d0", Terminates), event(31*s, "d0", history.Down), cut), ""},
		"cut by its own end":                      {join(event(29*s, "d0", Terminates), []history.Event{{Time: 31 * s, Who: "d0", Kind: history.Down, What: history.CleanExit}}, cut), "LOST"},
		"cut by another node's end":               {join(event(29*s, "d1", Terminates), cut), ""},
		"cut long after an end":                   {join(event(20*s, "d0", Terminates), cut), ""},
		"cut after its end, in other trouble":     {join(event(29*s, "d0", Terminates), event(28*s, "d1", history.Paused), cut), ""},
		"in trouble while it ends":                {join(event(29*s, "d0", Terminates), event(29*s+s/2, "d0", Troubled), event(30*s+s/2, "d0", Eased), cut), ""},
		"cut after its end, a backend crashed":    {join(event(29*s, "d0", Terminates), event(28*s, "t", Crashed), cut), ""},
		"cut at once, nothing was passed on":      {join(event(29*s, "d0", Terminates), sent("a", "/browse/1", 30*s, s/10, 0)), ""},
		"cut later, though nothing was passed on": {join(event(29*s, "d0", Terminates), sent("a", "/browse/1", 30*s, s/2, 0)), "LOST"},
		"its backend broke off":                   {join(event(29*s, "d0", Terminates), cut, []history.Event{{Time: 30 * s, Who: "p", Kind: "spoil", Txn: "a"}}), ""},
		"at its route's timeout":                  {join(event(29*s, "d0", Terminates), cutAt(30*s, 1600*time.Millisecond)), ""},
		"at work before the last sixth of grace":  {join(event(29*s, "d0", Terminates), cutAt(32*s, s)), "LOST"},
		"at work in it, sent late":                {join(event(29*s, "d0", Terminates), cutAt(33*s, s+s/4)), "LOST"},
		"cut by a reload":                         {join(event(29*s, "d0", Reloads), cut), "LOST"},
		"sent long after a reload":                {join(event(20*s, "d0", Reloads), cut), ""},
		"cut in calm":                             {cut, ""},
		"cut beside a configuration":              {join(served, cutAt(20*s, s)), "LOST"},
		"as often at other times":                 {join(several(30, 21*s, browse), cutAt(20*s, s), sent("b", "/browse/1", 30*s, s, 0, "p")), ""},
		"cut beside one, most of its time used":   {join(served, cutAt(20*s, 1200*time.Millisecond)), ""},

		"routes added later are served": {join(served, late(200)), ""},
		"they are refused":              {join(served, late(503)), "CONFIG"},
		"all are refused":               {join(several(30, 30*s, func(id string, at time.Duration) []history.Event { return sent(id, "/browse/1", at, s/10, 503) }), late(503)), ""},
		"too few to tell":               {join(served, late(503)[:3*19]), ""},
		"too few, where few are served": {join(several(120, 30*s, func(id string, at time.Duration) []history.Event {
			if at%s == 0 {
				return sent(id, "/browse/1", at, s/10, 200)
			}
			return sent(id, "/browse/1", at, s/10, 503)
		}), late(503)), ""},
		"beyond the quota":                {join(served, late(429)), ""},
		"a node that had just been away":  {join(served, late(503), event(39*s, "d0", history.Paused), event(45*s, "d0", history.Resumed)), ""},
		"a node that was away for longer": {join(served, late(503), event(10*s, "d0", history.Paused), event(11*s, "d0", history.Resumed)), "CONFIG"},

		"answered at its deadline":        {sent("a", "/browse/1", 30*s, 1700*time.Millisecond, 504), ""},
		"held past its route's deadline":  {sent("a", "/browse/1", 30*s, 1800*time.Millisecond, 504), "Held"},
		"held by a node that stood still": {join(sent("a", "/browse/1", 30*s, 1800*time.Millisecond, 504), event(31*s, "d0", history.Paused), event(31*s+s/2, "d0", history.Resumed)), ""},
		"never answered":                  {join(sent("a", "/browse/1", 30*s, s, 0)[:2], sent("b", "/browse/1", 40*s, s/10, 200)), "Held"},

		"called off when their clients left":  {left(30, "pure", s/5), ""},
		"run on after their clients had left": {left(4, "pure", s), "GONE"},
		"a few of them":                       {left(3, "pure", s), ""},
		"run on, as they may run once":        {left(30, "effectful", s), ""},
		"run on by a node that had been away": {join(event(29*s, "d0", history.Paused), event(29*s+s/2, "d0", history.Resumed), left(10, "pure", s)), ""},

		"a kind that is refused": {join(many, book), "Starved"},
		"added routes, at a node that was away": {join(many, event(41*s, "d0", history.Paused), several(120, 42*s, func(id string, at time.Duration) []history.Event {
			return sent(id, "/late/1", at, s/10, 503)
		}), event(60*s, "d0", history.Resumed)), ""},
		"a kind that is refused seldom": {join(many, book[:3*90]), ""},
		"a tenant that is refused":      {join(many, of("patrons", 300, 20)), "Starved"},
		"a tenant far beyond its limit": {join(many, of("touts", 300, 20)), ""},
	} {
		var rules []string
		h := history.Merge(c.h, []history.Event{{Time: 100 * s, Who: "operator", Kind: ReadBack, Number: 7, Deadline: 99 * s}})
		backends := quiet(later()).Backends()
		for _, who := range []string{"p", "p2", "p3"} {
			backends.Services[who] = "programme"
		}
		for _, b := range Check(h, backends, 0) {
			if len(rules) == 0 || rules[len(rules)-1] != b.Rule {
				rules = append(rules, b.Rule)
			}
		}
		if c.rule == "" {
			must.SliceEmpty(t, rules, must.Sprint(name))
			continue
		}
		must.Eq(t, []string{c.rule}, rules, must.Sprint(name))
	}
}

// A violation says what became of the requests that were not served, by status: 404 shows an old configuration, 503 a node that knows that
// it may have one.
func TestShareDescribesOtherAnswers(t *testing.T) {
	s := share{}
	for _, end := range []history.Event{{Kind: history.Answered, Number: 200}, {Kind: history.Answered, Number: 503},
		{Kind: history.Answered, Number: 404}, {Kind: history.Answered, Number: 503}, {Kind: history.ClientLeft}} {
		s = s.with(end)
	}
	must.Eq(t, 5, s.requested)
	must.Eq(t, 1, s.served)
	must.Eq(t, " (no answer: 1, 404: 1, 503: 2)", s.describeOthers())
	must.Eq(t, "", share{}.describeOthers())
}
