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
	nr      int
	c       *customer
	product int
	work    float64 // of this one, in core seconds
	mean    float64 // of its product
	at      time.Duration
	tries   int
	inside  bool // the quota, by first tries alone
	done    bool
	beyond  bool // the try that was settled had gone beyond the quota
}

// try is one submission of a request by its client.
type try struct {
	nr     uint32
	req    *request
	d      *node
	life   int
	sent   time.Duration
	expiry time.Duration
	ref    slots.Ref
	taken  bool
	over   bool // at the client
	left   bool
	beyond bool
}

type clients struct {
	w     *world
	rng   *rand.Rand
	all   []*customer
	tries map[uint32]*try
	next  uint32
	nr    int
	cum   [][]float64 // by plan, over its customers
	by    [][]*customer
	load  spec.Held // by burst faults under way: factors
}

func newClients(w *world) *clients {
	s := w.s
	c := &clients{w: w, rng: rand.New(rand.NewPCG(s.Seed, 0xc11e)), tries: map[uint32]*try{},
		cum: make([][]float64, len(s.Plans)), by: make([][]*customer, len(s.Plans))}
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
			c.by[i] = append(c.by[i], cu)
			c.all = append(c.all, cu)
		}
		heavy := int(s.Clients.Heavy * float64(n))
		for k := 0; k < heavy; k++ {
			c.by[i][k].share *= s.Clients.HeavyBy
		}
		sum := 0.0
		for _, cu := range c.by[i] {
			sum += cu.share
			c.cum[i] = append(c.cum[i], sum)
		}
	}
	return c
}

// rate is how many requests a second come now. A plan's load is bounded by what its customers' quotas allow.
func (c *clients) rate() float64 {
	s := c.w.s
	mean, share := 0.0, 0.0
	for _, p := range s.Products {
		mean += p.Share * p.Work.D().Seconds()
		share += p.Share
	}
	mean /= share
	r := s.Clients.Load * float64(s.Backends.Count) * s.Backends.Cores / mean
	for _, at := range s.Clients.Shape {
		if len(at) == 2 && c.w.now-origin >= time.Duration(at[0]*float64(time.Second)) {
			r = s.Clients.Load * at[1] * float64(s.Backends.Count) * s.Backends.Cores / mean
		}
	}
	for _, f := range c.load {
		r *= f
	}
	return r
}

func (c *clients) begin() { c.w.after(0, c.arrive) }

// arrive brings the next request.
func (c *clients) arrive() {
	w := c.w
	if w.now >= w.end {
		return
	}
	c.send(c.draw())
	w.after(time.Duration(c.rng.ExpFloat64()/c.rate()*1e9), c.arrive)
}

func (c *clients) draw() *request {
	s := c.w.s
	u, plan := c.rng.Float64(), 0
	total := 0.0
	for _, p := range s.Plans {
		total += p.Share
	}
	for u *= total; plan < len(s.Plans)-1 && u > s.Plans[plan].Share; plan++ {
		u -= s.Plans[plan].Share
	}
	cum := c.cum[plan]
	cu := c.by[plan][sort.SearchFloat64s(cum, c.rng.Float64()*cum[len(cum)-1])]
	u, total = c.rng.Float64(), 0
	for _, p := range s.Products {
		total += p.Share
	}
	product := 0
	for u *= total; product < len(s.Products)-1 && u > s.Products[product].Share; product++ {
		u -= s.Products[product].Share
	}
	c.nr++
	p := s.Products[product]
	r := &request{nr: c.nr, c: cu, product: product, at: c.w.now, mean: p.Work.D().Seconds(),
		work: lognormal(c.rng, p.Work.D().Seconds(), p.Spread)}
	r.inside = c.w.judge.offered(r)
	c.w.res.offer(r)
	return r
}

// send sends a request's next try to a front door of its customer's set that the front believes alive.
func (c *clients) send(r *request) {
	w, s := c.w, c.w.s
	p := s.Products[r.product]
	left := p.Expiry.D() - (w.now - r.at)
	if r.done || left <= 0 {
		return
	}
	u := c.rng.Float64() * r.c.weights[len(r.c.weights)-1]
	at := sort.SearchFloat64s(r.c.weights, u)
	var d *node
	for i := 0; i < r.c.width; i++ {
		d = w.nodes[(r.c.first+(at+i)%r.c.width)%len(w.nodes)]
		if w.judge.believed(d) {
			break
		}
	}
	r.tries++
	c.next++
	t := &try{nr: c.next, req: r, d: d, sent: w.now,
		expiry: w.now + min(left, time.Duration(s.Clients.TryShare*float64(p.Expiry)))}
	c.tries[t.nr] = t
	leaves := c.rng.Float64() < s.Clients.Leave
	leaveAt := w.now + time.Duration(c.rng.Float64()*float64(t.expiry-w.now))
	w.after(w.between(s.Zones.Client), func() { c.deliver(t) })
	w.at(t.expiry, func() { c.giveUp(t, true) })
	if leaves {
		w.at(leaveAt, func() { c.giveUp(t, false) })
	}
}

// deliver: the last byte of a try has arrived at its front door.
func (c *clients) deliver(t *try) {
	w, d := c.w, t.d
	if !d.up {
		w.after(w.between(w.s.Zones.Client), func() { c.failed(t) })
		return
	}
	if t.over {
		return
	}
	t.life, t.taken = d.life, true
	w.judge.taken(t)
	w.res.tries++
	d.turn(func() {
		r := t.req
		ref, ok := d.brain.Take(control.Txn{Customer: r.c.id, Product: control.ProductID(r.product),
			Plan: control.PlanID(r.c.plan), Units: 1, Expiry: t.expiry, SetFirst: control.GatewayID(r.c.first),
			SetWidth: r.c.width, Retry: w.s.Clients.Marks && r.tries > 1}, d, slots.Ref(t.nr))
		if t.ref = ref; !ok {
			c.answer(d, slots.Ref(t.nr), control.Rejected, 0, nil)
		}
	})
}

// giveUp: the client waits no longer.
func (c *clients) giveUp(t *try, again bool) {
	if t.over {
		return
	}
	t.over, t.left = true, !again
	w := c.w
	if t.taken {
		d, life := t.d, t.life
		w.after(w.between(w.s.Zones.Client), func() {
			if d.life == life {
				d.turn(func() { d.brain.Left(t.ref) })
			}
		})
	}
	c.drop(t)
	if again && t.req.tries <= w.s.Clients.Retries && w.now < t.req.at+w.s.Products[t.req.product].Expiry.D() {
		c.send(t.req)
		return
	}
	w.res.close(t.req, verdictExpired)
}

// drop forgets a try once no late word of it can come.
func (c *clients) drop(t *try) { c.w.after(time.Second, func() { delete(c.tries, t.nr) }) }

// answer is a front door's final one, on its way to the client.
func (c *clients) answer(d *node, who slots.Ref, e control.Ending, advice time.Duration, body []byte) {
	w := c.w
	t := c.tries[uint32(who)]
	var made uint32
	if len(body) == 4 {
		made = binary.LittleEndian.Uint32(body)
	}
	w.judge.answered(d, uint32(who), e, made)
	if t == nil {
		return
	}
	w.after(w.between(w.s.Zones.Client), func() { c.got(t, e, advice) })
}

// got: the client has the answer.
func (c *clients) got(t *try, e control.Ending, advice time.Duration) {
	if t.over {
		return
	}
	t.over = true
	c.drop(t)
	w, r := c.w, t.req
	switch e {
	case control.Succeeded:
		r.done, r.beyond = true, t.beyond
		w.res.settled(r)
	case control.Rejected:
		w.res.declined++
		c.again(r, advice, verdictDeclined)
	default:
		w.res.voided++
		if w.s.Products[r.product].Effect == "once-only" {
			w.res.close(r, verdictVoided)
			return
		}
		c.again(r, 0, verdictVoided)
	}
}

// failed: the connection was refused or reset.
func (c *clients) failed(t *try) {
	if t.over {
		return
	}
	t.over = true
	c.drop(t)
	if c.w.s.Products[t.req.product].Effect == "once-only" && t.taken {
		c.w.res.close(t.req, verdictVoided)
		return
	}
	c.again(t.req, 0, verdictLost)
}

// again comes back later, where the client does.
func (c *clients) again(r *request, advice time.Duration, v verdict) {
	w, s := c.w, c.w.s.Clients
	if r.tries > s.Retries {
		w.res.close(r, v)
		return
	}
	wait := w.between(s.Backoff) << (r.tries - 1)
	if advice > 0 && w.net.Float64() < s.Honour {
		wait = max(wait, advice)
	}
	if w.now+wait >= r.at+w.s.Products[r.product].Expiry.D() {
		w.res.close(r, v)
		return
	}
	w.after(wait, func() { c.send(r) })
}

// lost: a front door has died; its clients see their connections end.
func (c *clients) lost(d *node) {
	var mine []*try
	for _, t := range c.tries {
		if t.d == d && t.taken && t.life == d.life {
			mine = append(mine, t)
		}
	}
	sort.Slice(mine, func(i, j int) bool { return mine[i].nr < mine[j].nr })
	for _, t := range mine {
		t := t
		c.w.after(c.w.between(c.w.s.Zones.Client), func() { c.failed(t) })
	}
}
