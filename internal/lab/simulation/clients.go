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
	world     *world
	rng       *rand.Rand
	known     gatewaystandin.Known
	missed    []int
	everReady []bool
	burst     spec.Factors
	rushes    []*rush
	next      uint32
	open      bool
	counts    Counts
}

// Counts are how requests ended, by their last try.
type Counts struct {
	Requested, Served, InTime, Rejected, Aborted, Failed int
}

// Add adds another day's.
func (c *Counts) Add(x Counts) {
	c.Requested, c.Served, c.InTime = c.Requested+x.Requested, c.Served+x.Served, c.InTime+x.InTime
	c.Rejected, c.Aborted, c.Failed = c.Rejected+x.Rejected, c.Aborted+x.Aborted, c.Failed+x.Failed
}

// attempt is one try of a client.
type attempt struct {
	number    uint32
	id        string
	want      gatewaystandin.Request
	machine   *machine
	process   *process // that has it
	admission ingress.Admission
	tenant    string // as the node tells backends
	ref       slots.Ref
	expiry    time.Duration // on the node's clock
	done      bool          // at the client
	ended     func(status int, after time.Duration)
}

func numberOf(b []byte) uint32 { return binary.LittleEndian.Uint32(b) }

func newClients(w *world) *clients {
	return &clients{world: w, rng: source(w.day.Seed, 0xc11e), missed: make([]int, w.day.Nodes), everReady: make([]bool, w.day.Nodes)}
}

// watch asks every node each second whether it is ready, as the platform does.
func (c *clients) watch() {
	for i := range c.world.machines {
		c.world.after(span(c.rng, 0, time.Second), func() {
			c.world.every(time.Second, func() bool {
				m := c.world.machines[i] // another by now, if it was replaced
				if c.missed[i]++; m.runs() && m.process.node.Ready() {
					c.missed[i], c.everReady[i] = 0, true
				}
				return true
			})
		})
	}
}

func (c *clients) inRotation(i int) bool { return c.everReady[i] && c.missed[i] < 2 }

// begin sends at the day's rate, whatever becomes of what was sent before.
func (c *clients) begin() {
	c.open = true
	var next func()
	next = func() {
		if !c.open {
			return
		}
		c.send(c.applyRushes(c.draw()))
		c.world.after(c.interarrival(), next)
	}
	c.world.after(c.interarrival(), next)
}

func (c *clients) interarrival() time.Duration {
	rate := c.world.day.Rate
	for _, by := range c.burst {
		rate *= by
	}
	for _, r := range c.rushes {
		rate *= 1 + r.factor
	}
	return time.Duration(c.rng.ExpFloat64() / rate * 1e9)
}

// send sends one request, with further tries within its time.
func (c *clients) send(want gatewaystandin.Request) {
	w := c.world
	began, until, tries := w.now, w.now+want.Deadline, 0
	c.counts.Requested++
	var again func()
	again = func() {
		tries++
		m := w.machines[gatewaystandin.Pass(c.rng, want.Zone, len(w.machines), func(i int) string { return w.machines[i].zone }, c.inRotation)]
		c.startAttempt(m, want, until-w.now, func(status int, after time.Duration) {
			left := until - w.now
			if gatewaystandin.Again(status, want.Effectful) && tries < gatewaystandin.MaxAttempts && left > 20*time.Millisecond {
				wait := span(c.rng, 20*time.Millisecond, 80*time.Millisecond)
				if after > 0 {
					wait = min(after, left/3)
				}
				w.after(wait, again)
				return
			}
			switch {
			case status == 200:
				if c.counts.Served++; w.now-began <= want.LatencyTarget {
					c.counts.InTime++
				}
			case status == 429 || status == 503:
				c.counts.Rejected++
			case status > 0:
				c.counts.Aborted++
			default:
				c.counts.Failed++
			}
		})
	}
	again()
}

// startAttempt sends one try to a node.
func (c *clients) startAttempt(m *machine, want gatewaystandin.Request, left time.Duration, ended func(status int, after time.Duration)) {
	w := c.world
	c.next++
	t := &attempt{number: c.next, id: fmt.Sprintf("%08x", c.next), want: want, machine: m, ended: ended}
	what := "pure"
	if want.Effectful {
		what = "effectful"
	}
	w.record(history.Event{Who: "clients", Kind: gatewaystandin.Route, Txn: t.id, Key: want.Host, Target: want.Path, What: want.Kind})
	w.record(history.Event{Who: "clients", Kind: history.Requested, Txn: t.id, Key: want.Tenant, Target: m.name, Number: 1, What: what,
		Deadline: w.now + left})
	sent := w.now
	gives := left
	if !want.Effectful && m.process != nil && m.stalls > 0 { // a node that does not read is left earlier
		gives = max(left/3, min(left, time.Second))
	}
	w.after(gives, func() { c.timedOut(t) })
	w.after(w.delay(want.Zone, m.zone), func() {
		if m.poweredOff || t.done {
			return
		}
		p := m.process
		if p == nil || p.upstreams.stoppedListening {
			w.after(w.delay(m.zone, want.Zone), func() { c.timedOut(t) })
			return
		}
		came := w.now
		t.process = p
		p.upstreams.attempts[t.number] = t
		p.turn(func() {
			w.turnKind = "requests"
			p.upstreams.admit(t, left-(came-sent), w.now-came)
		})
	})
}

// timedOut: no answer came, the client closes the connection.
func (c *clients) timedOut(t *attempt) {
	if t.done {
		return
	}
	t.done = true
	c.world.record(history.Event{Who: "clients", Kind: history.Unanswered, Txn: t.id})
	if p := t.process; p != nil {
		c.world.after(c.world.delay(t.want.Zone, t.machine.zone), func() {
			p.turn(func() {
				delete(p.upstreams.attempts, t.number)
				if t.ref != 0 {
					p.gate.Left(t.ref)
				}
			})
		})
	}
	t.ended(0, 0)
}

// sendResponse: an answer is on its way.
func (u *upstreams) sendResponse(t *attempt, status int, after time.Duration) {
	delete(u.attempts, t.number)
	w := u.process.world
	w.after(w.delay(t.machine.zone, t.want.Zone), func() {
		if t.done {
			return
		}
		t.done = true
		w.record(history.Event{Who: "clients", Kind: history.Answered, Txn: t.id, Number: float64(status), What: t.id})
		t.ended(status, after)
	})
}

// processEnded: a node's process has ended, and its clients' connections with it.
func (c *clients) processEnded(p *process, power bool) {
	if power {
		return
	}
	for _, nr := range sortedKeys(p.upstreams.attempts) {
		t := p.upstreams.attempts[nr]
		t.process = nil
		c.world.after(c.world.delay(p.machine.zone, t.want.Zone), func() { c.timedOut(t) })
	}
}

// ---- The front of a node: what internal/gateway/ingress does, without bytes.

const retryAfter = 300 * time.Millisecond

// admit admits a request whose client waits so long, some of which it may have lain unread.
func (u *upstreams) admit(t *attempt, wait, unread time.Duration) {
	p := u.process
	if u.attempts[t.number] != t {
		return
	}
	if p.world.plantedReject(&t.want) {
		u.sendResponse(t, 503, retryAfter)
		return
	}
	key := []byte(t.want.Key)
	if len(key) == 0 {
		key = nil
	}
	a, why := p.node.Admit([]byte(t.want.Host), []byte(t.want.Path), key)
	switch why {
	case ingress.NoRoute:
		u.sendResponse(t, 404, 0)
		return
	case ingress.InvalidKey:
		u.sendResponse(t, 401, 0)
		return
	case ingress.ConfigurationPending:
		u.sendResponse(t, 503, retryAfter)
		return
	}
	t.admission, t.tenant = a, a.Tenant
	if a.Deadline > 0 && a.Deadline < wait {
		wait = a.Deadline
	}
	t.expiry = p.Now() + max(wait-unread, 0)
	txn := control.Txn{Customer: a.Customer, Product: a.Product, Plan: control.PlanID(a.Priority), Expiry: t.expiry, SetWidth: 1}
	if a.Metered {
		txn.Units = 1
	}
	ref, ok := p.gate.Take(txn, u, slots.Ref(t.number))
	if !ok {
		u.sendResponse(t, 503, retryAfter)
		return
	}
	t.ref = ref
}

// attemptOf finds a try that waits.
func (u *upstreams) attemptOf(who, txn slots.Ref) *attempt {
	if t := u.attempts[uint32(who)]; t != nil && (t.ref == 0 || t.ref == txn) {
		return t
	}
	return nil
}

// AppendTo gives the number of the try: no bytes are needed here.
func (u *upstreams) AppendTo(b []byte, who, txn slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	if u.attemptOf(who, txn) == nil {
		return b
	}
	return binary.LittleEndian.AppendUint32(b, uint32(who))
}

// User names whoever a request is of: its key.
func (u *upstreams) User(who, txn slots.Ref) ([]byte, string) {
	if t := u.attemptOf(who, txn); t != nil {
		return []byte(t.want.Key), t.tenant
	}
	return nil, ""
}

func (u *upstreams) Complete(who, txn slots.Ref, o gate.Outcome) {
	t := u.attemptOf(who, txn)
	switch {
	case t == nil:
	case string(o.Body) != t.id:
		u.process.world.record(history.Event{Who: "clients", Kind: gatewaystandin.Mixed, Txn: t.id, Target: t.machine.name, What: string(o.Body)})
	case o.Ending == control.Succeeded:
		u.sendResponse(t, 200, 0)
	default:
		u.sendResponse(t, 500, 0)
	}
}

func (u *upstreams) Reject(who, txn slots.Ref, after time.Duration, why control.Reason) {
	status := 503
	if why == control.ReasonNoUnits {
		status = 429
	}
	if t := u.attemptOf(who, txn); t != nil {
		u.sendResponse(t, status, after)
	}
}

func (u *upstreams) Fail(who, txn slots.Ref, why control.Reason) {
	t := u.attemptOf(who, txn)
	if t == nil {
		return
	}
	status := 502
	if why == control.ReasonNoTime || t.expiry <= u.process.Now() {
		status = 504
	}
	u.sendResponse(t, status, 0)
}
