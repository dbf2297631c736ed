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

// Task names what is to be done; at most MaxTaskBytes bytes.
type Task string

// Bounds.
const (
	MaxTaskBytes = 64
	maxSlots     = 1024 // that a voter keeps
	maxWaiting   = 64   // that a voter keeps of a permit
	MaxPermits   = 64
)

// Fleet is who there is under one generation of the configuration: front doors 0 to Members-1.
type Fleet struct {
	Generation uint32
	Members    int
}

// Config is a core's. All spans are by its own clock.
type Config struct {
	NodeID      Node
	Incarnation uint32        // of this process, another one at each start
	Fleets      []Fleet       // in rising generations; the last holds, those before it may still be in use elsewhere
	Voters      int           // of a permit
	Length      time.Duration // of a lease
	MaxLength   time.Duration // of any lease that any front door may still give or hold
	Drift       float64       // every clock's rate is within 1-Drift and 1+Drift of the true one
	Margin      time.Duration // a holder stops this much before it must
	Retry       time.Duration // least time between two askings of the same
	Floor       Number        // no number given before this start is higher
}

// Validate tells what is wrong with a configuration.
func (c *Config) Validate() error {
	switch {
	case len(c.Fleets) == 0:
		return fmt.Errorf("fleets: none is named")
	case c.Voters < 1 || c.Voters > 15 || c.Voters%2 == 0:
		return fmt.Errorf("voters: must be odd, 1 to 15, not %d", c.Voters)
	case c.Drift < 0 || c.Drift > 0.5:
		return fmt.Errorf("drift: must be 0 to 0.5, not %g", c.Drift)
	case c.Retry <= 0:
		return fmt.Errorf("retry: must be more than nought")
	case c.MaxLength < c.Length:
		return fmt.Errorf("longest: %s is less than a lease's length, %s", c.MaxLength, c.Length)
	case c.window() < 4*c.Retry:
		return fmt.Errorf("length: a holder may use %s of %s, less than four times the retry, %s", c.window(), c.Length, c.Retry)
	}
	for i, f := range c.Fleets {
		if f.Members < 1 || f.Members > 1<<15 || i > 0 && f.Generation <= c.Fleets[i-1].Generation {
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

// startupDelay is how long a voter that may have forgotten promises says nothing: the longest that any may hold. A holder's
// window is over by then whatever the clocks.
func (c *Config) startupDelay() time.Duration { return c.MaxLength }

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
	Ended               // Grant is held no longer: acts must have stopped
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
	holder        Node
	incarnation   uint32
	promiseID     uint32        // the round in which it was asked for
	until         time.Duration // nought: nobody has it
	highest       Number        // of all that were told here
	accepted      bool          // its holder has told one
	reservedFor   Node          // handed on to, for a while
	reservedUntil time.Duration
	waiting       []waiter
}

// waiter is a front door that was refused.
type waiter struct {
	node        Node
	priority    int
	requestedAt time.Duration // of its wish
	lastSeen    time.Duration
}

// phase of a wish.
type phase int

const (
	idle phase = iota
	preparing
	accepting
	holding
)

// request is a task that this front door wants.
type request struct {
	task             Task
	permits          int
	priority         int
	requestedAt      time.Duration
	phase            phase
	permit           int
	promiseID        uint32        // round in which votes were asked for: names the promise
	sequence         uint32        // of the present question
	sentAt           time.Duration // when it was first sent
	retryAt          time.Duration // when to do something next
	acks, rejections []Node        // answers to it
	highest          Number        // told by voters
	number           Number
	until            time.Duration // while held
	renewing         bool
	refusals         int           // permits refused in a row
	retryAfter       time.Duration // the least that refusals tell to wait
	queuePosition    int           // who waits before this one, at most
	unanswered       int           // questions in a row that too few answered
}

// Core is one front door's part, as voter and as holder.
type Core struct {
	conf        Config
	now         time.Duration
	startedAt   time.Duration
	floor       Number // of permits that were forgotten
	sequence    uint32
	requests    map[Task]*request
	promises    map[slot]*promise
	generations map[Node]knownGeneration
	out         []Output

	IgnoredAtStart int // questions not answered, since promises may have been forgotten
	Refused        int
	BadMessages    int // messages that can't be read
	StaleRequests  int // questions of an older generation
}

// knownGeneration is the highest generation that a front door has told, and since when.
type knownGeneration struct {
	generation uint32
	since      time.Duration
}

// New makes a core that starts now. It votes for nobody until all that it may have promised before is over.
func New(c Config, now time.Duration) (*Core, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &Core{conf: c, now: now, startedAt: now, floor: c.Floor, requests: map[Task]*request{}, promises: map[slot]*promise{}, generations: map[Node]knownGeneration{}}, nil
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

func (c *Core) generation() uint32 { return c.conf.Fleets[len(c.conf.Fleets)-1].Generation }

// voterSets are the voters whose majorities are needed, one for each fleet that may still be in use: those of before, until
// a majority of their voters has refused them for as long as any lease may last.
func (c *Core) voterSets(task Task, permit int) (sets [][]Node) {
	for i, f := range c.conf.Fleets {
		set := Voters(f, c.conf.Voters, task, permit)
		if i < len(c.conf.Fleets)-1 && c.superseded(set, c.conf.Fleets[i+1].Generation) {
			continue
		}
		sets = append(sets, set)
	}
	return sets
}

// superseded tells whether a majority of a set has for long been of a generation, or a later one.
func (c *Core) superseded(set []Node, gen uint32) bool {
	long := time.Duration(float64(c.conf.MaxLength) * (1 + c.conf.Drift) / (1 - c.conf.Drift))
	n := 0
	for _, v := range set {
		if k, ok := c.generations[v]; ok && k.generation >= gen && c.now-k.since > long {
			n++
		}
	}
	return n > len(set)/2
}

// union lists the voters of all sets, each once.
func union(sets [][]Node) (all []Node) {
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

// majorityImpossible tells whether some refusals leave no majority in one of the sets.
func majorityImpossible(sets [][]Node, no []Node) bool {
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

// Advance sets the clock, which never goes back.
func (c *Core) Advance(now time.Duration) { c.now = max(c.now, now) }

// Acquire wants a permit of a task until Drop: who waits longest, or has the higher priority, goes first.
func (c *Core) Acquire(task Task, permits, priority int) error {
	if task == "" || len(task) > MaxTaskBytes || permits < 1 || permits > MaxPermits {
		return fmt.Errorf("lease %q: names have 1 to %d bytes, tasks 1 to %d permits", task, MaxTaskBytes, MaxPermits)
	}
	if w := c.requests[task]; w != nil {
		w.priority = priority
		return nil
	}
	c.requests[task] = &request{task: task, permits: permits, priority: priority, requestedAt: c.now, retryAt: c.now, permit: int(c.jitter(string(task), permits))}
	return nil
}

// Reconfigure takes a configuration of later generations. What is held goes on if its voters of the new fleets agree.
func (c *Core) Reconfigure(fleets []Fleet) error {
	conf := c.conf
	conf.Fleets = fleets
	if err := conf.Validate(); err != nil {
		return err
	}
	if fleets[len(fleets)-1].Generation < c.generation() {
		return fmt.Errorf("fleets: generation %d is older than %d, which holds", fleets[len(fleets)-1].Generation, c.generation())
	}
	c.conf = conf
	return nil
}

// Release gives a permit back, or the wish up.
func (c *Core) Release(task Task) { c.Transfer(task, c.conf.NodeID) }

// Transfer gives a permit back and asks its voters to keep it a while for another.
func (c *Core) Transfer(task Task, to Node) {
	w := c.requests[task]
	if w == nil {
		return
	}
	delete(c.requests, task)
	if w.phase == holding {
		c.out = append(c.out, Output{Kind: Ended, Grant: w.grant()})
	}
	c.sendRelease(w, to, stopWaiting)
}

// What a release says beside: whether its sender stays in line.
const keepWaiting, stopWaiting = 0, 1

// sendRelease tells the voters that a promise is not needed any more.
func (c *Core) sendRelease(w *request, to Node, line uint8) {
	if w.phase == idle && line == keepWaiting {
		return
	}
	m := c.message(opRelease, w)
	m.node, m.rank = to, line
	c.send(union(c.voterSets(w.task, w.permit)), m)
	w.phase, w.renewing = idle, false
}

// CurrentGrant gives what is held of a task now. It is to be asked just before each effect.
func (c *Core) CurrentGrant(task Task) (Grant, bool) {
	w := c.requests[task]
	if w == nil || w.phase != holding || c.now >= w.until {
		return Grant{}, false
	}
	return w.grant(), true
}

func (r *request) grant() Grant { return Grant{r.task, r.permit, r.number, r.until} }

// jitter is a number below n, by this front door, its life, the round and a text: the same in the same state.
func (c *Core) jitter(text string, n int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, c.conf.NodeID, c.conf.Incarnation, c.sequence, text)
	return h.Sum64() >> 11 % uint64(max(n, 1))
}

// ---- Decisions

// Next gives the next thing to do now, or false when there is none.
func (c *Core) Next() (Output, bool) {
	if len(c.out) == 0 {
		for _, task := range c.sortedTasks() {
			c.process(c.requests[task])
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

func (c *Core) sortedTasks() []Task {
	all := make([]Task, 0, len(c.requests))
	for t := range c.requests {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// NextDeadline is when the core wants its clock set next; false if nothing is to come.
func (c *Core) NextDeadline() (at time.Duration, ok bool) {
	for _, w := range c.requests {
		t := w.retryAt
		if w.phase == holding {
			t = min(t, w.until)
		}
		if !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// process does what is due of a wish.
func (c *Core) process(w *request) {
	if w.phase == holding && c.now >= w.until { // its time is over by its own clock: nothing is renewed, all begins anew
		c.out = append(c.out, Output{Kind: Ended, Grant: w.grant()})
		w.phase, w.renewing, w.requestedAt = idle, false, c.now
		// An act that began before may go on for the margin. Asked for anew, and refused, the promise that still covers
		// it would be given back.
		w.retryAt = max(c.now+c.conf.Retry, w.until+c.conf.Margin)
		return
	}
	if c.now < w.retryAt {
		return
	}
	switch w.phase {
	case idle:
		c.sequence++
		w.phase, w.promiseID, w.sequence, w.sentAt, w.acks, w.rejections, w.highest = preparing, c.sequence, c.sequence, c.now, nil, nil, 0
		c.sendRequest(w, opPrepare)
	case preparing:
		if c.now-w.sentAt >= 4*c.conf.Retry {
			c.backOff(w)
			return
		}
		c.sendRequest(w, opPrepare)
	case accepting:
		if c.now-w.sentAt >= c.conf.window()/2 {
			c.backOff(w)
			return
		}
		c.sendRequest(w, opAccept)
	case holding:
		if !w.renewing {
			c.sequence++
			w.renewing, w.sequence, w.sentAt, w.acks, w.rejections = true, c.sequence, c.now, nil, nil
		}
		c.sendRequest(w, opAccept)
	}
}

// sendRequest asks all voters, or again those that have not answered.
func (c *Core) sendRequest(w *request, op byte) {
	w.retryAt = c.now + c.conf.Retry
	sets := c.voterSets(w.task, w.permit)
	var to []Node
	for _, v := range union(sets) {
		if !contains(w.acks, v) && !contains(w.rejections, v) {
			to = append(to, v)
		}
	}
	c.send(to, c.message(op, w))
}

// backOff gives a permit up for now: the promises that were got are given back, and the next permit is tried, or the same
// later. Who has others before it asks the less often, so that many wishes cost few messages.
func (c *Core) backOff(w *request) {
	c.Refused++
	if majority(c.voterSets(w.task, w.permit), append(append([]Node(nil), w.acks...), w.rejections...)) { // enough have spoken
		w.unanswered = 0
	} else if w.unanswered++; w.unanswered > 1 { // cut off, or voters that are silent yet: asking more often helps nobody
		w.retryAfter = max(w.retryAfter, min(c.conf.Retry<<min(w.unanswered, 16), c.conf.Length))
	}
	c.sendRelease(w, c.conf.NodeID, keepWaiting)
	w.permit = (w.permit + 1) % w.permits
	if w.refusals++; w.refusals < w.permits {
		w.retryAt = c.now + c.conf.Retry/8
		return
	}
	w.refusals = 0
	step := c.conf.Retry * time.Duration(1+min(w.queuePosition, 64))
	w.retryAt = c.now + max(w.retryAfter, c.conf.Retry) + time.Duration(c.jitter(string(w.task), int(step)))
	w.retryAfter, w.queuePosition = 0, 0
}

// handleResponse takes a voter's answer to the present question.
func (c *Core) handleResponse(from Node, m *message) {
	w := c.requests[m.task]
	if w == nil || m.incarnation != c.conf.Incarnation || m.sequence != w.sequence || int(m.permit) != w.permit || w.phase == idle {
		if m.op == opPromise && m.incarnation == c.conf.Incarnation { // a promise for a wish that is over: it must not stand in the others' way
			late := *m
			late.op, late.promiseID, late.node, late.rank = opRelease, m.sequence, c.conf.NodeID, keepWaiting
			// The promise that covers an act which began just before its end is not given back before that act is over.
			if w == nil || w.promiseID != m.sequence || w.phase == idle && c.now >= w.until+c.conf.Margin {
				c.send([]Node{from}, &late)
			}
		}
		return
	}
	switch {
	case m.op == opPromise && w.phase == preparing:
		w.highest = max(w.highest, m.number)
		w.acks = insertNode(w.acks, from)
		if majority(c.voterSets(w.task, w.permit), w.acks) {
			c.sequence++
			w.number = max(w.highest, c.conf.Floor) + 1
			w.phase, w.sequence, w.sentAt, w.acks, w.rejections = accepting, c.sequence, c.now, nil, nil
			c.sendRequest(w, opAccept)
		}
	case m.op == opAccepted && (w.phase == accepting || w.phase == holding && w.renewing):
		w.acks = insertNode(w.acks, from)
		if !majority(c.voterSets(w.task, w.permit), w.acks) {
			return
		}
		until := w.sentAt + c.conf.window()
		if c.now >= until || w.phase == holding && c.now >= w.until {
			return // too late: what was held is over, and is not held again without new promises
		}
		first := w.phase == accepting
		w.phase, w.until, w.renewing, w.refusals, w.unanswered = holding, until, false, 0, 0
		w.retryAt = w.sentAt + c.conf.window()/2
		kind := Renewed
		if first {
			kind = Granted
		}
		c.out = append(c.out, Output{Kind: kind, Grant: w.grant()})
	case m.op == opReject && w.phase == holding:
		w.rejections = insertNode(w.rejections, from) // its own time tells when it is over
	case m.op == opReject:
		w.rejections = insertNode(w.rejections, from)
		if ms := time.Duration(m.millis) * time.Millisecond; w.retryAfter == 0 || ms < w.retryAfter {
			w.retryAfter = ms
		}
		w.queuePosition = max(w.queuePosition, int(m.rank))
		if majorityImpossible(c.voterSets(w.task, w.permit), w.rejections) {
			c.backOff(w)
		}
	}
}

func insertNode(all []Node, n Node) []Node {
	if contains(all, n) {
		return all
	}
	all = append(append([]Node(nil), all...), n)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
