package quota

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// cluster is some Quotas under the gateway's terms and the messages between them, which the test carries by
// hand.
type cluster struct {
	t           *testing.T
	now         time.Duration
	limiters    []*Limiter
	datagrams   []datagram
	rng         *rand.Rand
	lossRate    float64 // share of messages lost, and as many come twice or late
	partitioned map[[2]control.GatewayID]bool
	consumed    []time.Duration // units of the customer watched, over all
}

type datagram struct {
	from, to  control.GatewayID
	arrivesAt time.Duration
	bytes     []byte
}

const watched, step = control.CustomerID(7), 2 * time.Millisecond

var gatewayTerms = Config{MinInterval: 200 * time.Millisecond, SnapshotTTL: time.Second, DatagramsPerSecond: 200, Strict: true,
	OwnershipDelay: time.Second, Window: 5 * time.Second, Excess: 0.1, Margin: 20}

func newCluster(t *testing.T, n int, rate, burst float64) *cluster {
	return newClusterOf(t, n, rate, burst, gatewayTerms)
}

func newClusterOf(t *testing.T, n int, rate, burst float64, terms Config) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewSource(3)), partitioned: map[[2]control.GatewayID]bool{}}
	for i := 0; i < n; i++ {
		c.limiters = append(c.limiters, NewLimiter(int64(i), control.GatewayID(i), n, 0, terms))
		c.limiters[i].SetLimit(watched, rate, burst)
	}
	return c
}

func (c *cluster) owner() control.GatewayID {
	return OwnerOf(watched, 0, len(c.limiters), len(c.limiters))
}

// other is a gateway that is not the owner.
func (c *cluster) other() control.GatewayID {
	return (c.owner() + 1) % control.GatewayID(len(c.limiters))
}

// isolate cuts one gateway off from the rest, or joins it again.
func (c *cluster) isolate(g control.GatewayID, off bool) {
	for i := range c.limiters {
		c.partitioned[[2]control.GatewayID{g, control.GatewayID(i)}], c.partitioned[[2]control.GatewayID{control.GatewayID(i), g}] = off, off
	}
}

// setReachable tells a gateway that it is in touch with all on its side: those in off are alone, each by itself.
func (c *cluster) setReachable(g control.GatewayID, off func(control.GatewayID) bool) {
	live := make([]bool, len(c.limiters))
	for i := range live {
		live[i] = !off(g) && !off(control.GatewayID(i))
	}
	c.limiters[g].SetReachable(live)
}

// run goes on for a while in which each gateway is asked for so many units a second.
func (c *cluster) run(d time.Duration, each float64, who ...control.GatewayID) (passed int) {
	for end := c.now + d; c.now < end; {
		c.now += step
		for i, q := range c.limiters {
			if q == nil {
				continue
			}
			q.Now(c.now)
			if len(who) > 0 && control.GatewayID(i) != who[0] || c.rng.Float64() > each*step.Seconds() {
				continue
			}
			if v, _ := q.Check(watched, Request{Units: 1, Arrived: c.now, SLA: 400 * time.Millisecond}); v == Allowed {
				q.Consume(watched, 1)
				c.consumed = append(c.consumed, c.now)
				passed++
			}
		}
		c.deliver()
	}
	return passed
}

func (c *cluster) deliver() {
	kept := c.datagrams[:0]
	for _, m := range c.datagrams {
		if m.arrivesAt > c.now {
			kept = append(kept, m)
		} else if q := c.limiters[m.to]; q != nil {
			q.DatagramReceived(m.from, m.bytes)
		}
	}
	c.datagrams = kept
	for i, q := range c.limiters {
		if q == nil {
			continue
		}
		q.Sweep()
		for to, b, ok := q.NextDatagram(); ok; to, b, ok = q.NextDatagram() {
			m := datagram{control.GatewayID(i), to, c.now + step, b}
			if c.partitioned[[2]control.GatewayID{m.from, to}] || c.rng.Float64() < c.lossRate {
				continue
			}
			c.datagrams = append(c.datagrams, m)
			if c.rng.Float64() < c.lossRate {
				m.arrivesAt += time.Duration(c.rng.Intn(300)) * time.Millisecond
				c.datagrams = append(c.datagrams, m)
			}
		}
		must.GreaterEq(c.t, c.now, q.NextDeadline())
	}
}

// mustBeBounded holds the rule: no window of five seconds has more than it allows.
func (c *cluster) mustBeBounded(rate, burst float64) {
	c.t.Helper()
	first := 0
	for i, at := range c.consumed {
		for ; c.consumed[first] <= at-5*time.Second; first++ {
		}
		must.LessEq(c.t, (rate*5+burst)*1.1+20, float64(i-first+1), must.Sprintf("at %v", at))
	}
}

func TestQuotaManyAsk(t *testing.T) {
	for _, n := range []int{2, 3, 12} {
		for _, lose := range []float64{0, 0.2} {
			c := newCluster(t, n, 40, 60)
			c.lossRate = lose
			c.run(4*time.Second, 0) // buckets fill
			c.run(10*time.Second, 400/float64(n))
			c.mustBeBounded(40, 60)
			must.Greater(t, 0.8*(40*10+60), float64(len(c.consumed)), must.Sprint("most of what is allowed is used"))
		}
	}
}

// A gateway restarts again and again, the owner or another: no life brings a fresh share.
func TestQuotaRestarts(t *testing.T) {
	c := newCluster(t, 3, 40, 60)
	for life := int64(1); life < 12; life++ {
		c.run(1500*time.Millisecond, 150)
		g := c.owner()
		if life%3 == 0 {
			g = c.other()
		}
		c.limiters[g] = nil
		c.run(700*time.Millisecond, 150)
		c.limiters[g] = NewLimiter(100*life, g, 3, c.now, gatewayTerms)
		c.limiters[g].SetLimit(watched, 40, 60)
	}
	c.mustBeBounded(40, 60)
}

// The owner is cut off, and told of it: it and those that are alone share the rate.
func TestQuotaCut(t *testing.T) {
	c := newCluster(t, 3, 40, 60)
	c.run(4*time.Second, 60)
	c.isolate(c.owner(), true)
	c.run(500*time.Millisecond, 60)
	for i := range c.limiters {
		c.setReachable(control.GatewayID(i), func(g control.GatewayID) bool { return g == c.owner() })
	}
	c.run(20*time.Second, 60)
	one := c.run(10*time.Second, 60, c.other())
	must.Between(t, 10*40/3-15, one, 10*40/3+15, must.Sprint("its part of the rate, alone"))
	c.isolate(c.owner(), false)
	for i := range c.limiters {
		c.setReachable(control.GatewayID(i), func(control.GatewayID) bool { return false })
	}
	c.run(10*time.Second, 60)
	c.mustBeBounded(40, 60)
	before := len(c.consumed)
	c.run(5*time.Second, 60)
	must.Greater(t, 150, len(c.consumed)-before, must.Sprint("back to the whole rate"))
}

// More gateways come, not known to all at once: the new owner's bucket starts empty, what was told to the
// old one and not acknowledged is told to the new one.
func TestQuotaGrow(t *testing.T) {
	c := newCluster(t, 2, 40, 60)
	c.run(4*time.Second, 0)
	for n := 3; n <= 8; n++ {
		c.run(time.Second, 80)
		q := NewLimiter(int64(n), control.GatewayID(n-1), n, c.now, gatewayTerms)
		q.SetLimit(watched, 40, 60)
		c.limiters = append(c.limiters, q)
		for _, i := range c.rng.Perm(n - 1) {
			c.run(100*time.Millisecond, 80)
			c.limiters[i].Grow(control.GatewayID(i), n)
		}
	}
	c.run(5*time.Second, 80)
	c.mustBeBounded(40, 60)
	must.Greater(t, 500, len(c.consumed))
}

func TestQuotaLimits(t *testing.T) {
	c := newCluster(t, 2, 40, 60)
	own, other := c.limiters[c.owner()], c.limiters[c.other()]
	c.run(4*time.Second, 0)
	own.SetLimit(watched, 5, 10)
	must.Eq(t, 10, own.accounts[watched].level)
	own.SetLimit(watched, 5, 100)
	c.run(time.Second, 0)
	own.refill(own.accounts[watched])
	must.Between(t, 14, own.accounts[watched].level, 16)

	// A customer whose limit is known at the spender only: not taken, not acknowledged, taken when it is known.
	late := control.CustomerID(0)
	for late = 1; OwnerOf(late, 0, 2, 2) != c.owner() || late == watched; late++ {
	}
	other.SetLimit(late, 10, 10)
	other.Check(late, Request{Units: 1, Arrived: c.now, SLA: time.Second})
	other.Consume(late, 3)
	c.run(time.Second, 0)
	must.Positive(t, own.BadDatagrams())
	must.Eq(t, 3, other.accounts[late].unacked)
	own.SetLimit(late, 10, 10)
	c.run(5*time.Second, 0)
	must.Eq(t, 0, other.accounts[late].unacked)

	// Not metered any more, here before there.
	own.SetLimit(late, 0, 0)
	other.Consume(late, 2)
	c.run(time.Second, 0)
	must.Eq(t, 0, other.accounts[late].unacked)
	v, _ := own.Check(late, Request{Units: 1e6, Arrived: c.now})
	must.Eq(t, Allowed, v)
	c.run(2*time.Minute, 0)
	must.MapEmpty(t, own.removed)
}

// Alone from the start, never having heard an owner: its part of what the rule leaves, and of the rate once it is told
// that the owner is lost.
func TestQuotaAlone(t *testing.T) {
	c := newCluster(t, 4, 40, 60)
	c.isolate(c.other(), true)
	must.LessEq(t, 60/4+10, c.run(time.Second, 500, c.other()))
	c.setReachable(c.other(), func(g control.GatewayID) bool { return g != c.other() })
	must.LessEq(t, 110, c.run(10*time.Second, 500, c.other()))
	must.Greater(t, 80, len(c.consumed))
}

// Few units for many gateways: those that ask get them, one by one, and nobody starves on fragments.
func TestQuotaSmall(t *testing.T) {
	c := newCluster(t, 12, 2, 3)
	c.run(5*time.Second, 0)
	c.run(20*time.Second, 1)
	c.mustBeBounded(2, 3)
	must.Greater(t, 30, len(c.consumed))
}

// Gateways are cut off and start again at random, the owner above all, and messages get lost. Reach is told
// late.
func TestQuotaTroubles(t *testing.T) {
	const n, rate, burst = 12, 200, 100
	for seed := int64(0); seed < 3; seed++ {
		c := newCluster(t, n, rate, burst)
		c.rng, c.lossRate = rand.New(rand.NewSource(seed)), 0.05
		off := map[control.GatewayID]bool{}
		for life := seed*100 + 50; life < seed*100+70; life++ {
			g := control.GatewayID(c.rng.Intn(n))
			if c.rng.Intn(2) == 0 {
				g = c.owner()
			}
			if c.rng.Intn(3) == 0 {
				c.limiters[g] = NewLimiter(life, g, n, c.now, gatewayTerms)
				c.limiters[g].SetLimit(watched, rate, burst)
			} else if off[g] = !off[g]; !off[g] {
				delete(off, g)
				c.isolate(g, false)
			}
			for g := range off {
				c.isolate(g, true)
			}
			c.run(600*time.Millisecond, 8*rate/n)
			for g := range c.limiters {
				c.setReachable(control.GatewayID(g), func(g control.GatewayID) bool { return off[g] })
			}
			c.run(time.Duration(c.rng.Intn(3000))*time.Millisecond, 8*rate/n)
		}
		c.mustBeBounded(rate, burst)
	}
}

// waitingRequest is a wish that the quota has not settled yet.
type waitingRequest struct {
	at control.GatewayID
	w  Request
}

// runWaiting runs a crew where wishes come by chance at any gateway, so many a second in all, and wait while they may. It tells how many
// were let pass and how many were not.
func (c *cluster) runWaiting(d time.Duration, all float64, sla time.Duration) (passed, beyond int) {
	var waits []waitingRequest
	for end := c.now + d; c.now < end; {
		c.now += step
		for _, q := range c.limiters {
			q.Now(c.now)
		}
		if c.rng.Float64() < all*step.Seconds() {
			waits = append(waits, waitingRequest{control.GatewayID(c.rng.Intn(len(c.limiters))), Request{Units: 1, Arrived: c.now, SLA: sla}})
		}
		rest := waits[:0]
		for _, x := range waits {
			switch v, _ := c.limiters[x.at].Check(watched, x.w); v {
			case Allowed:
				c.limiters[x.at].Consume(watched, 1)
				passed++
			case Exceeded:
				beyond++
			default:
				rest = append(rest, x)
			}
		}
		waits = rest
		c.deliver()
	}
	return passed, beyond
}

// With hundreds of gateways a gateway meets a customer once in a while. A wish that waits is noted anew at each look, and that note went
// along with the report of its own spending: the owner lent a unit more, which nobody used and nobody else had for six seconds. Of a
// customer at 0.6 of its quota 30 to 43 requests in a hundred were refused so at 300 gateways, and 7 to 35 at 24.
func TestQuotaOfManyGateways(t *testing.T) {
	for _, n := range []int{24, 300} {
		for _, rate := range []float64{4, 16, 60} {
			c := newCluster(t, n, rate, rate)
			c.runWaiting(6*time.Second, 0, 0) // buckets fill
			passed, beyond := c.runWaiting(30*time.Second, rate/1.6, 800*time.Millisecond)
			must.Greater(t, 12*beyond, passed, must.Sprintf("%d gateways, rate %v: %d of %d", n, rate, beyond, passed+beyond))
		}
	}
}

// One customer with a fifth of the requests of 300 gateways: its owner is asked some hundred times a second. Gateways that are to write to
// it seldom, since it takes few datagrams, refuse what they can't ask for in time; so it has to take as many as come.
func TestQuotaOfOneLargeCustomer(t *testing.T) {
	refused := func(datagrams float64) int {
		terms := gatewayTerms
		terms.MinInterval, terms.DatagramsPerSecond = 50*time.Millisecond, datagrams
		c := newClusterOf(t, 300, 290, 290, terms)
		c.runWaiting(6*time.Second, 0, 0)
		passed, beyond := c.runWaiting(12*time.Second, 180, 480*time.Millisecond)
		t.Logf("%v datagrams a second: %d of %d refused", datagrams, beyond, passed+beyond)
		return beyond
	}
	must.Less(t, 10, refused(2000))   // of some 2,100
	must.Greater(t, 40, refused(400)) // what a node took before
}
