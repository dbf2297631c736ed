package simulation

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/ingress"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// clients ask, by way of the platform.
type clients struct {
	w      *world
	rng    *rand.Rand
	known  gatewaystandin.Known
	missed []int
	heard  []bool
	burst  spec.Held
	hot    []*rush
	next   uint32
	open   bool
	counts Counts
}

// Counts are how requests ended, by their last try.
type Counts struct {
	Asked, Served, InTime, Refused, Voided, Failed int
}

// Add adds another day's.
func (c *Counts) Add(x Counts) {
	c.Asked, c.Served, c.InTime = c.Asked+x.Asked, c.Served+x.Served, c.InTime+x.InTime
	c.Refused, c.Voided, c.Failed = c.Refused+x.Refused, c.Voided+x.Voided, c.Failed+x.Failed
}

// try is one try of a client.
type try struct {
	nr     uint32
	id     string
	want   gatewaystandin.Want
	m      *machine
	p      *process // that has it
	adm    ingress.Admission
	tenant string // as the node tells backends
	ref    slots.Ref
	expiry time.Duration // on the node's clock
	over   bool          // at the client
	ended  func(status int, after time.Duration)
}

func numberOf(b []byte) uint32 { return binary.LittleEndian.Uint32(b) }

func newClients(w *world) *clients {
	return &clients{w: w, rng: source(w.day.Seed, 0xc11e), missed: make([]int, w.day.Nodes), heard: make([]bool, w.day.Nodes)}
}

// watch asks every node each second whether it is ready, as the platform does.
func (c *clients) watch() {
	for i := range c.w.machines {
		c.w.after(span(c.rng, 0, time.Second), func() {
			c.w.every(time.Second, func() bool {
				m := c.w.machines[i] // another by now, if it was replaced
				if c.missed[i]++; m.runs() && m.p.h.Ready() {
					c.missed[i], c.heard[i] = 0, true
				}
				return true
			})
		})
	}
}

func (c *clients) in(i int) bool { return c.heard[i] && c.missed[i] < 2 }

// begin sends at the day's rate, whatever becomes of what was sent before.
func (c *clients) begin() {
	c.open = true
	var next func()
	next = func() {
		if !c.open {
			return
		}
		c.send(c.rushes(c.draw()))
		c.w.after(c.gap(), next)
	}
	c.w.after(c.gap(), next)
}

func (c *clients) gap() time.Duration {
	rate := c.w.day.Rate
	for _, by := range c.burst {
		rate *= by
	}
	for _, r := range c.hot {
		rate *= 1 + r.by
	}
	return time.Duration(c.rng.ExpFloat64() / rate * 1e9)
}

// send sends one request, with further tries within its time.
func (c *clients) send(want gatewaystandin.Want) {
	w := c.w
	began, until, tries := w.now, w.now+want.Deadline, 0
	c.counts.Asked++
	var again func()
	again = func() {
		tries++
		m := w.machines[gatewaystandin.Pass(c.rng, want.Zone, len(w.machines), func(i int) string { return w.machines[i].zone }, c.in)]
		c.try(m, want, until-w.now, func(status int, after time.Duration) {
			left := until - w.now
			if gatewaystandin.Again(status, want.Effectful) && tries < gatewaystandin.TriesMost && left > 20*time.Millisecond {
				wait := span(c.rng, 20*time.Millisecond, 80*time.Millisecond)
				if after > 0 {
					wait = min(after, left/3)
				}
				w.after(wait, again)
				return
			}
			switch {
			case status == 200:
				if c.counts.Served++; w.now-began <= want.Aim {
					c.counts.InTime++
				}
			case status == 429 || status == 503:
				c.counts.Refused++
			case status > 0:
				c.counts.Voided++
			default:
				c.counts.Failed++
			}
		})
	}
	again()
}

// try sends one try to a node.
func (c *clients) try(m *machine, want gatewaystandin.Want, left time.Duration, ended func(status int, after time.Duration)) {
	w := c.w
	c.next++
	t := &try{nr: c.next, id: fmt.Sprintf("%08x", c.next), want: want, m: m, ended: ended}
	what := "pure"
	if want.Effectful {
		what = "effectful"
	}
	w.note(history.Event{Who: "clients", Kind: gatewaystandin.Route, Txn: t.id, Key: want.Host, At: want.Path, What: want.Kind})
	w.note(history.Event{Who: "clients", Kind: history.Asked, Txn: t.id, Key: want.Tenant, At: m.name, N: 1, What: what,
		Due: w.now + left})
	sent := w.now
	gives := left
	if !want.Effectful && m.p != nil && m.stalled > 0 { // a node that does not read is left earlier
		gives = max(left/3, min(left, time.Second))
	}
	w.after(gives, func() { c.unheard(t) })
	w.after(w.way(want.Zone, m.zone), func() {
		if m.dark || t.over {
			return
		}
		p := m.p
		if p == nil || p.upstreams.deaf {
			w.after(w.way(m.zone, want.Zone), func() { c.unheard(t) })
			return
		}
		came := w.now
		t.p = p
		p.upstreams.tries[t.nr] = t
		p.turn(func() {
			w.doing = "requests"
			p.upstreams.take(t, left-(came-sent), w.now-came)
		})
	})
}

// unheard: no answer came, the client closes the connection.
func (c *clients) unheard(t *try) {
	if t.over {
		return
	}
	t.over = true
	c.w.note(history.Event{Who: "clients", Kind: history.Unheard, Txn: t.id})
	if p := t.p; p != nil {
		c.w.after(c.w.way(t.want.Zone, t.m.zone), func() {
			p.turn(func() {
				delete(p.upstreams.tries, t.nr)
				if t.ref != 0 {
					p.g.Left(t.ref)
				}
			})
		})
	}
	t.ended(0, 0)
}

// answered: an answer is on its way.
func (u *upstreams) answered(t *try, status int, after time.Duration) {
	delete(u.tries, t.nr)
	w := u.p.w
	w.after(w.way(t.m.zone, t.want.Zone), func() {
		if t.over {
			return
		}
		t.over = true
		w.note(history.Event{Who: "clients", Kind: history.Answered, Txn: t.id, N: float64(status), What: t.id})
		t.ended(status, after)
	})
}

// lost: a node's process has ended, and its clients' connections with it.
func (c *clients) lost(p *process, power bool) {
	if power {
		return
	}
	for _, nr := range sortedKeys(p.upstreams.tries) {
		t := p.upstreams.tries[nr]
		t.p = nil
		c.w.after(c.w.way(p.m.zone, t.want.Zone), func() { c.unheard(t) })
	}
}

// ---- The front of a node: what internal/gateway/ingress does, without bytes.

const soon = 300 * time.Millisecond

// take admits a request whose client waits so long, some of which it may have lain unread.
func (u *upstreams) take(t *try, wait, unread time.Duration) {
	p := u.p
	if u.tries[t.nr] != t {
		return
	}
	if p.w.refuses(&t.want) {
		u.answered(t, 503, soon)
		return
	}
	key := []byte(t.want.Key)
	if len(key) == 0 {
		key = nil
	}
	a, why := p.h.Admit([]byte(t.want.Host), []byte(t.want.Path), key)
	switch why {
	case ingress.NoRoute:
		u.answered(t, 404, 0)
		return
	case ingress.InvalidKey:
		u.answered(t, 401, 0)
		return
	case ingress.ConfigurationPending:
		u.answered(t, 503, soon)
		return
	}
	t.adm, t.tenant = a, a.Tenant
	if a.Deadline > 0 && a.Deadline < wait {
		wait = a.Deadline
	}
	t.expiry = p.Now() + max(wait-unread, 0)
	txn := control.Txn{Customer: a.Customer, Product: a.Product, Plan: control.PlanID(a.Priority), Expiry: t.expiry, SetWidth: 1}
	if a.Metered {
		txn.Units = 1
	}
	ref, ok := p.g.Take(txn, u, slots.Ref(t.nr))
	if !ok {
		u.answered(t, 503, soon)
		return
	}
	t.ref = ref
}

// of finds a try that waits.
func (u *upstreams) of(who, txn slots.Ref) *try {
	if t := u.tries[uint32(who)]; t != nil && (t.ref == 0 || t.ref == txn) {
		return t
	}
	return nil
}

// AppendTo gives the number of the try: no bytes are needed here.
func (u *upstreams) AppendTo(b []byte, who, txn slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	if u.of(who, txn) == nil {
		return b
	}
	return binary.LittleEndian.AppendUint32(b, uint32(who))
}

// User names whoever a request is of: its key.
func (u *upstreams) User(who, txn slots.Ref) ([]byte, string) {
	if t := u.of(who, txn); t != nil {
		return []byte(t.want.Key), t.tenant
	}
	return nil, ""
}

func (u *upstreams) Complete(who, txn slots.Ref, o gate.Outcome) {
	t := u.of(who, txn)
	switch {
	case t == nil:
	case string(o.Body) != t.id:
		u.p.w.note(history.Event{Who: "clients", Kind: gatewaystandin.Mixed, Txn: t.id, At: t.m.name, What: string(o.Body)})
	case o.Ending == control.Succeeded:
		u.answered(t, 200, 0)
	default:
		u.answered(t, 500, 0)
	}
}

func (u *upstreams) Reject(who, txn slots.Ref, after time.Duration, why control.Reason) {
	status := 503
	if why == control.ReasonNoUnits {
		status = 429
	}
	if t := u.of(who, txn); t != nil {
		u.answered(t, status, after)
	}
}

func (u *upstreams) Fail(who, txn slots.Ref, why control.Reason) {
	t := u.of(who, txn)
	if t == nil {
		return
	}
	status := 502
	if why == control.ReasonNoTime || t.expiry <= u.p.Now() {
		status = 504
	}
	u.answered(t, status, 0)
}
