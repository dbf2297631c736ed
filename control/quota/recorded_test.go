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

// These tests hold what was decided on 2 December 2026, draw by draw and byte by byte, over runs with losses, silence and
// restarts: a change of the code's shape may not change them. One that is meant to change decisions records them anew.

// recorder hashes what was decided.
type recorder struct {
	hash.Hash64
	count int
}

func newRecorder() *recorder { return &recorder{Hash64: fnv.New64a()} }

func (r *recorder) add(figures ...int64) {
	r.count++
	for _, v := range figures {
		r.Write(binary.LittleEndian.AppendUint64(nil, uint64(v)))
	}
}

func (r *recorder) sum() string { return fmt.Sprintf("%d %016x", r.count, r.Sum64()) }

func flag(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// playQuotas plays five quotas of which peers get lost, start again and are added, and gives the digest of their verdicts and messages.
func playQuotas(seed int64, terms Config) string {
	type sent struct {
		from, to control.GatewayID
		at       time.Duration
		payload  []byte
	}
	const customers = 12
	chance, rec := rand.New(rand.NewSource(seed)), newRecorder()
	var all []*Limiter
	var under []sent
	now := time.Duration(0)
	start := func(i, n int) *Limiter {
		q := NewLimiter(seed*100+int64(now/time.Millisecond)+int64(i), control.GatewayID(i), n, now, terms)
		for c := control.CustomerID(1); c <= customers; c++ {
			q.SetLimit(c, float64(c)*4, float64(c)*8)
		}
		return q
	}
	for i := range 5 {
		all = append(all, start(i, 5))
	}
	lost := -1
	for step := 0; now < 60*time.Second; step++ {
		now += 5 * time.Millisecond
		switch {
		case step%2400 == 1200: // one is cut off
			lost = chance.Intn(len(all))
		case step%2400 == 1700:
			lost = -1
		case step == 5000: // one starts again
			i := chance.Intn(len(all))
			all[i] = start(i, len(all))
		case step == 7000: // one more
			n := len(all) + 1
			for i, q := range all {
				q.Grow(control.GatewayID(i), n)
			}
			all = append(all, start(n-1, n))
		case step == 8000:
			for _, q := range all {
				q.SetLimit(3, 2, 4)
				q.SetLimit(4, 0, 0)
			}
		}
		if step%100 == 99 {
			for i, q := range all {
				live := make([]bool, len(all))
				for j := range live {
					live[j] = lost < 0 || (i == lost) == (j == lost)
				}
				q.SetReachable(live)
			}
		}
		for i, q := range all {
			if step%900 > 800 && i == 2 {
				continue // it stands still
			}
			q.Now(now)
			c := control.CustomerID(1 + chance.Intn(customers))
			units := float64(1 + chance.Intn(4))
			v, at := q.Check(c, Request{Units: units, Arrived: now - time.Duration(chance.Intn(300))*time.Millisecond, SLA: 400 * time.Millisecond,
				LateRetry: chance.Intn(5) == 0})
			rec.add(int64(i), int64(v), int64(at))
			if v == Allowed {
				if chance.Intn(4) == 0 {
					q.Reserve(c, units)
					q.Release(c, units)
				}
				q.Consume(c, units)
			}
		}
		rest := under[:0]
		for _, m := range under {
			if m.at > now {
				rest = append(rest, m)
			} else {
				rec.add(flag(all[m.to].DatagramReceived(m.from, m.payload)))
			}
		}
		under = rest
		for i, q := range all {
			q.Sweep()
			rec.add(int64(q.NextDeadline()))
			for to, payload, ok := q.NextDatagram(); ok; to, payload, ok = q.NextDatagram() {
				rec.add(int64(to))
				rec.Write(payload)
				if lost >= 0 && (i == lost) != (int(to) == lost) || chance.Intn(20) == 0 {
					continue
				}
				under = append(under, sent{control.GatewayID(i), to, now + time.Duration(2+chance.Intn(30))*time.Millisecond, payload})
			}
		}
	}
	return rec.sum()
}

func TestQuotaDecidesAsRecorded(t *testing.T) {
	even := gatewayConfig
	even.Strict, even.InitialFill = false, 0.5
	young := gatewayConfig
	young.InitialFill, young.MinInterval = 1, 20*time.Millisecond
	for _, tc := range []struct {
		name  string
		terms Config
		seed  int64
		want  string
	}{
		{"by parts", gatewayConfig, 1, "141726 99c9d93c34a0c060"},
		{"by parts, another seed", gatewayConfig, 2, "141732 c11524532d6d5d36"},
		{"by parts, all new", young, 3, "196913 bbf527c8f9084487"},
		{"by share", even, 4, "141642 03abd78779a639e1"},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, playQuotas(tc.seed, tc.terms)) })
	}
}
