package history

import (
	"fmt"
	"sort"
	"time"
)

// Broken is something in a history that may not be.
type Broken struct {
	Rule  string        `json:"rule"`
	T     time.Duration `json:"t"`
	Who   string        `json:"who,omitempty"`
	Txn   string        `json:"txn,omitempty"`
	Key   string        `json:"key,omitempty"`
	What  string        `json:"what"`
	Timed bool          `json:"timed,omitempty"` // rests on how fast things ran: void where the machine itself stood still
}

func (b Broken) String() string {
	s := fmt.Sprintf("%s: at %.3fs", b.Rule, b.T.Seconds())
	for _, x := range [][2]string{{"by", b.Who}, {"txn", b.Txn}, {"of", b.Key}} {
		if x[1] != "" {
			s += " " + x[0] + " " + x[1]
		}
	}
	return s + ": " + b.What
}

// Product is what the checkers must know of a kind of txn.
type Product struct {
	Effect string        // inquiry-like, referenced, once-only
	Scope  string        // where repeats of a referenced one are dropped: all, hall, pod
	Window time.Duration // and for how long
	Work   float64       // mean core seconds
}

// safe tells whether a client may repeat one that may have run.
func (p Product) safe() bool {
	return p.Effect == "inquiry-like" || p.Effect == "referenced" && p.Scope == "all"
}

// Place is where a backend stands, and when it started; nought: long ago.
type Place struct {
	Hall  string
	Pod   int
	Start time.Duration
}

// World is what a history is held against.
type World struct {
	Products map[string]Product
	Backends map[string]Place
	Slack    time.Duration // of every time limit: the platform's, and what the machine was slow by
}

// InOrder is what Down says of a process that ended by itself when it was told to.
const InOrder = "in order"

// span is a time in which something held for a process.
type span struct {
	from, to time.Duration
	inOrder  bool // what it had taken before, it owes all the same
}

const forever = time.Duration(1<<63 - 1)

// spans gives, by process, when it was down or stood still.
func spans(h []Event) map[string][]span {
	out := map[string][]span{}
	open := map[string]map[Kind]Event{}
	for _, e := range h {
		var ends Kind
		switch e.Kind {
		case Down, Stopped:
			if open[e.Who] == nil {
				open[e.Who] = map[Kind]Event{}
			}
			if _, ok := open[e.Who][e.Kind]; !ok {
				open[e.Who][e.Kind] = e
			}
			continue
		case Up:
			ends = Down
		case Goes:
			ends = Stopped
		default:
			continue
		}
		if from, ok := open[e.Who][ends]; ok {
			out[e.Who] = append(out[e.Who], span{from.T, e.T, from.What == InOrder})
			delete(open[e.Who], ends)
		}
	}
	for who, kinds := range open {
		for _, from := range kinds {
			out[who] = append(out[who], span{from.T, forever, from.What == InOrder})
		}
	}
	return out
}

// within tells whether any of some spans meets a time from one moment to another.
func within(all []span, from, to time.Duration) bool {
	for _, s := range all {
		if s.from <= to && s.to >= from && (!s.inOrder || s.from <= from) {
			return true
		}
	}
	return false
}

// unsentMost: beyond one in so many, requests whose connection is closed with nothing sent on for them are lost.
const unsentMost = 200

// OneAnswer checks that every request that a running front door has taken gets one final answer, made for it, before its client
// goes. One that stood still or ended meanwhile is not held to it.
func OneAnswer(h []Event, w World) (bad []Broken) {
	const rule = "one final answer"
	off := spans(h)
	answers, unheard, sent := map[string][]Event{}, map[string]Event{}, map[string]bool{}
	var asks []Event
	var last time.Duration
	for _, e := range h {
		last = max(last, e.T)
		switch e.Kind {
		case Asked:
			asks = append(asks, e)
		case Answered:
			answers[e.Txn] = append(answers[e.Txn], e)
		case Unheard:
			unheard[e.Txn] = e
		case Arrived, Turned:
			sent[e.Txn] = true
		}
	}
	var unsent []Event
	for _, a := range asks {
		got := answers[a.Txn]
		if len(got) > 1 {
			bad = append(bad, Broken{Rule: rule, T: got[1].T, Who: a.At, Txn: a.Txn, What: "a second final answer"})
		}
		if len(got) > 0 && got[0].N == 200 && got[0].What != a.Txn {
			bad = append(bad, Broken{Rule: rule, T: got[0].T, Who: a.At, Txn: a.Txn, What: fmt.Sprintf("settled with the answer of %q", got[0].What)})
		}
		if len(got) > 0 {
			continue
		}
		u, ended := unheard[a.Txn]
		late := a.Due + w.Slack
		if ended {
			late = u.T
		} else if late > last {
			continue // the history ends before it is due
		}
		if within(off[a.At], a.T-w.Slack, late+w.Slack) {
			continue
		}
		switch {
		case !ended:
			bad = append(bad, Broken{Rule: rule, T: late, Who: a.At, Txn: a.Txn, What: "no answer before its client went", Timed: true})
		case sent[a.Txn]:
			bad = append(bad, Broken{Rule: rule, T: late, Who: a.At, Txn: a.Txn, What: "the connection ended without a whole answer"})
		default:
			unsent = append(unsent, a)
		}
	}
	if len(unsent) > 1+len(asks)/unsentMost {
		for _, a := range unsent {
			bad = append(bad, Broken{Rule: rule, T: a.T, Who: a.At, Txn: a.Txn, What: "its connection was closed with nothing sent on, as too many were"})
		}
	}
	return bad
}

// NoEffectTwice checks that nothing that has an effect runs again where it may have run before, unless its repeats are dropped
// there; there is one copy at a time; and what may have run is not declined, unless a repeat is harmless.
func NoEffectTwice(h []Event, w World) (bad []Broken) {
	const rule = "no effect twice"
	type submission struct {
		at string
		nr float64
	}
	ends := map[submission]time.Duration{} // a way that was cut lets it arrive when it is over already
	for _, e := range h {
		if e.Kind == Over {
			ends[submission{e.Who, e.N}] = e.T
		}
	}
	all, order := map[string]*copies{}, []string{}
	for _, e := range h {
		if e.Txn == "" {
			continue
		}
		c := all[e.Txn]
		if c == nil && e.Kind != Asked && e.Kind != Arrived {
			continue
		}
		if c == nil {
			c = &copies{}
			all[e.Txn], order = c, append(order, e.Txn)
		}
		switch e.Kind {
		case Asked:
			c.ask = e
		case Arrived:
			over, ok := ends[submission{e.Who, e.N}]
			if !ok {
				over = forever
			}
			c.began, c.over = append(c.began, e), append(c.over, over)
		case Answered:
			if c.final == nil {
				x := e
				c.final = &x
			}
		}
	}
	for _, id := range order {
		c := all[id]
		c.sort()
		p := w.Products[c.ask.What]
		say := func(e Event, timed bool, what string, v ...any) {
			bad = append(bad, Broken{Rule: rule, T: e.T, Who: c.ask.At, Txn: id, Key: c.ask.Key, What: fmt.Sprintf(what, v...), Timed: timed})
		}
		for i, b := range c.began {
			sent := sentAt(b)
			if c.final != nil && sent > c.final.T+w.Slack {
				say(b, true, "sent to %s after its final answer", b.Who)
			}
			if i == 0 {
				continue
			}
			first := c.began[0]
			before, now := w.Backends[first.Who], w.Backends[b.Who]
			switch {
			case p.Effect == "once-only":
				say(b, false, "once-only, and begun at %s after it had begun at %s", b.Who, first.Who)
			case p.Effect == "referenced" && (p.Scope == "hall" && before.Hall != now.Hall ||
				p.Scope == "pod" && (before.Hall != now.Hall || before.Pod != now.Pod)):
				say(b, false, "begun at %s, outside the %s of %s that drops its repeats", b.Who, p.Scope, first.Who)
			case p.Effect == "referenced" && sent > sentAt(first)+p.Window+w.Slack:
				say(b, true, "begun again %s after its first time, its repeats are forgotten after %s", (sent - sentAt(first)).Round(time.Millisecond), p.Window)
			}
			for k := 0; k < i; k++ {
				if c.over[k] > sent+w.Slack {
					say(b, true, "a second copy at %s while the one at %s is out", b.Who, c.began[k].Who)
					break
				}
			}
		}
		if f := c.final; f != nil && (f.N == 429 || f.N == 503) && !p.safe() {
			for _, b := range c.began {
				if sentAt(b) <= f.T {
					say(*f, false, "declined, so that its client may repeat it, though it had begun at %s", b.Who)
					break
				}
			}
		}
	}
	return bad
}

// copies are the submissions of one request that began, and when each was over.
type copies struct {
	ask   Event
	began []Event
	over  []time.Duration
	final *Event
}

// sort puts them in the order in which they were sent: they may arrive in another.
func (c *copies) sort() {
	at := make([]int, len(c.began))
	for i := range at {
		at[i] = i
	}
	sort.SliceStable(at, func(i, j int) bool { return sentAt(c.began[at[i]]) < sentAt(c.began[at[j]]) })
	began, over := make([]Event, len(at)), make([]time.Duration, len(at))
	for i, k := range at {
		began[i], over[i] = c.began[k], c.over[k]
	}
	c.began, c.over = began, over
}

// sentAt is when the front door began to send a submission.
func sentAt(e Event) time.Duration {
	if e.Own > 0 {
		return e.Own
	}
	return e.T
}

// DrainsKept checks that no front door sends to a backend longer than the grace after it was told that it drains or is gone.
func DrainsKept(h []Event, w World, grace time.Duration) (bad []Broken) {
	type way struct{ door, backend string }
	told, door, off := map[way]time.Duration{}, map[string]string{}, spans(h)
	for _, e := range h {
		if e.Kind == Asked {
			door[e.Txn] = e.At
		}
	}
	for _, e := range h {
		switch e.Kind {
		case Up: // a new life begins from what it is told then
			for k := range told {
				if k.door == e.Who {
					delete(told, k)
				}
			}
		case Told:
			k := way{e.Who, e.At}
			if e.What == "Ready" {
				delete(told, k)
			} else if _, ok := told[k]; !ok {
				told[k] = e.T
			}
		case Arrived, Turned:
			since, ok := told[way{door[e.Txn], e.Who}]
			for _, s := range off[door[e.Txn]] { // one that stood still reads it when it goes on
				if ok && s.from <= sentAt(e) && s.to > since && s.to < forever {
					since = s.to
				}
			}
			if ok && sentAt(e) > since+grace+w.Slack {
				bad = append(bad, Broken{Rule: "drains kept", T: e.T, Who: door[e.Txn], Txn: e.Txn, Timed: true,
					What: fmt.Sprintf("sent to %s, %.1fs after it was told that it drains or is gone", e.Who, (sentAt(e) - since).Seconds())})
			}
		}
	}
	return bad
}

// Spent is what a key had taken from its books, and when: the first submission of each request that begins.
func Spent(h []Event) map[string][]Event {
	asks, seen, out := map[string]Event{}, map[string]bool{}, map[string][]Event{}
	for _, e := range h {
		if e.Kind == Asked {
			asks[e.Txn] = e
		}
	}
	for _, e := range h {
		if e.Kind != Arrived || seen[e.Txn] {
			continue
		}
		seen[e.Txn] = true
		if a, ok := asks[e.Txn]; ok {
			out[a.Key] = append(out[a.Key], Event{T: e.T, Who: a.At, Txn: e.Txn, N: a.N})
		}
	}
	return out
}

// WithinBound checks that in no stretch of time does a key spend more than a bound, a function of the stretch's length. A key
// without a bound is passed over. One line is given for each key: that of the worst stretch.
func WithinBound(rule string, h []Event, bound func(key string) func(time.Duration) float64) (bad []Broken) {
	all := Spent(h)
	keys := make([]string, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, key := range keys {
		most := bound(key)
		if most == nil {
			continue
		}
		worst, at := 0.0, Broken{}
		for i := range all[key] {
			sum := 0.0
			for _, e := range all[key][i:] {
				sum += e.N
				d := e.T - all[key][i].T
				if over := sum - most(d); over > worst+1e-9 {
					worst = over
					at = Broken{Rule: rule, T: e.T, Who: e.Who, Txn: e.Txn, Key: key,
						What: fmt.Sprintf("%.1f units in %s, %.1f is the most", sum, d.Round(time.Millisecond), most(d))}
				}
			}
		}
		if worst > 0 {
			bad = append(bad, at)
		}
	}
	return bad
}

// Cold is what the rule on cold backends goes by.
type Cold struct {
	From, Times, Cores float64 // share of its capacity at the start; times what it can; core seconds a second when warm
	By, Window         time.Duration
}

// NoColdPushedOver checks that in no window does a cold backend get more work than the stated times of what it can do by then.
func NoColdPushedOver(h []Event, w World, c Cold) (bad []Broken) {
	asks := map[string]Event{}
	came := map[string][]Event{}
	fallen := map[string]bool{}
	for _, e := range h {
		if e.Kind == Asked {
			asks[e.Txn] = e
		}
		if e.Kind != Arrived {
			continue
		}
		b, ok := w.Backends[e.Who]
		age := e.T - b.Start
		if !ok || b.Start <= 0 || age >= c.By || fallen[e.Who] || c.By <= 0 {
			continue
		}
		list := append(came[e.Who], e)
		for len(list) > 0 && list[0].T < e.T-c.Window {
			list = list[1:]
		}
		came[e.Who] = list
		sum := 0.0
		for _, x := range list {
			sum += w.Products[asks[x.Txn].What].Work
		}
		warm := c.From + (1-c.From)*float64(age)/float64(c.By)
		if most := c.Times * c.Cores * warm * c.Window.Seconds(); sum > most && age >= c.Window/4 {
			fallen[e.Who] = true
			bad = append(bad, Broken{Rule: "no cold backend pushed over", T: e.T, Who: asks[e.Txn].At, Txn: e.Txn, Key: e.Who,
				What: fmt.Sprintf("%.1fs old, got %.2f core seconds of work in the window, %.2f is the most", age.Seconds(), sum, most)})
		}
	}
	return bad
}

// NoOverlap checks that at no moment are more acts open for one task than it has seats. An act that is not ended is open until its
// process ends; one that stands still keeps its act open.
func NoOverlap(h []Event, seats func(task string) int) (bad []Broken) {
	type act struct {
		who string
		at  time.Duration
	}
	open := map[string][]act{}
	drop := func(task string, is func(act) bool) {
		kept := open[task][:0]
		for _, a := range open[task] {
			if !is(a) {
				kept = append(kept, a)
			}
		}
		open[task] = kept
	}
	for _, e := range h {
		switch e.Kind {
		case Began:
			open[e.Key] = append(open[e.Key], act{e.Who, e.T})
			if n := len(open[e.Key]); n > seats(e.Key) {
				bad = append(bad, Broken{Rule: "no two holders act at once", T: e.T, Who: e.Who, Key: e.Key,
					What: fmt.Sprintf("%d acts are open, that of %s since %.3fs; %d may be", n, open[e.Key][0].who, open[e.Key][0].at.Seconds(), seats(e.Key))})
			}
		case Ended:
			gone := false
			drop(e.Key, func(a act) bool {
				if gone || a.who != e.Who {
					return false
				}
				gone = true
				return true
			})
			if !gone {
				bad = append(bad, Broken{Rule: "no two holders act at once", T: e.T, Who: e.Who, Key: e.Key, What: "an act ends that never began"})
			}
		case Down:
			for task := range open {
				drop(task, func(a act) bool { return a.who == e.Who })
			}
		}
	}
	return bad
}

// HoldsApart checks that at no moment is one seat of a task held by two, each until the time that it last gave, or until it gave the
// seat back or ended. One that stands still holds on until that time and no longer: its own clock goes on.
func HoldsApart(h []Event) (bad []Broken) {
	type seat struct{ task, nr string }
	type hold struct {
		who      string
		from, to time.Duration
		n        float64
	}
	now := map[seat][]hold{}
	for _, e := range h {
		k := seat{e.Key, e.What}
		switch e.Kind {
		case Holds:
			kept := now[k][:0]
			from := e.T
			for _, x := range now[k] {
				if x.who == e.Who && x.n == e.N {
					from = x.from
				} else if x.to > e.T {
					kept = append(kept, x)
					bad = append(bad, Broken{Rule: "no two hold one seat", T: e.T, Who: e.Who, Key: e.Key + "/" + e.What,
						What: fmt.Sprintf("held by number %g while %s holds it by number %g until %.3fs", e.N, x.who, x.n, x.to.Seconds())})
				}
			}
			now[k] = append(kept, hold{e.Who, from, e.Due, e.N})
		case Gave, Down:
			for s, all := range now {
				kept := all[:0]
				for _, x := range all {
					if x.who != e.Who || e.Kind == Gave && s != k {
						kept = append(kept, x)
					}
				}
				now[s] = kept
			}
		}
	}
	return bad
}

// NumbersRise checks that no keeper takes a step with a number lower than one it took before, and one number comes from one holder.
func NumbersRise(h []Event) (bad []Broken) {
	type place struct{ keeper, task string }
	highest := map[place]Event{}
	from := map[string]map[float64]string{}
	for _, e := range h {
		if e.Kind != Took {
			continue
		}
		k := place{e.Who, e.Key}
		if was, ok := highest[k]; ok && e.N < was.N {
			bad = append(bad, Broken{Rule: "numbers rise", T: e.T, Who: e.At, Key: e.Key,
				What: fmt.Sprintf("%s took number %g after %g from %s", e.Who, e.N, was.N, was.At)})
		} else {
			highest[k] = e
		}
		if from[e.Key] == nil {
			from[e.Key] = map[float64]string{}
		}
		if was, ok := from[e.Key][e.N]; ok && was != e.At {
			bad = append(bad, Broken{Rule: "numbers rise", T: e.T, Who: e.At, Key: e.Key, What: fmt.Sprintf("number %g is also that of %s", e.N, was)})
		}
		from[e.Key][e.N] = e.At
	}
	return bad
}

// Agree checks that a stated time after the last fault has healed, all processes that run hold the same to be so of every key.
func Agree(h []Event, in time.Duration) (bad []Broken) {
	type fact struct{ key, at string }
	var healed, last time.Duration
	struck := 0
	for _, e := range h {
		last = max(last, e.T)
		switch e.Kind {
		case Strikes:
			struck++
		case Heals:
			struck--
			healed = e.T
		}
	}
	by := healed + in
	if struck > 0 || by > last {
		return []Broken{{Rule: "agreement", T: last, What: fmt.Sprintf("the history ends before %s after the last heal: nothing is shown", in)}}
	}
	views, off := map[fact]map[string]Event{}, spans(h)
	for _, e := range h {
		if e.T > by {
			break
		}
		if e.Kind == Up { // a new life knows nothing
			for _, v := range views {
				delete(v, e.Who)
			}
		}
		if e.Kind == Seen {
			f := fact{e.Key, e.At}
			if views[f] == nil {
				views[f] = map[string]Event{}
			}
			views[f][e.Who] = e
		}
	}
	var facts []fact
	for f := range views {
		facts = append(facts, f)
	}
	sort.Slice(facts, func(i, j int) bool {
		return facts[i].key < facts[j].key || facts[i].key == facts[j].key && facts[i].at < facts[j].at
	})
	for _, f := range facts {
		var who []string
		for w := range views[f] {
			if !within(off[w], by, by) {
				who = append(who, w)
			}
		}
		sort.Strings(who)
		for _, w := range who {
			if a, b := views[f][who[0]], views[f][w]; a.What != b.What {
				bad = append(bad, Broken{Rule: "agreement", T: by, Who: w, Key: f.key + " " + f.at,
					What: fmt.Sprintf("holds %q, %s holds %q", b.What, who[0], a.What)})
				break
			}
		}
	}
	return bad
}
