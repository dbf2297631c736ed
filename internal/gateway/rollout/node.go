package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Report is all that one life of a node found of the present step: sums, not what came since the last one. The
// newest by Seq stands for all before it, so it does not matter which are lost, doubled or late, and whoever
// takes the duty over has all with the next round.
type Report struct {
	Service  string
	Number   Number
	Step     int
	Lap      int
	Life     uint64 // of the node, by chance
	Seq      uint64 // rises within the life
	Zone     string
	Alone    bool // it has pulled back for itself
	Backs    int  // backends of the new version that it saw at work
	Counts   Counts
	Evidence []byte
}

// Lap is the duty's word that evidence is gathered afresh: a version that fails after ten good minutes must not
// have their credit.
type Lap struct {
	Service string
	Number  Number
	Lap     int
}

// Action is what the host is to do: Tell or Lowered.
type Action interface{ action() }

// Tell goes to the node with the duty; it may be lost.
type Tell struct{ Report Report }

// Lowered is for the log: this node has pulled back for itself.
type Lowered struct {
	Service string
	Number  Number
	Why     string
}

func (Tell) action()    {}
func (Lowered) action() {}

// reportEvery is how often a node reports while something changes.
const reportEvery = time.Second

// Node is what one node goes by.
type Node struct {
	now     time.Duration
	zone    string
	life    uint64
	touched bool // in this life it has been in touch with the core
	cut     bool
	runs    map[string]*run
	ready   []Action
}

// run is a node's view of one roll-out.
type run struct {
	Run
	salt   uint64
	alone  bool // this node has pulled back for itself: for the rest of this life
	count  *counter
	lap    int
	seq    uint64
	told   time.Duration
	waited bool // an unsent change is there
	doubt  bool // it goes out without waiting
}

// NewNode makes one. Life differs between lives of a node.
func NewNode(zone string, life uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, life: life, cut: true, runs: map[string]*run{}}
}

// Fold takes the state after an entry or a snapshot.
func (d *Node) Fold(s *State) {
	for i := range s.Runs() {
		r := &s.Runs()[i]
		x := d.runs[r.Order.Service]
		if x == nil || x.Number != r.Number {
			x = &run{salt: salt(r.Order.Service, r.Number)}
			d.runs[r.Order.Service] = x
		}
		again := x.count == nil || x.Step != r.Step
		x.Run = *r
		switch {
		case r.Phase != Running:
			x.count = nil
		case again:
			x.anew(d.now)
			x.told, x.lap = d.now, max(x.lap, 1)
		}
	}
	for name := range d.runs {
		if s.Run(name) == nil {
			delete(d.runs, name)
		}
	}
}

// anew begins counts and evidence; usual times stay.
func (x *run) anew(now time.Duration) {
	was := x.count
	x.count = newCounter(x.Order.Failing, now)
	if was != nil {
		x.count.limits = was.limits
	}
}

// Touch says whether this node has fresh word of the core. Until it once had, it sends nobody to a new version
// that may have been pulled back meanwhile. What it finds while cut off is for its own judgement only, and is
// dropped at its return: else a cut would look like a failing version to the fleet.
func (d *Node) Touch(fresh bool) {
	if fresh && d.cut {
		for _, x := range d.runs {
			if x.count != nil {
				sums := x.count.sums
				x.anew(d.now)
				x.count.sums = sums
			}
		}
	}
	d.cut, d.touched = !fresh, d.touched || fresh
}

// Lap takes the duty's word; a number that was had or passed changes nothing.
func (d *Node) Lap(l Lap) {
	if x := d.runs[l.Service]; x != nil && x.Number == l.Number && l.Lap > x.lap {
		x.lap = l.Lap
		if x.count != nil {
			x.count.close(d.now)
			x.count.evidence.drop(1)
		}
	}
}

// Touched tells whether Touch was ever given fresh word: pools may be others from then on.
func (d *Node) Touched() bool { return d.touched }

// Active tells whether there is anything to ask this node for. Without a roll-out there is not.
func (d *Node) Active() bool { return len(d.runs) > 0 }

// Pool is the side of a backend, by the generation in its beats: what is not the new version is the old one. Once a
// roll-out is finished, what is not the old version is the new one: a third one may come without another roll-out. But a node
// that was in no touch yet may not know of another, which tries that one, or has pulled it back.
func (d *Node) Pool(service, generation string) Side {
	x := d.runs[service]
	switch {
	case x == nil:
		return Old
	case x.Phase == Finished && d.touched && generation != x.Order.Old, generation == x.Order.New:
		return New
	}
	return Old
}

// Share is what this node sends to the new version now, in 1/10000 of the users that the order is about.
func (d *Node) Share(service string) int {
	if x := d.runs[service]; x != nil && !x.alone && (d.touched || x.Phase == Finished) {
		return x.Run.Share()
	}
	return 0
}

// Barred tells that the new version gets no request at all, neither first nor further tries.
func (d *Node) Barred(service string) bool {
	x := d.runs[service]
	return x != nil && (x.Phase == Pulled || x.alone || !d.touched && x.Phase == Running)
}

// Side tells where a request begins, and whether it is one that the versions are compared by. The user is nil
// where there is neither mark nor key: such requests stay on the old side.
func (d *Node) Side(service string, user []byte, in Scope) (side Side, counts bool) {
	x := d.runs[service]
	switch share := d.Share(service); {
	case x == nil || x.Phase == Pulled:
		return Old, false
	case x.Phase == Finished:
		return New, false
	case len(user) == 0 || !x.Order.Limits.hold(in):
		return Old, false
	case place(x.salt, user) < share:
		return New, true
	default:
		return Old, share > 0
	}
}

// Ended takes the end of a first submission that counts, by the number of the roll-out under which it began.
func (d *Node) Ended(service string, n Number, e End) {
	if x := d.runs[service]; x != nil && x.Number == n && x.count != nil && e.Cause < causes && e.Backend != 0 {
		x.count.ended(e)
		x.waited = true
	}
}

// Number is the roll-out of a service that a request begins under, for Ended; 0 if none runs.
func (d *Node) Number(service string) Number {
	if x := d.runs[service]; x != nil && x.count != nil {
		return x.Number
	}
	return 0
}

// Now sets the clock and weighs the spans that are over.
func (d *Node) Now(now time.Duration) {
	d.now = max(d.now, now)
	if at, ok := d.Due(); !ok || d.now < at {
		return
	}
	for _, name := range sorted(d.runs) {
		x := d.runs[name]
		c := x.count
		if c == nil || d.now < c.due() {
			continue
		}
		c.close(d.now)
		if c.changed && !x.alone {
			c.changed = false
			f := []*found{{evidence: &c.evidence, zone: d.zone, backs: len(c.backs)}}
			score, doubt := judge(f, x.Step, x.lap, AloneWrong)
			if x.doubt = doubt >= 1; score >= 1 {
				x.alone, x.waited, x.doubt = true, true, true
				d.ready = append(d.ready, Lowered{name, x.Number, why(&c.sums)})
			}
		}
		if x.waited && !d.cut && (d.now-x.told >= reportEvery || x.doubt) {
			x.waited, x.told = false, d.now
			x.seq++
			d.ready = append(d.ready, Tell{Report{Service: name, Number: x.Number, Step: x.Step, Lap: x.lap,
				Life: d.life, Seq: x.seq, Zone: d.zone, Alone: x.alone, Backs: len(c.backs), Counts: c.sums,
				Evidence: c.evidence.pack()}})
		}
	}
}

// Next gives the next thing to do now, or false when there is none.
func (d *Node) Next() (Action, bool) {
	if len(d.ready) == 0 {
		return nil, false
	}
	a := d.ready[0]
	d.ready = d.ready[1:]
	return a, true
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// Due is when Now has something to weigh; false while no roll-out runs.
func (d *Node) Due() (at time.Duration, ok bool) {
	for _, x := range d.runs {
		if x.count != nil && (!ok || x.count.due() < at) {
			at, ok = x.count.due(), true
		}
	}
	return at, ok
}

// found reads a report.
func (r *Report) found() (*found, error) {
	e, err := unpack(r.Evidence)
	if err != nil {
		return nil, errors.Wrapf(err, "report on %s", r.Service)
	}
	return &found{evidence: e, zone: r.Zone, backs: r.Backs}, nil
}
