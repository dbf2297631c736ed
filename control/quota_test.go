package control

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crew is some Quotas under the gateway's terms and the messages between them, which the test carries by
// hand.
type crew struct {
	t         *testing.T
	now       time.Duration
	all       []*Quota
	datagrams []parcelOf
	chance    *rand.Rand
	lose      float64 // share of messages lost, and as many come twice or late
	cut       map[[2]GatewayID]bool
	spent     []time.Duration // units of the customer watched, over all
}

type parcelOf struct {
	from, to GatewayID
	at       time.Duration
	bytes    []byte
}

const watched, turn = CustomerID(7), 2 * ms

var gatewayTerms = QuotaTerms{Gap: 200 * ms, ViewLife: time.Second, DatagramsPerSecond: 200, Parts: true,
	Fence: time.Second, Window: 5 * time.Second, Excess: 0.1, Margin: 20}

func newCrew(t *testing.T, n int, rate, burst float64) *crew {
	return newCrewOf(t, n, rate, burst, gatewayTerms)
}

func newCrewOf(t *testing.T, n int, rate, burst float64, terms QuotaTerms) *crew {
	c := &crew{t: t, chance: rand.New(rand.NewSource(3)), cut: map[[2]GatewayID]bool{}}
	for i := 0; i < n; i++ {
		c.all = append(c.all, NewQuota(int64(i), GatewayID(i), n, 0, terms))
		c.all[i].SetLimit(watched, rate, burst)
	}
	return c
}

func (c *crew) owner() GatewayID { return ownerOf(watched, 0, len(c.all), len(c.all)) }

// other is a gateway that is not the owner.
func (c *crew) other() GatewayID { return (c.owner() + 1) % GatewayID(len(c.all)) }

// apart cuts one gateway off from the rest, or joins it again.
func (c *crew) apart(g GatewayID, off bool) {
	for i := range c.all {
		c.cut[[2]GatewayID{g, GatewayID(i)}], c.cut[[2]GatewayID{GatewayID(i), g}] = off, off
	}
}

// reach tells a gateway that it is in touch with all on its side: those in off are alone, each by itself.
func (c *crew) reach(g GatewayID, off func(GatewayID) bool) {
	live := make([]bool, len(c.all))
	for i := range live {
		live[i] = !off(g) && !off(GatewayID(i))
	}
	c.all[g].Reach(live)
}

// run goes on for a while in which each gateway is asked for so many units a second.
func (c *crew) run(d time.Duration, each float64, who ...GatewayID) (passed int) {
	for end := c.now + d; c.now < end; {
		c.now += turn
		for i, q := range c.all {
			if q == nil {
				continue
			}
			q.Now(c.now)
			if len(who) > 0 && GatewayID(i) != who[0] || c.chance.Float64() > each*turn.Seconds() {
				continue
			}
			if v, _ := q.Covered(watched, Wish{Units: 1, Arrived: c.now, SLA: 400 * ms}); v == Pass {
				q.Spend(watched, 1)
				c.spent = append(c.spent, c.now)
				passed++
			}
		}
		c.carry()
	}
	return passed
}

func (c *crew) carry() {
	kept := c.datagrams[:0]
	for _, m := range c.datagrams {
		if m.at > c.now {
			kept = append(kept, m)
		} else if q := c.all[m.to]; q != nil {
			q.PeerSaid(m.from, m.bytes)
		}
	}
	c.datagrams = kept
	for i, q := range c.all {
		if q == nil {
			continue
		}
		q.Sweep()
		for to, b, ok := q.Datagrams(); ok; to, b, ok = q.Datagrams() {
			m := parcelOf{GatewayID(i), to, c.now + turn, b}
			if c.cut[[2]GatewayID{m.from, to}] || c.chance.Float64() < c.lose {
				continue
			}
			c.datagrams = append(c.datagrams, m)
			if c.chance.Float64() < c.lose {
				m.at += time.Duration(c.chance.Intn(300)) * ms
				c.datagrams = append(c.datagrams, m)
			}
		}
		must.GreaterEq(c.t, c.now, q.Next())
	}
}

// bounded holds the rule: no window of five seconds has more than it allows.
func (c *crew) bounded(rate, burst float64) {
	c.t.Helper()
	first := 0
	for i, at := range c.spent {
		for ; c.spent[first] <= at-5*time.Second; first++ {
		}
		must.LessEq(c.t, (rate*5+burst)*1.1+20, float64(i-first+1), must.Sprintf("at %v", at))
	}
}

func TestQuotaManyAsk(t *testing.T) {
	for _, n := range []int{2, 3, 12} {
		for _, lose := range []float64{0, 0.2} {
			c := newCrew(t, n, 40, 60)
			c.lose = lose
			c.run(4*time.Second, 0) // buckets fill
			c.run(10*time.Second, 400/float64(n))
			c.bounded(40, 60)
			must.Greater(t, 0.8*(40*10+60), float64(len(c.spent)), must.Sprint("most of what is allowed is used"))
		}
	}
}

// A gateway restarts again and again, the owner or another: no life brings a fresh share.
func TestQuotaRestarts(t *testing.T) {
	c := newCrew(t, 3, 40, 60)
	for life := int64(1); life < 12; life++ {
		c.run(1500*ms, 150)
		g := c.owner()
		if life%3 == 0 {
			g = c.other()
		}
		c.all[g] = nil
		c.run(700*ms, 150)
		c.all[g] = NewQuota(100*life, g, 3, c.now, gatewayTerms)
		c.all[g].SetLimit(watched, 40, 60)
	}
	c.bounded(40, 60)
}

// The owner is cut off, and told of it: it and those that are alone share the rate.
func TestQuotaCut(t *testing.T) {
	c := newCrew(t, 3, 40, 60)
	c.run(4*time.Second, 60)
	c.apart(c.owner(), true)
	c.run(500*ms, 60)
	for i := range c.all {
		c.reach(GatewayID(i), func(g GatewayID) bool { return g == c.owner() })
	}
	c.run(20*time.Second, 60)
	one := c.run(10*time.Second, 60, c.other())
	must.Between(t, 10*40/3-15, one, 10*40/3+15, must.Sprint("its part of the rate, alone"))
	c.apart(c.owner(), false)
	for i := range c.all {
		c.reach(GatewayID(i), func(GatewayID) bool { return false })
	}
	c.run(10*time.Second, 60)
	c.bounded(40, 60)
	before := len(c.spent)
	c.run(5*time.Second, 60)
	must.Greater(t, 150, len(c.spent)-before, must.Sprint("back to the whole rate"))
}

// More gateways come, not known to all at once: the new owner's bucket starts empty, what was told to the
// old one and not acknowledged is told to the new one.
func TestQuotaGrow(t *testing.T) {
	c := newCrew(t, 2, 40, 60)
	c.run(4*time.Second, 0)
	for n := 3; n <= 8; n++ {
		c.run(time.Second, 80)
		q := NewQuota(int64(n), GatewayID(n-1), n, c.now, gatewayTerms)
		q.SetLimit(watched, 40, 60)
		c.all = append(c.all, q)
		for _, i := range c.chance.Perm(n - 1) {
			c.run(100*ms, 80)
			c.all[i].Grow(GatewayID(i), n)
		}
	}
	c.run(5*time.Second, 80)
	c.bounded(40, 60)
	must.Greater(t, 500, len(c.spent))
}

func TestQuotaLimits(t *testing.T) {
	c := newCrew(t, 2, 40, 60)
	own, other := c.all[c.owner()], c.all[c.other()]
	c.run(4*time.Second, 0)
	own.SetLimit(watched, 5, 10)
	must.Eq(t, 10, own.accounts[watched].level)
	own.SetLimit(watched, 5, 100)
	c.run(time.Second, 0)
	own.refill(own.accounts[watched])
	must.Between(t, 14, own.accounts[watched].level, 16)

	// A customer whose limit is known at the spender only: not taken, not acknowledged, taken when it is known.
	late := CustomerID(0)
	for late = 1; ownerOf(late, 0, 2, 2) != c.owner() || late == watched; late++ {
	}
	other.SetLimit(late, 10, 10)
	other.Covered(late, Wish{Units: 1, Arrived: c.now, SLA: time.Second})
	other.Spend(late, 3)
	c.run(time.Second, 0)
	must.Positive(t, own.BadDatagrams())
	must.Eq(t, 3, other.accounts[late].unacked)
	own.SetLimit(late, 10, 10)
	c.run(5*time.Second, 0)
	must.Eq(t, 0, other.accounts[late].unacked)

	// Not metered any more, here before there.
	own.SetLimit(late, 0, 0)
	other.Spend(late, 2)
	c.run(time.Second, 0)
	must.Eq(t, 0, other.accounts[late].unacked)
	v, _ := own.Covered(late, Wish{Units: 1e6, Arrived: c.now})
	must.Eq(t, Pass, v)
	c.run(2*time.Minute, 0)
	must.MapEmpty(t, own.gone)
}

// Alone from the start, never having heard an owner: its part of what the rule leaves, and of the rate once it is told
// that the owner is lost.
func TestQuotaAlone(t *testing.T) {
	c := newCrew(t, 4, 40, 60)
	c.apart(c.other(), true)
	must.LessEq(t, 60/4+10, c.run(time.Second, 500, c.other()))
	c.reach(c.other(), func(g GatewayID) bool { return g != c.other() })
	must.LessEq(t, 110, c.run(10*time.Second, 500, c.other()))
	must.Greater(t, 80, len(c.spent))
}

// Few units for many gateways: those that ask get them, one by one, and nobody starves on fragments.
func TestQuotaSmall(t *testing.T) {
	c := newCrew(t, 12, 2, 3)
	c.run(5*time.Second, 0)
	c.run(20*time.Second, 1)
	c.bounded(2, 3)
	must.Greater(t, 30, len(c.spent))
}

// Gateways are cut off and start again at random, the owner above all, and messages get lost. Reach is told
// late.
func TestQuotaTroubles(t *testing.T) {
	const n, rate, burst = 12, 200, 100
	for seed := int64(0); seed < 3; seed++ {
		c := newCrew(t, n, rate, burst)
		c.chance, c.lose = rand.New(rand.NewSource(seed)), 0.05
		off := map[GatewayID]bool{}
		for life := seed*100 + 50; life < seed*100+70; life++ {
			g := GatewayID(c.chance.Intn(n))
			if c.chance.Intn(2) == 0 {
				g = c.owner()
			}
			if c.chance.Intn(3) == 0 {
				c.all[g] = NewQuota(life, g, n, c.now, gatewayTerms)
				c.all[g].SetLimit(watched, rate, burst)
			} else if off[g] = !off[g]; !off[g] {
				delete(off, g)
				c.apart(g, false)
			}
			for g := range off {
				c.apart(g, true)
			}
			c.run(600*ms, 8*rate/n)
			for g := range c.all {
				c.reach(GatewayID(g), func(g GatewayID) bool { return off[g] })
			}
			c.run(time.Duration(c.chance.Intn(3000))*ms, 8*rate/n)
		}
		c.bounded(rate, burst)
	}
}

// waitingWish is a wish that the quota has not settled yet.
type waitingWish struct {
	at GatewayID
	w  Wish
}

// patient runs a crew where wishes come by chance at any gateway, so many a second in all, and wait while they may. It tells how many
// were let pass and how many were not.
func (c *crew) patient(d time.Duration, all float64, sla time.Duration) (passed, beyond int) {
	var waits []waitingWish
	for end := c.now + d; c.now < end; {
		c.now += turn
		for _, q := range c.all {
			q.Now(c.now)
		}
		if c.chance.Float64() < all*turn.Seconds() {
			waits = append(waits, waitingWish{GatewayID(c.chance.Intn(len(c.all))), Wish{Units: 1, Arrived: c.now, SLA: sla}})
		}
		rest := waits[:0]
		for _, x := range waits {
			switch v, _ := c.all[x.at].Covered(watched, x.w); v {
			case Pass:
				c.all[x.at].Spend(watched, 1)
				passed++
			case Beyond:
				beyond++
			default:
				rest = append(rest, x)
			}
		}
		waits = rest
		c.carry()
	}
	return passed, beyond
}

// With hundreds of gateways a gateway meets a customer once in a while. A wish that waits is noted anew at each look, and that note went
// along with the report of its own spending: the owner lent a unit more, which nobody used and nobody else had for six seconds. Of a
// customer at 0.6 of its quota 30 to 43 requests in a hundred were refused so at 300 gateways, and 7 to 35 at 24.
func TestQuotaOfManyGateways(t *testing.T) {
	for _, n := range []int{24, 300} {
		for _, rate := range []float64{4, 16, 60} {
			c := newCrew(t, n, rate, rate)
			c.patient(6*time.Second, 0, 0) // buckets fill
			passed, beyond := c.patient(30*time.Second, rate/1.6, 800*ms)
			must.Greater(t, 12*beyond, passed, must.Sprintf("%d gateways, rate %v: %d of %d", n, rate, beyond, passed+beyond))
		}
	}
}

// One customer with a fifth of the requests of 300 gateways: its owner is asked some hundred times a second. Gateways that are to write to
// it seldom, since it takes few datagrams, refuse what they can't ask for in time; so it has to take as many as come.
func TestQuotaOfOneLargeCustomer(t *testing.T) {
	refused := func(datagrams float64) int {
		terms := gatewayTerms
		terms.Gap, terms.DatagramsPerSecond = 50*ms, datagrams
		c := newCrewOf(t, 300, 290, 290, terms)
		c.patient(6*time.Second, 0, 0)
		passed, beyond := c.patient(12*time.Second, 180, 480*ms)
		t.Logf("%v datagrams a second: %d of %d refused", datagrams, beyond, passed+beyond)
		return beyond
	}
	must.Less(t, 10, refused(2000))   // of some 2,100
	must.Greater(t, 40, refused(400)) // what a node took before
}
