package control

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
		from, to GatewayID
		at       time.Duration
		payload  []byte
	}
	const customers = 12
	chance, rec := rand.New(rand.NewSource(seed)), newRecorder()
	var all []*Limiter
	var under []sent
	now := time.Duration(0)
	start := func(i, n int) *Limiter {
		q := NewLimiter(seed*100+int64(now/time.Millisecond)+int64(i), GatewayID(i), n, now, terms)
		for c := CustomerID(1); c <= customers; c++ {
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
				q.Grow(GatewayID(i), n)
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
			c := CustomerID(1 + chance.Intn(customers))
			units := float64(1 + chance.Intn(4))
			v, at := q.Check(c, Request{Units: units, Arrived: now - time.Duration(chance.Intn(300))*time.Millisecond, SLA: 400 * time.Millisecond,
				Late: chance.Intn(5) == 0})
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
				under = append(under, sent{GatewayID(i), to, now + time.Duration(2+chance.Intn(30))*time.Millisecond, payload})
			}
		}
	}
	return rec.sum()
}

func TestQuotaDecidesAsRecorded(t *testing.T) {
	even := gatewayTerms
	even.Strict, even.InitialFill = false, 0.5
	young := gatewayTerms
	young.InitialFill, young.MinInterval = 1, 20*time.Millisecond
	for _, tc := range []struct {
		name  string
		terms Config
		seed  int64
		want  string
	}{
		{"by parts", gatewayTerms, 1, "141726 99c9d93c34a0c060"},
		{"by parts, another seed", gatewayTerms, 2, "141732 c11524532d6d5d36"},
		{"by parts, all new", young, 3, "196913 bbf527c8f9084487"},
		{"by share", even, 4, "141642 03abd78779a639e1"},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, playQuotas(tc.seed, tc.terms)) })
	}
}

// recordedSettings are a scene's, with an open cap, a ceiling and plans that pay for what is beyond the quota.
func recordedSettings(me int) Settings {
	s := settings(me)
	s["quota.mail_per_s"], s["products.1.late_value"], s["plans.count"] = "400", "0.3", "4"
	for i, plan := range []string{"40 80 0 0 0", "30 60 0 60 60", "30 60 5 0 0", "30 60 0 0 0"} {
		var rate, burst, open, ceiling, ceilingBurst string
		fmt.Sscan(plan, &rate, &burst, &open, &ceiling, &ceilingBurst)
		at := fmt.Sprintf("plans.%d.", i)
		s[at+"rate"], s[at+"burst"], s[at+"open_cap"], s[at+"ceiling_rate"], s[at+"ceiling_burst"] = rate, burst, open, ceiling, ceilingBurst
		s[at+"price"], s[at+"over_value"], s[at+"over_cost"] = "1", "0", "1"
	}
	s["plans.3.over_value"], s["plans.3.over_cost"] = "1", "0"
	return s
}

// playFrontDoors plays three front doors before eight backends of which some are slow, failing, dead or new, and gives the digest of their decisions.
func playFrontDoors(seed int64, load float64, change func(Settings)) string {
	type event struct {
		at       time.Duration
		instance int
		decision Decision
		nr       int
		from     GatewayID // of a message
		sent     time.Duration
	}
	chance, rec := rand.New(rand.NewSource(seed)), newRecorder()
	var instances []*Controller
	now := time.Second
	for i := range 3 {
		s := recordedSettings(i)
		change(s)
		d, err := New(seed+int64(i), s, now)
		if err != nil {
			return err.Error()
		}
		instances = append(instances, d)
	}
	list := func(id int, state BackendState, started time.Duration) Endpoint {
		return Endpoint{ID: BackendID(id), Zone: ZoneID(id % 2), Pod: PodID(id % 4), State: state, Capacity: 4, Started: started}
	}
	for _, d := range instances {
		var all []Endpoint
		for id := 1; id <= 8; id++ {
			all = append(all, list(id, Ready, 0))
		}
		d.EndpointsChanged(true, all)
	}
	still := func(step int) bool { return step%1500 > 1420 } // the second one, now and then
	tries := map[[2]int]int{}
	open := map[[2]int]bool{}
	held := [9]int{}
	var queue []event
	var next TxnID
	for step := 0; now < 41*time.Second; step++ {
		now += 5 * time.Millisecond
		if step%1000 == 999 {
			id := 1 + chance.Intn(8)
			for _, d := range instances {
				switch chance.Intn(3) {
				case 0:
					d.EndpointsChanged(false, []Endpoint{list(id, Draining, 0)})
				case 1:
					d.EndpointsChanged(false, []Endpoint{list(id, Gone, 0)})
				default:
					d.EndpointsChanged(false, []Endpoint{list(id, Ready, now)})
				}
			}
		}
		rest := queue[:0]
		for _, e := range queue {
			if e.at > now || e.instance == 1 && still(step) {
				rest = append(rest, e)
				continue
			}
			d, x := instances[e.instance], e.decision
			d.Now(now)
			switch x.Action {
			case SendDatagram:
				d.DatagramReceived(e.from, x.Payload)
			case Probe:
				d.ProbeEnded(x.Backend, chance.Intn(5) > 0, 3*time.Millisecond, []float64{float64(held[x.Backend])})
			case Submit:
				held[x.Backend]--
				who := [2]int{e.instance, int(x.Txn)}
				how, took := Succeeded, e.at-e.sent
				switch {
				case x.Backend == 3 && now > 15*time.Second && now < 22*time.Second:
					how = Errored
				case x.Backend == 5 && now > 20*time.Second && now < 26*time.Second:
					how = []Ending{Unreachable, ConnectionLost, TimedOut}[chance.Intn(3)]
				case x.After > 0 && took > x.After:
					how, took = TimedOut, x.After
				case chance.Intn(20) == 0:
					how = []Ending{Errored, Rejected, TimedOut, Unreachable, ConnectionLost, Canceled, NotSent}[chance.Intn(7)]
				}
				over := how == Succeeded || !open[who]
				d.SubmissionEnded(x.Txn, e.nr, x.Backend, how, over, took, []float64{float64(held[x.Backend])})
				if over {
					delete(open, who)
				}
			}
		}
		queue = rest
		for i, d := range instances {
			if i == 1 && still(step) {
				continue
			}
			d.Now(now)
			for chance.Float64() < load {
				next++
				product := ProductID(chance.Intn(4))
				open[[2]int{i, int(next)}] = true
				d.TxnArrived(Txn{ID: next, Customer: CustomerID(1 + chance.Intn(20)), Product: product, Plan: PlanID(chance.Intn(4)), Units: float64(1 + chance.Intn(3)),
					Expiry: now + time.Duration(500+chance.Intn(1500))*time.Millisecond, SetFirst: 0, SetWidth: 3, Retry: chance.Intn(6) == 0})
			}
			if chance.Intn(400) == 0 && next > 0 {
				d.ClientLeft(next)
			}
			for x, ok := d.Next(); ok; x, ok = d.Next() {
				rec.add(int64(x.Action), int64(x.Txn), int64(x.Attempt), int64(x.Backend), int64(x.After), int64(x.ResponseTimeout), int64(x.Peer), int64(x.Reason))
				rec.Write(x.Payload)
				who := [2]int{i, int(x.Txn)}
				switch x.Action {
				case Submit:
					held[x.Backend]++
					took := time.Duration(chance.ExpFloat64() * 40 * float64(time.Millisecond) * float64(1+held[x.Backend]/6))
					if x.Backend == 7 {
						took *= 6
					}
					queue = append(queue, event{at: now + min(took, 3*time.Second), instance: i, decision: x, nr: tries[who], sent: now})
					tries[who]++
				case Probe:
					queue = append(queue, event{at: now + 3*time.Millisecond, instance: i, decision: x})
				case SendDatagram:
					if chance.Intn(15) > 0 {
						queue = append(queue, event{at: now + 4*time.Millisecond, instance: int(x.Peer), decision: x, from: GatewayID(i)})
					}
				case Reject, Fail:
					delete(open, who)
				}
			}
		}
	}
	return rec.sum()
}

func TestFrontDoorDecidesAsRecorded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		load   float64
		change func(Settings)
		seed   int64
		want   string
	}{
		{"calm", 0.2, func(Settings) {}, 1, "22398 7cdf512c8e12c25d"},
		{"crowded", 0.7, func(Settings) {}, 2, "97632 79bb9abc922bbd29"},
		{"no probes, no advice, no cancel", 0.5, func(s Settings) {
			s["limits.probes"], s["limits.cancel"], s["limits.advice"] = "false", "false", "false"
		}, 3, "62102 3f46f75209db254e"},
		{"load by probes", 0.5, func(s Settings) { s["report.how"], s["report.fields"] = "probe", "queue,per_s,service_ms" }, 4, "63570 369a32c64359b1ca"},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, playFrontDoors(tc.seed, tc.load, tc.change)) })
	}
}
