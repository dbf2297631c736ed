package quota

import (
	"fmt"
	"time"

	"clovergap/control"
)

// planScenario is a limiter of a front door among three whose one plan has ten units a second, a burst of 20, and a hard limit of 20 a
// second and at once. It prints nothing by itself.
type planScenario struct {
	*Limiter
	datagrams []*Message
}

func newPlanScenario() *planScenario {
	plan := &Limit{Rate: 10, Burst: 20, HardRate: 20, HardBurst: 20}
	s := &planScenario{Limiter: NewPlanLimiter(1, 0, 3, 0, Config{MinInterval: 10 * time.Millisecond, SnapshotTTL: time.Second, DatagramsPerSecond: 100,
		InitialFill: 1, MaxUnits: 1}, PlanLimiterOptions{PeersEnabled: true, PlanLimit: func(control.PlanID) *Limit { return plan }})}
	s.advance(10 * time.Second)
	return s
}

func (p *planScenario) advance(to time.Duration) {
	for p.now < to {
		p.Now(min(to, p.now+50*time.Millisecond))
		p.Sweep()
		p.pull()
	}
}

func (p *planScenario) pull() {
	for _, payload, ok := p.NextDatagram(); ok; _, payload, ok = p.NextDatagram() {
		m, err := DecodeMessage(payload)
		if err != nil {
			fmt.Println(err)
		}
		p.datagrams = append(p.datagrams, m)
	}
}

func (p *planScenario) receive(from control.GatewayID, m *Message) {
	p.DatagramReceived(from, m.Encode())
	p.pull()
}

func (p *planScenario) last() *Message { return p.datagrams[len(p.datagrams)-1] }

// ask asks for a unit, and takes it if it is covered.
func (p *planScenario) ask(a *Account) Outcome {
	outcome, _, _ := p.CheckAccount(a, Request{Units: 1, Arrived: p.now, SLA: 500 * time.Millisecond})
	if outcome == Allowed {
		p.ConsumeAccount(a, 1)
	}
	p.pull()
	return outcome
}

// ownedAmongThree finds a customer of the whole set that the gateway owns.
func ownedAmongThree(g control.GatewayID) control.CustomerID {
	for c := control.CustomerID(1); ; c++ {
		if OwnerOf(c, 0, 3, 3) == g {
			return c
		}
	}
}

func Example_hardLimitPool() {
	s := newPlanScenario()
	c := ownedAmongThree(1)
	a := s.Account(c, 0, 0, 3)
	s.hardShareNow(a)
	fmt.Println("# a part without a unit: the owner is asked for what is lacking, and its grant lets the txn go")
	a.hardShare = 0.25
	fmt.Println("waits:", s.ask(a) == Pending)
	fmt.Printf("asks for %.2f\n", -s.last().Deltas[0].Transfer)
	m := &Message{Epoch: 9, Version: 3, AckEpoch: s.epoch, AckHigh: 1, AckMask: 1, Snapshots: []Snapshot{{Customer: c, Level: 5, Reporters: 1, Grant: 0.75}}}
	s.receive(1, m)
	fmt.Println("goes:", s.ask(a) == Allowed)
	fmt.Println("# a grant comes once, whatever is repeated, and no more than the part holds")
	a.hardShare, m.Version, m.Snapshots[0].Grant = 0, 4, 900
	s.receive(1, m)
	fmt.Printf("%.1f of %.1f\n", a.hardShare, s.hardShareCap(a))
	a.hardShare = 0
	s.receive(1, m)
	fmt.Println("# a grant for an earlier life is lost")
	m.Version, m.AckEpoch = 5, 77
	s.receive(1, m)
	fmt.Printf("%.1f\n", a.hardShare)
	fmt.Println("# all parts and the pool are the whole ceiling; an owner gives no more than its pool")
	own := s.Account(ownedAmongThree(0), 0, 0, 3)
	fmt.Printf("%.1f and twice %.1f of %.1f\n", s.hardShareCap(own), s.hardShareCap(a), a.limit.HardBurst)
	own.hardShare, own.hardShareAt = 2, s.now
	for seq, want := range []float64{3, 1.5} {
		s.receive(2, &Message{Epoch: 9, Seq: uint64(seq) + 1, AckEpoch: s.epoch, Deltas: []Delta{{Customer: own.id, Transfer: -want, SetWidth: 3}}})
		s.advance(s.now + 50*time.Millisecond)
		grant := 0.0
		for _, l := range s.last().Snapshots {
			grant = l.Grant
		}
		fmt.Printf("asked for %.1f it gives %.1f\n", want, grant)
	}
	// Output:
	// # a part without a unit: the owner is asked for what is lacking, and its grant lets the txn go
	// waits: true
	// asks for 0.75
	// goes: true
	// # a grant comes once, whatever is repeated, and no more than the part holds
	// 3.3 of 3.3
	// # a grant for an earlier life is lost
	// 0.0
	// # all parts and the pool are the whole ceiling; an owner gives no more than its pool
	// 13.3 and twice 3.3 of 20.0
	// asked for 3.0 it gives 0.0
	// asked for 1.5 it gives 1.5
}

func Example_messages() {
	most := 1<<20 - 1
	m := &Message{Epoch: 1<<32 - 1, Interval: maxInterval, Seq: 1 << 40, Version: 1 << 40, AckEpoch: 1<<32 - 1, AckHigh: 1 << 40,
		Deltas:    []Delta{{1<<33 - 1, 200, 65535, most, -65535, 1023, 65535, 1024}},
		Snapshots: []Snapshot{{1<<33 - 1, 65535, 1000, most, 65535}}}
	b := m.Encode()
	back, err := DecodeMessage(b)
	fmt.Println(back.Deltas[0] == m.Deltas[0], back.Snapshots[0] == m.Snapshots[0], back.Interval == m.Interval, err)
	fmt.Println("# cut short anywhere, too long, or with a number out of range: dropped and counted, nothing changes")
	s := newPlanScenario()
	for n := range b {
		s.DatagramReceived(1, b[:n])
	}
	s.DatagramReceived(1, append(b, 0))
	m.Deltas[0].SetWidth = 1 << 30
	s.DatagramReceived(1, m.Encode())
	fmt.Println(s.badDatagrams == len(b)+2, len(s.accounts), s.peers[1].receivedAt)
	// Output:
	// true true true <nil>
	// # cut short anywhere, too long, or with a number out of range: dropped and counted, nothing changes
	// true 0 0s
}

func Example_wrongSetFromAPeer() {
	s := newPlanScenario()
	c := ownedAmongThree(0)
	s.receive(1, &Message{Epoch: 7, Seq: 1, Deltas: []Delta{{Customer: c, SetWidth: 1}}})
	a := s.accounts[c]
	fmt.Println("a peer says the set is this gateway alone:", a.setWidth, "part", s.hardShareNow(a) > 0)
	s.ask(s.Account(c, 0, 0, 3))
	fmt.Println("a txn says three: width", a.setWidth, "part", a.hardShare)
	// Output:
	// a peer says the set is this gateway alone: 1 part true
	// a txn says three: width 3 part 0
}

// An owned account is dropped when its bucket is full again, and not before.
func Example_idleAccountsAreDropped() {
	s := newPlanScenario()
	s.ask(s.Account(ownedAmongThree(0), 0, 0, 3))
	own := s.accounts[ownedAmongThree(0)]
	own.level = -200 // full again in 22 s
	fmt.Println("customers", len(s.ordered), len(s.accounts))
	s.advance(30 * time.Second)
	fmt.Println("customers", len(s.ordered), len(s.accounts))
	s.advance(40 * time.Second)
	fmt.Println("customers", len(s.ordered), len(s.accounts))
	// Output:
	// customers 1 1
	// customers 1 1
	// customers 0 0
}
