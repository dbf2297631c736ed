package quota

import (
	"fmt"
	"time"

	"clovergap/control"
)

// planScenario has the limiter of front door 0 of three front doors. The only plan has ten units a second, a burst of 20 units, and a hard
// limit of 20 units a second with a burst of 20 units.
type planScenario struct {
	*Limiter
	datagrams []*Message // all messages that the limiter has sent
}

func newPlanScenario() *planScenario {
	plan := &Limit{Rate: 10, Burst: 20, HardRate: 20, HardBurst: 20}
	s := &planScenario{Limiter: NewPlanLimiter(1, 0, 3, 0, Config{MinInterval: 10 * time.Millisecond, SnapshotTTL: time.Second, DatagramsPerSecond: 100,
		InitialFill: 1, MaxUnits: 1}, PlanLimiterOptions{PeersEnabled: true, PlanLimit: func(control.PlanID) *Limit { return plan }})}
	s.advanceTo(10 * time.Second)
	return s
}

func (p *planScenario) advanceTo(to time.Duration) {
	for p.now < to {
		p.SetNow(min(to, p.now+50*time.Millisecond))
		p.Sweep()
		p.collectDatagrams()
	}
}

func (p *planScenario) collectDatagrams() {
	for _, payload, ok := p.NextDatagram(); ok; _, payload, ok = p.NextDatagram() {
		m, err := DecodeMessage(payload)
		if err != nil {
			fmt.Println(err)
		}
		p.datagrams = append(p.datagrams, m)
	}
}

func (p *planScenario) receiveMessage(from control.GatewayID, m *Message) {
	p.DatagramReceived(from, m.Encode())
	p.collectDatagrams()
}

func (p *planScenario) lastDatagram() *Message { return p.datagrams[len(p.datagrams)-1] }

// checkAndConsume checks a request for one unit and consumes the unit if it is allowed.
func (p *planScenario) checkAndConsume(a *Account) Outcome {
	outcome, _, _ := p.CheckAccount(a, Request{Units: 1, Arrived: p.now, PendingUntil: p.now + 200*time.Millisecond})
	if outcome == Allowed {
		p.ConsumeAccount(a, 1)
	}
	p.collectDatagrams()
	return outcome
}

// customerOwnedBy returns a customer whose bucket gateway g owns if all three gateways may serve the customer.
func customerOwnedBy(g control.GatewayID) control.CustomerID {
	for c := control.CustomerID(1); ; c++ {
		if OwnerOf(c, 0, 3, 3) == g {
			return c
		}
	}
}

// Guards against a hard limit that is exceeded because a grant is applied twice, is applied in another epoch, or is larger than the
// owner's pool.
func Example_hardLimitPoolGrants() {
	s := newPlanScenario()
	c := customerOwnedBy(1)
	a := s.EnsureAccount(c, 0, 0, 3)
	s.refillHardShare(a)
	fmt.Println("# the gateway's share of the hard limit has 0.25 units: the gateway requests 0.75 units, and the owner's grant covers the txn")
	a.hardShare = 0.25
	fmt.Println("pending:", s.checkAndConsume(a) == Pending)
	fmt.Printf("units requested: %.2f\n", -s.lastDatagram().Deltas[0].Transfer)
	m := &Message{Epoch: 9, Version: 3, AckEpoch: s.epoch, AckHigh: 1, AckMask: 1, Snapshots: []Snapshot{{Customer: c, Level: 5, Reporters: 1, Grant: 0.75}}}
	s.receiveMessage(1, m)
	fmt.Println("allowed:", s.checkAndConsume(a) == Allowed)
	fmt.Println("# a grant of 900 units arrives twice and is applied once, and the share does not exceed its maximum")
	a.hardShare, m.Version, m.Snapshots[0].Grant = 0, 4, 900
	s.receiveMessage(1, m)
	fmt.Printf("units in the share: %.1f of %.1f\n", a.hardShare, s.hardShareCap(a))
	a.hardShare = 0
	s.receiveMessage(1, m)
	fmt.Println("# a grant for another epoch of this gateway is dropped")
	m.Version, m.AckEpoch = 5, 77
	s.receiveMessage(1, m)
	fmt.Printf("units in the share: %.1f\n", a.hardShare)
	fmt.Println("# the shares of all gateways, with the owner's pool, add up to the hard limit; an owner with 2 units left grants no more than 2 units")
	own := s.EnsureAccount(customerOwnedBy(0), 0, 0, 3)
	fmt.Printf("units: owner's share with the pool %.1f, share of each of the two other gateways %.1f, burst of the hard limit %.1f\n",
		s.hardShareCap(own), s.hardShareCap(a), a.limit.HardBurst)
	own.hardShare, own.hardShareAt = 2, s.now
	for seq, want := range []float64{3, 1.5} {
		s.receiveMessage(2, &Message{Epoch: 9, Seq: uint64(seq) + 1, AckEpoch: s.epoch, Deltas: []Delta{{Customer: own.id, Transfer: -want, SetWidth: 3}}})
		s.advanceTo(s.now + 50*time.Millisecond)
		grant := 0.0
		for _, l := range s.lastDatagram().Snapshots {
			grant = l.Grant
		}
		fmt.Printf("units requested: %.1f, units granted: %.1f\n", want, grant)
	}
	// Output:
	// # the gateway's share of the hard limit has 0.25 units: the gateway requests 0.75 units, and the owner's grant covers the txn
	// pending: true
	// units requested: 0.75
	// allowed: true
	// # a grant of 900 units arrives twice and is applied once, and the share does not exceed its maximum
	// units in the share: 3.3 of 3.3
	// # a grant for another epoch of this gateway is dropped
	// units in the share: 0.0
	// # the shares of all gateways, with the owner's pool, add up to the hard limit; an owner with 2 units left grants no more than 2 units
	// units: owner's share with the pool 13.3, share of each of the two other gateways 3.3, burst of the hard limit 20.0
	// units requested: 3.0, units granted: 0.0
	// units requested: 1.5, units granted: 1.5
}

// Guards against messages that change when they are encoded and decoded, and against malformed datagrams that change the state of the
// limiter.
func Example_messageEncodingAndMalformedDatagrams() {
	maxValue := 1<<20 - 1
	m := &Message{Epoch: 1<<32 - 1, Interval: maxInterval, Seq: 1 << 40, Version: 1 << 40, AckEpoch: 1<<32 - 1, AckHigh: 1 << 40,
		Deltas:    []Delta{{1<<33 - 1, 200, 65535, maxValue, -65535, 1023, 65535, 1024}},
		Snapshots: []Snapshot{{1<<33 - 1, 65535, 1000, maxValue, 65535}}}
	b := m.Encode()
	decoded, err := DecodeMessage(b)
	fmt.Println("decoded delta, snapshot and interval equal the encoded ones; then the decoding error:",
		decoded.Deltas[0] == m.Deltas[0], decoded.Snapshots[0] == m.Snapshots[0], decoded.Interval == m.Interval, err)
	fmt.Println("# a datagram cut short at any byte, too long, or with a number out of range is dropped and counted, and changes no state")
	s := newPlanScenario()
	for n := range b {
		s.DatagramReceived(1, b[:n])
	}
	s.DatagramReceived(1, append(b, 0))
	m.Deltas[0].SetWidth = 1 << 30
	s.DatagramReceived(1, m.Encode())
	fmt.Println("all of them are counted as bad datagrams; number of accounts; time of the peer's last valid datagram (0s if none):",
		s.badDatagrams == len(b)+2, len(s.accounts), s.peers[1].receivedAt)
	// Output:
	// decoded delta, snapshot and interval equal the encoded ones; then the decoding error: true true true <nil>
	// # a datagram cut short at any byte, too long, or with a number out of range is dropped and counted, and changes no state
	// all of them are counted as bad datagrams; number of accounts; time of the peer's last valid datagram (0s if none): true 0 0s
}

// Guards against a hard limit that is exceeded because a peer's delta names the wrong gateways for a customer. The gateways that a txn
// names must replace the gateways that the delta names.
func Example_txnReplacesWrongSetOfPeer() {
	s := newPlanScenario()
	c := customerOwnedBy(0)
	s.receiveMessage(1, &Message{Epoch: 7, Seq: 1, Deltas: []Delta{{Customer: c, SetWidth: 1}}})
	a := s.accounts[c]
	fmt.Println("a peer's delta says that only this gateway serves the customer: number of serving gateways:", a.setWidth,
		"- the gateway's share of the hard limit has units:", s.refillHardShare(a) > 0)
	s.checkAndConsume(s.EnsureAccount(c, 0, 0, 3))
	fmt.Println("a txn says that three gateways serve the customer: number of serving gateways:", a.setWidth,
		"- the former share is void: units in the share of the hard limit:", a.hardShare)
	// Output:
	// a peer's delta says that only this gateway serves the customer: number of serving gateways: 1 - the gateway's share of the hard limit has units: true
	// a txn says that three gateways serve the customer: number of serving gateways: 3 - the former share is void: units in the share of the hard limit: 0
}

// Guards against the removal of an account before its bucket is full again. The next request of the customer would then create an account
// with a full bucket.
func Example_idleAccountsAreRemoved() {
	s := newPlanScenario()
	s.checkAndConsume(s.EnsureAccount(customerOwnedBy(0), 0, 0, 3))
	own := s.accounts[customerOwnedBy(0)]
	own.level = -200 // full again after 22 s
	fmt.Println("number of accounts in the list and in the map:", len(s.orderedAccounts), len(s.accounts))
	s.advanceTo(30 * time.Second)
	fmt.Println("number of accounts in the list and in the map:", len(s.orderedAccounts), len(s.accounts))
	s.advanceTo(40 * time.Second)
	fmt.Println("number of accounts in the list and in the map:", len(s.orderedAccounts), len(s.accounts))
	// Output:
	// number of accounts in the list and in the map: 1 1
	// number of accounts in the list and in the map: 1 1
	// number of accounts in the list and in the map: 0 0
}
