package rollout

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/invariant"
)

// Verb is what an entry does.
type Verb string

// Start is an operator's, Step and Rollback also the duty's, and so is Hold where there is nowhere to go back to.
const (
	Start    Verb = "start"
	Advance  Verb = "step"
	Pause    Verb = "hold"
	Rollback Verb = "pull-back"
	Finish   Verb = "finish"
)

// Entry is an order or a verdict, as the ordered log has it. An operator's names the Rev that it builds on, so
// that of two at once one wins; the duty's names the step that was judged, under its fence.
type Entry struct {
	Verb    Verb
	Service string
	Mark    string // names the call: the same again is answered as the first was
	By      string // who, for the history
	At      int64  // milliseconds since 1970, for the history alone
	Why     string
	Rev     uint64 // operators: of the service's newest roll-out, 0 if there was none. Not asked of Hold, Rollback
	Number  Number // all but Start
	Step    int    // Advance: the step to go to, from 1. The duty: the step judged, or to go to
	Fence   uint64 // the duty: 1 or more. 0: an operator
	Order   *Spec
	Room    Capacity // Start: as whoever took the call knew it
	Counts  Counts   // of the step so far, as the duty has them
}

// Phase of a roll-out.
type Phase string

// Pulled and Finished end a roll-out and stay in force until another one of the service starts.
const (
	Running    Phase = "running"
	RolledBack Phase = "pulled back"
	Finished   Phase = "finished"
)

// HistoryEntry is one line of a history. Counts are those of the step that the line ends, as the duty last had them.
type HistoryEntry struct {
	Verb   Verb
	Step   int
	Share  int
	By     string
	At     int64
	Why    string
	Counts Counts
}

// Run is a roll-out and what became of it.
type Run struct {
	Number  Number
	Rev     uint64 // rises with each change of it
	Order   Spec
	Room    Capacity
	Phase   Phase
	Step    int // from 1
	Held    bool
	History []HistoryEntry
}

// Share is of the users that the order is about, in 1/10000.
func (r *Run) Share() int {
	switch r.Phase {
	case Running:
		return r.Order.Steps[r.Step-1].Share
	case Finished:
		return FullShare
	}
	return 0
}

// Bounds of the state.
const (
	maxServices  = 64 // services
	maxEnded     = 32 // earlier roll-outs, of all services
	maxHistory   = 48 // lines of one
	maxTextBytes = 512
)

// State is folded from the ordered log: all nodes come to the same.
type State struct {
	kept
	appliedCalls *logentry.DedupWindow // marks, by the Rev that they made
}

type kept struct {
	Runs  []Run // the newest of each service, by service
	Ended []Run // earlier ones, oldest first
	Last  Number
	Rev   uint64
	Fence uint64
	Marks []string // of programs before there was a window: the last 256

	Window []byte
}

const maxStoredMarks = 256

// NewState is that before the first entry.
func NewState() *State {
	return &State{appliedCalls: logentry.NewDedupWindow(logentry.DedupWindowBytes)}
}

// Runs are the newest roll-outs of all services; not to be changed.
func (s *State) Runs() []Run { return s.kept.Runs }

// Ended are earlier ones, oldest first; not to be changed.
func (s *State) Ended() []Run { return s.kept.Ended }

// Run is the newest roll-out of a service, nil if there was none; not to be changed.
func (s *State) Run(service string) *Run {
	if i, ok := s.find(service); ok {
		return &s.kept.Runs[i]
	}
	return nil
}

// HasRollouts tells whether any roll-out runs or has ended in a way that binds: else nothing is on the wire.
func (s *State) HasRollouts() bool { return len(s.kept.Runs) > 0 }

func (s *State) find(service string) (int, bool) {
	return slices.BinarySearchFunc(s.kept.Runs, service, func(r Run, n string) int {
		return strings.Compare(r.Order.Service, n)
	})
}

// Encode encodes an entry for the log.
func (e *Entry) Encode() []byte { return logentry.Encode(e) }

// DecodeEntry decodes one.
func DecodeEntry(b []byte) (*Entry, error) {
	e := new(Entry)
	return e, logentry.Decode(b, e, "entry of a roll-out")
}

// Validate tells what is wrong with an entry by itself, whatever the state.
func (e *Entry) Validate() error {
	if len(e.Service) > maxTextBytes || len(e.By) > maxTextBytes || len(e.Why) > maxTextBytes || len(e.Mark) > maxTextBytes {
		return errors.Errorf("a text is longer than %d bytes", maxTextBytes)
	}
	if e.Verb == Start && (e.Order == nil || e.Order.Service != e.Service || e.Fence != 0) {
		return errors.New("order: missing, or of another service")
	}
	switch e.Verb {
	case Start:
		o := *e.Order
		return o.Normalize()
	case Advance, Pause, Rollback, Finish:
		return nil
	}
	return errors.Errorf("verb: no %q", e.Verb)
}

// Decide tells what would become of an entry now, and changes nothing. A call that lost its race may be one that won it, so
// long ago that its mark is forgotten.
func (s *State) Decide(e *Entry) (routing.Verdict, error) {
	v, err := s.decide(e)
	if v == routing.Conflict && s.mayBeForgotten(e) {
		return routing.Unclear, errors.Wrap(err, "not known any more what was taken")
	}
	return v, err
}

// mayBeForgotten tells whether a mark that is not known may be of a call that was taken. The service's rev stood where that call says.
func (s *State) mayBeForgotten(e *Entry) bool {
	horizon := s.appliedCalls.Horizon()
	if e.Mark == "" || horizon == 0 || s.Run(e.Service) == nil {
		return false
	}
	if e.Verb == Pause || e.Verb == Rollback { // they name no rev
		return e.Number <= s.Last
	}
	return e.Rev < horizon
}

// CallApplied tells whether the call of a mark was taken.
func (s *State) CallApplied(mark string) bool {
	return mark != "" && s.appliedCalls.Has(callDigest(mark))
}

func callDigest(mark string) logentry.Digest { return logentry.DigestOf([]byte(mark)) }

func (s *State) decide(e *Entry) (routing.Verdict, error) {
	if s.CallApplied(e.Mark) {
		return routing.Already, nil
	}
	if err := e.Validate(); err != nil {
		return routing.Invalid, err
	}
	r := s.Run(e.Service)
	if e.Verb == Start {
		return s.decideStart(e, r)
	}
	conflict := func(f string, a ...any) (routing.Verdict, error) {
		return routing.Conflict, errors.Errorf(f, a...)
	}
	switch {
	case r == nil:
		return conflict("service: no roll-out of %q", e.Service)
	case e.Number != r.Number:
		return conflict("number: is %d, but %d is the newest", e.Number, r.Number)
	case r.Phase != Running:
		return conflict("number: roll-out %d is %s", r.Number, r.Phase)
	case e.Fence == 0 && e.Rev != r.Rev && e.Verb != Rollback && e.Verb != Pause: // these may not come too late
		return conflict("rev: is %d, but %d is current", e.Rev, r.Rev)
	case e.Fence != 0 && e.Fence < s.Fence:
		return conflict("fence: is %d, but %d was seen", e.Fence, s.Fence)
	}
	switch e.Verb {
	case Advance:
		if e.Step != r.Step+1 || e.Step > len(r.Order.Steps) {
			return conflict("step: is %d, %d of %d is current", e.Step, r.Step, len(r.Order.Steps))
		}
		if e.Fence != 0 && (r.Held || r.Order.Advance != "time") {
			return conflict("step: it waits for an operator's command")
		}
	case Finish:
		if r.Step < len(r.Order.Steps) || e.Fence != 0 {
			return conflict("step: %d of %d is current, only an operator finishes the last", r.Step, len(r.Order.Steps))
		}
	}
	return routing.Taken, nil
}

func (s *State) decideStart(e *Entry, r *Run) (routing.Verdict, error) {
	o := *e.Order
	o.Normalize() // fills in what is left out
	rev := uint64(0)
	if r != nil {
		rev = r.Rev
	}
	if e.Rev != rev {
		return routing.Conflict, errors.Errorf("rev: is %d, but %d is current", e.Rev, rev)
	}
	if r != nil && r.Phase == Running {
		return routing.Conflict, errors.Errorf("service: roll-out %d of %q runs", r.Number, e.Service)
	}
	if r == nil && len(s.kept.Runs) >= maxServices {
		return routing.Invalid, errors.Errorf("service: %d have roll-outs, no more are kept", maxServices)
	}
	if err := o.CheckCapacity(e.Room); err != nil {
		return routing.Invalid, err
	}
	return routing.Taken, nil
}

// Apply carries an entry out, as Decide tells it.
func (s *State) Apply(e *Entry) (routing.Verdict, error) {
	if v, err := s.Decide(e); v != routing.Taken {
		return v, err
	}
	s.Rev++
	if e.Mark != "" {
		s.appliedCalls.Add(s.Rev, callDigest(e.Mark))
	}
	s.Fence = max(s.Fence, e.Fence)
	i, had := s.find(e.Service)
	if e.Verb == Start {
		s.Last++
		r := Run{Number: s.Last, Order: *e.Order, Room: e.Room, Phase: Running, Step: 1}
		must := r.Order.Normalize()
		invariant.That(must == nil, "an order that was taken is sound")
		if had {
			s.kept.Ended = logentry.KeepLast(append(s.kept.Ended, s.kept.Runs[i]), maxEnded)
			s.kept.Runs[i] = r
		} else {
			s.kept.Runs = slices.Insert(s.kept.Runs, i, r)
		}
	}
	r := &s.kept.Runs[i]
	r.Rev = s.Rev
	ended := r.Step
	switch e.Verb {
	case Advance:
		r.Step, r.Held = e.Step, r.Held && e.Fence != 0
	case Pause:
		r.Held = true
	case Rollback:
		r.Phase = RolledBack
	case Finish:
		r.Phase = Finished
	}
	if len(r.History) == maxHistory { // the first line, the order's, stays
		r.History = slices.Delete(r.History, 1, 2)
	}
	r.History = append(r.History, HistoryEntry{Verb: e.Verb, Step: ended, Share: r.Share(), By: e.By, At: e.At, Why: e.Why,
		Counts: e.Counts})
	return routing.Taken, nil
}

// Snapshot is the whole state as bytes.
func (s *State) Snapshot() []byte {
	k := s.kept
	k.Window = s.appliedCalls.Bytes()
	return logentry.Encode(k)
}

// Restore reads one; nothing at all is the state before the first entry.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	if err := logentry.Decode(b, &s.kept, "snapshot of roll-outs"); err != nil {
		return s, err
	}
	marks, window := s.Marks, s.Window
	s.Marks, s.Window = nil, nil
	if window == nil { // each mark has made a rev of its own, at the latest the one that it is counted at here
		before := s.Rev - uint64(len(marks))
		if len(marks) == maxStoredMarks {
			s.appliedCalls.SetHorizon(before)
		}
		for i, m := range marks {
			s.appliedCalls.Add(before+1+uint64(i), callDigest(m))
		}
		return s, nil
	}
	var err error
	s.appliedCalls, err = logentry.DecodeDedupWindow(window, logentry.DedupWindowBytes)
	return s, err
}
