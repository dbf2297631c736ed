// Package outlier judges backends by what their services need, once for all nodes. A node tells it how each submission
// ended; what may convict goes to the node with the duty; verdicts are entries of the core's ordered log, and bind at
// the same place of it at every node. It does no I/O: inputs only update what is known, the host pulls with Next. See
// docs/outliers.md.
package outlier

import (
	"fmt"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
)

// LifeID names one life of a backend: each start has another, whatever the address.
type LifeID string

// Manner is how a request's backend is judged.
type Manner uint8

// Strict is for what must not run twice or vanish, Patient for what may be asked again. Unjudged ends say nothing.
const (
	Strict Manner = iota
	Patient
	Unjudged
	manners = Unjudged
)

var mannerNames = [...]string{"strict", "patient", "off"}

func (m Manner) String() string { return mannerNames[m] }

// Key is what a verdict is about.
type Key struct {
	ID     LifeID
	Manner Manner
}

// before orders them.
func (k Key) compare(o Key) int {
	switch {
	case k.ID < o.ID || k.ID == o.ID && k.Manner < o.Manner:
		return -1
	case k == o:
		return 0
	}
	return 1
}

// Kind is what a node saw of a backend.
type Kind uint8

// The closed list. Clean is a whole answer of the service's own; None says nothing.
const (
	None Kind = iota
	Clean
	Failed   // a 5xx of its own that may have run
	Lost     // sent whole, and no byte of an answer in its time
	Reset    // broken off in mid-run
	Unsealed // a 2xx without its seal, or no answer in form
	Stray    // an answer to what its connection never carried
	Second   // another answer to what was answered
	Stranger // a probe answered by another life
	kinds
)

var kindNames = [kinds]string{"none", "clean", "failed", "lost", "reset", "unsealed", "stray", "second", "stranger"}

func (k Kind) String() string { return kindNames[k] }

// Weight is what a piece of evidence is worth.
type Weight uint8

// Proof: only the backend can be its cause. Half: the link can too. Share: a matter of degree.
const (
	Nothing Weight = iota
	Share
	Half
	Proof
)

// weights is the one place that says what convicts by which manner.
var weights = [kinds][manners]Weight{
	Failed:   {Share, Share},
	Lost:     {Half, Nothing}, // a read that is late is only late
	Reset:    {Half, Share},
	Unsealed: {Proof, Share},
	Stray:    {Proof, Share},
	Second:   {Proof, Nothing},
	Stranger: {Proof, Proof},
}

// Seen is what a node knows of the end of a submission.
type Seen struct {
	How   control.Ending
	Fresh bool // its connection had answered nothing before
	Some  bool // some of an answer had come
	Form  bool // what came was no answer in form, or a 2xx without its seal
	Own   bool // this node stood still meanwhile
}

// Kind tells what it is evidence of. A backend resets fresh connections that are too many for it, and what is late but
// comes is only slow.
func (s Seen) Kind() Kind {
	switch {
	case s.Own:
		return None
	case s.How == control.Settled:
		return Clean
	case s.Form && (s.How == control.Errored || s.How == control.Broken):
		return Unsealed
	case s.How == control.Errored:
		return Failed
	case s.How == control.Broken && (s.Some || !s.Fresh):
		return Reset
	case s.How == control.TimedOut && !s.Some:
		return Lost
	}
	return None
}

// answered tells that the way to the backend and back was whole.
func (s Seen) answered() bool {
	return s.Some || s.Form || s.How == control.Settled || s.How == control.Errored || s.How == control.Full
}

// Phase of a life, as the registry has it.
type Phase uint8

// The phases of a backend.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Life is a backend as the registry tells it.
type Life struct {
	ID      LifeID
	Service string
	Zone    string
	Phase   Phase
	Kept    bool // this node is its registrar, and so its prober
}

// Bind is what a node may send to a backend in a manner.
type Bind uint8

// How much a backend gets.
const (
	Open    Bind = iota
	Trickle      // one at a time, and no sooner than the pace
	Shut
)

// Piece is a proof or a half of one.
type Piece struct {
	Kind Kind
	Age  time.Duration // at the time of the report
	Wait time.Duration // Lost: how long it had
}

const (
	windowSlots = 20
	slotLong    = 500 * time.Millisecond
	windowLong  = windowSlots * slotLong
	lateSlots   = 12 // that a file tells one by one
	pieceFor    = 60 * time.Second
	piecesMost  = 8 // of one file: the newest
)

// Window is what ended within the last ten seconds.
type Window struct {
	Clean   uint32
	Failing uint32 // by the manner's weights
	Took    uint32 // of the clean ones together, in milliseconds
}

func (w *Window) add(o Window) {
	w.Clean += o.Clean
	w.Failing += o.Failing
	w.Took += o.Took
}

func (w Window) minus(o Window) Window {
	return Window{w.Clean - min(o.Clean, w.Clean), w.Failing - min(o.Failing, w.Failing), w.Took - min(o.Took, w.Took)}
}

func (w Window) ends() uint32 { return w.Clean + w.Failing }

// share of the ends that fail.
func (w Window) share() float64 { return float64(w.Failing) / max(float64(w.ends()), 1) }

// ring is a window that moves.
type ring struct {
	slots [windowSlots]Window
	nr    time.Duration // of the newest
}

func (r *ring) at(now time.Duration) *Window {
	nr := now / slotLong
	for i := max(r.nr+1, nr-windowSlots+1); i <= nr; i++ {
		r.slots[i%windowSlots] = Window{}
	}
	r.nr = max(r.nr, nr)
	return &r.slots[r.nr%windowSlots]
}

func (r *ring) sum(now time.Duration) (w Window) {
	r.at(now)
	for _, s := range r.slots {
		w.add(s)
	}
	return w
}

// late are the last whole slots, the newest first.
func (r *ring) late(now time.Duration) (list []Window) {
	r.at(now)
	for i := range min(lateSlots, r.nr) {
		list = append(list, r.slots[(r.nr-1-i)%windowSlots])
	}
	return list
}

// sound tells that a file is one that a node may have written.
func (f *File) sound() bool {
	return f.Manner < manners && len(f.Late) <= lateSlots && len(f.Pieces) <= piecesMost &&
		!slices.ContainsFunc(f.Pieces, func(p Piece) bool { return p.Kind >= kinds || p.Age < 0 || p.Wait < 0 })
}

// File is what one node has of a key: sums and the pieces that still count. The newest stands for all before it, so it
// does not matter which are lost, doubled or late.
type File struct {
	Key
	Rev    uint64 // of the case under which all of it was sent
	Pieces []Piece
	Window Window
	Rest   Window        // of all the service's backends, in this manner
	Late   []Window      // where pieces count, or the duty asks: slot by slot, the newest whole one first
	Into   time.Duration // so long ago that one ended
	Sums
}

// Sums are what a node counted since the Rev.
type Sums struct {
	Clean, Failing uint32
	Reads          uint32 // strict: clean reads of the same life
	Probes         uint32 // clean ones in a row
}

func (s *Sums) add(o Sums) {
	s.Clean += o.Clean
	s.Failing += o.Failing
	s.Reads += o.Reads
	s.Probes += o.Probes
}

// Report goes to the node with the duty; it may be lost.
type Report struct {
	Zone  string
	Life  uint64 // of the node, by chance
	Seq   uint64 // rises within the life
	Doubt bool   // it would hold off more than half of a service: its word alone convicts nobody
	Files []File
}

// Ask goes from the duty to all nodes: report on these, whatever there is.
type Ask struct{ Keys []Key }

// Action is what the host is to do.
type Action interface{ action() }

// Tell goes to the node with the duty; it may be lost.
type Tell struct{ Report Report }

// Bound is what a backend gets from now on. Every is the pace of a trickle.
type Bound struct {
	Key
	Bind  Bind
	Every time.Duration
	Own   bool // by this node's own eyes, not by a verdict
}

// Probe asks for a backend's health page, to be answered by Probed.
type Probe struct{ ID LifeID }

// Empty is for the log: no backend of a service takes this manner any more.
type Empty struct {
	Service string
	Manner  Manner
	Backs   int
}

// AskAll goes to all nodes, this one too; it may be lost.
type AskAll struct{ Ask Ask }

// Propose is an entry for the log, to be put there by this node or not at all.
type Propose struct{ Entry Entry }

func (Tell) action()    {}
func (Bound) action()   {}
func (Probe) action()   {}
func (Empty) action()   {}
func (AskAll) action()  {}
func (Propose) action() {}

// queue is what the host has not pulled yet.
type queue struct{ ready []Action }

func (q *queue) do(a Action) { q.ready = append(q.ready, a) }

// Next gives the next thing to do now, or false when there is none.
func (q *queue) Next() (Action, bool) {
	if len(q.ready) == 0 {
		return nil, false
	}
	a := q.ready[0]
	q.ready = q.ready[1:]
	return a, true
}

// words of a list of pieces, by kind.
func words(pieces []Piece, w Window) string {
	var n [kinds]int
	for _, p := range pieces {
		n[p.Kind]++
	}
	s := ""
	for k := kinds - 1; k > Clean; k-- {
		if n[k] > 0 {
			s += fmt.Sprintf("%d %s, ", n[k], k)
		}
	}
	return s + fmt.Sprintf("%d of %d failing in 10 s", w.Failing, w.ends())
}

// Slot of a node; the same in every life of it.
type Slot = membership.Slot
