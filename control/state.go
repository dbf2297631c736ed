package control

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Bookkeeping without decisions: lists and ids held. That of the quota is in quotastate.go and account.go.

// ListChanged takes news of the backends; a whole list replaces the old one.
func (d *Gateway) ListChanged(whole bool, list []Listing) {
	if whole {
		for _, b := range d.list {
			b.State = Gone
		}
	}
	for _, l := range list {
		b := d.backends[l.ID]
		if b == nil {
			b = &backend{Listing: l, hash: mix(uint64(l.ID)), slow: 1, fail: make([]failing, len(d.products))}
			d.backends[l.ID] = b
			d.list = append(d.list, b)
			d.byHash[b.hash&sightMask] = b
			sort.Slice(d.list, func(i, j int) bool { return d.list[i].ID < d.list[j].ID })
		}
		if l.Started > b.Started { // a new process: what was known of the old one is void
			*b = backend{Listing: l, hash: b.hash, slow: 1, out: b.out,
				fail: make([]failing, len(d.products))}
		}
		b.Listing = l
	}
	d.list = slices.DeleteFunc(d.list, func(b *backend) bool { // what is out there keeps its own hold of it
		if b.State == Gone {
			delete(d.backends, b.ID)
			delete(d.byHash, b.hash&sightMask)
		}
		return b.State == Gone
	})
	d.recheck, d.noRoom, d.open = true, false, d.open[:0]
}

// ClientLeft is told when nobody waits for this txn any more.
func (d *Gateway) ClientLeft(id TxnID) {
	if t := d.txns[id]; t != nil {
		d.forget(t)
	}
}

func (d *Gateway) forget(t *txn) {
	t.ended = true
	d.unkeep(t)
	if t.outAt != nil { // the outcome is still to come and counts for the backend
		return
	}
	delete(d.txns, t.ID)
}

// unkeep lets go of the units kept for a txn.
func (d *Gateway) unkeep(t *txn) {
	if t.kept {
		d.quota.Unkeep(t.Customer, t.Units)
	}
	t.kept = false
}

// usual is the usual answer time of such a txn.
func (d *Gateway) usual(t *txn) time.Duration {
	if s, ok := d.typical[d.sort(t)]; ok {
		return time.Duration(s * float64(time.Second))
	}
	return d.products[t.Product].slaTime / unknownPart
}

// wake asks for the one periodic timer and, if something is due before it, for that time.
func (d *Gateway) wake() (Decision, bool) {
	next := d.lastWork + d.pace()
	if at, ok := d.due.Next(); ok {
		next = min(next, at)
	}
	next = max(next, d.now+ms)
	if d.wakeAt > d.now && d.wakeAt <= next {
		return Decision{}, false
	}
	d.wakeAt = next
	return Decision{Verb: Wake, Limit: d.wakeAt - d.now}, true
}

// ProbeEnded takes the answer to a probe.
func (d *Gateway) ProbeEnded(at BackendID, good bool, took time.Duration, load []float64) {
	b := d.backends[at]
	if b == nil {
		return
	}
	b.probing = false
	d.readLoad(b, load)
	if !good {
		b.probes = 0
		b.fails += smooth * (1 - b.fails)
		return
	}
	b.probes++
}

// TxnTaken takes a client's txn in.
func (d *Gateway) TxnTaken(x Txn) {
	if d.txns[x.ID] != nil {
		return
	}
	x.Units = max(x.Units, 0)
	t := &txn{Txn: x, arrived: d.now}
	if x.Product < 0 || int(x.Product) >= len(d.products) || x.Plan < 0 || int(x.Plan) >= len(d.plans) {
		t.Product, t.Plan, t.slaAt = 0, 0, d.now // a kind that the settings don't name: declined for want of time
	} else {
		d.dates(t)
	}
	d.txns[x.ID] = t
	d.due.Add(x.Expiry-2*ms, x.ID) // rule 1: every expiry is watched
	d.todo = append(d.todo, t)
}

// SubmissionEnded takes the one outcome of a submission.
func (d *Gateway) SubmissionEnded(id TxnID, nr int, at BackendID, e Ending, over bool, took time.Duration,
	load []float64) {
	t, b := d.txns[id], d.backends[at]
	if b != nil {
		d.learn(t, b, e, took, load)
	}
	if t == nil || nr != t.nr-1 || t.outAt == nil {
		return
	}
	t.outAt.out--
	t.outAt = nil
	if a := d.quota.accounts[t.Customer]; a != nil && a.out > 0 {
		d.quota.sent(a, -1)
	}
	if !e.neverRan() && !t.mayHaveRun {
		t.mayHaveRun, t.firstRan = true, t.sent
		if b != nil {
			t.ranZone, t.ranPod = b.Zone, b.Pod
		}
	}
	d.recheck, d.noRoom = true, false
	if over || t.ended {
		d.forget(t)
		return
	}
	d.todo = append(d.todo, t)
}

// Woken is called when a wake-up that was asked for has come.
func (d *Gateway) Woken(uint64) {}

// sort names the kind of work of a txn: work goes by product and units.
func (d *Gateway) sort(t *txn) int { return int(t.Product)*64 + int(min(max(t.Units, 0), 63)) }

// note writes the line for the log.
func (d *Gateway) note(aside int) {
	d.ready = append(d.ready, Decision{Verb: Note, Text: fmt.Sprintf("given up for want of%s; room %.2f, "+
		"%d of %d backends aside, %d txns wait, %d bad messages", d.gaveUp.text(), d.room, aside, len(d.open),
		len(d.line), d.quota.badDatagrams)})
	d.gaveUp, d.noted = tally{}, d.now
}

// slowest is the longest usual answer time, in seconds.
func (d *Gateway) slowest() float64 {
	s := 0.0
	for p := range d.products {
		s = max(s, d.products[p].slaTime.Seconds()/unknownPart)
	}
	return max(s, 0.001)
}

// settles counts what warm backends settle: sends may be more than they can do.
func (d *Gateway) settles(b *backend) {
	if b.warm >= 1 {
		d.doneRate, d.doneAt = d.doneNow()+1/rateOver, d.now
	}
}

// doneNow is its smoothed rate.
func (d *Gateway) doneNow() float64 {
	return d.doneRate * math.Exp(-(d.now-d.doneAt).Seconds()/rateOver)
}

// weight is a txn's work against the mean of those sent: a cold backend's budget is one of work.
func (d *Gateway) weight(t *txn) float64 {
	if d.work <= 0 {
		return 1
	}
	return d.usual(t).Seconds() / d.work
}

// wish is what a txn asks of the quota.
func (d *Gateway) wish(t *txn) Wish {
	return Wish{Units: t.Units, Arrived: t.arrived, SLA: d.products[t.Product].slaTime, Late: t.late}
}

// PeerSaid takes a peer message. What does not decode is dropped and counted.
func (d *Gateway) PeerSaid(from GatewayID, payload []byte) {
	if d.quota.PeerSaid(from, payload) {
		d.recheck = true
	}
}

// tellSights adds to a message to a peer, if there is room, how the last submissions went.
func (d *Gateway) tellSights(p *peer, m *message) {
	if fresh := min(d.sightNr-p.sightNr, len(d.sights)); m.room() >= fresh*sightSize {
		m.sights, p.sightNr = d.sights[len(d.sights)-fresh:], d.sightNr
	}
}

// hearSights takes what a peer tells of backends.
func (d *Gateway) hearSights(sights []sight) {
	for _, s := range sights {
		if b := d.byHash[s.hash]; b != nil && int(s.product) < len(d.products) {
			d.observe(b, s)
			d.adjustRoom(s.crowd)
		}
	}
}

// survey brings up to now what every choice goes by, once for all choices of a short while.
func (d *Gateway) survey() {
	if d.now-d.surveyed < lookEvery && len(d.open) > 0 {
		return
	}
	d.surveyed, d.open = d.now, d.open[:0]
	n, slow := 0.0, d.slows[:0]
	for _, b := range d.list {
		if b.State != Ready {
			continue
		}
		b.warm = d.warmth(b)
		d.open = append(d.open, b)
		if !b.aside {
			slow = append(slow, b.slow)
			if b.warm >= 1 {
				n++
			}
		}
	}
	// The median answer time against the usual: when all are slow alike, none is at fault.
	d.slows, d.median, d.warmRate = slow, max(middle(slow), 0.1), d.doneNow()/max(n, 1)
}

// readLoad takes a load report: what others keep there. More than all gateways may have out can't be true.
func (d *Gateway) readLoad(b *backend, load []float64) {
	if held, ok := heldBy(d.fields, load); ok && held <= roomMost*float64(d.gateways) {
		b.others, b.told = b.others+smoothLoad*(max(0, held-float64(b.out))-b.others), d.now
	}
}
