package gatewaystandin

import (
	"fmt"
	"slices"
	"time"

	"clovergap/internal/history"
)

// Trial is a roll-out as the rig saw it from outside, to hold a history against.
type Trial struct {
	Service string
	New     string                   // version
	Lines   map[string][2]string     // of each backend: service, version
	Spoilt  time.Duration            // when the new version began to fail; nought: never
	Mended  time.Duration            // when it was mended, as nothing had pulled it back; nought: never
	Verdict time.Duration            // when any node was first seen to have pulled back; nought: none was
	Pulled  map[string]time.Duration // the same of each node
	Slack   time.Duration            // how slow the machine itself was
}

// Outputs tells service and version of all backends that ever were.
func (d *Deployment) Outputs() map[string][2]string {
	all := map[string][2]string{}
	for _, l := range d.All() {
		all[l.ID] = [2]string{l.Service, l.Version}
	}
	return all
}

func (t *Trial) isNew(backend string) bool { return t.Lines[backend] == [2]string{t.Service, t.New} }

// Open counts writes whose client had no clear answer, by why, and how many of them are in the books.
type Open struct {
	All      int            `json:"all"`
	Recorded int            `json:"recorded"`
	Why      map[string]int `json:"why,omitempty"`
}

// promise tells whether an answer says that nothing has run.
func promise(code float64) bool { return code == 429 || code == 503 || code == 408 || code == 421 }

// attempt is one try of a client, with all that came of it.
type attempt struct {
	ask, route, final history.Event
	begun, over       []history.Event // at backends, without those that were turned away
	recorded          int
	flaw              string
}

// ended is when a backend was done with what it had begun.
func (a *attempt) ended(b history.Event) time.Duration {
	for _, e := range a.over {
		if e.Who == b.Who && e.N == b.N {
			return e.T
		}
	}
	return always
}

func attempts(h []history.Event) (all map[string]*attempt, order []string) {
	all = map[string]*attempt{}
	of := func(e history.Event) *attempt {
		if all[e.Txn] == nil {
			all[e.Txn], order = &attempt{}, append(order, e.Txn)
		}
		return all[e.Txn]
	}
	for _, e := range Run(h) {
		if e.Txn == "" {
			continue
		}
		switch e.Kind {
		case Route:
			of(e).route = e
		case history.Asked:
			of(e).ask = e
		case history.Answered:
			of(e).final = e
		case history.Arrived:
			a := of(e)
			a.begun = append(a.begun, e)
		case history.Over:
			a := of(e)
			a.over = append(a.over, e)
		case Recorded:
			of(e).recorded++
		case Flawed:
			of(e).flaw = e.What
		}
	}
	return all, order
}

// Ledger checks the books: a write whose client was told that it is done is in the books once; one that was told refused is not; none
// is twice, by try or by the write that all its tries are for. What had no clear answer is counted.
func Ledger(h []history.Event) (bad []history.Broken, u Open) {
	u.Why = map[string]int{}
	all, order := attempts(h)
	o := newOff(h, Terminates)
	writes := map[string]int{}
	for _, id := range order {
		a := all[id]
		if a.ask.What != "effectful" && a.recorded == 0 {
			continue
		}
		say := func(format string, args ...any) {
			bad = append(bad, history.Broken{Rule: "BOOKS", T: max(a.final.T, a.ask.T), Who: a.ask.At, Txn: id,
				Key: a.route.What, What: fmt.Sprintf(format, args...)})
		}
		writes[a.route.At] += a.recorded
		code := a.final.N
		switch {
		case a.recorded > 1:
			say("recorded %d times", a.recorded)
		case a.recorded == 1 && writes[a.route.At] > 1:
			say("%s is recorded %d times, by several tries", a.route.At, writes[a.route.At])
		case int(code)/100 == 2 && a.recorded == 0:
			say("told %.0f, and not recorded", code)
		case promise(code) && a.recorded > 0:
			say("told %.0f, and recorded", code)
		}
		if int(code)/100 == 2 || promise(code) || int(code)/100 == 4 {
			continue
		}
		u.All++
		if a.recorded > 0 {
			u.Recorded++
		}
		end := a.ask.Due
		if a.final.T > 0 {
			end = a.final.T
		}
		why := "other: " + fmt.Sprintf("%.0f", code)
		switch {
		case a.flaw != "":
			why = "the version's " + a.flaw
		case o.meets(a.ask.At, a.ask.T, end):
			why = "its node ended or stood still"
		case len(a.begun) == 0:
			why = "never sent on"
		case code == 504:
			why = "its time was over"
		case code == 0:
			why = "no answer in its time"
		}
		u.Why[why]++
	}
	return bad, u
}

// Barred checks that once a node was seen to have pulled back, no request reaches the failing version by it, in a later life
// neither; nor by any node that started anew after the verdict. A further try goes from the new version to the old,
// never the other way.
func Barred(h []history.Event, t *Trial) (bad []history.Broken) {
	closed := map[string]time.Duration{}
	for d, at := range t.Pulled {
		closed[d] = at
	}
	for _, e := range h {
		if e.Kind == history.Up && t.Verdict > 0 && e.T > t.Verdict {
			if at, ok := closed[e.Who]; !ok || e.T < at {
				closed[e.Who] = e.T
			}
		}
	}
	all, order := attempts(h)
	for _, id := range order {
		a := all[id]
		old := time.Duration(0) // when the old version was done with it
		for _, b := range a.begun {
			if t.Lines[b.Who][0] != t.Service {
				continue
			}
			if !t.isNew(b.Who) {
				old = a.ended(b) // two that are out at a time may begin in any order
				continue
			}
			say := func(rule string, timed bool, format string, args ...any) {
				bad = append(bad, history.Broken{Rule: rule, T: b.T, Who: a.ask.At, Txn: id, Key: a.route.What, Timed: timed,
					What: fmt.Sprintf(format, args...)})
			}
			late := a.final.T > 0 && a.final.T < b.T // it was sent before, and arrives after all is over
			if old > 0 && old < b.T-t.Slack && !late {
				say("BACK", true, "went on to %s of the new version after the old one had it", b.Who)
			}
			if at, ok := closed[a.ask.At]; ok && b.T > at+t.Slack {
				say("BARRED", a.ask.T <= at, "reached %s of the failing version %.3fs after its node had pulled back, asked "+
					"%.3fs after", b.Who, (b.T - at).Seconds(), (a.ask.T - at).Seconds())
			}
		}
	}
	return bad
}

// Carried counts reads that were under way on the failing version when the first node had pulled back.
type Carried struct {
	UnderWay int `json:"under_way"`
	Whole    int `json:"whole"`
	Failed   int `json:"failed"` // by the version itself
	Off      int `json:"off"`    // whose node was killed, was ending or stood still
}

// Whole checks that reads under way on the failing version at the pull-back come whole, but for those that the version fails
// itself and those whose node dies.
func Whole(h []history.Event, t *Trial) (bad []history.Broken, r Carried) {
	if t.Verdict == 0 {
		return nil, r
	}
	o := newOff(h, Terminates)
	mixed := map[string]bool{}
	for _, e := range h {
		mixed[e.Txn] = mixed[e.Txn] || e.Kind == Mixed
	}
	all, order := attempts(h)
	for _, id := range order {
		a := all[id]
		if a.ask.What != "pure" || !slices.ContainsFunc(a.begun, func(b history.Event) bool {
			return t.isNew(b.Who) && b.T <= t.Verdict && a.ended(b) > t.Verdict
		}) {
			continue
		}
		end := a.ask.Due
		if a.final.T > 0 {
			end = a.final.T
		}
		r.UnderWay++
		switch {
		case int(a.final.N)/100 == 2 && !mixed[id]:
			r.Whole++
		case a.flaw != "":
			r.Failed++
		case o.meets(a.ask.At, a.ask.T, end):
			r.Off++
		default:
			bad = append(bad, history.Broken{Rule: "READS", T: end, Who: a.ask.At, Txn: id, Key: a.route.What,
				What: fmt.Sprintf("under way at the pull-back, and ended with %.0f", a.final.N)})
		}
	}
	return bad, r
}

// Met is how a failing version was met.
type Met struct {
	FirstBad time.Duration `json:"first_bad"` // after the version was spoilt
	Verdict  time.Duration `json:"verdict"`   // from the first failing answer until a node was seen to have pulled back
	LastNode time.Duration `json:"last_node"` // and until the last one was
	Last     time.Duration `json:"last"`      // and until the last request reached the version by any node
	Requests int           `json:"requests"`  // that reached the version from the first failing one on
	Failing  int           `json:"failing"`   // of these
	Clients  int           `json:"clients"`   // of these, tries that did not end well for their clients

	ByNode map[string]time.Duration `json:"by_node,omitempty"` // as Last, of each node
}

// Measure tells how long and how often a failing version was met; nothing where none failed.
func Measure(h []history.Event, t *Trial) (m Met) {
	first := time.Duration(0)
	for _, e := range h {
		if e.Kind == Flawed && t.isNew(e.Who) && (first == 0 || e.T < first) {
			first = e.T
		}
	}
	if first == 0 {
		return m
	}
	m.FirstBad = first - t.Spoilt
	if t.Verdict > 0 {
		m.Verdict = t.Verdict - first
		for _, at := range t.Pulled {
			m.LastNode = max(m.LastNode, at-first)
		}
	}
	all, _ := attempts(h)
	for _, a := range all {
		met := false
		for _, b := range a.begun {
			if t.isNew(b.Who) && b.T >= first && (t.Mended == 0 || b.T <= t.Mended) {
				met, m.Last = true, max(m.Last, b.T-first)
				if m.ByNode == nil {
					m.ByNode = map[string]time.Duration{}
				}
				m.ByNode[a.ask.At] = max(m.ByNode[a.ask.At], b.T-first)
			}
		}
		if !met && a.flaw == "" {
			continue
		}
		m.Requests++
		if a.flaw != "" {
			m.Failing++
			if int(a.final.N)/100 != 2 {
				m.Clients++
			}
		}
	}
	return m
}

// Moment is a piece of a roll-out's course: what reached each version of the service, and what of it failed.
type Moment struct {
	At             float64 `json:"at"` // seconds from the start of the roll-out
	Old, New       int
	OldBad, NewBad int
}

// Course cuts a history from a time on into pieces.
func Course(h []history.Event, t *Trial, from, piece time.Duration) (out []Moment) {
	all, _ := attempts(h)
	for _, a := range all {
		for _, b := range a.begun {
			if t.Lines[b.Who][0] != t.Service || b.T < from {
				continue
			}
			i := int((b.T - from) / piece)
			for len(out) <= i {
				out = append(out, Moment{At: float64(len(out)) * piece.Seconds()})
			}
			fails := 0
			if a.flaw != "" && t.isNew(b.Who) || len(a.begun) == 1 && (a.final.N >= 500 || a.final.N == 0) {
				fails = 1
			}
			if t.isNew(b.Who) {
				out[i].New++
				out[i].NewBad += fails
			} else {
				out[i].Old++
				out[i].OldBad += fails
			}
		}
	}
	return out
}
