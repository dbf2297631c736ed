package gatewaystandin

import (
	"fmt"
	"slices"
	"time"

	"clovergap/internal/history"
)

// Trial is a roll-out as the rig saw it from outside, to hold a history against.
type Trial struct {
	Service         string
	New             string                   // version
	Backends        map[string][2]string     // of each backend: service, version
	Spoilt          time.Duration            // when the new version began to fail; nought: never
	RepairedAt      time.Duration            // when it was mended, as nothing had pulled it back; nought: never
	RolledBackAt    time.Duration            // when any node was first seen to have pulled back; nought: none was
	RolledBackNodes map[string]time.Duration // the same of each node
	Slack           time.Duration            // how slow the machine itself was
}

// BackendVersions tells service and version of all backends that ever were.
func (d *Deployment) BackendVersions() map[string][2]string {
	all := map[string][2]string{}
	for _, l := range d.All() {
		all[l.ID] = [2]string{l.Service, l.Version}
	}
	return all
}

func (t *Trial) isNew(backend string) bool { return t.Backends[backend] == [2]string{t.Service, t.New} }

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
		if e.Who == b.Who && e.Number == b.Number {
			return e.Time
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
		case history.Requested:
			of(e).ask = e
		case history.Answered:
			of(e).final = e
		case history.Arrived:
			a := of(e)
			a.begun = append(a.begun, e)
		case history.Finished:
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
func Ledger(h []history.Event) (bad []history.Violation, u Open) {
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
			bad = append(bad, history.Violation{Rule: "BOOKS", Time: max(a.final.Time, a.ask.Time), Who: a.ask.Target, Txn: id,
				Key: a.route.What, What: fmt.Sprintf(format, args...)})
		}
		writes[a.route.Target] += a.recorded
		code := a.final.Number
		switch {
		case a.recorded > 1:
			say("recorded %d times", a.recorded)
		case a.recorded == 1 && writes[a.route.Target] > 1:
			say("%s is recorded %d times, by several tries", a.route.Target, writes[a.route.Target])
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
		end := a.ask.Deadline
		if a.final.Time > 0 {
			end = a.final.Time
		}
		why := "other: " + fmt.Sprintf("%.0f", code)
		switch {
		case a.flaw != "":
			why = "the version's " + a.flaw
		case o.meets(a.ask.Target, a.ask.Time, end):
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
func Barred(h []history.Event, t *Trial) (bad []history.Violation) {
	closed := map[string]time.Duration{}
	for d, at := range t.RolledBackNodes {
		closed[d] = at
	}
	for _, e := range h {
		if e.Kind == history.Up && t.RolledBackAt > 0 && e.Time > t.RolledBackAt {
			if at, ok := closed[e.Who]; !ok || e.Time < at {
				closed[e.Who] = e.Time
			}
		}
	}
	all, order := attempts(h)
	for _, id := range order {
		a := all[id]
		old := time.Duration(0) // when the old version was done with it
		for _, b := range a.begun {
			if t.Backends[b.Who][0] != t.Service {
				continue
			}
			if !t.isNew(b.Who) {
				old = a.ended(b) // two that are out at a time may begin in any order
				continue
			}
			say := func(rule string, timed bool, format string, args ...any) {
				bad = append(bad, history.Violation{Rule: rule, Time: b.Time, Who: a.ask.Target, Txn: id, Key: a.route.What, Timed: timed,
					What: fmt.Sprintf(format, args...)})
			}
			late := a.final.Time > 0 && a.final.Time < b.Time // it was sent before, and arrives after all is over
			if old > 0 && old < b.Time-t.Slack && !late {
				say("BACK", true, "went on to %s of the new version after the old one had it", b.Who)
			}
			if at, ok := closed[a.ask.Target]; ok && b.Time > at+t.Slack {
				say("BARRED", a.ask.Time <= at, "reached %s of the failing version %.3fs after its node had pulled back, asked "+
					"%.3fs after", b.Who, (b.Time - at).Seconds(), (a.ask.Time - at).Seconds())
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

// CheckReadsComplete checks that reads under way on the failing version at the pull-back come whole, but for those that the version fails
// itself and those whose node dies.
func CheckReadsComplete(h []history.Event, t *Trial) (bad []history.Violation, r Carried) {
	if t.RolledBackAt == 0 {
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
			return t.isNew(b.Who) && b.Time <= t.RolledBackAt && a.ended(b) > t.RolledBackAt
		}) {
			continue
		}
		end := a.ask.Deadline
		if a.final.Time > 0 {
			end = a.final.Time
		}
		r.UnderWay++
		switch {
		case int(a.final.Number)/100 == 2 && !mixed[id]:
			r.Whole++
		case a.flaw != "":
			r.Failed++
		case o.meets(a.ask.Target, a.ask.Time, end):
			r.Off++
		default:
			bad = append(bad, history.Violation{Rule: "READS", Time: end, Who: a.ask.Target, Txn: id, Key: a.route.What,
				What: fmt.Sprintf("under way at the pull-back, and ended with %.0f", a.final.Number)})
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
		if e.Kind == Flawed && t.isNew(e.Who) && (first == 0 || e.Time < first) {
			first = e.Time
		}
	}
	if first == 0 {
		return m
	}
	m.FirstBad = first - t.Spoilt
	if t.RolledBackAt > 0 {
		m.Verdict = t.RolledBackAt - first
		for _, at := range t.RolledBackNodes {
			m.LastNode = max(m.LastNode, at-first)
		}
	}
	all, _ := attempts(h)
	for _, a := range all {
		met := false
		for _, b := range a.begun {
			if t.isNew(b.Who) && b.Time >= first && (t.RepairedAt == 0 || b.Time <= t.RepairedAt) {
				met, m.Last = true, max(m.Last, b.Time-first)
				if m.ByNode == nil {
					m.ByNode = map[string]time.Duration{}
				}
				m.ByNode[a.ask.Target] = max(m.ByNode[a.ask.Target], b.Time-first)
			}
		}
		if !met && a.flaw == "" {
			continue
		}
		m.Requests++
		if a.flaw != "" {
			m.Failing++
			if int(a.final.Number)/100 != 2 {
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
			if t.Backends[b.Who][0] != t.Service || b.Time < from {
				continue
			}
			i := int((b.Time - from) / piece)
			for len(out) <= i {
				out = append(out, Moment{At: float64(len(out)) * piece.Seconds()})
			}
			fails := 0
			if a.flaw != "" && t.isNew(b.Who) || len(a.begun) == 1 && (a.final.Number >= 500 || a.final.Number == 0) {
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
