package outlier

import (
	"math"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/invariant"
)

// Verb is what an entry does.
type Verb string

// Set and Clear are operators', the others the duty's.
const (
	SetSettings Verb = "set"     // settings
	Eject       Verb = "convict" // shut, or shut again
	StepUp      Verb = "parole"  // one step back
	Readmit     Verb = "acquit"  // the last one
	Clear       Verb = "clear"   // free at once, and what was seen before says nothing
	Forget      Verb = "forget"  // lives that are gone
)

// Step is where a case is.
type Step uint8

// A strict case goes from Out by Reads and Writes to Free, a patient one from Out by Reads.
const (
	Ejected Step = iota
	ReadsOnly
	LimitedWrites
	InService
)

var stepNames = [...]string{"out", "reads", "writes", "free"}

func (s Step) String() string { return stepNames[s] }

// next is the step after, by manner.
func (s Step) next(m Mode) Step {
	if s == ReadsOnly && m == Patient {
		return InService
	}
	return min(s+1, InService)
}

// access is what a case lets through in its own manner.
func (e *Ejection) access() Access {
	switch {
	case e.Step == InService:
		return Open
	case e.Step == LimitedWrites || e.Step == ReadsOnly && e.Mode == Patient:
		return Limited
	}
	return Closed
}

// Entry is an order or a verdict, as the ordered log has it. Rev names what it builds on: of two at once one wins, and
// a late one hits nothing newer.
type Entry struct {
	Verb         Verb
	CallID       string // operators: names the call; the same again is answered as the first was
	Author       string // who, for the history
	UnixMilli    int64  // milliseconds since 1970, for the history alone
	Reason       string
	Revision     uint64 // of the case, 0 if there is none; of the settings for Set
	FencingToken uint64 // the duty: 1 or more. 0: an operator

	Key             Key
	Service         string
	Witnesses       []Slot // Convict: those whose word alone would do first
	SufficientAlone int    // Convict: so many they are
	ReadyBackends   int    // Convict: ready ones of the service
	Score           int    // Convict: failing share, in 1/1000
	GoneInstances   []InstanceID
	Settings        *Settings
}

// Ejection is what became of a key that was ever convicted.
type Ejection struct {
	Key
	Service     string
	Step        Step
	Rev         uint64 // rises with each change of it
	Repeats     int    // convictions but the first
	SoleWitness Slot   // on whose word alone it is out; NoSlot: on more, or not out
	Score       int
	Reason      string
}

// HistoryEntry is one line of the history.
type HistoryEntry struct {
	Verb      Verb
	Key       Key
	Step      Step
	Author    string
	UnixMilli int64
	Reason    string
	Witnesses []Slot
}

// Trust is what is held against a witness.
type Trust struct {
	Witness Slot
	Refuted int    // verdicts of its own that nobody else bore out
	Rev     uint64 // at the last of them
}

// Bounds of the state.
const (
	maxEjections      = 1024
	maxHistory        = 256
	maxCallIDs        = 256
	maxTextBytes      = 256
	maxTrust          = 1024
	maxRepeats        = 16
	maxNamedWitnesses = 8
	forgiveAfter      = 24 // entries, some five verdicts with their ways back, after which half of it is forgiven
)

// State is folded from the ordered log: all nodes come to the same.
type State struct{ snapshot }

type snapshot struct {
	Settings         Settings
	SettingsRevision uint64
	Ejections        []Ejection // by key
	History          []HistoryEntry
	Trust            []Trust
	Revision         uint64
	FencingToken     uint64
	CallIDs          []string
}

// NewState is that before the first entry.
func NewState() *State { return &State{snapshot{Settings: DefaultSettings()}} }

// Enabled tells whether anything is judged, reported or bound.
func (s *State) Enabled() bool { return s.snapshot.Settings.Enabled }

// Settings are those in force; not to be changed.
func (s *State) Settings() *Settings { return &s.snapshot.Settings }

// Ejections are all, by key; not to be changed.
func (s *State) Ejections() []Ejection { return s.snapshot.Ejections }

// History is the history, oldest first; not to be changed.
func (s *State) History() []HistoryEntry { return s.snapshot.History }

// Ejection of a key, nil if it was never convicted; not to be changed.
func (s *State) Ejection(k Key) *Ejection {
	if i, ok := s.find(k); ok {
		return &s.snapshot.Ejections[i]
	}
	return nil
}

// Rev under which a key's evidence is gathered now.
func (s *State) revision(k Key) uint64 {
	if c := s.Ejection(k); c != nil {
		return c.Rev
	}
	return 0
}

func (s *State) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(s.snapshot.Ejections, k, func(c Ejection, k Key) int { return c.compare(k) })
}

// Encode encodes an entry for the log.
func (e *Entry) Encode() []byte { return logentry.Encode(e) }

// DecodeEntry decodes one.
func DecodeEntry(b []byte) (*Entry, error) {
	e := new(Entry)
	return e, logentry.Decode(b, e, "entry of outlier")
}

func conflict(f string, a ...any) (routing.Result, error) {
	return routing.Conflict, errors.Errorf(f, a...)
}

// Decide tells what would become of an entry now, and changes nothing.
func (s *State) Decide(e *Entry) (routing.Result, error) {
	if e.CallID != "" && slices.Contains(s.CallIDs, e.CallID) {
		return routing.Duplicate, nil
	}
	for _, t := range []string{e.CallID, e.Author, e.Reason, e.Service, string(e.Key.ID)} {
		if len(t) > maxTextBytes {
			return routing.Invalid, errors.Errorf("a text is longer than %d bytes", maxTextBytes)
		}
	}
	c := s.Ejection(e.Key)
	rev := s.revision(e.Key)
	if e.Verb == SetSettings {
		rev = s.SettingsRevision
	}
	byDuty := e.Verb != SetSettings && e.Verb != Clear
	switch {
	case byDuty != (e.FencingToken > 0):
		return routing.Invalid, errors.Errorf("fence: %d is not that of who may %s", e.FencingToken, e.Verb)
	case byDuty && e.FencingToken < s.FencingToken:
		return conflict("fence: is %d, but %d was seen", e.FencingToken, s.FencingToken)
	case e.Verb == Forget:
		if len(e.GoneInstances) == 0 || len(e.GoneInstances) > maxEjections {
			return routing.Invalid, errors.New("gone: names no life, or too many")
		}
		return routing.Accepted, nil
	case e.Revision != rev:
		return conflict("rev: is %d, but %d is current", e.Revision, rev)
	case e.Verb == SetSettings:
		if e.Settings == nil {
			return routing.Invalid, errors.New("settings: missing")
		}
		x := *e.Settings
		if err := x.Normalize(); err != nil {
			return routing.Invalid, err
		}
		return routing.Accepted, nil
	case e.Verb == Eject:
		return s.decideEject(e, c)
	case c == nil:
		return conflict("key: %s was never convicted as %s", e.Key.ID, e.Key.Mode)
	case e.Verb == Clear:
		return routing.Accepted, nil
	case e.Verb == StepUp && c.Step != InService && c.Step.next(c.Mode) != InService,
		e.Verb == Readmit && c.Step != InService && c.Step.next(c.Mode) == InService:
		return routing.Accepted, nil
	case e.Verb == StepUp || e.Verb == Readmit:
		return conflict("verb: no %s from %s", e.Verb, c.Step)
	}
	return routing.Invalid, errors.Errorf("verb: no %q", e.Verb)
}

func (s *State) decideEject(e *Entry, c *Ejection) (routing.Result, error) {
	switch {
	case e.Key.ID == "" || e.Key.Mode >= modeCount || e.Service == "" || e.ReadyBackends < 1:
		return routing.Invalid, errors.New("key: names no backend of a service")
	case len(e.Witnesses) == 0 || len(e.Witnesses) > maxNamedWitnesses:
		return routing.Invalid, errors.New("witnesses: none, or too many")
	case !s.Enabled():
		return conflict("settings: nothing is judged")
	case c != nil && c.Step == Ejected:
		return conflict("key: %s is out as %s", e.Key.ID, e.Key.Mode)
	case c == nil && len(s.snapshot.Ejections) >= maxEjections && s.oldestInService() < 0:
		return conflict("key: %d cases are kept, and none of them is free", maxEjections)
	}
	if _, ok := s.soleWitness(e); !ok {
		return conflict("witnesses: not two that are trusted, and no one may have more out alone")
	}
	return routing.Accepted, nil
}

// soleWitness tells on whose word alone a verdict is, or that it is on several: a refuted witness weighs half of one each time.
// What one alone may have out is the bound on a node that lies.
func (s *State) soleWitness(e *Entry) (alone Slot, ok bool) {
	weight := 0.0
	for _, w := range e.Witnesses {
		weight += math.Pow(0.5, float64(s.refutations(w)))
	}
	if weight >= 2 {
		return membership.NoSlot, true
	}
	for _, w := range e.Witnesses[:min(max(e.SufficientAlone, 0), len(e.Witnesses))] {
		ofService, ofAll := 0, 0
		for i := range s.snapshot.Ejections {
			if o := &s.snapshot.Ejections[i]; o.SoleWitness == w && o.Key != e.Key {
				ofAll++
				if o.Service == e.Service && o.Mode == e.Key.Mode {
					ofService++
				}
			}
		}
		if mayService, mayAll := s.snapshot.Settings.soleWitnessLimits(e.ReadyBackends, s.refutations(w)); ofService < mayService && ofAll < mayAll {
			return w, true
		}
	}
	return membership.NoSlot, false
}

func (s *State) refutations(w Slot) int {
	for _, t := range s.snapshot.Trust {
		if t.Witness == w {
			return t.Refuted >> min((s.Revision-t.Rev)/forgiveAfter, 62)
		}
	}
	return 0
}

// refute notes that what one witness alone had out came back, and nobody else had seen anything.
func (s *State) refute(w Slot) {
	n := s.refutations(w) + 1
	s.snapshot.Trust = slices.DeleteFunc(s.snapshot.Trust, func(t Trust) bool { return t.Witness == w })
	s.snapshot.Trust = logentry.KeepLast(append(s.snapshot.Trust, Trust{w, n, s.Revision}), maxTrust)
}

// oldestInService is the case to drop where there is no room; -1: none.
func (s *State) oldestInService() int {
	least := -1
	for i := range s.snapshot.Ejections {
		if c := &s.snapshot.Ejections[i]; c.Step == InService && (least < 0 || c.Rev < s.snapshot.Ejections[least].Rev) {
			least = i
		}
	}
	return least
}

// Apply carries an entry out, as Decide tells it.
func (s *State) Apply(e *Entry) (routing.Result, error) {
	if v, err := s.Decide(e); v != routing.Accepted {
		return v, err
	}
	s.Revision++
	s.FencingToken = max(s.FencingToken, e.FencingToken)
	if e.CallID != "" {
		s.CallIDs = logentry.KeepLast(append(s.CallIDs, e.CallID), maxCallIDs)
	}
	step := InService
	switch e.Verb {
	case SetSettings:
		s.snapshot.Settings, s.SettingsRevision = *e.Settings, s.Revision
		err := s.snapshot.Settings.Normalize()
		invariant.That(err == nil, "settings that were taken are sound")
	case Forget:
		s.snapshot.Ejections = slices.DeleteFunc(s.snapshot.Ejections, func(c Ejection) bool { return slices.Contains(e.GoneInstances, c.ID) })
	case Eject:
		s.eject(e)
		step = Ejected
	default:
		c := s.Ejection(e.Key)
		if e.Verb == Readmit && c.SoleWitness != membership.NoSlot {
			s.refute(c.SoleWitness)
		}
		if e.Verb == StepUp {
			step = c.Step.next(c.Mode)
		} else {
			c.SoleWitness = membership.NoSlot
		}
		if c.Step, c.Rev = step, s.Revision; e.Verb == Clear {
			c.Repeats = 0
		}
	}
	s.snapshot.History = logentry.KeepLast(append(s.snapshot.History, HistoryEntry{e.Verb, e.Key, step, e.Author, e.UnixMilli, e.Reason, e.Witnesses}), maxHistory)
	return routing.Accepted, nil
}

func (s *State) eject(e *Entry) {
	alone, _ := s.soleWitness(e)
	i, had := s.find(e.Key)
	if !had {
		if len(s.snapshot.Ejections) >= maxEjections {
			at := s.oldestInService()
			s.snapshot.Ejections = slices.Delete(s.snapshot.Ejections, at, at+1)
			i, _ = s.find(e.Key)
		}
		s.snapshot.Ejections = slices.Insert(s.snapshot.Ejections, i, Ejection{Key: e.Key, Repeats: -1})
	}
	c := &s.snapshot.Ejections[i]
	c.Service, c.Step, c.Rev, c.SoleWitness, c.Score, c.Reason = e.Service, Ejected, s.Revision, alone, e.Score, e.Reason
	c.Repeats = min(c.Repeats+1, maxRepeats)
}

// Snapshot is the whole state as bytes.
func (s *State) Snapshot() []byte { return logentry.Encode(s.snapshot) }

// Restore reads one; nothing at all is the state before the first entry.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	s.snapshot = snapshot{}
	return s, logentry.Decode(b, &s.snapshot, "snapshot of outlier")
}
