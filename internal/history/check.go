package history

import (
	"fmt"
	"time"
)

// Violation is something in a history that may not be.
type Violation struct {
	Rule  string        `json:"rule"`
	Time  time.Duration `json:"t"`
	Who   string        `json:"who,omitempty"`
	Txn   string        `json:"txn,omitempty"`
	Key   string        `json:"key,omitempty"`
	What  string        `json:"what"`
	Timed bool          `json:"timed,omitempty"` // rests on how fast things ran: void where the machine itself stood still
}

func (v Violation) String() string {
	s := fmt.Sprintf("%s: at %.3fs", v.Rule, v.Time.Seconds())
	for _, x := range [][2]string{{"by", v.Who}, {"txn", v.Txn}, {"of", v.Key}} {
		if x[1] != "" {
			s += " " + x[0] + " " + x[1]
		}
	}
	return s + ": " + v.What
}

// Product is what the checkers must know of a kind of txn.
type Product struct {
	Effect string        // inquiry-like, referenced, once-only
	Scope  string        // where repeats of a referenced one are dropped: all, zone, pod
	Window time.Duration // and for how long
	Work   float64       // mean core seconds
}

// Safe tells whether a client may repeat one that may have run.
func (p Product) Safe() bool {
	return p.Effect == "inquiry-like" || p.Effect == "referenced" && p.Scope == "all"
}

// Location is where a backend stands, and when it started; nought: long ago.
type Location struct {
	Zone  string
	Pod   int
	Start time.Duration
}

// Submission is a submission that has begun, or may have: at a backend that stands somewhere, sent at a time.
type Submission struct {
	Location Location
	Sent     time.Duration
}

// Repeat is how a repeat may run an effect once more.
type Repeat uint8

// The ways. What bears repeats, or drops them there and then, does not.
const (
	Harmless      Repeat = iota
	OnceOnly             // its effect is never to be repeated
	OutsideScope         // the backends there do not drop repeats of what ran at the first
	RecordExpired        // they do no longer
)

// Repeats tells what becomes of a submission after a first one that may have run.
func (p Product) Repeats(first, again Submission, slack time.Duration) Repeat {
	otherZone := first.Location.Zone != again.Location.Zone
	switch {
	case p.Effect == "once-only":
		return OnceOnly
	case p.Effect != "referenced":
		return Harmless
	case p.Scope == "zone" && otherZone, p.Scope == "pod" && (otherZone || first.Location.Pod != again.Location.Pod):
		return OutsideScope
	case again.Sent > first.Sent+p.Window+slack:
		return RecordExpired
	}
	return Harmless
}

// World is what a history is held against.
type World struct {
	Products map[string]Product
	Backends map[string]Location
	Slack    time.Duration // of every time limit: the platform's, and what the machine was slow by
}

// CleanExit is what Down says of a process that ended by itself when it was told to.
const CleanExit = "in order"

// span is a time in which something held for a process.
type span struct {
	from, to time.Duration
	inOrder  bool // what it had taken before, it owes all the same
}

const forever = time.Duration(1<<63 - 1)

// downtimes gives, by process, when it was down or stood still.
func downtimes(h []Event) map[string][]span {
	out := map[string][]span{}
	open := map[string]map[Kind]Event{}
	for _, e := range h {
		var ends Kind
		switch e.Kind {
		case Down, Paused:
			if open[e.Who] == nil {
				open[e.Who] = map[Kind]Event{}
			}
			if _, ok := open[e.Who][e.Kind]; !ok {
				open[e.Who][e.Kind] = e
			}
			continue
		case Up:
			ends = Down
		case Resumed:
			ends = Paused
		default:
			continue
		}
		if from, ok := open[e.Who][ends]; ok {
			out[e.Who] = append(out[e.Who], span{from.Time, e.Time, from.What == CleanExit})
			delete(open[e.Who], ends)
		}
	}
	for who, kinds := range open {
		for _, from := range kinds {
			out[who] = append(out[who], span{from.Time, forever, from.What == CleanExit})
		}
	}
	return out
}

// overlaps tells whether any of some spans meets a time from one moment to another.
func overlaps(all []span, from, to time.Duration) bool {
	for _, s := range all {
		if s.from <= to && s.to >= from && (!s.inOrder || s.from <= from) {
			return true
		}
	}
	return false
}
