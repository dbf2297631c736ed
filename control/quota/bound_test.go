package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// partitionStorm is a partition with all gateways under pressure without end: each consumes whatever is allowed, at once. isolatedCount gateways after the
// owner, by number, are partitioned from it and from the others on its side.
type partitionStorm struct {
	*cluster
	isolatedCount               int
	rate, burst                 float64
	partitionedNow              bool
	blockInbound, blockOutbound bool // whether datagrams to the isolated side are lost, and those from it
	underPressure               bool
	detectionTime, recoveryTime time.Duration // until the gateways find it, and its end, at the latest
	step                        time.Duration
}

func newPartitionStorm(t *testing.T, n, isolated int, rate, burst float64) *partitionStorm {
	s := &partitionStorm{cluster: newCluster(t, n, rate, burst), isolatedCount: isolated, rate: rate, burst: burst, blockInbound: true, blockOutbound: true, step: 10 * time.Millisecond,
		detectionTime: 2900 * time.Millisecond, recoveryTime: 900 * time.Millisecond}
	return s
}

// isolated tells whether a gateway is on the other side.
func (p *partitionStorm) isolated(g control.GatewayID) bool {
	n := len(p.limiters)
	return (int(g)-int(p.owner())-1+n)%n < p.isolatedCount
}

// partition partitions the sides, or ends that.
func (p *partitionStorm) partition(off bool) {
	p.partitionedNow = off
	for i := range p.limiters {
		for j := range p.limiters {
			if a, b := control.GatewayID(i), control.GatewayID(j); p.isolated(a) != p.isolated(b) {
				p.partitioned[[2]control.GatewayID{a, b}] = off && (p.isolated(b) && p.blockInbound || p.isolated(a) && p.blockOutbound)
			}
		}
	}
}

// notify tells one gateway whom it reaches.
func (p *partitionStorm) notify(g control.GatewayID, split bool) {
	live := make([]bool, len(p.limiters))
	for i := range live {
		live[i] = !split || p.isolated(g) == p.isolated(control.GatewayID(i))
	}
	if p.limiters[g] != nil {
		p.limiters[g].SetReachable(live)
	}
}

// advance goes on for a time, and calls what is due in it.
func (p *partitionStorm) advance(d time.Duration, due map[time.Duration][]func()) {
	for end := p.now + d; p.now < end; {
		p.now += p.step
		for at, all := range due {
			if at <= p.now {
				for _, do := range all {
					do()
				}
				delete(due, at)
			}
		}
		for _, i := range p.rng.Perm(len(p.limiters)) {
			limiter := p.limiters[i]
			if limiter == nil {
				continue
			}
			limiter.Now(p.now)
			for attempts := 0.0; p.underPressure && attempts <= p.rate+p.burst; attempts++ { // more at once is over any bound
				if v, _ := limiter.Check(watched, Request{Units: 1, Arrived: p.now, SLA: 400 * time.Millisecond}); v != Allowed {
					break
				}
				limiter.Consume(watched, 1)
				p.consumed = append(p.consumed, p.now)
			}
		}
		p.deliver()
	}
}

// partitionPlans are when a partition begins and ends, by turns, from the moment on from which all are under pressure.
var partitionPlans = map[string][]time.Duration{
	"once":      {0, 12 * time.Second},
	"before":    {-2 * time.Second, 9 * time.Second},
	"long ago":  {-20 * time.Second, 6 * time.Second},
	"rush then": {300 * time.Millisecond, 8 * time.Second},
	"thrice":    {0, 700 * time.Millisecond, 1200 * time.Millisecond, 2200 * time.Millisecond, 2900 * time.Millisecond, 9 * time.Second},
	"by turns":  {0, 4500 * time.Millisecond, 5 * time.Second, 9500 * time.Millisecond, 10 * time.Second, 14 * time.Second},
}

// play plays a plan. The host of each gateway finds a change after a time, with spread a time of its own.
func (p *partitionStorm) play(plan []time.Duration, spread bool) {
	due := map[time.Duration][]func(){}
	add := func(at time.Duration, do func()) { due[at] = append(due[at], do) }
	const rush = 40 * time.Second
	for i, after := range plan {
		off, at := i%2 == 0, rush+after
		add(at, func() { p.partition(off) })
		for g := range p.limiters {
			wait := p.detectionTime
			if !off {
				wait = p.recoveryTime
			}
			if spread {
				wait -= time.Duration(p.rng.Int63n(int64(900 * time.Millisecond)))
			}
			add(at+wait+time.Duration(g), func() { // only if it is still so
				if p.partitionedNow == off {
					p.notify(control.GatewayID(g), off)
				}
			})
		}
	}
	calm := rush + min(plan[0], 0) - 100*time.Millisecond
	p.step = 50 * time.Millisecond
	p.advance(calm, due) // buckets are full, and each gateway has its allowance
	p.step = 10 * time.Millisecond
	p.advance(rush-calm, due)
	p.underPressure = true
	p.advance(plan[len(plan)-1]+4*time.Second, due)
}

// The bound holds whoever is on which side: all numbers of gateways partitioned from the owner, small and large rates and bursts, everybody under
// pressure without end from the worst moment on. With the former allowance, rate/n a second from 0.4 s of silence on and burst/2n saved
// up, beside snapshots that nobody had set units aside for, most of these broke it.
func TestQuotaAnyCut(t *testing.T) {
	limits := [][2]float64{{6, 6}, {20, 20}, {200, 200}, {1000, 1000}, {20, 400}, {400, 20}, {10, 300}}
	for _, n := range []int{2, 3, 5, 12} {
		for k := 1; k < n; k++ {
			for i, l := range limits {
				for name, plan := range partitionPlans {
					nr := k + i + len(name)
					if n == 12 && nr%6 != 0 { // a part of these, with all counts and all limits
						continue
					}
					s := newPartitionStorm(t, n, k, l[0], l[1])
					s.blockInbound, s.blockOutbound = nr%3 != 1, nr%3 != 2 // some in one direction
					s.play(plan, (k+i)%2 == 0)
					s.mustBeBounded(fmt.Sprintf("%d of %d, %v, %s", k, n, l, name))
				}
			}
		}
	}
}

// Gateways restart while all are under pressure without end: the owner, the others, or any. No epoch brings a fresh share.
func TestQuotaAnyRestart(t *testing.T) {
	for _, l := range [][2]float64{{6, 6}, {20, 20}, {200, 200}, {20, 400}, {400, 20}} {
		for _, n := range []int{2, 3, 5, 12} {
			for who := range 3 {
				s := newPartitionStorm(t, n, 1, l[0], l[1])
				s.step = 50 * time.Millisecond
				s.advance(40*time.Second, nil)
				s.step, s.underPressure = 10*time.Millisecond, true
				for epoch := range int64(10) {
					s.advance(300*time.Millisecond, nil)
					var gone []control.GatewayID
					for i := range s.limiters {
						g := control.GatewayID(i)
						if who == 2 && s.rng.Intn(2) == 0 || who < 2 && (g == s.owner()) == (who == 0) {
							gone, s.limiters[i] = append(gone, g), nil
						}
					}
					s.advance(400*time.Millisecond, nil)
					for _, g := range gone {
						s.limiters[g] = NewLimiter(100*epoch+int64(g)+50, g, n, s.now, gatewayConfig)
						s.limiters[g].SetLimit(watched, l[0], l[1])
					}
				}
				s.mustBeBounded(fmt.Sprintf("%d, %v, %d", n, l, who))
			}
		}
	}
}

// Owners change as gateways are added, and some learn of it a second after others, with all under pressure without end.
func TestQuotaAnyGrowth(t *testing.T) {
	for _, l := range [][2]float64{{6, 6}, {20, 20}, {200, 200}, {20, 400}, {400, 20}} {
		for seed := range int64(8) {
			s := newPartitionStorm(t, 2, 1, l[0], l[1])
			s.rng, s.step = rand.New(rand.NewSource(seed)), 50*time.Millisecond
			s.advance(40*time.Second, nil)
			s.step, s.underPressure = 10*time.Millisecond, true
			for n := 3; n <= 8; n++ {
				limiter := NewLimiter(int64(n)+100, 0, 1, s.now, gatewayConfig)
				limiter.SetLimit(watched, l[0], l[1])
				limiter.Grow(control.GatewayID(n-1), n)
				s.limiters = append(s.limiters, limiter)
				for _, i := range s.rng.Perm(n - 1) {
					s.advance(time.Duration(s.rng.Int63n(int64(time.Second)/int64(n))), nil)
					s.limiters[i].Grow(control.GatewayID(i), n)
				}
			}
			s.advance(5*time.Second, nil)
			s.mustBeBounded(fmt.Sprintf("%v, %d", l, seed))
		}
	}
}

func (p *partitionStorm) mustBeBounded(what string) {
	p.t.Helper()
	first, most := 0, 0
	for i, at := range p.consumed {
		for ; p.consumed[first] <= at-5*time.Second; first++ {
		}
		most = max(most, i-first+1)
	}
	must.LessEq(p.t, (p.rate*5+p.burst)*1.1+20, float64(most), must.Sprint(what))
}

// The grants of an owner that has restarted are taken at once: its versions begin anew. Gateways without an allowance used to reject most of what they
// were owed until it had sent as many messages as in its former epoch.
func TestQuotaLentByNextLife(t *testing.T) {
	c := newCluster(t, 12, 100, 100)
	c.run(20*time.Second, 5)
	g := c.owner()
	c.limiters[g] = NewLimiter(99, g, 12, c.now, gatewayConfig)
	c.limiters[g].SetLimit(watched, 100, 100)
	for i := range c.limiters {
		if control.GatewayID(i) != g { // its allowance is used up
			a := c.limiters[i].accounts[watched]
			a.allowance, a.allowanceAt = 0, c.now+time.Minute
		}
	}
	c.run(2*time.Second, 5)
	must.Greater(t, 90, c.run(2*time.Second, 5), must.Sprint("of 120 that are asked for"))
}
