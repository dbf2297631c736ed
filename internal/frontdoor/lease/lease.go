// Package lease lets one front door, or at most so many, do a task for the whole fleet. It is a core without I/O: inputs
// are messages, times and wishes; outputs are messages, grants and losses. docs/leases.md tells why it is safe.
//
// A task's permit is given by a few voters, hashed from its name. A voter promises the permit to one front door at a time,
// for the length of a lease by its own clock; who has the promise of a majority, and has told the same majority the
// number of its grant, holds the permit until a margin before that length is over by its own clock, counted from when it
// began to ask. Nothing rests on how long messages take, or on their coming at all.
package lease

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"sort"
	"time"
)

// Node is a front door's number.
type Node uint16

// Number rises with each grant of a task's permit: what is touched under a lease refuses an older one.
type Number uint64

// Task names what is to be done; at most TaskMost bytes.
type Task string

// Bounds.
const (
	TaskMost    = 64
	slotsMost   = 1024 // that a voter keeps
	waitingMost = 64   // that a voter keeps of a permit
	PermitsMost = 64
)

// Fleet is who there is under one generation of the configuration: front doors 0 to Members-1.
type Fleet struct {
	Gen     uint32
	Members int
}

// Config is a core's. All spans are by its own clock.
type Config struct {
	Me      Node
	Life    uint32        // of this process, another one at each start
	Fleets  []Fleet       // in rising generations; the last holds, those before it may still be in use elsewhere
	Voters  int           // of a permit
	Length  time.Duration // of a lease
	Longest time.Duration // of any lease that any front door may still give or hold
	Drift   float64       // every clock's rate is within 1-Drift and 1+Drift of the true one
	Margin  time.Duration // a holder stops this much before it must
	Retry   time.Duration // least time between two askings of the same
	Floor   Number        // no number given before this start is higher
}

// Check tells what is wrong with a configuration.
func (c *Config) Check() error {
	switch {
	case len(c.Fleets) == 0:
		return fmt.Errorf("fleets: none is named")
	case c.Voters < 1 || c.Voters > 15 || c.Voters%2 == 0:
		return fmt.Errorf("voters: must be odd, 1 to 15, not %d", c.Voters)
	case c.Drift < 0 || c.Drift > 0.5:
		return fmt.Errorf("drift: must be 0 to 0.5, not %g", c.Drift)
	case c.Retry <= 0:
		return fmt.Errorf("retry: must be more than nought")
	case c.Longest < c.Length:
		return fmt.Errorf("longest: %s is less than a lease's length, %s", c.Longest, c.Length)
	case c.window() < 4*c.Retry:
		return fmt.Errorf("length: a holder may use %s of %s, less than four times the retry, %s", c.window(), c.Length, c.Retry)
	}
	for i, f := range c.Fleets {
		if f.Members < 1 || f.Members > 1<<15 || i > 0 && f.Gen <= c.Fleets[i-1].Gen {
			return fmt.Errorf("fleets[%d]: generations must rise, members must be 1 to %d", i, 1<<15)
		}
	}
	return nil
}

// window is how long a holder may act, by its own clock, from when it began to ask: a fast voter's length, seen by a
// slow holder, less the margin.
func (c *Config) window() time.Duration {
	return time.Duration(float64(c.Length)*(1-c.Drift)/(1+c.Drift)) - c.Margin
}

// silence is how long a voter that may have forgotten promises says nothing: the longest that any may hold. A holder's
// window is over by then whatever the clocks.
func (c *Config) silence() time.Duration { return c.Longest }

// Grant is a permit that is held.
type Grant struct {
	Task   Task
	Permit int
	Number Number
	Until  time.Duration // by the holder's own clock: it stops before
}

// Kind of an output.
type Kind int

// The outputs.
const (
	Send    Kind = iota // Payload to To
	Granted             // Grant is held from now on
	Gone                // Grant is held no longer: acts must have stopped
	Renewed             // Grant is held for longer
)

// Output is the next thing to do.
type Output struct {
	Kind    Kind
	To      Node
	Payload []byte
	Grant   Grant
}

// slot is a task's permit.
type slot struct {
	task   Task
	permit int
}

// promise is what a voter keeps of a permit.
type promise struct {
	holder  Node
	life    uint32
	ask     uint32        // the round in which it was asked for
	until   time.Duration // nought: nobody has it
	highest Number        // of all that were told here
	sealed  bool          // its holder has told one
	keptFor Node          // handed on to, for a while
	keptTo  time.Duration
	waiting []waiter
}

// waiter is a front door that was refused.
type waiter struct {
	who      Node
	priority int
	since    time.Duration // of its wish
	seen     time.Duration
}

// phase of a wish.
type phase int

const (
	idle phase = iota
	asking
	sealing
	held
)

// wish is a task that this front door wants.
type wish struct {
	task     Task
	permits  int
	priority int
	since    time.Duration
	phase    phase
	permit   int
	ask      uint32        // round in which votes were asked for: names the promise
	round    uint32        // of the present question
	sent     time.Duration // when it was first sent
	again    time.Duration // when to do something next
	yes, no  []Node        // answers to it
	highest  Number        // told by voters
	number   Number
	until    time.Duration // while held
	renewing bool
	tries    int           // permits refused in a row
	wait     time.Duration // the least that refusals tell to wait
	behind   int           // who waits before this one, at most
	unheard  int           // questions in a row that too few answered
}

// Core is one front door's part, as voter and as holder.
type Core struct {
	conf   Config
	now    time.Duration
	born   time.Duration
	floor  Number // of permits that were forgotten
	round  uint32
	wishes map[Task]*wish
	votes  map[slot]*promise
	gens   map[Node]known
	out    []Output

	Silent  int // questions not answered, since promises may have been forgotten
	Refused int
	Bad     int // messages that can't be read
	Old     int // questions of an older generation
}

// known is the highest generation that a front door has told, and since when.
type known struct {
	gen   uint32
	since time.Duration
}

// New makes a core that starts now. It votes for nobody until all that it may have promised before is over.
func New(c Config, now time.Duration) (*Core, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &Core{conf: c, now: now, born: now, floor: c.Floor, wishes: map[Task]*wish{}, votes: map[slot]*promise{}, gens: map[Node]known{}}, nil
}

// Voters are those of a permit under one fleet: the highest by hash, the same at every front door.
func Voters(f Fleet, voters int, task Task, permit int) []Node {
	type ranked struct {
		n Node
		h uint64
	}
	all := make([]ranked, f.Members)
	for i := range all {
		h := fnv.New64a()
		var b [4]byte
		binary.LittleEndian.PutUint16(b[:], uint16(i))
		binary.LittleEndian.PutUint16(b[2:], uint16(permit))
		h.Write([]byte(task))
		h.Write(b[:])
		x := h.Sum64() // the last bytes stir the high bits too little
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		all[i] = ranked{Node(i), x}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].h > all[j].h || all[i].h == all[j].h && all[i].n < all[j].n })
	var out []Node
	for _, r := range all[:min(voters, len(all))] {
		out = append(out, r.n)
	}
	return out
}

func (c *Core) gen() uint32 { return c.conf.Fleets[len(c.conf.Fleets)-1].Gen }

// sets are the voters whose majorities are needed, one for each fleet that may still be in use: those of before, until
// a majority of their voters has refused them for as long as any lease may last.
func (c *Core) sets(task Task, permit int) (sets [][]Node) {
	for i, f := range c.conf.Fleets {
		set := Voters(f, c.conf.Voters, task, permit)
		if i < len(c.conf.Fleets)-1 && c.closed(set, c.conf.Fleets[i+1].Gen) {
			continue
		}
		sets = append(sets, set)
	}
	return sets
}

// closed tells whether a majority of a set has for long been of a generation, or a later one.
func (c *Core) closed(set []Node, gen uint32) bool {
	long := time.Duration(float64(c.conf.Longest) * (1 + c.conf.Drift) / (1 - c.conf.Drift))
	n := 0
	for _, v := range set {
		if k, ok := c.gens[v]; ok && k.gen >= gen && c.now-k.since > long {
			n++
		}
	}
	return n > len(set)/2
}

// everyone lists the voters of all sets, each once.
func everyone(sets [][]Node) (all []Node) {
	for _, s := range sets {
		for _, v := range s {
			if !contains(all, v) {
				all = append(all, v)
			}
		}
	}
	return all
}

func contains(all []Node, n Node) bool {
	for _, x := range all {
		if x == n {
			return true
		}
	}
	return false
}

// majority tells whether some voters are more than half of each set.
func majority(sets [][]Node, some []Node) bool {
	for _, s := range sets {
		n := 0
		for _, v := range s {
			if contains(some, v) {
				n++
			}
		}
		if n <= len(s)/2 {
			return false
		}
	}
	return true
}

// hopeless tells whether some refusals leave no majority in one of the sets.
func hopeless(sets [][]Node, no []Node) bool {
	for _, s := range sets {
		n := 0
		for _, v := range s {
			if contains(no, v) {
				n++
			}
		}
		if len(s)-n <= len(s)/2 {
			return true
		}
	}
	return false
}

// ---- Inputs

// Now sets the clock, which never goes back.
func (c *Core) Now(now time.Duration) { c.now = max(c.now, now) }

// Wish wants a permit of a task until Drop: who waits longest, or has the higher priority, goes first.
func (c *Core) Wish(task Task, permits, priority int) error {
	if task == "" || len(task) > TaskMost || permits < 1 || permits > PermitsMost {
		return fmt.Errorf("lease %q: names have 1 to %d bytes, tasks 1 to %d permits", task, TaskMost, PermitsMost)
	}
	if w := c.wishes[task]; w != nil {
		w.priority = priority
		return nil
	}
	c.wishes[task] = &wish{task: task, permits: permits, priority: priority, since: c.now, again: c.now, permit: int(c.jitter(string(task), permits))}
	return nil
}

// Move takes a configuration of later generations. What is held goes on if its voters of the new fleets agree.
func (c *Core) Move(fleets []Fleet) error {
	conf := c.conf
	conf.Fleets = fleets
	if err := conf.Check(); err != nil {
		return err
	}
	if fleets[len(fleets)-1].Gen < c.gen() {
		return fmt.Errorf("fleets: generation %d is older than %d, which holds", fleets[len(fleets)-1].Gen, c.gen())
	}
	c.conf = conf
	return nil
}

// Drop gives a permit back, or the wish up.
func (c *Core) Drop(task Task) { c.HandOn(task, c.conf.Me) }

// HandOn gives a permit back and asks its voters to keep it a while for another.
func (c *Core) HandOn(task Task, to Node) {
	w := c.wishes[task]
	if w == nil {
		return
	}
	delete(c.wishes, task)
	if w.phase == held {
		c.out = append(c.out, Output{Kind: Gone, Grant: w.grant()})
	}
	c.release(w, to, leaves)
}

// What a release says beside: whether its sender stays in line.
const stays, leaves = 0, 1

// release tells the voters that a promise is not needed any more.
func (c *Core) release(w *wish, to Node, line uint8) {
	if w.phase == idle && line == stays {
		return
	}
	m := c.message(opRelease, w)
	m.node, m.rank = to, line
	c.tell(everyone(c.sets(w.task, w.permit)), m)
	w.phase, w.renewing = idle, false
}

// Holds gives what is held of a task now. It is to be asked just before each effect.
func (c *Core) Holds(task Task) (Grant, bool) {
	w := c.wishes[task]
	if w == nil || w.phase != held || c.now >= w.until {
		return Grant{}, false
	}
	return w.grant(), true
}

func (w *wish) grant() Grant { return Grant{w.task, w.permit, w.number, w.until} }

// jitter is a number below n, by this front door, its life, the round and a text: the same in the same state.
func (c *Core) jitter(text string, n int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, c.conf.Me, c.conf.Life, c.round, text)
	return h.Sum64() >> 11 % uint64(max(n, 1))
}

// ---- Decisions

// Next gives the next thing to do now, or false when there is none.
func (c *Core) Next() (Output, bool) {
	if len(c.out) == 0 {
		for _, task := range c.order() {
			c.work(c.wishes[task])
			if len(c.out) > 0 {
				break
			}
		}
	}
	if len(c.out) == 0 {
		return Output{}, false
	}
	x := c.out[0]
	c.out = c.out[1:]
	return x, true
}

func (c *Core) order() []Task {
	all := make([]Task, 0, len(c.wishes))
	for t := range c.wishes {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// Due is when the core wants its clock set next; false if nothing is to come.
func (c *Core) Due() (at time.Duration, ok bool) {
	for _, w := range c.wishes {
		t := w.again
		if w.phase == held {
			t = min(t, w.until)
		}
		if !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// work does what is due of a wish.
func (c *Core) work(w *wish) {
	if w.phase == held && c.now >= w.until { // its time is over by its own clock: nothing is renewed, all begins anew
		c.out = append(c.out, Output{Kind: Gone, Grant: w.grant()})
		w.phase, w.renewing, w.since = idle, false, c.now
		// An act that began before may go on for the margin. Asked for anew, and refused, the promise that still covers
		// it would be given back.
		w.again = max(c.now+c.conf.Retry, w.until+c.conf.Margin)
		return
	}
	if c.now < w.again {
		return
	}
	switch w.phase {
	case idle:
		c.round++
		w.phase, w.ask, w.round, w.sent, w.yes, w.no, w.highest = asking, c.round, c.round, c.now, nil, nil, 0
		c.question(w, opAsk)
	case asking:
		if c.now-w.sent >= 4*c.conf.Retry {
			c.refuse(w)
			return
		}
		c.question(w, opAsk)
	case sealing:
		if c.now-w.sent >= c.conf.window()/2 {
			c.refuse(w)
			return
		}
		c.question(w, opSeal)
	case held:
		if !w.renewing {
			c.round++
			w.renewing, w.round, w.sent, w.yes, w.no = true, c.round, c.now, nil, nil
		}
		c.question(w, opSeal)
	}
}

// question asks all voters, or again those that have not answered.
func (c *Core) question(w *wish, op byte) {
	w.again = c.now + c.conf.Retry
	sets := c.sets(w.task, w.permit)
	var to []Node
	for _, v := range everyone(sets) {
		if !contains(w.yes, v) && !contains(w.no, v) {
			to = append(to, v)
		}
	}
	c.tell(to, c.message(op, w))
}

// refuse gives a permit up for now: the promises that were got are given back, and the next permit is tried, or the same
// later. Who has others before it asks the less often, so that many wishes cost few messages.
func (c *Core) refuse(w *wish) {
	c.Refused++
	if majority(c.sets(w.task, w.permit), append(append([]Node(nil), w.yes...), w.no...)) { // enough have spoken
		w.unheard = 0
	} else if w.unheard++; w.unheard > 1 { // cut off, or voters that are silent yet: asking more often helps nobody
		w.wait = max(w.wait, min(c.conf.Retry<<min(w.unheard, 16), c.conf.Length))
	}
	c.release(w, c.conf.Me, stays)
	w.permit = (w.permit + 1) % w.permits
	if w.tries++; w.tries < w.permits {
		w.again = c.now + c.conf.Retry/8
		return
	}
	w.tries = 0
	step := c.conf.Retry * time.Duration(1+min(w.behind, 64))
	w.again = c.now + max(w.wait, c.conf.Retry) + time.Duration(c.jitter(string(w.task), int(step)))
	w.wait, w.behind = 0, 0
}

// answered takes a voter's answer to the present question.
func (c *Core) answered(from Node, m *message) {
	w := c.wishes[m.task]
	if w == nil || m.life != c.conf.Life || m.round != w.round || int(m.permit) != w.permit || w.phase == idle {
		if m.op == opVote && m.life == c.conf.Life { // a promise for a wish that is over: it must not stand in the others' way
			late := *m
			late.op, late.ask, late.node, late.rank = opRelease, m.round, c.conf.Me, stays
			// The promise that covers an act which began just before its end is not given back before that act is over.
			if w == nil || w.ask != m.round || w.phase == idle && c.now >= w.until+c.conf.Margin {
				c.tell([]Node{from}, &late)
			}
		}
		return
	}
	switch {
	case m.op == opVote && w.phase == asking:
		w.highest = max(w.highest, m.number)
		w.yes = with(w.yes, from)
		if majority(c.sets(w.task, w.permit), w.yes) {
			c.round++
			w.number = max(w.highest, c.conf.Floor) + 1
			w.phase, w.round, w.sent, w.yes, w.no = sealing, c.round, c.now, nil, nil
			c.question(w, opSeal)
		}
	case m.op == opSealed && (w.phase == sealing || w.phase == held && w.renewing):
		w.yes = with(w.yes, from)
		if !majority(c.sets(w.task, w.permit), w.yes) {
			return
		}
		until := w.sent + c.conf.window()
		if c.now >= until || w.phase == held && c.now >= w.until {
			return // too late: what was held is over, and is not held again without new promises
		}
		first := w.phase == sealing
		w.phase, w.until, w.renewing, w.tries, w.unheard = held, until, false, 0, 0
		w.again = w.sent + c.conf.window()/2
		kind := Renewed
		if first {
			kind = Granted
		}
		c.out = append(c.out, Output{Kind: kind, Grant: w.grant()})
	case m.op == opNo && w.phase == held:
		w.no = with(w.no, from) // its own time tells when it is over
	case m.op == opNo:
		w.no = with(w.no, from)
		if ms := time.Duration(m.ms) * time.Millisecond; w.wait == 0 || ms < w.wait {
			w.wait = ms
		}
		w.behind = max(w.behind, int(m.rank))
		if hopeless(c.sets(w.task, w.permit), w.no) {
			c.refuse(w)
		}
	}
}

func with(all []Node, n Node) []Node {
	if contains(all, n) {
		return all
	}
	all = append(append([]Node(nil), all...), n)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
