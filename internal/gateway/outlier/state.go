package outlier

import (
	"math"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/proxy/invariant"
)

// Verb is what an entry does.
type Verb string

// Set and Clear are operators', the others the duty's.
const (
	Set     Verb = "set"     // settings
	Convict Verb = "convict" // shut, or shut again
	Parole  Verb = "parole"  // one step back
	Acquit  Verb = "acquit"  // the last one
	Clear   Verb = "clear"   // free at once, and what was seen before says nothing
	Forget  Verb = "forget"  // lives that are gone
)

// Step is where a case is.
type Step uint8

// A strict case goes from Out by Reads and Writes to Free, a patient one from Out by Reads.
const (
	Out Step = iota
	Reads
	Writes
	Free
)

var stepNames = [...]string{"out", "reads", "writes", "free"}

func (s Step) String() string { return stepNames[s] }

// next is the step after, by manner.
func (s Step) next(m Manner) Step {
	if s == Reads && m == Patient {
		return Free
	}
	return min(s+1, Free)
}

// bind is what a case lets through in its own manner.
func (c *Case) bind() Bind {
	switch {
	case c.Step == Free:
		return Open
	case c.Step == Writes || c.Step == Reads && c.Manner == Patient:
		return Trickle
	}
	return Shut
}

// Entry is an order or a verdict, as the ordered log has it. Rev names what it builds on: of two at once one wins, and
// a late one hits nothing newer.
type Entry struct {
	Verb  Verb
	Mark  string // operators: names the call; the same again is answered as the first was
	By    string // who, for the history
	At    int64  // milliseconds since 1970, for the history alone
	Why   string
	Rev   uint64 // of the case, 0 if there is none; of the settings for Set
	Fence uint64 // the duty: 1 or more. 0: an operator

	Key       Key
	Service   string
	Witnesses []Slot // Convict: those whose word alone would do first
	Suffice   int    // Convict: so many they are
	Backs     int    // Convict: ready ones of the service
	Score     int    // Convict: failing share, in 1/1000
	Gone      []LifeID
	Settings  *Settings
}

// Case is what became of a key that was ever convicted.
type Case struct {
	Key
	Service string
	Step    Step
	Rev     uint64 // rises with each change of it
	Falls   int    // convictions but the first
	Alone   Slot   // on whose word alone it is out; NoSlot: on more, or not out
	Score   int
	Why     string
}

// Past is one line of the history.
type Past struct {
	Verb      Verb
	Key       Key
	Step      Step
	By        string
	At        int64
	Why       string
	Witnesses []Slot
}

// Trust is what is held against a witness.
type Trust struct {
	Seat    Slot
	Refuted int    // verdicts of its own that nobody else bore out
	Rev     uint64 // at the last of them
}

// Bounds of the state.
const (
	casesMost = 1024
	pastMost  = 256
	marksMost = 256
	textMost  = 256
	trustMost = 1024
	fallsMost = 16
	witnesses = 8
	forgive   = 24 // entries, some five verdicts with their ways back, after which half of it is forgiven
)

// State is folded from the ordered log: all nodes come to the same.
type State struct{ kept }

type kept struct {
	Settings Settings
	SetRev   uint64
	Cases    []Case // by key
	Past     []Past
	Trust    []Trust
	Rev      uint64
	Fence    uint64
	Marks    []string
}

// NewState is that before the first entry.
func NewState() *State { return &State{kept{Settings: Usual()}} }

// On tells whether anything is judged, reported or bound.
func (s *State) On() bool { return s.kept.Settings.On }

// Settings are those in force; not to be changed.
func (s *State) Settings() *Settings { return &s.kept.Settings }

// Cases are all, by key; not to be changed.
func (s *State) Cases() []Case { return s.kept.Cases }

// Past is the history, oldest first; not to be changed.
func (s *State) Past() []Past { return s.kept.Past }

// Case of a key, nil if it was never convicted; not to be changed.
func (s *State) Case(k Key) *Case {
	if i, ok := s.find(k); ok {
		return &s.kept.Cases[i]
	}
	return nil
}

// Rev under which a key's evidence is gathered now.
func (s *State) rev(k Key) uint64 {
	if c := s.Case(k); c != nil {
		return c.Rev
	}
	return 0
}

func (s *State) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(s.kept.Cases, k, func(c Case, k Key) int { return c.compare(k) })
}

// Word encodes an entry for the log.
func (e *Entry) Word() []byte { return logentry.Encode(e) }

// ReadEntry decodes one.
func ReadEntry(b []byte) (*Entry, error) {
	e := new(Entry)
	return e, logentry.Decode(b, e, "entry of outlier")
}

func conflict(f string, a ...any) (routing.Verdict, error) {
	return routing.Conflict, errors.Errorf(f, a...)
}

// Decide tells what would become of an entry now, and changes nothing.
func (s *State) Decide(e *Entry) (routing.Verdict, error) {
	if e.Mark != "" && slices.Contains(s.Marks, e.Mark) {
		return routing.Already, nil
	}
	for _, t := range []string{e.Mark, e.By, e.Why, e.Service, string(e.Key.ID)} {
		if len(t) > textMost {
			return routing.Invalid, errors.Errorf("a text is longer than %d bytes", textMost)
		}
	}
	c := s.Case(e.Key)
	rev := s.rev(e.Key)
	if e.Verb == Set {
		rev = s.SetRev
	}
	byDuty := e.Verb != Set && e.Verb != Clear
	switch {
	case byDuty != (e.Fence > 0):
		return routing.Invalid, errors.Errorf("fence: %d is not that of who may %s", e.Fence, e.Verb)
	case byDuty && e.Fence < s.Fence:
		return conflict("fence: is %d, but %d was seen", e.Fence, s.Fence)
	case e.Verb == Forget:
		if len(e.Gone) == 0 || len(e.Gone) > casesMost {
			return routing.Invalid, errors.New("gone: names no life, or too many")
		}
		return routing.Taken, nil
	case e.Rev != rev:
		return conflict("rev: is %d, but %d is current", e.Rev, rev)
	case e.Verb == Set:
		if e.Settings == nil {
			return routing.Invalid, errors.New("settings: missing")
		}
		x := *e.Settings
		if err := x.Check(); err != nil {
			return routing.Invalid, err
		}
		return routing.Taken, nil
	case e.Verb == Convict:
		return s.convict(e, c)
	case c == nil:
		return conflict("key: %s was never convicted as %s", e.Key.ID, e.Key.Manner)
	case e.Verb == Clear:
		return routing.Taken, nil
	case e.Verb == Parole && c.Step != Free && c.Step.next(c.Manner) != Free,
		e.Verb == Acquit && c.Step != Free && c.Step.next(c.Manner) == Free:
		return routing.Taken, nil
	case e.Verb == Parole || e.Verb == Acquit:
		return conflict("verb: no %s from %s", e.Verb, c.Step)
	}
	return routing.Invalid, errors.Errorf("verb: no %q", e.Verb)
}

func (s *State) convict(e *Entry, c *Case) (routing.Verdict, error) {
	switch {
	case e.Key.ID == "" || e.Key.Manner >= manners || e.Service == "" || e.Backs < 1:
		return routing.Invalid, errors.New("key: names no backend of a service")
	case len(e.Witnesses) == 0 || len(e.Witnesses) > witnesses:
		return routing.Invalid, errors.New("witnesses: none, or too many")
	case !s.On():
		return conflict("settings: nothing is judged")
	case c != nil && c.Step == Out:
		return conflict("key: %s is out as %s", e.Key.ID, e.Key.Manner)
	case c == nil && len(s.kept.Cases) >= casesMost && s.oldestFree() < 0:
		return conflict("key: %d cases are kept, and none of them is free", casesMost)
	}
	if _, ok := s.rests(e); !ok {
		return conflict("witnesses: not two that are trusted, and no one may have more out alone")
	}
	return routing.Taken, nil
}

// rests tells on whose word alone a verdict is, or that it is on several: a refuted witness weighs half of one each time.
// What one alone may have out is the bound on a node that lies.
func (s *State) rests(e *Entry) (alone Slot, ok bool) {
	weight := 0.0
	for _, w := range e.Witnesses {
		weight += math.Pow(0.5, float64(s.refuted(w)))
	}
	if weight >= 2 {
		return membership.NoSlot, true
	}
	for _, w := range e.Witnesses[:min(max(e.Suffice, 0), len(e.Witnesses))] {
		ofService, ofAll := 0, 0
		for i := range s.kept.Cases {
			if o := &s.kept.Cases[i]; o.Alone == w && o.Key != e.Key {
				ofAll++
				if o.Service == e.Service && o.Manner == e.Key.Manner {
					ofService++
				}
			}
		}
		if mayService, mayAll := s.kept.Settings.alone(e.Backs, s.refuted(w)); ofService < mayService && ofAll < mayAll {
			return w, true
		}
	}
	return membership.NoSlot, false
}

func (s *State) refuted(w Slot) int {
	for _, t := range s.kept.Trust {
		if t.Seat == w {
			return t.Refuted >> min((s.Rev-t.Rev)/forgive, 62)
		}
	}
	return 0
}

// refute notes that what one witness alone had out came back, and nobody else had seen anything.
func (s *State) refute(w Slot) {
	n := s.refuted(w) + 1
	s.kept.Trust = slices.DeleteFunc(s.kept.Trust, func(t Trust) bool { return t.Seat == w })
	s.kept.Trust = logentry.KeepLast(append(s.kept.Trust, Trust{w, n, s.Rev}), trustMost)
}

// oldestFree is the case to drop where there is no room; -1: none.
func (s *State) oldestFree() int {
	least := -1
	for i := range s.kept.Cases {
		if c := &s.kept.Cases[i]; c.Step == Free && (least < 0 || c.Rev < s.kept.Cases[least].Rev) {
			least = i
		}
	}
	return least
}

// Apply carries an entry out, as Decide tells it.
func (s *State) Apply(e *Entry) (routing.Verdict, error) {
	if v, err := s.Decide(e); v != routing.Taken {
		return v, err
	}
	s.Rev++
	s.Fence = max(s.Fence, e.Fence)
	if e.Mark != "" {
		s.Marks = logentry.KeepLast(append(s.Marks, e.Mark), marksMost)
	}
	step := Free
	switch e.Verb {
	case Set:
		s.kept.Settings, s.SetRev = *e.Settings, s.Rev
		err := s.kept.Settings.Check()
		invariant.That(err == nil, "settings that were taken are sound")
	case Forget:
		s.kept.Cases = slices.DeleteFunc(s.kept.Cases, func(c Case) bool { return slices.Contains(e.Gone, c.ID) })
	case Convict:
		s.fall(e)
		step = Out
	default:
		c := s.Case(e.Key)
		if e.Verb == Acquit && c.Alone != membership.NoSlot {
			s.refute(c.Alone)
		}
		if e.Verb == Parole {
			step = c.Step.next(c.Manner)
		} else {
			c.Alone = membership.NoSlot
		}
		if c.Step, c.Rev = step, s.Rev; e.Verb == Clear {
			c.Falls = 0
		}
	}
	s.kept.Past = logentry.KeepLast(append(s.kept.Past, Past{e.Verb, e.Key, step, e.By, e.At, e.Why, e.Witnesses}), pastMost)
	return routing.Taken, nil
}

func (s *State) fall(e *Entry) {
	alone, _ := s.rests(e)
	i, had := s.find(e.Key)
	if !had {
		if len(s.kept.Cases) >= casesMost {
			at := s.oldestFree()
			s.kept.Cases = slices.Delete(s.kept.Cases, at, at+1)
			i, _ = s.find(e.Key)
		}
		s.kept.Cases = slices.Insert(s.kept.Cases, i, Case{Key: e.Key, Falls: -1})
	}
	c := &s.kept.Cases[i]
	c.Service, c.Step, c.Rev, c.Alone, c.Score, c.Why = e.Service, Out, s.Rev, alone, e.Score, e.Why
	c.Falls = min(c.Falls+1, fallsMost)
}

// Snapshot is the whole state as bytes.
func (s *State) Snapshot() []byte { return logentry.Encode(s.kept) }

// Restore reads one; nothing at all is the state before the first entry.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	s.kept = kept{}
	return s, logentry.Decode(b, &s.kept, "snapshot of outlier")
}
