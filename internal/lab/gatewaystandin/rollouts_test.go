package gatewaystandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
)

// told is a try of the trial's service at node d0: asked, begun at some backends one after another, over, answered.
// A write is in the books as often as is said.
func told(id, what, path string, at, takes time.Duration, code float64, recorded int, begun ...string) []history.Event {
	h := []history.Event{{Time: at, Who: "clients", Kind: Route, Txn: id, Key: "saleroom.example", Target: path, What: "bids"},
		{Time: at, Who: "clients", Kind: history.Requested, Txn: id, Target: "d0", Number: 1, What: what, Deadline: at + 4*s}}
	for i, who := range begun {
		from := at + time.Duration(i)*takes/10
		h = append(h, history.Event{Time: from, Who: who, Kind: history.Arrived, Txn: id, Number: 1},
			history.Event{Time: from + takes, Who: who, Kind: history.Finished, Txn: id, Number: 1})
	}
	for range recorded {
		h = append(h, history.Event{Time: at + takes, Who: begun[0], Kind: Recorded, Txn: id, Target: path})
	}
	if code > 0 {
		h = append(h, history.Event{Time: at + takes, Who: "clients", Kind: history.Answered, Txn: id, Number: code, What: id})
	}
	return h
}

func event(at time.Duration, who string, k history.Kind) []history.Event {
	return []history.Event{{Time: at, Who: who, Kind: k}}
}

func onTrial() *Trial {
	return &Trial{Service: "saleroom", New: "v2", Backends: map[string][2]string{"old": {"saleroom", "v1"},
		"new": {"saleroom", "v2"}, "other": {"library", "v2"}}, Spoilt: 8 * s, RolledBackAt: 20 * s,
		RolledBackNodes: map[string]time.Duration{"d0": 21 * s}, Slack: 50 * ms}
}

func rulesOf(bad []history.Violation) (rules []string) {
	for _, b := range bad {
		rules = append(rules, b.Rule)
	}
	return rules
}

func TestLedgerFindsWhatIsLostDoubledOrDenied(t *testing.T) {
	flaw := history.Event{Time: 2 * s, Who: "new", Kind: Flawed, Txn: "a", What: "5xx"}
	turned := history.Event{Time: 2 * s, Who: "new", Kind: history.Rejected, Txn: "a", Number: 1}
	for name, c := range map[string]struct {
		h     []history.Event
		rules []string
		open  Open
	}{
		"done": {told("a", "effectful", "/bids/1", s, s, 200, 1, "new"), nil, Open{Why: map[string]int{}}},
		"refused, then done": {history.Merge(told("a", "effectful", "/bids/1", s, s, 503, 0), told("b", "effectful", "/bids/1",
			3*s, s, 200, 1, "old")), nil, Open{Why: map[string]int{}}},
		"refused after it was turned away": {append(told("a", "effectful", "/bids/1", s, s, 503, 0, "new"), turned), nil,
			Open{Why: map[string]int{}}},
		"a read":       {told("a", "pure", "/lots/1", s, s, 200, 0, "new"), nil, Open{Why: map[string]int{}}},
		"lost":         {told("a", "effectful", "/bids/1", s, s, 200, 0, "new"), []string{"BOOKS"}, Open{Why: map[string]int{}}},
		"twice":        {told("a", "effectful", "/bids/1", s, s, 200, 2, "new"), []string{"BOOKS"}, Open{Why: map[string]int{}}},
		"denied":       {told("a", "effectful", "/bids/1", s, s, 503, 1, "new"), []string{"BOOKS"}, Open{Why: map[string]int{}}},
		"by two tries": {history.Merge(told("a", "effectful", "/bids/1", s, s, 502, 1, "new"), told("b", "effectful", "/bids/1", 3*s, s, 200, 1, "old")), []string{"BOOKS"}, Open{1, 1, map[string]int{"other: 502": 1}}},
		"failed by the version, recorded": {append(told("a", "effectful", "/bids/1", s, s, 500, 1, "new"), flaw), nil,
			Open{1, 1, map[string]int{"the version's 5xx": 1}}},
		"its node died": {history.Merge(event(s/2, "d0", history.Up), told("a", "effectful", "/bids/1", s, s, 0, 0, "new"),
			event(s+s/2, "d0", history.Down)), nil, Open{1, 0, map[string]int{"its node ended or stood still": 1}}},
		"no answer, never begun": {told("a", "effectful", "/bids/1", s, s, 504, 0), nil, Open{1, 0, map[string]int{"never sent on": 1}}},
	} {
		bad, open := Ledger(c.h)
		must.Eq(t, c.rules, rulesOf(bad), must.Sprint(name))
		must.Eq(t, c.open, open, must.Sprint(name))
	}
}

func TestBarredFindsWhatReachesTheFailingVersion(t *testing.T) {
	at := func(when time.Duration, begun ...string) []history.Event {
		return told("a", "pure", "/lots/1", when, s, 200, 0, begun...)
	}
	for name, c := range map[string]struct {
		h     []history.Event
		rules []string
	}{
		"before":                        {at(20*s, "new"), nil},
		"asked before, sent long after": {told("b", "pure", "/lots/2", 19*s, 30*s, 200, 0, "old", "new"), []string{"BARRED"}},
		"after":                         {at(22*s, "new"), []string{"BARRED"}},
		"after, the old one":            {at(22*s, "old"), nil},
		"after, another service":        {at(22*s, "other"), nil},
		"from the new to the old":       {at(20*s, "new", "old"), nil},
		"from the old to the new": {history.Merge(told("a", "pure", "/lots/1", 10*s, s/10, 0, 0, "old"),
			[]history.Event{{Time: 11 * s, Who: "new", Kind: history.Arrived, Txn: "a", Number: 2}}), []string{"BACK"}},
		"sent before, arrived after the answer": {history.Merge(told("a", "pure", "/lots/1", 10*s, s/10, 200, 0, "old"),
			[]history.Event{{Time: 11 * s, Who: "new", Kind: history.Arrived, Txn: "a", Number: 2}}), nil},
		"out at both at a time":           {at(10*s, "old", "new"), nil},
		"a node started anew before that": {history.Merge(event(20*s+s/5, "d0", history.Up), at(20*s+s/2, "new")), []string{"BARRED"}},
		"and before the verdict":          {history.Merge(event(19*s, "d0", history.Up), at(20*s+s/2, "new")), nil},
	} {
		must.Eq(t, c.rules, rulesOf(Barred(c.h, onTrial())), must.Sprint(name))
	}
}

// A read that takes longer than the grace of a node that ends may be cut; one of a node that ended early may not.
func TestGraceIsUsedUp(t *testing.T) {
	ends := func(after time.Duration) []history.Event {
		return history.Merge(event(10*s, "d0", Terminates), event(10*s+after, "d0", history.Down))
	}
	must.True(t, OutOfGrace(ends(Bounds().ShutdownGrace-s/4), "d0", 10*s+Bounds().ShutdownGrace-s/4))
	must.False(t, OutOfGrace(ends(Bounds().ShutdownGrace-s/4), "d0", 11*s))
	must.False(t, OutOfGrace(ends(Bounds().ShutdownGrace-s/4), "d1", 10*s+Bounds().ShutdownGrace-s/4))
	must.False(t, OutOfGrace(ends(2*s), "d0", 12*s))
	must.False(t, OutOfGrace(event(12*s, "d0", history.Down), "d0", 12*s))
}

func TestReadsUnderWayComeWhole(t *testing.T) {
	read := func(from, takes time.Duration, code float64) []history.Event {
		return told("a", "pure", "/appraisals/1", from, takes, code, 0, "new")
	}
	flaw := history.Event{Time: 19 * s, Who: "new", Kind: Flawed, Txn: "a", What: "wrong"}
	mixed := history.Event{Time: 22 * s, Who: "clients", Kind: Mixed, Txn: "a"}
	for name, c := range map[string]struct {
		h     []history.Event
		rules []string
		want  Carried
	}{
		"whole":              {read(19*s, 3*s, 200), nil, Carried{UnderWay: 1, Whole: 1}},
		"over before":        {read(15*s, 3*s, 500), nil, Carried{}},
		"begun after":        {read(20*s+s/2, 3*s, 500), nil, Carried{}},
		"broken off":         {read(19*s, 3*s, 0), []string{"READS"}, Carried{UnderWay: 1}},
		"answered with 5xx":  {read(19*s, 3*s, 503), []string{"READS"}, Carried{UnderWay: 1}},
		"another's bytes":    {append(read(19*s, 3*s, 200), mixed), []string{"READS"}, Carried{UnderWay: 1}},
		"failed by it":       {append(read(19*s, 3*s, 500), flaw), nil, Carried{UnderWay: 1, Failed: 1}},
		"its node is killed": {history.Merge(read(19*s, 3*s, 0), event(21*s, "d0", history.Down)), nil, Carried{UnderWay: 1, Off: 1}},
	} {
		bad, got := CheckReadsComplete(c.h, onTrial())
		must.Eq(t, c.rules, rulesOf(bad), must.Sprint(name))
		must.Eq(t, c.want, got, must.Sprint(name))
	}
}

func TestMeasuresFromTheFirstFailingAnswer(t *testing.T) {
	flaw := func(at time.Duration, id string) []history.Event {
		return []history.Event{{Time: at, Who: "new", Kind: Flawed, Txn: id, What: "5xx"}}
	}
	h := history.Merge(told("before", "pure", "/lots/0", 8*s, s/10, 200, 0, "new"),
		told("first", "effectful", "/bids/1", 10*s, s/10, 500, 1, "new"), flaw(10*s, "first"),
		told("fine", "pure", "/lots/1", 12*s, s/10, 200, 0, "new"), told("old", "pure", "/lots/2", 13*s, s/10, 200, 0, "old"),
		told("saved", "pure", "/lots/3", 15*s, s/10, 200, 0, "new", "old"), flaw(15*s, "saved"))
	must.Eq(t, Met{FirstBad: 2 * s, Verdict: 10 * s, LastNode: 11 * s, Last: 5 * s, Requests: 3, Failing: 2, Clients: 1,
		ByNode: map[string]time.Duration{"d0": 5 * s}},
		Measure(h, onTrial()))
	must.Eq(t, []Moment{{0, 1, 2, 0, 1}, {5, 1, 1, 0, 1}}, Course(h, onTrial(), 10*s, 5*s))
	must.Eq(t, Met{}, Measure(h[:2], onTrial()))
}

// Each play has a sound configuration, all kinds are drawn as often as they say, users keep their key and mark, and a
// flaw hits what it says.
func TestPlaysAreSound(t *testing.T) {
	for name, make := range Plays() {
		p := make()
		must.Eq(t, name, p.Name)
		text, _ := json.Marshal(p.first())
		_, err := routing.ReadConfig(text)
		must.NoError(t, err)
		tr := &Deployment{Config: Config{Play: p, Seed: 3, Zones: []string{"stalls"}}}
		c := NewClients(tr)
		n, marks, keys := map[string]int{}, map[int]string{}, map[int]string{}
		for range 5000 {
			w := c.draw()
			n[w.Kind]++
			if marks[w.User] == "" {
				marks[w.User], keys[w.User] = w.ClientID, w.Key
			}
			must.Eq(t, marks[w.User]+keys[w.User], w.ClientID+w.Key)
		}
		must.Eq(t, usersEach, len(keys))
		for _, k := range p.Kinds {
			must.Between(t, float64(50*k.Share)*0.75, float64(n[k.Name]), float64(50*k.Share)*1.3, must.Sprint(k.Name))
		}
	}
}

func TestFlawsHitWhatTheySay(t *testing.T) {
	tr, err := New(Config{Zones: []string{"stalls"}, Nodes: 0, BackendsPerZone: 1, HeartbeatInterval: time.Hour, Play: SaleDay(), History: history.InMemory(1 << 10)})
	must.NoError(t, err)
	defer tr.Close()
	l, err := tr.AddVersion("saleroom", "stalls", "v2", 0)
	must.NoError(t, err)
	tr.Spoil("v2", &Flaw{Cause: "5xx", Share: 1, Writes: true, Tenant: "tenant1"})
	at := func(l *HeartbeatBackend, kind string, user int) int {
		var w Request
		w.by(user)
		method := http.MethodGet
		if tr.play().of(kind).Effectful {
			method = http.MethodPost
		}
		r, _ := http.NewRequest(method, "http://"+l.Addr+"/"+kind+"/1", nil)
		r.Header.Set("X-Attempt-Id", fmt.Sprint(kind, user, l.Version))
		r.Header.Set("X-Tenant", w.Tenant)
		a, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		a.Body.Close()
		return a.StatusCode
	}
	must.Eq(t, 500, at(l, "bids", 2))
	must.Eq(t, 200, at(l, "bids", 1))
	must.Eq(t, 200, at(l, "lots", 2))
	must.Eq(t, 200, at(tr.Serving()[0], "bids", 2))
	tr.Spoil("v2", nil)
	must.Eq(t, 200, at(l, "bids", 2))
	records := 0
	for _, e := range tr.Config.History.Events() {
		if e.Kind == Recorded {
			records++
		}
	}
	must.Eq(t, 4, records) // what a version answers with 5xx is in its books
}

// A change that the operator sent and left behind when all was over is not held to an answer, however long reads go on.
func TestTheOperatorGoesBeforeLongReadsEnd(t *testing.T) {
	sent := moved(0)
	sent[4].Sent, sent[4].Acked = 15*s, 0
	end := event(30*s, "clients", history.Unanswered)
	played := quiet(sent).Backends()
	must.Len(t, 1, acks(played, newCalm(end, played), end))
	closed := history.Merge(event(16*s, "rig", history.Complete), end)
	must.SliceEmpty(t, acks(played, newCalm(closed, played), closed))
}
