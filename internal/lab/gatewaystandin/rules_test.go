package gatewaystandin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

const s = time.Second

// quiet is a deployment that only rules see: three nodes with disks, up since long, and an operator's versions.
func quiet(versions map[uint64]*Version) *Deployment {
	t := &Deployment{Config: Config{Disks: 3}}
	for _, name := range []string{"d0", "d1", "d2"} {
		t.Nodes = append(t.Nodes, &Node{Process: standin.NewProcess(name, nil, nil, nil, nil),
			Control: name + ":1", deployment: t})
	}
	t.Operator = &Operator{deployment: t, versions: versions}
	t.all = []*HeartbeatBackend{{Backend: &standin.Backend{ID: "p"}, Service: "programme"},
		{Backend: &standin.Backend{ID: "t"}, Service: "tickets"}}
	return t
}

// request is a try's events: asked by a node, run at backends, answered; a negative time of a run is a
// turn-away after it.
func request(id, what, tenant, host, path string, at time.Duration, ran map[string]time.Duration,
	answer time.Duration, code float64) []history.Event {
	h := []history.Event{{Time: at, Who: "clients", Kind: Route, Txn: id, Key: host, Target: path, What: "r"},
		{Time: at, Who: "clients", Kind: history.Requested, Txn: id, Key: tenant, Target: "d0", Number: 1, What: what}}
	for who, t := range ran {
		h = append(h, history.Event{Time: t, Who: who, Kind: history.Arrived, Txn: id, Key: tenant, Target: path, Number: 1})
	}
	return append(h, history.Event{Time: answer, Who: "clients", Kind: history.Answered, Txn: id, Number: code,
		What: id})
}

// moved is the first configuration, and one that moves /browse/ to the other service.
func moved(acked time.Duration) map[uint64]*Version {
	next := First()
	next.Generation = 4
	next.Vhosts[0].PathList[0].Target = "tickets"
	next.Vhosts[1].PathList = nil
	return map[uint64]*Version{1: {Config: First(), Sent: s, Acked: s},
		4: {Config: next, Parent: 1, Sent: acked - s/10, Acked: acked}}
}

func TestRulesFindWhatIsBroken(t *testing.T) {
	read := history.Event{Time: 100 * s, Who: "operator", Kind: ReadBack, Number: 4, Deadline: 99 * s}
	browse := func(at time.Duration, who string, code float64) []history.Event {
		return request("a", "pure", "patrons", hostProgramme, "/browse/1", at, map[string]time.Duration{who: at},
			at+s/10, code)
	}
	turned := history.Event{Time: 5*s + s/2, Who: "t", Kind: history.Rejected, Txn: "a", Number: 1}
	var many []history.Event
	for i := range 70 {
		many = append(many, request(string(rune('A'+i)), "pure", "touts", hostProgramme, "/browse/1",
			10*s+time.Duration(i)*s/20,
			map[string]time.Duration{"p": 10*s + time.Duration(i)*s/20}, 10*s+time.Duration(i)*s/20+s, 200)...)
	}
	var again []history.Event
	for i := range 70 {
		id := string(rune('A' + i))
		again = append(again, request(id, "pure", "", hostProgramme, "/browse/1", 10*s,
			map[string]time.Duration{"p": 10 * s}, 11*s+s/2, 200)...)
		again = append(again, history.Event{Time: 11 * s, Who: "p", Kind: history.Rejected, Txn: id, Number: 2 + float64(i)})
	}
	over := append(again[:0:0], again...)
	for i := range 70 { // and once more
		over = append(over, history.Event{Time: 12 * s, Who: "p", Kind: history.Rejected, Txn: string(rune('A' + i)),
			Number: 100 + float64(i)})
	}
	for name, c := range map[string]struct {
		h     []history.Event
		rules []string
	}{
		"all is well":        {browse(10*s, "p", 200), nil},
		"the new way":        {browse(30*s, "t", 200), nil},
		"either way at once": {browse(21*s, "p", 200), nil},
		"the new way, and back": {append(browse(20*s+s/2, "t", 200), request("b", "pure", "patrons", hostProgramme, "/browse/1",
			21*s+s/2, map[string]time.Duration{"p": 21*s + s/2}, 22*s, 200)...), []string{"CONFIG"}},
		"the old way for too long":   {browse(30*s, "p", 200), []string{"CONFIG"}},
		"refused though it is there": {browse(30*s, "t", 404), []string{"CONFIG"}},
		"a route that is gone": {request("a", "pure", "", hostTickets, "/book/1", 30*s,
			map[string]time.Duration{"t": 30 * s}, 31*s, 200), []string{"CONFIG"}},
		"a node that had just started": {append([]history.Event{{Time: 29 * s, Who: "d0", Kind: history.Up}},
			browse(30*s, "p", 200)...), nil},
		"a node in trouble all the while": {append([]history.Event{{Time: 5 * s, Who: "d0", Kind: Troubled}},
			browse(30*s, "p", 200)...), nil},
		"trouble of a node that was eased": {append([]history.Event{{Time: 5 * s, Who: "d0", Kind: Troubled},
			{Time: 6 * s, Who: "d0", Kind: Eased}}, browse(30*s, "p", 200)...), []string{"CONFIG"}},
		"a node without a path from one of the core": {append([]history.Event{{Time: 25 * s, Who: "d2", Kind: LinkDown, Target: "d0"},
			{Time: 28 * s, Who: "d2", Kind: LinkUp, Target: "d0"}}, browse(30*s, "p", 200)...), nil},
		"a path back for long": {append([]history.Event{{Time: 25 * s, Who: "d2", Kind: LinkDown, Target: "d0"},
			{Time: 26 * s, Who: "d2", Kind: LinkUp, Target: "d0"}}, browse(30*s, "p", 200)...), []string{"CONFIG"}},
		"one of the core cut off for long, another's node": {append([]history.Event{{Time: 20 * s, Who: "d2", Kind: LinkDown, Target: "d1"},
			{Time: 20 * s, Who: "d2", Kind: LinkDown, Target: "d0"}}, browse(30*s, "p", 200)...), []string{"CONFIG"}},
		"the core in three": {append([]history.Event{{Time: 20 * s, Who: "d2", Kind: LinkDown, Target: "d1"}, {Time: 20 * s, Who: "d2", Kind: LinkDown, Target: "d0"},
			{Time: 20 * s, Who: "d0", Kind: LinkDown, Target: "d1"}}, browse(30*s, "p", 200)...), nil},
		"never a service of it": {request("a", "pure", "", hostTickets, "/book/1", 5*s,
			map[string]time.Duration{"p": 5 * s}, 6*s, 200), []string{"ROUTE", "CONFIG"}},
		"twice": {request("a", "effectful", "", hostTickets, "/book/1", 5*s,
			map[string]time.Duration{"t": 5 * s, "t2": 5 * s}, 6*s, 200), []string{"TWICE", "ROUTE", "CONFIG"}},
		"refused, and it ran": {request("a", "effectful", "", hostTickets, "/book/1", 5*s,
			map[string]time.Duration{"t": 5 * s}, 6*s, 503), []string{"REFUSED"}},
		"refused, turned away in queue": {append(request("a", "effectful", "", hostTickets, "/book/1", 5*s,
			map[string]time.Duration{"t": 5 * s}, 6*s, 503), turned), nil},
		"another's tenant": {append(request("a", "pure", "clubs", hostProgramme, "/browse/1", 5*s, nil, 6*s, 200),
			history.Event{Time: 5 * s, Who: "p", Kind: history.Arrived, Txn: "a", Key: "touts", Target: "/browse/1",
				Number: 1}), []string{"UNASKED"}},
		"nobody sent it": {[]history.Event{{Time: 5 * s, Who: "p", Kind: history.Arrived, Txn: "x", Number: 1}},
			[]string{"UNASKED"}},
		"further tries":   {append(again[:0:0], again[:66*4]...), nil},
		"over the budget": {over, []string{"BUDGET"}},
		"over the quota":  {many, []string{"QUOTA"}},
		"sent to one that drains": {append([]history.Event{{Time: 5 * s, Who: "d1:1", Kind: history.Notified, Target: "p",
			What: "Terminating"}},
			browse(8*s, "p", 200)...), []string{"DRAIN"}},
		"sent to one that drains, forgotten by a restart": {append([]history.Event{{Time: 5 * s, Who: "d1:1", Kind: history.Notified, Target: "p",
			What: "Terminating"}, {Time: 5200 * ms, Who: "d1", Kind: history.Down}, {Time: 5500 * ms, Who: "d1", Kind: history.Up}},
			browse(9*s, "p", 200)...), []string{"DRAIN"}},
		"sent to one that drains, too soon after a restart": {append([]history.Event{{Time: 5 * s, Who: "d1:1", Kind: history.Notified, Target: "p",
			What: "Terminating"}, {Time: 5200 * ms, Who: "d1", Kind: history.Down}, {Time: 5500 * ms, Who: "d1", Kind: history.Up}},
			browse(8*s, "p", 200)...), nil},
		"an old one read": {[]history.Event{{Time: 50 * s, Who: "operator", Kind: ReadBack, Number: 1, Deadline: 49 * s}},
			[]string{"CONFIG"}},
	} {
		var rules []string
		for _, b := range Check(history.Merge(c.h, []history.Event{read}), quiet(moved(20*s)).Backends(), 0) {
			if len(rules) == 0 || rules[len(rules)-1] != b.Rule {
				rules = append(rules, b.Rule)
			}
		}
		must.Eq(t, c.rules, rules, must.Sprint(name))
	}
}

func TestKeptFindsWhatIsLost(t *testing.T) {
	config := func(n uint64) *routing.Config { b := First(); b.Generation = n; return b }
	other := config(4)
	other.Tenants = nil
	for name, c := range map[string]struct {
		final *routing.Config
		sent  map[uint64]Version
		bad   int
	}{
		"kept": {config(4), map[uint64]Version{1: {Config: config(1), Acked: s},
			4: {Config: config(4), Parent: 1}}, 0},
		"lost": {config(1), map[uint64]Version{1: {Config: config(1), Acked: s},
			4: {Config: config(4), Parent: 1, Acked: s}}, 1},
		"another in its way": {config(6), map[uint64]Version{1: {Config: config(1), Acked: s},
			4: {Config: config(4), Parent: 1, Acked: s}, 6: {Config: config(6), Parent: 1}}, 1},
		"both of a race": {config(6), map[uint64]Version{1: {Config: config(1), Acked: s},
			4: {Config: config(4), Parent: 1, Acked: s}, 6: {Config: config(6), Parent: 1, Acked: s}}, 2},
		"not as sent":   {other, map[uint64]Version{4: {Config: config(4), Acked: s}}, 1},
		"refused":       {config(4), map[uint64]Version{4: {Config: config(4), Lost: true, Refusal: "412"}}, 1},
		"invalid":       {config(4), map[uint64]Version{4: {Config: config(4), Acked: s, WellKnownBad: true}}, 1},
		"nothing comes": {nil, map[uint64]Version{4: {Config: config(4)}}, 1},
	} {
		must.Len(t, c.bad, Kept(c.final, c.sent, s), must.Sprint(name))
	}
}
