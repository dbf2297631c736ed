package emulator

import (
	"fmt"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/internal/history"
)

// Rule is one of the five.
type Rule int

// The rules, in the operators' order.
const (
	RuleLost Rule = iota + 1
	RuleTwice
	RuleDrain
	RuleSlowStart
	RuleHardLimit
)

func (r Rule) String() string {
	return [...]string{"", "no txn is lost", "no effect happens twice", "drains are kept", "no cold backend is pushed over",
		"ceilings are kept"}[r]
}

// Violation is a rule broken: by which front door, when, over which txn.
type Violation struct {
	Rule Rule          `json:"rule"`
	Txn  uint32        `json:"txn"`
	Node int           `json:"node"`
	Time time.Duration `json:"at"` // since the start
	What string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d, %s: front door %d, txn %d, at %.3fs: %s", v.Rule, v.Rule, v.Node, v.Txn, v.Time.Seconds(), v.What)
}

// attemptRecord is what the judge knows of a try at a front door.
type attemptRecord struct {
	attempt     *attempt
	node        *node
	incarnation int
	deadline    time.Duration
	answered    int
	submitted   *submission
	executed    *submission // the first that has run, or may have
	executedAt  time.Duration
	mayRun      bool
	counted     bool
}

// tokenBucket is a quota's or a ceiling's true store.
type tokenBucket struct {
	level, rate, capacity float64
	updatedAt             time.Duration
}

func (t *tokenBucket) levelAt(interval time.Duration) float64 {
	t.level = min(t.capacity, t.level+t.rate*(interval-t.updatedAt).Seconds())
	t.updatedAt = interval
	return t.level
}

// customerState are a customer's true stores.
type customerState struct {
	quota         tokenBucket
	hardLimit     tokenBucket
	firstAttempts tokenBucket // by first tries alone: what one gateway that saw all would let in
	inFlight      int
}

// checker holds the five rules against what really happened, never against a front door's word.
type checker struct {
	world          *world
	open           map[uint32]*attemptRecord
	customers      map[control.CustomerID]*customerState
	knownDeadSince map[*node]time.Duration // since when the front knows a node as dead
	excusedUntil   map[*node]time.Duration // a node that stands still is not held to its deadlines until then
	listed         []Violation
	violations     int
	beyondQuota    int
}

func newChecker(w *world) *checker {
	return &checker{world: w, open: map[uint32]*attemptRecord{}, customers: map[control.CustomerID]*customerState{}, knownDeadSince: map[*node]time.Duration{},
		excusedUntil: map[*node]time.Duration{}}
}

// maxListed are named one by one; all are counted.
const maxListed = 50

func (c *checker) violate(r Rule, d *node, txn uint32, what string) {
	if c.violations++; len(c.listed) < maxListed {
		c.listed = append(c.listed, Violation{r, txn, d.index, c.world.now - origin, what})
	}
}

func (c *checker) customer(customer *customer) *customerState {
	b := c.customers[customer.id]
	if b == nil {
		p := c.world.spec.Plans[customer.plan]
		b = &customerState{quota: tokenBucket{p.Burst, p.Rate, p.Burst, c.world.now}, firstAttempts: tokenBucket{p.Burst, p.Rate, p.Burst, c.world.now},
			hardLimit: tokenBucket{p.Ceiling * p.Burst, p.Ceiling * p.Rate, p.Ceiling * p.Burst, c.world.now}}
		c.customers[customer.id] = b
	}
	return b
}

// offered tells whether a request is inside its quota, by first tries alone.
func (c *checker) offered(r *request) bool {
	b := c.customer(r.customer)
	if b.firstAttempts.levelAt(c.world.now) < 1 {
		return false
	}
	b.firstAttempts.level--
	return true
}

// trustedByFrontend tells whether the front sends to a node: a dead one is noticed late, a fresh one at once.
func (c *checker) trustedByFrontend(d *node) bool {
	since, ok := c.knownDeadSince[d]
	return d.running || !ok || c.world.now < since
}

// killed: the front will notice.
func (c *checker) killed(d *node) {
	c.knownDeadSince[d] = c.world.now + c.world.between(c.world.spec.Clients.Notice)
	for nr, l := range c.open {
		if l.node == d {
			delete(c.open, nr)
		}
	}
}

func (c *checker) stalled(d *node, until time.Duration) {
	c.excusedUntil[d] = max(c.excusedUntil[d], until)
}

// ---- Rule 1

// taken: a running front door has a try. From here it owes one final answer before the expiry.
func (c *checker) taken(t *attempt) {
	l := &attemptRecord{attempt: t, node: t.node, incarnation: t.incarnation, deadline: t.expiry + c.world.spec.Rules.AnswerSlack.D()}
	c.open[t.number] = l
	c.world.at(l.deadline, func() { c.checkDeadline(l) })
}

// checkDeadline: the time is up.
func (c *checker) checkDeadline(l *attemptRecord) {
	if l.answered > 0 || l.incarnation != l.node.incarnation || !l.node.running || l.attempt.clientLeft {
		c.forget(l)
		return
	}
	if c.excusedUntil[l.node] >= l.attempt.expiry { // it stood still when the time ran out, and its client has gone since
		c.forget(l)
		return
	}
	c.violate(RuleLost, l.node, l.attempt.number, "no final answer before its expiry")
	c.forget(l)
}

// forget keeps a ledger for as long as a late word of it may come.
func (c *checker) forget(l *attemptRecord) {
	c.world.after(c.world.longest(), func() { delete(c.open, l.attempt.number) })
}

// answered: a final answer leaves a front door.
func (c *checker) answered(d *node, nr uint32, e control.Ending, made uint32) {
	l := c.open[nr]
	if l == nil {
		return
	}
	if l.answered++; l.answered > 1 {
		c.violate(RuleLost, d, nr, "a second final answer")
		return
	}
	if e == control.Succeeded && made != nr {
		c.violate(RuleLost, d, nr, "settled with an answer that no backend made for it")
	}
	p := c.world.spec.Products[l.attempt.request.product]
	if e == control.Rejected && !p.Judged().Safe() && (l.mayRun || l.submitted != nil && l.submitted.written) {
		c.violate(RuleTwice, d, nr, "declined, so that the client may repeat it, though it may have run")
	}
}

// ---- Rules 2, 3 and 5

// sent: a submission is handed to the network.
func (c *checker) sent(s *submission) {
	w, l := c.world, c.open[s.attempt.number]
	if l == nil {
		return
	}
	if l.answered > 0 {
		c.violate(RuleLost, s.node, s.attempt.number, "sent on after its final answer")
	}
	if l.submitted != nil && !l.submitted.done {
		c.violate(RuleTwice, s.node, s.attempt.number, "a second copy while the first is out")
	}
	l.submitted = s
	if l.mayRun {
		p := w.spec.Products[s.attempt.request.product]
		switch p.Judged().Repeats(history.Submission{Location: l.executed.target.position(), Sent: l.executedAt}, history.Submission{Location: s.target.position(), Sent: w.now}, 0) {
		case history.OnceOnly:
			c.violate(RuleTwice, s.node, s.attempt.number, "a once-only txn goes again though it may have run")
		case history.OutsideScope:
			c.violate(RuleTwice, s.node, s.attempt.number, "goes again outside the group that drops its repeats")
		case history.RecordExpired:
			c.violate(RuleTwice, s.node, s.attempt.number, "goes again after its repeats are forgotten")
		}
	}
	if since, ok := s.node.unavailableSince[s.target.id]; ok && w.now > since+w.spec.Rules.DrainGrace.D() {
		c.violate(RuleDrain, s.node, s.attempt.number, fmt.Sprintf("sent to backend %d, told as draining or gone %.1fs before", s.target.id,
			(w.now-since).Seconds()))
	}
}

// arrived: a submission's last byte is at its backend; a try's first one takes its units.
func (c *checker) arrived(s *submission, _ *backend) {
	l := c.open[s.attempt.number]
	b := c.customer(s.attempt.request.customer)
	p := c.world.spec.Plans[s.attempt.request.customer.plan]
	b.inFlight++
	if l == nil || l.counted {
		return
	}
	l.counted = true
	if b.quota.levelAt(c.world.now) >= 1 && (p.OpenCap == 0 || b.inFlight <= p.OpenCap) {
		b.quota.level--
	} else {
		s.attempt.beyondQuota = true
		c.beyondQuota++
		c.world.recorder.beyondQuota(s.attempt.request)
	}
	if p.Ceiling > 0 {
		slack := c.world.spec.Rules.RateLimitSlack(&p)
		b.hardLimit.levelAt(c.world.now)
		if b.hardLimit.level--; b.hardLimit.level < -slack {
			c.violate(RuleHardLimit, s.node, s.attempt.number, fmt.Sprintf("the store of customer %x is at %.1f, the slack is %.1f", uint64(s.attempt.request.customer.id),
				b.hardLimit.level, slack))
			b.hardLimit.level = 0
		}
	}
}

// ended: a front door has a submission's outcome.
func (c *checker) ended(s *submission, e control.Ending) {
	if s.written {
		if b := c.customer(s.attempt.request.customer); b.inFlight > 0 {
			b.inFlight--
		}
	}
	l := c.open[s.attempt.number]
	if l == nil {
		return
	}
	if l.submitted == s {
		l.submitted = nil
	}
	if e != control.Rejected && e != control.Unreachable && e != control.NotSent && !l.mayRun {
		l.mayRun, l.executed, l.executedAt = true, s, s.sent
	}
}

// ---- Rule 4

func (c *checker) backendOverloaded(s *submission, b *backend, sum, most float64) {
	c.violate(RuleSlowStart, s.node, s.attempt.number, fmt.Sprintf("backend %d, %.1fs old, got %.2f core seconds of work in the window, %.2f is the most",
		b.id, (c.world.now-b.started).Seconds(), sum, most))
}

// datagramSent: a datagram leaves a front door.
func (c *checker) datagramSent(d *node, payload []byte) {
	if len(payload) > 256 {
		c.violate(RuleLost, d, 0, fmt.Sprintf("a datagram of %d bytes", len(payload)))
	}
}

// finish looks at what is left when the run is over.
func (c *checker) finish() {
	var left []*attemptRecord
	for _, l := range c.open {
		if l.answered == 0 && l.node.running && l.incarnation == l.node.incarnation && !l.attempt.clientLeft && l.deadline < c.world.now && !l.node.stalled {
			left = append(left, l)
		}
	}
	sort.Slice(left, func(a, b int) bool { return left[a].attempt.number < left[b].attempt.number })
	for _, l := range left {
		if !c.named(l.attempt.number) {
			c.violate(RuleLost, l.node, l.attempt.number, "no final answer at the end of the run")
		}
	}
}

func (c *checker) named(nr uint32) bool {
	for _, b := range c.listed {
		if b.Txn == nr && b.Rule == RuleLost {
			return true
		}
	}
	return false
}

func sortSubs(s []*submission) {
	sort.Slice(s, func(a, b int) bool {
		return s[a].attempt.number < s[b].attempt.number || s[a].attempt.number == s[b].attempt.number && s[a].number < s[b].number
	})
}
