package history

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// hist reads a short form: "ms who kind [field=value]..." a line.
func hist(t *testing.T, text string) (h []Event) {
	t.Helper()
	for _, l := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(l)
		var ms float64
		fmt.Sscan(f[0], &ms)
		e := Event{Time: time.Duration(ms * 1e6), Who: f[1], Kind: Kind(f[2])}
		for _, kv := range f[3:] {
			k, v, _ := strings.Cut(kv, "=")
			v = strings.ReplaceAll(v, "_", " ")
			var n float64
			fmt.Sscan(v, &n)
			switch k {
			case "txn":
				e.Txn = v
			case "key":
				e.Key = v
			case "at":
				e.Target = v
			case "what":
				e.What = v
			case "n":
				e.Number = n
			case "own":
				e.OwnTime = time.Duration(n * 1e6)
			case "due":
				e.Deadline = time.Duration(n * 1e6)
			case "ok":
				e.Success = v == "yes"
			default:
				t.Fatalf("%q", l)
			}
		}
		h = append(h, e)
	}
	return Merge(h)
}

var world = World{Slack: 50 * time.Millisecond,
	Products: map[string]Product{"read": {Effect: "inquiry-like"}, "pay": {Effect: "once-only", Work: 0.5},
		"bid": {Effect: "referenced", Scope: "zone", Window: 300 * time.Millisecond}, "pod": {Effect: "referenced", Scope: "pod", Window: time.Second}},
	Backends: map[string]Location{"s1": {"a", 0, 0}, "s2": {"a", 1, 0}, "s3": {"b", 0, 0}, "new": {"a", 0, time.Nanosecond}}}

const (
	asked  = "0 c ask txn=1 key=p/1 at=n0 n=1 what=%s due=1000\n"
	began  = "10 s1 arrive txn=1 n=1\n20 s1 over txn=1 n=1\n"
	answer = "30 c answer txn=1 n=200 what=1"
)

// Each checker passes what is good, and finds each of at least three ways to be wrong, naming it.
func TestCheckers(t *testing.T) {
	one := func(h []Event) []Violation { return OneAnswer(h, world) }
	twice := func(h []Event) []Violation { return NoEffectTwice(h, world) }
	drains := func(h []Event) []Violation { return DrainsKept(h, world, time.Second) }
	bound := func(h []Event) []Violation {
		return WithinBound("ceilings kept", h, func(key string) (Bound, bool) { return Bound{Burst: 2, Rate: 10}, key == "p/1" })
	}
	cold := func(h []Event) []Violation {
		return NoOverloadDuringWarmUp(h, world, WarmUp{From: 0.5, Times: 2, Cores: 1, Length: 10 * time.Second, Window: time.Second})
	}
	overlap := func(h []Event) []Violation { return NoOverlap(h, func(string) int { return 1 }) }
	agree := func(h []Event) []Violation { return ViewsConverge(h, 500*time.Millisecond) }
	regs := func(h []Event) []Violation { return Registers(h, 5*time.Second) }
	lock := func(h []Event) []Violation { return Locks(h, 5*time.Second) }
	spend := func(ms ...int) (s string) {
		for i, at := range ms {
			s += fmt.Sprintf("%d c ask txn=%d key=p/1 at=n0 n=1 what=pay due=9000\n%d s1 arrive txn=%d n=%d\n", at, i, at, i, i)
		}
		return s
	}
	chill := func(ms ...int) string { return strings.ReplaceAll(spend(ms...), " s1 ", " new ") }
	for _, c := range []struct {
		name, text, want string
		check            func([]Event) []Violation
	}{
		{"answered", fmt.Sprintf(asked, "pay") + began + answer, "", one},
		{"killed meanwhile", fmt.Sprintf(asked, "pay") + "100 n0 down\n900 n0 up\n2000 x up", "", one},
		{"stood still", fmt.Sprintf(asked, "pay") + "100 n0 stop\n1200 n0 go\n1300 c unheard txn=1", "", one},
		{"one closed unsent", fmt.Sprintf(asked, "pay") + "100 c unheard txn=1\n3000 x up", "", one},
		{"not due yet", fmt.Sprintf(asked, "pay") + "500 x up", "", one},
		{"answered twice", fmt.Sprintf(asked, "pay") + answer + "\n40 c answer txn=1 n=200 what=1", "a second final answer", one},
		{"another's", fmt.Sprintf(asked, "pay") + strings.Replace(answer, "what=1", "what=2", 1), `the answer of "2"`, one},
		{"never", fmt.Sprintf(asked, "pay") + "2000 x up", "no answer before", one},
		{"broken off", fmt.Sprintf(asked, "pay") + began + "30 c unheard txn=1", "without a whole answer", one},
		{"ended in order with it", fmt.Sprintf(asked, "pay") + began + "100 n0 down what=in_order\n100 c unheard txn=1", "without a whole answer", one},
		{"asked after its end", "0 n0 down what=in_order\n" + strings.Replace(fmt.Sprintf(asked, "pay"), "0 c", "60 c", 1) + "61 c unheard txn=1\n3000 x up", "", one},
		{"down only later", fmt.Sprintf(asked, "pay") + "2000 n0 down", "no answer before", one},
		{"many unsent", strings.ReplaceAll(strings.ReplaceAll(spend(1, 2, 3, 4), "s1 arrive", "x see"), "x see", "c unheard"), "nothing sent on", one},

		{"once", fmt.Sprintf(asked, "pay") + began + answer, "", twice},
		{"inside zone and window", fmt.Sprintf(asked, "bid") + began + "200 s2 arrive txn=1 n=2\n250 s2 over txn=1 n=2\n300 c answer txn=1 n=200 what=1", "", twice},
		{"read again anywhere", fmt.Sprintf(asked, "read") + began + "700 s3 arrive txn=1 n=2", "", twice},
		{"turned away, then elsewhere", fmt.Sprintf(asked, "pay") + "10 s1 turn-away txn=1 n=1\n20 s2 arrive txn=1 n=2\n30 c answer txn=1 n=200 what=1", "", twice},
		{"declined before it began", fmt.Sprintf(asked, "pay") + "10 s1 turn-away txn=1 n=1\n20 c answer txn=1 n=429", "", twice},
		{"held up on its way", fmt.Sprintf(asked, "read") + "900 s1 arrive txn=1 n=1 own=10\n100 s1 over txn=1 n=1\n120 s2 arrive txn=1 n=1 own=110\n150 s2 over txn=1 n=1", "", twice},
		{"declined, and it runs later", fmt.Sprintf(asked, "pay") + "900 s1 arrive txn=1 n=1 own=10\n100 c answer txn=1 n=429", "declined", twice},
		{"pay again", fmt.Sprintf(asked, "pay") + began + "100 s1 arrive txn=1 n=2", "once-only", twice},
		{"other zone", fmt.Sprintf(asked, "bid") + began + "100 s3 arrive txn=1 n=2", "outside the zone", twice},
		{"other pod", fmt.Sprintf(asked, "pod") + began + "100 s2 arrive txn=1 n=2", "outside the pod", twice},
		{"after the window", fmt.Sprintf(asked, "bid") + began + "500 s2 arrive txn=1 n=2", "forgotten", twice},
		{"two copies", fmt.Sprintf(asked, "read") + "10 s1 arrive txn=1 n=1\n100 s2 arrive txn=1 n=2\n300 s1 over txn=1 n=1", "a second copy", twice},
		{"declined though begun", fmt.Sprintf(asked, "bid") + began + "30 c answer txn=1 n=429", "declined", twice},
		{"after the answer", fmt.Sprintf(asked, "read") + began + answer + "\n200 s1 arrive txn=1 n=2", "after its final answer", twice},

		{"in the grace", "0 n0 told at=s1 what=Terminating\n900 c ask txn=1 at=n0 n=1 what=pay due=2000\n1040 s1 arrive txn=1 n=1", "", drains},
		{"sent in the grace, late there", "0 n0 told at=s1 what=Terminating\n900 c ask txn=1 at=n0 n=1 what=pay due=2000\n1500 s1 arrive txn=1 n=1 own=950", "", drains},
		{"ready again", "0 n0 told at=s1 what=Gone\n10 n0 told at=s1 what=Ready\n2000 c ask txn=1 at=n0 n=1 what=pay\n2001 s1 arrive txn=1", "", drains},
		{"stood still meanwhile", "0 n0 told at=s1 what=Gone\n10 n0 stop\n1950 n0 go\n2000 c ask txn=1 at=n0 n=1 what=pay\n2001 s1 arrive txn=1", "", drains},
		{"another was told", "0 n1 told at=s1 what=Gone\n2000 c ask txn=1 at=n0 n=1 what=pay\n2001 s1 arrive txn=1", "", drains},
		{"to a draining one", "0 n0 told at=s1 what=Terminating\n2000 c ask txn=1 at=n0 n=1 what=pay\n2001 s1 arrive txn=1", "2.0s after it was told", drains},
		{"turned away there", "0 n0 told at=s1 what=Gone\n2000 c ask txn=1 at=n0 n=1 what=pay\n2001 s1 turn-away txn=1", "after it was told", drains},
		{"told twice", "0 n0 told at=s1 what=Terminating\n1000 n0 told at=s1 what=Gone\n1500 c ask txn=1 at=n0 what=pay\n1501 s1 arrive txn=1", "1.5s", drains},

		{"slow and steady", spend(0, 0, 100, 200, 300), "", bound},
		{"a burst too large", spend(0, 0, 0), "3.0 units", bound},
		{"too fast for long", spend(0, 50, 100, 150, 200, 250), "units in", bound},
		{"a late burst", spend(0, 5000, 5001, 5002), "3.0 units in 2ms", bound},

		{"gently", chill(300, 1400, 2500), "", cold},
		{"too much in a window", chill(300, 301, 302, 303), "core seconds", cold},
		{"too much though warmer", chill(4000, 4001, 4002, 4003, 4004), "core seconds", cold},
		{"too much by and by", chill(600, 800, 1000, 1100), "core seconds", cold},

		{"in turn", "0 n0 begin key=t\n10 n0 end key=t\n10 n1 begin key=t\n20 n1 end key=t", "", overlap},
		{"two tasks", "0 n0 begin key=t\n5 n1 begin key=u", "", overlap},
		{"after its end by force", "0 n0 begin key=t\n10 n0 down\n11 n1 begin key=t", "", overlap},
		{"at once", "0 n0 begin key=t\n5 n1 begin key=t", "2 acts are open", overlap},
		{"while one stands still", "0 n0 begin key=t\n5 n0 stop\n9000 n1 begin key=t", "2 acts", overlap},
		{"twice by itself", "0 n0 begin key=t\n5 n0 begin key=t", "2 acts", overlap},
		{"an end of nothing", "0 n0 begin key=t\n5 n1 end key=t", "never began", overlap},

		{"one after another", "0 n0 hold key=t what=0 n=1 due=100\n50 n0 hold key=t what=0 n=1 due=150\n90 n0 gave key=t what=0 n=1\n91 n1 hold key=t what=0 n=2 due=200\n201 n2 hold key=t what=0 n=3 due=300", "", LeasesExclusive},
		{"killed, then another", "0 n0 hold key=t what=0 n=1 due=100\n5 n0 down\n6 n1 hold key=t what=0 n=2 due=99\n7 n2 hold key=t what=1 n=2 due=99", "", LeasesExclusive},
		{"held by two", "0 n0 hold key=t what=0 n=1 due=100\n99 n1 hold key=t what=0 n=2 due=200", "while n0 holds it", LeasesExclusive},
		{"held by two as one stands still", "0 n0 hold key=t what=0 n=1 due=100\n10 n0 stop\n60 n1 hold key=t what=0 n=2 due=200", "while n0", LeasesExclusive},
		{"renewed over another", "0 n0 hold key=t what=0 n=1 due=100\n101 n1 hold key=t what=0 n=2 due=200\n150 n0 hold key=t what=0 n=1 due=250", "while n1", LeasesExclusive},
		{"rising", "0 k took key=t n=1 at=n0\n1 k took key=t n=1 at=n0\n2 k took key=t n=3 at=n1\n3 k took key=u n=1 at=n1", "", NumbersMonotonic},
		{"falling", "0 k took key=t n=2 at=n0\n1 k took key=t n=1 at=n1", "after 2", NumbersMonotonic},
		{"shared", "0 k took key=t n=2 at=n0\n1 k took key=t n=2 at=n1", "also that of", NumbersMonotonic},
		{"shared at two ledgers", "0 k took key=t n=2 at=n0\n1 l took key=t n=2 at=n1", "also that of", NumbersMonotonic},

		{"one mind", "0 r strike\n10 r heal\n20 n0 see key=b at=s1 what=bad\n30 n1 see key=b at=s1 what=bad\n600 x up", "", agree},
		{"one is down", "0 n1 see key=b at=s1 what=good\n0 r strike\n10 n1 down\n10 r heal\n20 n0 see key=b at=s1 what=bad\n600 x up", "", agree},
		{"two minds", "0 r strike\n10 r heal\n20 n0 see key=b at=s1 what=bad\n30 n1 see key=b at=s1 what=good\n600 x up", "holds", agree},
		{"changed too late", "0 r strike\n10 r heal\n20 n0 see key=b at=s1 what=bad\n30 n1 see key=b at=s1 what=good\n590 n1 see key=b at=s1 what=bad\n600 x up", "holds", agree},
		{"too short to tell", "0 r strike\n10 r heal\n20 n0 see key=b at=s1 what=bad\n300 x up", "nothing is shown", agree},
		{"never healed", "0 r strike\n20 n0 see key=b at=s1 what=bad\n3000 x up", "nothing is shown", agree},

		{"reads what is written", "0 a invoke key=r what=write n=1\n5 b invoke key=r what=read\n9 b return key=r n=0\n10 a return key=r\n11 b invoke key=r what=read\n12 b return key=r n=1", "", regs},
		{"a write that never returned", "0 a invoke key=r what=write n=1\n5 b invoke key=r what=read\n9 b return key=r n=1", "", regs},
		{"swapped", "0 a invoke key=r what=swap_0 n=1\n5 a return key=r ok=yes\n6 b invoke key=r what=swap_0 n=2\n7 b return key=r ok=no", "", regs},
		{"stale", "0 a invoke key=r what=write n=1\n5 a return key=r\n6 b invoke key=r what=read\n9 b return key=r n=0", "no order", regs},
		{"from nowhere", "6 b invoke key=r what=read\n9 b return key=r n=7", "no order", regs},
		{"back and forth", "0 a invoke key=r what=write n=1\n90 a return key=r\n6 b invoke key=r what=read\n9 b return key=r n=1\n16 c invoke key=r what=read\n19 c return key=r n=0", "no order", regs},
		{"swapped twice", "0 a invoke key=r what=swap_0 n=1\n5 a return key=r ok=yes\n6 b invoke key=r what=swap_0 n=2\n7 b return key=r ok=yes", "no order", regs},

		{"held in turn", "0 a invoke key=l what=lock\n1 a return key=l ok=yes\n2 b invoke key=l what=lock\n3 b return key=l ok=no\n4 a invoke key=l what=unlock\n5 a return key=l ok=yes\n6 b invoke key=l what=lock\n7 b return key=l ok=yes", "", lock},
		{"held twice", "0 a invoke key=l what=lock\n1 a return key=l ok=yes\n2 b invoke key=l what=lock\n3 b return key=l ok=yes", "no order", lock},
		{"refused though free", "2 b invoke key=l what=lock\n3 b return key=l ok=no", "no order", lock},
		{"given back by another", "0 a invoke key=l what=lock\n1 a return key=l ok=yes\n2 b invoke key=l what=unlock\n3 b return key=l ok=yes", "no order", lock},
	} {
		got := c.check(hist(t, c.text))
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: %s", c.name, got[0])
		case c.want != "" && len(got) == 0:
			t.Errorf("%s: not found", c.name)
		case c.want != "" && !strings.Contains(got[0].String(), c.want):
			t.Errorf("%s: %s", c.name, got[0])
		}
	}
}

// A file of a history comes back as it was; cut off in a line it is read up to there; a newer version is refused; what
// there was no room for is told.
func TestFiles(t *testing.T) {
	name := filepath.Join(t.TempDir(), "h.jsonl")
	l, err := ToFile(name, "n7", 3, 4000)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < 100; i++ {
		l.Add(Event{Kind: Observed, Key: "backend", Target: fmt.Sprint(i)})
	}
	if err = l.Close(); err != nil {
		t.Fatal(err)
	}
	l.Add(Event{Kind: Observed}) // a front door that ends may still be told things
	l.Close()
	all, cut, err := ReadFile(name)
	last := all[len(all)-1]
	if err != nil || cut || all[0].Who != "n7" || all[0].Incarnation != 3 || last.Kind != Dropped || len(all)-1+int(last.Number) != 100 {
		t.Errorf("%v, cut %v, %d events, last %+v", err, cut, len(all), last)
	}
	text, _ := os.ReadFile(name)
	if some, cut, err := Read("x", bytes.NewReader(text[:len(text)-9])); err != nil || !cut || len(some) != len(all)-1 {
		t.Errorf("%v, cut %v, %d events", err, cut, len(some))
	}
	if _, _, err := Read("x", strings.NewReader(`{"t":1,"who":"n0","kind":"history","n":2}`+"\n")); err == nil || !strings.Contains(err.Error(), "x:1: version 2") {
		t.Error(err)
	}
	if _, _, err := Read("x", strings.NewReader("{\"t\":1,\"who\":\"n0\",\"kind\":\"up\"}\n{\n")); err == nil || !strings.Contains(err.Error(), "x:1") {
		t.Error(err)
	}
	if _, _, err := Read("x", strings.NewReader("{\"t\":1,\"who\":\"r\",\"kind\":\"history\",\"n\":1}\n{]}\n{}\n")); err == nil || !strings.Contains(err.Error(), "x:2") {
		t.Error(err)
	}
	var b bytes.Buffer
	if err := Write(&b, all); err != nil {
		t.Fatal(err)
	}
	if again, _, err := Read("x", &b); err != nil || len(again) != len(all) || again[5] != all[5] {
		t.Errorf("%v, %d events", err, len(again))
	}
	m := InMemory(2)
	for i := 0; i < 5; i++ {
		m.Add(Event{Time: time.Duration(9 - i), Who: "x"})
	}
	if h := m.Events(); len(h) != 3 || h[0].Time != 8 || h[2].Number != 3 {
		t.Errorf("%+v", h)
	}
}

// The one pass over what was spent finds what a look at every stretch finds: a bound that is passed only inside a long
// history, or by the smallest amount, would else go unseen.
func TestWorstStretch(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	passed := 0
	for range 400 {
		most := Bound{Burst: 1 + 5*rng.Float64(), Rate: 4 * rng.Float64()}
		at, spends := time.Duration(rng.Int64N(1e15)), []Event(nil)
		for range 1 + rng.IntN(40) {
			at += time.Duration(rng.Int64N(1e9))
			spends = append(spends, Event{Time: at, Number: float64(1 + rng.IntN(2))})
		}
		over := 0.0
		for i := range spends {
			sum := 0.0
			for _, e := range spends[i:] {
				sum += e.Number
				over = max(over, sum-most.Max(e.Time-spends[i].Time))
			}
		}
		got := worstStretch(spends, most)
		if math.Abs(got.over-over) > 1e-6 {
			t.Fatalf("over by %g, every stretch says %g: %v", got.over, over, spends)
		}
		if over > 0 {
			passed++
			if d := spends[got.last].Time - spends[got.first].Time; math.Abs(got.sum-most.Max(d)-over) > 1e-6 {
				t.Fatalf("the stretch named, %+v, is not over by %g", got, over)
			}
		}
	}
	if passed < 50 || passed > 350 {
		t.Errorf("%d of 400 pass the bound: the draws show too little", passed)
	}
}
