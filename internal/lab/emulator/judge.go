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
	RuleCold
	RuleCeiling
)

func (r Rule) String() string {
	return [...]string{"", "no txn is lost", "no effect happens twice", "drains are kept", "no cold backend is pushed over",
		"ceilings are kept"}[r]
}

// Broken is a rule broken: by which front door, when, over which txn.
type Broken struct {
	Rule Rule          `json:"rule"`
	Txn  uint32        `json:"txn"`
	Node int           `json:"node"`
	At   time.Duration `json:"at"` // since the start
	What string        `json:"what"`
}

func (b Broken) String() string {
	return fmt.Sprintf("rule %d, %s: front door %d, txn %d, at %.3fs: %s", b.Rule, b.Rule, b.Node, b.Txn, b.At.Seconds(), b.What)
}

// ledger is what the judge knows of a try at a front door.
type ledger struct {
	t        *try
	d        *node
	life     int
	deadline time.Duration
	answered int
	out      *submission
	ran      *submission // the first that has run, or may have
	ranAt    time.Duration
	mayRun   bool
	counted  bool
}

// store is a quota's or a ceiling's true store.
type store struct {
	level, rate, most float64
	at                time.Duration
}

func (s *store) now(t time.Duration) float64 {
	s.level = min(s.most, s.level+s.rate*(t-s.at).Seconds())
	s.at = t
	return s.level
}

// books are a customer's true stores.
type books struct {
	quota   store
	ceiling store
	first   store // by first tries alone: what one gateway that saw all would let in
	open    int
}

// judge holds the five rules against what really happened, never against a front door's word.
type judge struct {
	w      *world
	open   map[uint32]*ledger
	books  map[control.CustomerID]*books
	seen   map[*node]time.Duration // since when the front knows a node as dead
	excuse map[*node]time.Duration // a node that stands still is not held to its deadlines until then
	broken []Broken
	many   int
	beyond int
}

func newJudge(w *world) *judge {
	return &judge{w: w, open: map[uint32]*ledger{}, books: map[control.CustomerID]*books{}, seen: map[*node]time.Duration{},
		excuse: map[*node]time.Duration{}}
}

// mostBroken are named one by one; all are counted.
const mostBroken = 50

func (j *judge) breaks(r Rule, d *node, txn uint32, what string) {
	if j.many++; len(j.broken) < mostBroken {
		j.broken = append(j.broken, Broken{r, txn, d.nr, j.w.now - origin, what})
	}
}

func (j *judge) book(c *customer) *books {
	b := j.books[c.id]
	if b == nil {
		p := j.w.s.Plans[c.plan]
		b = &books{quota: store{p.Burst, p.Rate, p.Burst, j.w.now}, first: store{p.Burst, p.Rate, p.Burst, j.w.now},
			ceiling: store{p.Ceiling * p.Burst, p.Ceiling * p.Rate, p.Ceiling * p.Burst, j.w.now}}
		j.books[c.id] = b
	}
	return b
}

// offered tells whether a request is inside its quota, by first tries alone.
func (j *judge) offered(r *request) bool {
	b := j.book(r.c)
	if b.first.now(j.w.now) < 1 {
		return false
	}
	b.first.level--
	return true
}

// believed tells whether the front sends to a node: a dead one is noticed late, a fresh one at once.
func (j *judge) believed(d *node) bool {
	since, ok := j.seen[d]
	return d.up || !ok || j.w.now < since
}

// killed: the front will notice.
func (j *judge) killed(d *node) {
	j.seen[d] = j.w.now + j.w.between(j.w.s.Clients.Notice)
	for nr, l := range j.open {
		if l.d == d {
			delete(j.open, nr)
		}
	}
}

func (j *judge) stalled(d *node, until time.Duration) { j.excuse[d] = max(j.excuse[d], until) }

// ---- Rule 1

// taken: a running front door has a try. From here it owes one final answer before the expiry.
func (j *judge) taken(t *try) {
	l := &ledger{t: t, d: t.d, life: t.life, deadline: t.expiry + j.w.s.Rules.AnswerSlack.D()}
	j.open[t.nr] = l
	j.w.at(l.deadline, func() { j.look(l) })
}

// look: the time is up.
func (j *judge) look(l *ledger) {
	if l.answered > 0 || l.life != l.d.life || !l.d.up || l.t.left {
		j.forget(l)
		return
	}
	if j.excuse[l.d] >= l.t.expiry { // it stood still when the time ran out, and its client has gone since
		j.forget(l)
		return
	}
	j.breaks(RuleLost, l.d, l.t.nr, "no final answer before its expiry")
	j.forget(l)
}

// forget keeps a ledger for as long as a late word of it may come.
func (j *judge) forget(l *ledger) {
	j.w.after(j.w.longest(), func() { delete(j.open, l.t.nr) })
}

// answered: a final answer leaves a front door.
func (j *judge) answered(d *node, nr uint32, e control.Ending, made uint32) {
	l := j.open[nr]
	if l == nil {
		return
	}
	if l.answered++; l.answered > 1 {
		j.breaks(RuleLost, d, nr, "a second final answer")
		return
	}
	if e == control.Succeeded && made != nr {
		j.breaks(RuleLost, d, nr, "settled with an answer that no backend made for it")
	}
	p := j.w.s.Products[l.t.req.product]
	if e == control.Rejected && !p.Judged().Safe() && (l.mayRun || l.out != nil && l.out.whole) {
		j.breaks(RuleTwice, d, nr, "declined, so that the client may repeat it, though it may have run")
	}
}

// ---- Rules 2, 3 and 5

// sent: a submission is handed to the network.
func (j *judge) sent(s *submission) {
	w, l := j.w, j.open[s.try.nr]
	if l == nil {
		return
	}
	if l.answered > 0 {
		j.breaks(RuleLost, s.d, s.try.nr, "sent on after its final answer")
	}
	if l.out != nil && !l.out.over {
		j.breaks(RuleTwice, s.d, s.try.nr, "a second copy while the first is out")
	}
	l.out = s
	if l.mayRun {
		p := w.s.Products[s.try.req.product]
		switch p.Judged().Repeats(history.Reached{Place: l.ran.to.place(), Sent: l.ranAt}, history.Reached{Place: s.to.place(), Sent: w.now}, 0) {
		case history.OnceOnly:
			j.breaks(RuleTwice, s.d, s.try.nr, "a once-only txn goes again though it may have run")
		case history.OtherDrop:
			j.breaks(RuleTwice, s.d, s.try.nr, "goes again outside the group that drops its repeats")
		case history.Forgotten:
			j.breaks(RuleTwice, s.d, s.try.nr, "goes again after its repeats are forgotten")
		}
	}
	if since, ok := s.d.told[s.to.id]; ok && w.now > since+w.s.Rules.DrainGrace.D() {
		j.breaks(RuleDrain, s.d, s.try.nr, fmt.Sprintf("sent to backend %d, told as draining or gone %.1fs before", s.to.id,
			(w.now-since).Seconds()))
	}
}

// arrived: a submission's last byte is at its backend; a try's first one takes its units.
func (j *judge) arrived(s *submission, _ *backend) {
	l := j.open[s.try.nr]
	b := j.book(s.try.req.c)
	p := j.w.s.Plans[s.try.req.c.plan]
	b.open++
	if l == nil || l.counted {
		return
	}
	l.counted = true
	if b.quota.now(j.w.now) >= 1 && (p.OpenCap == 0 || b.open <= p.OpenCap) {
		b.quota.level--
	} else {
		s.try.beyond = true
		j.beyond++
		j.w.res.beyond(s.try.req)
	}
	if p.Ceiling > 0 {
		slack := j.w.s.Rules.CeilingSlackOf(&p)
		b.ceiling.now(j.w.now)
		if b.ceiling.level--; b.ceiling.level < -slack {
			j.breaks(RuleCeiling, s.d, s.try.nr, fmt.Sprintf("the store of customer %x is at %.1f, the slack is %.1f", uint64(s.try.req.c.id),
				b.ceiling.level, slack))
			b.ceiling.level = 0
		}
	}
}

// ended: a front door has a submission's outcome.
func (j *judge) ended(s *submission, e control.Ending) {
	if s.whole {
		if b := j.book(s.try.req.c); b.open > 0 {
			b.open--
		}
	}
	l := j.open[s.try.nr]
	if l == nil {
		return
	}
	if l.out == s {
		l.out = nil
	}
	if e != control.Rejected && e != control.Unreachable && e != control.NotSent && !l.mayRun {
		l.mayRun, l.ran, l.ranAt = true, s, s.sent
	}
}

// ---- Rule 4

func (j *judge) fell(s *submission, b *backend, sum, most float64) {
	j.breaks(RuleCold, s.d, s.try.nr, fmt.Sprintf("backend %d, %.1fs old, got %.2f core seconds of work in the window, %.2f is the most",
		b.id, (j.w.now-b.started).Seconds(), sum, most))
}

// said: a datagram leaves a front door.
func (j *judge) said(d *node, payload []byte) {
	if len(payload) > 256 {
		j.breaks(RuleLost, d, 0, fmt.Sprintf("a datagram of %d bytes", len(payload)))
	}
}

// finish looks at what is left when the run is over.
func (j *judge) finish() {
	var left []*ledger
	for _, l := range j.open {
		if l.answered == 0 && l.d.up && l.life == l.d.life && !l.t.left && l.deadline < j.w.now && !l.d.stalled {
			left = append(left, l)
		}
	}
	sort.Slice(left, func(a, b int) bool { return left[a].t.nr < left[b].t.nr })
	for _, l := range left {
		if !j.named(l.t.nr) {
			j.breaks(RuleLost, l.d, l.t.nr, "no final answer at the end of the run")
		}
	}
}

func (j *judge) named(nr uint32) bool {
	for _, b := range j.broken {
		if b.Txn == nr && b.Rule == RuleLost {
			return true
		}
	}
	return false
}

func sortSubs(s []*submission) {
	sort.Slice(s, func(a, b int) bool {
		return s[a].try.nr < s[b].try.nr || s[a].try.nr == s[b].try.nr && s[a].nr < s[b].nr
	})
}
