package emulator

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"clovergap/control"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/slots"
)

// customer is one account with its set of front doors.
type customer struct {
	id      control.CustomerID
	plan    int
	first   int
	width   int
	weights []float64 // summed up, over the set
	share   float64   // of its plan's load
}

// request is what a client wants; its tries are what front doors see.
type request struct {
	number      int
	customer    *customer
	product     int
	work        float64 // of this one, in core seconds
	mean        float64 // of its product
	firstSent   time.Duration
	attempts    int
	withinQuota bool // the quota, by first tries alone
	done        bool
	beyondQuota bool // the try that was settled had gone beyond the quota
}

// attempt is one submission of a request by its client.
type attempt struct {
	number      uint32
	request     *request
	node        *node
	incarnation int
	sent        time.Duration
	expiry      time.Duration
	ref         slots.Ref
	taken       bool
	done        bool // at the client
	clientLeft  bool
	beyondQuota bool
}

type clients struct {
	world            *world
	rng              *rand.Rand
	all              []*customer
	attempts         map[uint32]*attempt
	next             uint32
	requests         int
	cumulativeShares [][]float64 // by plan, over its customers
	byPlan           [][]*customer
	load             spec.Factors // by burst faults under way: factors
}

func newClients(w *world) *clients {
	s := w.spec
	c := &clients{world: w, rng: rand.New(rand.NewPCG(s.Seed, 0xc11e)), attempts: map[uint32]*attempt{},
		cumulativeShares: make([][]float64, len(s.Plans)), byPlan: make([][]*customer, len(s.Plans))}
	total := 0.0
	for _, p := range s.Plans {
		total += p.Share
	}
	rate := c.rate()
	for i, p := range s.Plans {
		n := max(1, int(math.Round(rate*p.Share/total/(s.Clients.Use*p.Rate))))
		for k := 0; k < n; k++ {
			cu := &customer{id: control.CustomerID(c.rng.Uint64() >> 31), plan: i, share: 0.5 + c.rng.Float64()}
			cu.width = min(s.Nodes.Count, max(1, int(math.Round(p.Width*float64(s.Nodes.Count)))))
			if p.Ceiling > 0 {
				cu.width = min(cu.width, max(1, int(p.Ceiling*p.Burst/2)))
			}
			cu.first = c.rng.IntN(s.Nodes.Count)
			sum := 0.0
			for g := 0; g < cu.width; g++ {
				sum += math.Pow(float64(1+c.rng.IntN(cu.width)), -s.Clients.Skew)
				cu.weights = append(cu.weights, sum)
			}
			c.byPlan[i] = append(c.byPlan[i], cu)
			c.all = append(c.all, cu)
		}
		heavy := int(s.Clients.Heavy * float64(n))
		for k := 0; k < heavy; k++ {
			c.byPlan[i][k].share *= s.Clients.HeavyBy
		}
		sum := 0.0
		for _, cu := range c.byPlan[i] {
			sum += cu.share
			c.cumulativeShares[i] = append(c.cumulativeShares[i], sum)
		}
	}
	return c
}

// rate is how many requests a second come now. A plan's load is bounded by what its customers' quotas allow.
func (c *clients) rate() float64 {
	s := c.world.spec
	mean, share := 0.0, 0.0
	for _, p := range s.Products {
		mean += p.Share * p.Work.D().Seconds()
		share += p.Share
	}
	mean /= share
	r := s.Clients.Load * float64(s.Backends.Count) * s.Backends.Cores / mean
	for _, at := range s.Clients.Shape {
		if len(at) == 2 && c.world.now-origin >= time.Duration(at[0]*float64(time.Second)) {
			r = s.Clients.Load * at[1] * float64(s.Backends.Count) * s.Backends.Cores / mean
		}
	}
	for _, f := range c.load {
		r *= f
	}
	return r
}

func (c *clients) begin() { c.world.after(0, c.arrive) }

// arrive brings the next request.
func (c *clients) arrive() {
	w := c.world
	if w.now >= w.end {
		return
	}
	c.send(c.draw())
	w.after(time.Duration(c.rng.ExpFloat64()/c.rate()*1e9), c.arrive)
}

func (c *clients) draw() *request {
	s := c.world.spec
	u, plan := c.rng.Float64(), 0
	total := 0.0
	for _, p := range s.Plans {
		total += p.Share
	}
	for u *= total; plan < len(s.Plans)-1 && u > s.Plans[plan].Share; plan++ {
		u -= s.Plans[plan].Share
	}
	cum := c.cumulativeShares[plan]
	cu := c.byPlan[plan][sort.SearchFloat64s(cum, c.rng.Float64()*cum[len(cum)-1])]
	u, total = c.rng.Float64(), 0
	for _, p := range s.Products {
		total += p.Share
	}
	product := 0
	for u *= total; product < len(s.Products)-1 && u > s.Products[product].Share; product++ {
		u -= s.Products[product].Share
	}
	c.requests++
	p := s.Products[product]
	r := &request{number: c.requests, customer: cu, product: product, firstSent: c.world.now, mean: p.Work.D().Seconds(),
		work: lognormal(c.rng, p.Work.D().Seconds(), p.Spread)}
	r.withinQuota = c.world.checker.offered(r)
	c.world.recorder.offer(r)
	return r
}

// send sends a request's next try to a front door of its customer's set that the front believes alive.
func (c *clients) send(r *request) {
	w, s := c.world, c.world.spec
	p := s.Products[r.product]
	left := p.Expiry.D() - (w.now - r.firstSent)
	if r.done || left <= 0 {
		return
	}
	u := c.rng.Float64() * r.customer.weights[len(r.customer.weights)-1]
	at := sort.SearchFloat64s(r.customer.weights, u)
	var d *node
	for i := 0; i < r.customer.width; i++ {
		d = w.nodes[(r.customer.first+(at+i)%r.customer.width)%len(w.nodes)]
		if w.checker.trustedByFrontend(d) {
			break
		}
	}
	r.attempts++
	c.next++
	t := &attempt{number: c.next, request: r, node: d, sent: w.now,
		expiry: w.now + min(left, time.Duration(s.Clients.TryShare*float64(p.Expiry)))}
	c.attempts[t.number] = t
	leaves := c.rng.Float64() < s.Clients.Leave
	leaveAt := w.now + time.Duration(c.rng.Float64()*float64(t.expiry-w.now))
	w.after(w.between(s.Zones.Client), func() { c.deliver(t) })
	w.at(t.expiry, func() { c.giveUp(t, true) })
	if leaves {
		w.at(leaveAt, func() { c.giveUp(t, false) })
	}
}

// deliver: the last byte of a try has arrived at its front door.
func (c *clients) deliver(t *attempt) {
	w, d := c.world, t.node
	if !d.running {
		w.after(w.between(w.spec.Zones.Client), func() { c.failed(t) })
		return
	}
	if t.done {
		return
	}
	t.incarnation, t.taken = d.incarnation, true
	w.checker.taken(t)
	w.recorder.attempts++
	d.turn(func() {
		r := t.request
		ref, ok := d.decider.Take(control.Txn{Customer: r.customer.id, Product: control.ProductID(r.product),
			Plan: control.PlanID(r.customer.plan), Units: 1, Expiry: t.expiry, SetFirst: control.GatewayID(r.customer.first),
			SetWidth: r.customer.width, Retry: w.spec.Clients.Marks && r.attempts > 1}, d, slots.Ref(t.number))
		if t.ref = ref; !ok {
			c.answer(d, slots.Ref(t.number), control.Rejected, 0, nil)
		}
	})
}

// giveUp: the client waits no longer.
func (c *clients) giveUp(t *attempt, again bool) {
	if t.done {
		return
	}
	t.done, t.clientLeft = true, !again
	w := c.world
	if t.taken {
		d, life := t.node, t.incarnation
		w.after(w.between(w.spec.Zones.Client), func() {
			if d.incarnation == life {
				d.turn(func() { d.decider.Left(t.ref) })
			}
		})
	}
	c.drop(t)
	if again && t.request.attempts <= w.spec.Clients.Retries && w.now < t.request.firstSent+w.spec.Products[t.request.product].Expiry.D() {
		c.send(t.request)
		return
	}
	w.recorder.close(t.request, outcomeExpired)
}

// drop forgets a try once no late word of it can come.
func (c *clients) drop(t *attempt) {
	c.world.after(time.Second, func() { delete(c.attempts, t.number) })
}

// answer is a front door's final one, on its way to the client.
func (c *clients) answer(d *node, who slots.Ref, e control.Ending, advice time.Duration, body []byte) {
	w := c.world
	t := c.attempts[uint32(who)]
	var made uint32
	if len(body) == 4 {
		made = binary.LittleEndian.Uint32(body)
	}
	w.checker.answered(d, uint32(who), e, made)
	if t == nil {
		return
	}
	w.after(w.between(w.spec.Zones.Client), func() { c.receive(t, e, advice) })
}

// receive: the client has the answer.
func (c *clients) receive(t *attempt, e control.Ending, advice time.Duration) {
	if t.done {
		return
	}
	t.done = true
	c.drop(t)
	w, r := c.world, t.request
	switch e {
	case control.Succeeded:
		r.done, r.beyondQuota = true, t.beyondQuota
		w.recorder.succeeded(r)
	case control.Rejected:
		w.recorder.rejected++
		c.retryLater(r, advice, outcomeRejected)
	default:
		w.recorder.failed++
		if w.spec.Products[r.product].Effect == "once-only" {
			w.recorder.close(r, outcomeFailed)
			return
		}
		c.retryLater(r, 0, outcomeFailed)
	}
}

// failed: the connection was refused or reset.
func (c *clients) failed(t *attempt) {
	if t.done {
		return
	}
	t.done = true
	c.drop(t)
	if c.world.spec.Products[t.request.product].Effect == "once-only" && t.taken {
		c.world.recorder.close(t.request, outcomeFailed)
		return
	}
	c.retryLater(t.request, 0, outcomeLost)
}

// retryLater comes back later, where the client does.
func (c *clients) retryLater(r *request, advice time.Duration, v requestOutcome) {
	w, s := c.world, c.world.spec.Clients
	if r.attempts > s.Retries {
		w.recorder.close(r, v)
		return
	}
	wait := w.between(s.Backoff) << (r.attempts - 1)
	if advice > 0 && w.netRand.Float64() < s.Honour {
		wait = max(wait, advice)
	}
	if w.now+wait >= r.firstSent+w.spec.Products[r.product].Expiry.D() {
		w.recorder.close(r, v)
		return
	}
	w.after(wait, func() { c.send(r) })
}

// lost: a front door has died; its clients see their connections end.
func (c *clients) lost(d *node) {
	var mine []*attempt
	for _, t := range c.attempts {
		if t.node == d && t.taken && t.incarnation == d.incarnation {
			mine = append(mine, t)
		}
	}
	sort.Slice(mine, func(i, j int) bool { return mine[i].number < mine[j].number })
	for _, t := range mine {
		t := t
		c.world.after(c.world.between(c.world.spec.Zones.Client), func() { c.failed(t) })
	}
}
