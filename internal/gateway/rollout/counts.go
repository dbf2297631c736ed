package rollout

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// Kind of request.
type Kind uint8

// Reads may run more than once, writes at most once.
const (
	Read Kind = iota
	Write
)

// Cause is how a first submission ended.
type Cause uint8

// A 4xx is the service's own word and Fine.
const (
	Fine     Cause = iota
	Failed         // "5xx": an answer of 5xx
	NoAnswer       // "none": time-out, reset, no connection
	Wrong          // "wrong": an answer that is not ours, such as bytes without a seal
	Full           // "full": turned away unseen
	causes
)

var causeNames = [causes]string{"", "5xx", "none", "wrong", "full"}

// End is the one end of a request's first submission. Further tries are not told: they go only where the first
// one failed. Nor is what ended by this node's own doing.
type End struct {
	Side    Side
	Kind    Kind
	Call    uint32 // the route, by a number of this node's: each has its own usual time
	Tenant  uint32 // alike at every node
	Backend uint64 // alike at every node, not 0
	Cause   Cause
	Took    time.Duration // from its sending to the whole answer
	Cold    bool          // the backend is still slow from its start: how long it took says nothing
}

// Buckets of a Tally's times: bucket i ends at 2^(i/2) milliseconds, the last one nowhere.
const Buckets = 26

// Tally is what ended on one side, of one kind.
type Tally struct {
	Ends  uint32
	By    [causes]uint32  // by Cause
	Times [Buckets]uint32 // answers of warm backends
}

// Counts are of one step: by Side and Kind.
type Counts [2][2]Tally

// Add sums.
func (c *Counts) Add(o *Counts) {
	for s := range c {
		for k := range c[s] {
			t, u := &c[s][k], &o[s][k]
			t.Ends += u.Ends
			for i := range t.By {
				t.By[i] += u.By[i]
			}
			for i := range t.Times {
				t.Times[i] += u.Times[i]
			}
		}
	}
}

// Quantile is the upper bound of the time that a part of the answers (0 to 1) had; 0 without any.
func (t *Tally) Quantile(part float64) time.Duration {
	sum, left := uint32(0), 0.0
	for _, n := range t.Times {
		sum += n
	}
	left = part * float64(sum)
	for i, n := range t.Times {
		if left -= float64(n); n > 0 && left <= 0 {
			return time.Duration(math.Pow(2, float64(i)/2) * float64(time.Millisecond))
		}
	}
	return 0
}

// What is tested: failing ends by kind over all and by group of tenants, and slow answers by kind.
const (
	groups  = 16 // of tenants, by hash
	slices_ = 1 + groups
	slow    = 2 * slices_
	tests   = slow + 2
	thetas  = 4
	windows = 2 // evidence since the step began, and of the present lap
	backsOf = 32
)

// theta are how many times as often the new version may fail: the test bets on each of them.
var theta = [thetas]float64{1.4, 2.2, 6, 40}

type vector [tests][thetas]float64

// evidence against the new version, in nats, for each window; and the part of it that rests on one backend's
// failures.
type evidence struct {
	l  [windows]vector
	by map[uint64]*[windows]vector
}

// Ends are put together for a span before they are weighed: a short one where the new version has enough of
// them. One failing end among few weighs little, however sure the bet.
const (
	spanLong = 500 * time.Millisecond
	spanMost = 4 * spanLong
	spanEnds = 10 // of the new version
)

// span counts the ends of one span at one node. These are compared with each other only: what befalls both
// sides, in this span and at this node, cancels.
type span struct {
	n, x [2][tests]uint32 // ends and bad ones
	by   map[uint64]*[tests]uint32
}

// fold weighs a span. Given how many were bad on both sides together, each of them was on the new side with
// chance n1/(n0+n1) if the versions are alike; the bet on theta multiplies by c1 for one on the new side, by
// c0 for one on the old, and its mean is at most 1. Extra bad ends are borne at the rate given: their mean
// effect is taken off. See the note for why the product never grows by chance.
func (e *evidence) fold(s *span, extra func(test int) float64) {
	for t := range tests {
		n0, n1 := float64(s.n[Old][t]), float64(s.n[New][t])
		if n0 == 0 || n1 == 0 {
			continue
		}
		x0, x1, borne := float64(s.x[Old][t]), float64(s.x[New][t]), n1*extra(t)
		for i, th := range theta {
			c0 := (n0 + n1) / (th*n1 + n0)
			gain := math.Log(th * c0)
			d := x1*gain + x0*math.Log(c0) - borne*(th*c0-1)
			for w := range e.l {
				e.l[w][t][i] += d
			}
			for b, x := range s.by {
				if x[t] == 0 {
					continue
				}
				v := e.by[b]
				if v == nil {
					v = new([windows]vector)
					e.by[b] = v
				}
				for w := range v {
					v[w][t][i] += float64(x[t]) * gain
				}
			}
		}
	}
}

// drop forgets one window.
func (e *evidence) drop(w int) {
	e.l[w] = vector{}
	for _, v := range e.by {
		v[w] = vector{}
	}
}

// grain of packed evidence, in parts of a nat. It is rounded against a pull-back.
const grain = 64

// pack writes evidence: for each line its test and window, the backend (0: all), the bets.
func (e *evidence) pack() []byte {
	var b []byte
	put := func(back uint64, w, t int, v *[thetas]float64, round func(float64) float64) {
		if *v == ([thetas]float64{}) {
			return
		}
		b = binary.AppendUvarint(append(b, byte(t<<1|w)), back)
		for _, x := range v {
			b = binary.AppendVarint(b, int64(round(x*grain)))
		}
	}
	for w := range windows {
		for t := range tests {
			put(0, w, t, &e.l[w][t], math.Floor)
			for back, v := range e.by {
				put(back, w, t, &v[w][t], math.Ceil)
			}
		}
	}
	return b
}

// unpack reads it.
func unpack(b []byte) (*evidence, error) {
	e := &evidence{by: map[uint64]*[windows]vector{}}
	for len(b) > 0 {
		w, t := int(b[0]&1), int(b[0]>>1)
		back, n := binary.Uvarint(b[1:])
		if n <= 0 || t >= tests {
			return nil, errors.New("evidence: broken line")
		}
		b = b[1+n:]
		to := &e.l[w][t]
		if back != 0 {
			v := e.by[back]
			if v == nil {
				if len(e.by) >= backsOf {
					return nil, errors.New("evidence: too many backends")
				}
				v = new([windows]vector)
				e.by[back] = v
			}
			to = &v[w][t]
		}
		for i := range to {
			x, n := binary.Varint(b)
			if n <= 0 {
				return nil, errors.New("evidence: cut short")
			}
			to[i], b = float64(x)/grain, b[n:]
		}
	}
	return e, nil
}

// limit is the old version's time at the quantile, for one route: it moves up with each answer above it and
// down with each below, so that it settles where the parts are right.
type limit struct {
	at   float64 // seconds
	seen int
}

const (
	limitLeast = 20   // answers before it is used
	limitStep  = 0.04 // a longer one to begin with
	limitsMost = 512
	slack      = 0.010 // seconds that are borne in any case: another zone, a new connection
)

func (l *limit) learn(took, quantile float64) {
	if l.seen++; l.seen == 1 {
		l.at = took
		return
	}
	step := max(limitStep, 1/math.Sqrt(float64(l.seen)))
	if took > l.at {
		l.at *= math.Exp(step * quantile)
	} else {
		l.at *= math.Exp(-step * (1 - quantile))
	}
}

// counter is what one node knows of one running step.
type counter struct {
	failing  Failing
	counted  [causes]bool
	sums     Counts
	span     span
	since    time.Duration
	evidence evidence
	limits   map[uint32]*limit
	backs    map[uint64]struct{} // of the new version, seen at work
	changed  bool
}

func newCounter(f Failing, now time.Duration) *counter {
	c := &counter{failing: f, since: now, limits: map[uint32]*limit{}, backs: map[uint64]struct{}{}}
	c.evidence.by, c.span.by = map[uint64]*[windows]vector{}, map[uint64]*[tests]uint32{}
	for i := range causeNames {
		for _, n := range f.Causes {
			c.counted[i] = c.counted[i] || n == causeNames[i]
		}
	}
	return c
}

// ended takes an end.
func (c *counter) ended(e End) {
	t := &c.sums[e.Side][e.Kind]
	t.Ends++
	t.By[e.Cause]++
	c.changed = true
	if e.Side == New && len(c.backs) < backsOf {
		c.backs[e.Backend] = struct{}{}
	}
	bad := c.counted[e.Cause]
	base := int(e.Kind) * slices_
	c.note(e, base, bad)
	c.note(e, base+1+int(mix(uint64(e.Tenant))%groups), bad)
	if e.Cause != Fine || e.Cold {
		return
	}
	took := e.Took.Seconds()
	t.Times[min(max(int(math.Ceil(2*math.Log2(took*1000))), 0), Buckets-1)]++
	l := c.limits[e.Call]
	if l == nil {
		if len(c.limits) >= limitsMost {
			return
		}
		l = &limit{}
		c.limits[e.Call] = l
	}
	if l.seen >= limitLeast {
		most := l.at + slack
		if e.Side == New {
			most = l.at*float64(c.failing.Slower)/100 + slack
		}
		c.note(e, slow+int(e.Kind), took > most)
	}
	if e.Side == Old { // after its own comparison: the limit must not know what is compared with it
		l.learn(took, float64(c.failing.Quantile)/Whole)
	}
}

func (c *counter) note(e End, test int, bad bool) {
	c.span.n[e.Side][test]++
	if !bad {
		return
	}
	c.span.x[e.Side][test]++
	if e.Side == Old {
		return
	}
	v := c.span.by[e.Backend]
	if v == nil {
		if _, old := c.evidence.by[e.Backend]; !old && len(c.evidence.by)+len(c.span.by) >= backsOf {
			return // beyond the bound a backend can't be left out
		}
		v = new([tests]uint32)
		c.span.by[e.Backend] = v
	}
	v[test]++
}

// close ends a span and weighs it.
func (c *counter) close(now time.Duration) {
	c.evidence.fold(&c.span, func(t int) float64 {
		if t >= slow {
			return slowExtra
		}
		return float64(c.failing.Extra) / Whole
	})
	c.span.n, c.span.x = [2][tests]uint32{}, [2][tests]uint32{}
	clear(c.span.by)
	c.since = now
}

// due is when the span ends.
func (c *counter) due() time.Duration {
	if n := &c.span.n[New]; n[0]+n[slices_] < spanEnds {
		return c.since + spanMost
	}
	return c.since + spanLong
}

// slowExtra of the answers may be slow beyond what the order bears.
const slowExtra = 0.01
