package quota

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// The tests in this file compare decisions and datagrams with digests that were recorded. The simulated runs include
// lost datagrams, pauses and restarts of limiters. A refactoring must not change the digests. A change that is meant to change decisions
// must record new digests.

// recorder computes the digest of a sequence of decisions. The digest has the number of addValues calls and a hash.
type recorder struct {
	hash.Hash64
	count int
}

func newRecorder() *recorder { return &recorder{Hash64: fnv.New64a()} }

func (r *recorder) addValues(values ...int64) {
	r.count++
	for _, v := range values {
		r.Write(binary.LittleEndian.AppendUint64(nil, uint64(v)))
	}
}

func (r *recorder) digest() string { return fmt.Sprintf("%d %016x", r.count, r.Sum64()) }

func boolToInt(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// decisionsDigest runs five limiters for 60 s of simulated time. Some limiters are isolated or restarted, and a sixth limiter is added. The
// result is the digest of all decisions and messages.
func decisionsDigest(seed int64, config Config) string {
	type sent struct {
		from, to control.GatewayID
		at       time.Duration // time of arrival
		payload  []byte
	}
	const customers = 12
	rng, rec := rand.New(rand.NewSource(seed)), newRecorder()
	var limiters []*Limiter
	var inTransit []sent
	now := time.Duration(0)
	startLimiter := func(i, n int) *Limiter {
		limiter := NewLimiter(seed*100+int64(now/time.Millisecond)+int64(i), control.GatewayID(i), n, now, config)
		for c := control.CustomerID(1); c <= customers; c++ {
			limiter.SetLimit(c, float64(c)*4, float64(c)*8)
		}
		return limiter
	}
	for i := range 5 {
		limiters = append(limiters, startLimiter(i, 5))
	}
	isolated := -1
	for step := 0; now < 60*time.Second; step++ {
		now += 5 * time.Millisecond
		switch {
		case step%2400 == 1200: // one limiter is isolated
			isolated = rng.Intn(len(limiters))
		case step%2400 == 1700:
			isolated = -1
		case step == 5000: // one limiter restarts
			i := rng.Intn(len(limiters))
			limiters[i] = startLimiter(i, len(limiters))
		case step == 7000: // one limiter is added
			n := len(limiters) + 1
			for i, limiter := range limiters {
				limiter.Grow(control.GatewayID(i), n)
			}
			limiters = append(limiters, startLimiter(n-1, n))
		case step == 8000:
			for _, limiter := range limiters {
				limiter.SetLimit(3, 2, 4)
				limiter.SetLimit(4, 0, 0)
			}
		}
		if step%100 == 99 {
			for i, limiter := range limiters {
				live := make([]bool, len(limiters))
				for j := range live {
					live[j] = isolated < 0 || (i == isolated) == (j == isolated)
				}
				limiter.SetReachable(live)
			}
		}
		for i, limiter := range limiters {
			if step%900 > 800 && i == 2 {
				continue // the process of limiter 2 is paused
			}
			limiter.SetNow(now)
			c := control.CustomerID(1 + rng.Intn(customers))
			units := float64(1 + rng.Intn(4))
			outcome, at := limiter.Check(c, Request{Units: units, Arrived: now - time.Duration(rng.Intn(300))*time.Millisecond,
				PendingUntil: now + time.Duration(rng.Intn(300)-100)*time.Millisecond, UnitsAhead: float64(rng.Intn(2))})
			rec.addValues(int64(i), int64(outcome), int64(at))
			if outcome == Allowed {
				if rng.Intn(4) == 0 {
					limiter.Reserve(c, units)
					limiter.Release(c, units)
				}
				limiter.Consume(c, units)
			}
		}
		rest := inTransit[:0]
		for _, m := range inTransit {
			if m.at > now {
				rest = append(rest, m)
			} else {
				rec.addValues(boolToInt(limiters[m.to].DatagramReceived(m.from, m.payload)))
			}
		}
		inTransit = rest
		for i, limiter := range limiters {
			limiter.Sweep()
			rec.addValues(int64(limiter.NextDeadline()))
			for to, payload, ok := limiter.NextDatagram(); ok; to, payload, ok = limiter.NextDatagram() {
				rec.addValues(int64(to))
				rec.Write(payload)
				if isolated >= 0 && (i == isolated) != (int(to) == isolated) || rng.Intn(20) == 0 {
					continue
				}
				inTransit = append(inTransit, sent{control.GatewayID(i), to, now + time.Duration(2+rng.Intn(30))*time.Millisecond, payload})
			}
		}
	}
	return rec.digest()
}

// TestDecisionsMatchRecordedDigest guards against a refactoring that changes a decision or a datagram.
func TestDecisionsMatchRecordedDigest(t *testing.T) {
	shareConfig := gatewayConfig
	shareConfig.Strict, shareConfig.InitialFill = false, 0.5
	newClusterConfig := gatewayConfig
	newClusterConfig.InitialFill, newClusterConfig.MinInterval = 1, 20*time.Millisecond
	for _, tc := range []struct {
		name   string
		config Config
		seed   int64
		want   string
	}{
		{"strict mode, seed 1", gatewayConfig, 1, "141818 98b481fa826cb051"},
		{"strict mode, seed 2", gatewayConfig, 2, "141758 eb021e955ab8b6cf"},
		{"strict mode, buckets of a new cluster start with the initial fill", newClusterConfig, 3, "199890 d01455c26db74b7e"},
		{"without strict mode, buckets of a new cluster start half full", shareConfig, 4, "141684 e2463c232f39b7d1"},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, decisionsDigest(tc.seed, tc.config)) })
	}
}
