package loadbalancer

import (
	"fmt"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

func Example_endings() {
	s := newWarmScenario()
	c := ownedBy(0)
	for id, e := range []control.Ending{control.Succeeded, control.Errored, control.Rejected, control.TimedOut, control.Unreachable, control.ConnectionLost} {
		fmt.Println("#", id, "inquiry-like, then ending", e)
		s.arrive(control.TxnID(id), c, 0, 0)
		s.endSubmission(control.TxnID(id), e)
		if s.controller.txns[control.TxnID(id)] != nil {
			s.endSubmission(control.TxnID(id), e)
		}
		if s.controller.txns[control.TxnID(id)] != nil {
			s.endSubmission(control.TxnID(id), e)
		}
		s.controller.ClientLeft(control.TxnID(id)) // an id no longer held is passed over
		s.printDecisions()
	}
	// Output:
	// # 0 inquiry-like, then ending 0
	// 10000 submit 0 to 1, 446
	// # 1 inquiry-like, then ending 1
	// 10000 submit 1 to 1, 446
	// 10000 submit 1 to 3, 496
	// 10000 submit 1 to 2, 496
	// 10000 reject 1, 2000
	// # 2 inquiry-like, then ending 2
	// 10000 submit 2 to 3, 446
	// 10000 submit 2 to 2, 496
	// 10000 submit 2 to 1, 496
	// 10000 reject 2, 2000
	// # 3 inquiry-like, then ending 3
	// 10000 submit 3 to 1, 446
	// 10000 submit 3 to 1, 496
	// 10000 submit 3 to 1, 496
	// 10000 reject 3, 2000
	// # 4 inquiry-like, then ending 4
	// 10000 submit 4 to 1, 446
	// 10000 submit 4 to 2, 496
	// 10000 submit 4 to 3, 496
	// 10000 reject 4, 2000
	// # 5 inquiry-like, then ending 5
	// 10000 submit 5 to 1, 446
	// 10000 submit 5 to 1, 496
	// 10000 submit 5 to 1, 496
	// 10000 reject 5, 2000
}

func Example_expiry() {
	s := newWarmScenario()
	s.arrive(1, ownedBy(0), 2, 0)
	s.advance(11997)
	s.advance(11998)
	s.controller.SubmissionEnded(1, 0, 1, control.TimedOut, false, 0, nil) // its own outcome comes after the answer
	s.advance(12100)
	fmt.Println(len(s.controller.txns), "held")
	// Output:
	// 10000 submit 1 to 1
	// 11998 fail 1
	// 11998 cancel 1/0
	// 0 held
}

func Example_onceOnly() {
	s := newWarmScenario()
	fmt.Println("# proved not to have run: again elsewhere, then rejected")
	s.arrive(1, ownedBy(0), 2, 0)
	s.endSubmission(1, control.Unreachable)
	s.endSubmission(1, control.Rejected)
	s.endSubmission(1, control.Rejected)
	fmt.Println("# may have run: failed at once")
	s.arrive(2, ownedBy(0), 2, 0)
	s.endSubmission(2, control.Errored)
	// Output:
	// # proved not to have run: again elsewhere, then rejected
	// 10000 submit 1 to 1
	// 10000 submit 1 to 3
	// 10000 submit 1 to 1
	// 10000 reject 1, 2000
	// # may have run: failed at once
	// 10000 submit 2 to 2
	// 10000 fail 2
}

func Example_referenced() {
	s := newWarmScenario()
	fmt.Println("# retries stay in the pod of the first that may have run")
	s.arrive(1, ownedBy(0), 1, 0)
	s.endSubmission(1, control.ConnectionLost)
	s.endSubmission(1, control.ConnectionLost)
	fmt.Println("# and inside the window: with the time over it is failed")
	s.arrive(2, ownedBy(0), 1, 0)
	s.controller.products[1].repeatWindow = 0
	s.endSubmission(2, control.ConnectionLost)
	fmt.Println("# where all backends know retries, it may be rejected")
	s.arrive(3, ownedBy(0), 3, 0)
	s.endSubmission(3, control.ConnectionLost)
	s.endSubmission(3, control.ConnectionLost)
	s.endSubmission(3, control.ConnectionLost)
	// Output:
	// # retries stay in the pod of the first that may have run
	// 10000 submit 1 to 1, 446
	// 10000 submit 1 to 2, 496
	// 10000 submit 1 to 1, 496
	// # and inside the window: with the time over it is failed
	// 10000 submit 2 to 1, 446
	// 10000 fail 2
	// # where all backends know retries, it may be rejected
	// 10000 submit 3 to 1, 446
	// 10000 submit 3 to 3, 496
	// 10000 submit 3 to 1, 496
	// 10000 reject 3, 2000
}

func Example_draining() {
	s := newWarmScenario()
	s.changeEndpoints(false, control.Endpoint{ID: 1, State: control.Draining}, control.Endpoint{ID: 2, State: control.Gone})
	for id := control.TxnID(1); id < 5; id++ {
		s.arrive(id, ownedBy(0)+control.CustomerID(id), 0, 0)
	}
	s.changeEndpoints(true) // an empty list: nothing is ready
	s.arrive(9, ownedBy(0), 0, 0)
	s.advance(10200)
	// Output:
	// 10000 submit 1 to 3, 446
	// 10000 submit 2 to 3, 446
	// 10000 submit 3 to 3, 446
	// 10000 submit 4 to 3, 446
	// 10200 reject 9
}

// sends counts what goes to a backend while txns of one product come every 10 ms for a span.
func (s *scenario) countSubmissionsTo(id control.BackendID, from, to int) (n int) {
	for at := from; at < to; at += 10 {
		s.controller.Now(time.Millisecond * time.Duration(at))
		s.controller.TxnArrived(control.Txn{ID: control.TxnID(at), Customer: control.CustomerID(at), SetWidth: 3, Units: 1, Expiry: s.controller.now + time.Second})
		for x, ok := s.controller.Next(); ok; x, ok = s.controller.Next() {
			if x.Action == control.Submit && x.Backend == id {
				n++
			}
			if x.Action == control.Submit {
				s.controller.SubmissionEnded(x.Txn, 0, x.Backend, control.Succeeded, true, 10*time.Millisecond, nil)
			}
		}
	}
	return n
}

func Example_warmUpBudget() {
	s := newWarmScenario()
	s.changeEndpoints(false, control.Endpoint{ID: 1, State: control.Ready, Started: 9900 * time.Millisecond})
	fmt.Println("beside warm backends, second by second:")
	for at := 10000; at < 14000; at += 1000 {
		fmt.Println(" warming up", s.countSubmissionsTo(1, at, at+1000))
	}
	s = newScenario(settings(0), 0)
	s.advance(20000)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready, Started: 19900 * time.Millisecond})
	fmt.Println("alone, with nothing warm to judge by:")
	for at := 20000; at < 23000; at += 1000 {
		fmt.Println(" warming up", s.countSubmissionsTo(1, at, at+1000))
	}
	// Output:
	// beside warm backends, second by second:
	//  warming up 4
	//  warming up 8
	//  warming up 9
	//  warming up 13
	// alone, with nothing warm to judge by:
	//  warming up 1
	//  warming up 3
	//  warming up 6
}

func Example_hardLimitAcrossRestart() {
	s := newScenario(settings(0), 0)
	s.hideDatagrams = true
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready})
	s.advance(10000)
	s.controller.capacity = 100
	c := ownedBy(0)
	fmt.Println("# the owner's pool and its part, two thirds of the hard limit, then nothing but their refill")
	for id := control.TxnID(1); id <= 16; id++ {
		s.arrive(id, c, 0, 1)
	}
	s = newScenario(settings(0), 10000)
	s.hideDatagrams = true
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready})
	fmt.Println("# the next epoch starts with an empty part")
	s.arrive(1, c, 0, 1)
	s.advance(10200)
	// Output:
	// # the owner's pool and its part, two thirds of the hard limit, then nothing but their refill
	// 10000 submit 1 to 1, 446
	// 10000 submit 2 to 1, 446
	// 10000 submit 3 to 1, 446
	// 10000 submit 4 to 1, 446
	// 10000 submit 5 to 1, 446
	// 10000 submit 6 to 1, 446
	// 10000 submit 7 to 1, 446
	// 10000 submit 8 to 1, 446
	// 10000 submit 9 to 1, 446
	// 10000 submit 10 to 1, 446
	// 10000 submit 11 to 1, 446
	// 10000 submit 12 to 1, 446
	// 10000 submit 13 to 1, 446
	// # the next epoch starts with an empty part
	// 10100 submit 1 to 1, 356
}

func Example_ownerRestart() {
	s := newScenario(settings(0), 5000)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
	fmt.Println("# an owner's bucket starts empty and refills at the rate: a txn waits for its unit")
	s.arrive(1, ownedBy(0), 0, 0)
	s.advance(5100)
	s.advance(5120)
	fmt.Println("# a message of the peer's former epoch is dropped after its new one is known")
	c := ownedBy(0)
	s.receive(1, &quota.Message{Epoch: 7, Seq: 5, Deltas: []quota.Delta{{Customer: c, SetWidth: 3}}})
	s.advance(5200)
	s.receive(1, &quota.Message{Epoch: 8, Seq: 1, Deltas: []quota.Delta{{Customer: c, SetWidth: 3}}})
	s.advance(5300)
	s.receive(1, &quota.Message{Epoch: 7, Seq: 6, Deltas: []quota.Delta{{Customer: c, Units: 9, SetWidth: 3}}})
	s.advance(5400)
	// Output:
	// # an owner's bucket starts empty and refills at the rate: a txn waits for its unit
	//  5100 submit 1 to 1, 356
	// # a message of the peer's former epoch is dropped after its new one is known
	//  5120 datagram to 1: snapshot left 0.1875 sharers 2 ack 5
	//  5200 datagram to 1: snapshot left 1 sharers 2 ack 1
}

func Example_deltas() {
	s := newScenario(settings(0), 0)
	s.advance(10000)
	c := ownedBy(0)
	first := &quota.Message{Epoch: 7, Seq: 1, Deltas: []quota.Delta{{Customer: c, Units: 3, SetWidth: 3}}}
	second := &quota.Message{Epoch: 7, Seq: 2, Deltas: []quota.Delta{{Customer: c, Units: 5, SetWidth: 3}}}
	fmt.Println("# out of order and twice, each applied once")
	s.receive(1, second)
	s.controller.sweptAt = 20 * time.Second // no refill of the trace by periodic work
	s.advance(10100)
	s.receive(1, first)
	s.advance(10200)
	s.receive(1, second)
	s.advance(10300)
	fmt.Println("# what does not decode is dropped and counted")
	s.controller.DatagramReceived(1, []byte{1, 2, 3})
	fmt.Println(s.controller.quota.BadDatagrams())
	// Output:
	// # out of order and twice, each applied once
	// 10000 datagram to 1: snapshot left 15 sharers 2 ack 2
	// 10100 datagram to 1: snapshot left 13 sharers 2 ack 2
	// 10200 datagram to 1: snapshot left 14 sharers 2 ack 2
	// # what does not decode is dropped and counted
	// 1
}

func Example_snapshots() {
	s := newWarmScenario()
	s.hideDatagrams, s.controller.capacity = false, 5
	c := ownedBy(1)
	fmt.Println("# new: one txn after the other from the burst share, asking the owner")
	for id := control.TxnID(1); id < 9; id++ {
		s.arrive(id, c, 0, 0)
	}
	s.advance(10050)
	fmt.Println("# lost: the delta goes again under its sequence")
	s.advance(10200)
	fmt.Println("# the snapshot acknowledges the first two: four units are left, two of them used since")
	snap := func(version uint64, left float64) *quota.Message {
		return &quota.Message{Epoch: 9, Version: version, AckEpoch: s.controller.quota.Epoch(), AckHigh: 2, AckMask: 3,
			Snapshots: []quota.Snapshot{{Customer: c, Level: left, Reporters: 1}}}
	}
	s.receive(1, snap(5, 4))
	s.arrive(11, c, 0, 0)
	fmt.Println("# an older snapshot that comes late brings nothing back")
	s.receive(1, snap(4, 20))
	s.arrive(12, c, 0, 0)
	s.arrive(13, c, 0, 0)
	s.advance(10500)
	fmt.Println("# stale: the burst share alone, and it asks afresh")
	s.advance(11900)
	s.arrive(14, c, 0, 0)
	// Output:
	// # new: one txn after the other from the burst share, asking the owner
	// 10000 submit 1 to 2, 446
	// 10000 datagram to 1: delta 1 used 1
	// 10000 submit 2 to 2, 446
	// 10000 submit 3 to 2, 446
	// 10000 submit 4 to 2, 446
	// 10000 submit 5 to 2, 446
	// 10000 submit 6 to 2, 446
	// 10050 datagram to 1: delta 2 used 5
	// # lost: the delta goes again under its sequence
	// 10150 datagram to 1: delta 1 used 1
	// 10200 reject 7, 100
	// 10200 reject 8, 100
	// 10200 datagram to 1: delta 2 used 5
	// # the snapshot acknowledges the first two: four units are left, two of them used since
	// 10200 submit 11 to 2, 446
	// # an older snapshot that comes late brings nothing back
	// 10200 submit 12 to 3, 446
	// 10200 submit 13 to 3, 446
	// 10250 datagram to 1: delta 3 used 3
	// 10400 datagram to 1: delta 3 used 3
	// # stale: the burst share alone, and it asks afresh
	// 10650 datagram to 1: delta 3 used 3
	// 11150 datagram to 1: delta 3 used 3
	// 11900 submit 14 to 1, 446
	// 11900 datagram to 1: delta 4 used 1
}

func Example_oneProductFails() {
	s := newWarmScenario()
	c := ownedBy(0)
	fmt.Println("# product 0 fails at one backend: passed over for it, still taken for product 3")
	first := control.BackendID(0)
	for id := control.TxnID(1); id < 13; id++ {
		p := control.ProductID(id % 2 * 3)
		s.controller.TxnArrived(control.Txn{ID: id, Customer: c, Product: p, Units: 1, SetWidth: 3, Expiry: s.controller.now + time.Second})
		x, _ := s.controller.Next()
		for s.controller.txns[id] != nil && x.Action == control.Submit {
			e := control.Succeeded
			if p == 0 && (first == 0 || x.Backend == first) {
				first, e = x.Backend, control.Errored
			}
			fmt.Printf("product %d at %d: %v\n", p, x.Backend, map[control.Ending]string{control.Succeeded: "settled", control.Errored: "error"}[e])
			t := s.controller.txns[id]
			s.controller.SubmissionEnded(id, t.submissions-1, x.Backend, e, e == control.Succeeded, 10*time.Millisecond, nil)
			x, _ = s.controller.Next()
		}
	}
	// Output:
	// # product 0 fails at one backend: passed over for it, still taken for product 3
	// product 3 at 1: settled
	// product 0 at 1: error
	// product 0 at 3: settled
	// product 3 at 1: settled
	// product 0 at 1: error
	// product 0 at 3: settled
	// product 3 at 1: settled
	// product 0 at 3: settled
	// product 3 at 1: settled
	// product 0 at 3: settled
	// product 3 at 1: settled
	// product 0 at 3: settled
	// product 3 at 1: settled
	// product 0 at 3: settled
}

func Example_rejectingBackend() {
	s := newWarmScenario()
	room := s.controller.capacity
	for id := control.TxnID(1); id < 40; id++ {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: ownedBy(0), Units: 1, SetWidth: 3, Expiry: s.controller.now + time.Second})
		for x, ok := s.controller.Next(); ok; x, ok = s.controller.Next() {
			if x.Action == control.Submit {
				s.controller.SubmissionEnded(x.Txn, s.controller.txns[x.Txn].submissions-1, x.Backend, control.Rejected, false, time.Millisecond, nil)
			}
		}
		s.controller.Now(s.controller.now + 10*time.Millisecond)
	}
	fmt.Println("capacity as before:", s.controller.capacity == room, "- backoff of backend 1 grew:", s.controller.backends[1].consecutiveRejections > 1)
	// Output:
	// capacity as before: true - backoff of backend 1 grew: true
}

func Example_retriesGiveWay() {
	s := newWarmScenario()
	s.controller.capacity = 0.4
	take := func(id control.TxnID, repeat bool) {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: control.CustomerID(id), Retry: repeat, Units: 1, SetWidth: 1,
			Expiry: s.controller.now + time.Second})
		s.printDecisions()
	}
	fmt.Println("# capacity for one: the first attempt waits, the retry is rejected at once with advice")
	take(1, false)
	take(2, false)
	take(3, true)
	s.advance(10100)
	s.endSubmission(1, control.Succeeded)
	s.advance(10500)
	// Output:
	// # capacity for one: the first attempt waits, the retry is rejected at once with advice
	// 10000 submit 1 to 3, 446
	// 10000 submit 2 to 2, 446
	// 10000 reject 3, 2000
}

func Example_beyondQuotaThatPays() {
	s := newWarmScenario()
	s.controller.plans[0].overQuotaValue, s.controller.plans[0].overQuotaCost = 0.3, 0
	c := ownedBy(0)
	s.drainBucket(c, 0)
	s.controller.plans[0].Rate = 1
	fmt.Println("# no units, capacity to spare, nothing charged: goes on, and takes no units")
	s.arrive(1, c, 0, 0)
	fmt.Println("# something lacked capacity lately: rejected, with advice when units are due")
	s.controller.saturatedAt = s.controller.now
	s.arrive(2, c, 0, 0)
	// Output:
	// # no units, capacity to spare, nothing charged: goes on, and takes no units
	// 10000 submit 1 to 1, 446
	// # something lacked capacity lately: rejected, with advice when units are due
	// 10000 reject 2, 1000
}

// The view is good for 150 ms, the wait for a backend is longer: what covered the txn must still do so.
func Example_reservedWhileWaiting() {
	s := newScenario(settings(0), 0)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
	s.advance(10000)
	c := ownedBy(1)
	s.controller.plans[0].Burst = 2 // tight: a view is good for an answer's time only
	s.controller.capacity = 0.3
	s.arrive(1, ownedBy(0), 0, 0)
	s.hideDatagrams = true
	s.arrive(2, c, 0, 0)
	s.receive(1, &quota.Message{Epoch: 9, Version: 1, AckEpoch: s.controller.quota.Epoch(), AckHigh: 1, AckMask: 1, Snapshots: []quota.Snapshot{{Customer: c, Level: 2, Reporters: 2}}})
	kept := func() float64 {
		state, _ := s.controller.quota.State(c)
		return state.Reserved
	}
	fmt.Println("reserved:", kept(), "- what others may consume of the snapshot is less by that")
	s.advance(10170)
	s.endSubmission(1, control.Succeeded)
	s.advance(10180)
	fmt.Println("reserved:", kept())
	// Output:
	// 10000 submit 1 to 1, 446
	// reserved: 1 - what others may consume of the snapshot is less by that
	// 10170 submit 2 to 1, 326
	// reserved: 0
}

// A client's patience counts from its first attempt, so a retry's expiry tells how long ago that was.
func Example_retryInTime() {
	s := newWarmScenario()
	c := ownedBy(0)
	again := func(id control.TxnID, left time.Duration) {
		s.drainBucket(c, 5) // of 20: under what a late repeat must leave
		s.controller.TxnArrived(control.Txn{ID: id, Customer: c, Retry: true, Units: 1, SetWidth: 3, Expiry: s.controller.now + left})
		s.printDecisions()
	}
	fmt.Println("# no first attempt was seen: it may be late and leaves the low bucket alone")
	again(1, 1900*time.Millisecond)
	s.arrive(2, ownedBy(0), 0, 0)
	fmt.Println("# 100 ms gone: like a first attempt, with that much less time")
	again(3, 1900*time.Millisecond)
	fmt.Println("# 600 ms gone, the SLA time is over: rejected at once")
	again(4, 1400*time.Millisecond)
	fmt.Println("# late answers still earn something: it is a late retry again")
	s.controller.products[0].lateValue = 0.2
	for c++; quota.OwnerOf(c, 0, 3, 3) != 0; c++ { // another customer: of the first one's five units one is spent
	}
	again(5, 1400*time.Millisecond)
	// Output:
	// # no first attempt was seen: it may be late and leaves the low bucket alone
	// 10000 reject 1, 600
	// 10000 submit 2 to 1, 446
	// # 100 ms gone: like a first attempt, with that much less time
	// 10000 submit 3 to 1, 356
	// # 600 ms gone, the SLA time is over: rejected at once
	// 10000 reject 4, 2000
	// # late answers still earn something: it is a late retry again
	// 10000 reject 5, 600
}

func Example_unresponsiveOwner() {
	s := newWarmScenario()
	c := ownedBy(1)
	fmt.Println("# the burst share is spent, then grows at the rate while no datagram comes")
	for id := control.TxnID(1); id < 200; id++ {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: c, Units: 1, SetWidth: 3, Expiry: s.controller.now + 2*time.Second})
		for x, ok := s.controller.Next(); ok; x, ok = s.controller.Next() {
			if x.Action == control.Submit {
				fmt.Printf("%d ", s.controller.now.Milliseconds())
				s.controller.SubmissionEnded(x.Txn, 0, x.Backend, control.Succeeded, true, 10*time.Millisecond, nil)
			}
		}
		s.controller.Now(s.controller.now + 10*time.Millisecond)
	}
	// Output:
	// # the burst share is spent, then grows at the rate while no datagram comes
	// 10000 10010 10020 10030 10040 10050 10230 10400 10700 11000 11300 11510 11510 11510 11670 11870
}

func Example_valueUnderPressure() {
	s := newWarmScenario()
	s.controller.capacity, s.controller.products[2].value = 0.4, 5
	c := ownedBy(0)
	fmt.Println("# no capacity: of two that wait, what has the highest value for its time goes first")
	for id, p := range []control.ProductID{0, 0, 2} {
		s.arrive(control.TxnID(id), c, p, 0)
	}
	s.advance(10100)
	s.endSubmission(0, control.Succeeded)
	// Output:
	// # no capacity: of two that wait, what has the highest value for its time goes first
	// 10000 submit 0 to 1, 446
	// 10000 submit 1 to 3, 446
	// 10100 submit 2 to 1
}

func Example_unresponsiveBackendIsTried() {
	s := newScenario(settings(0), 0)
	s.hideDatagrams = true
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready})
	s.advance(10000)
	b := s.controller.backends[1]
	b.unanswered, b.unansweredSince, b.sentAt = 2, 10*time.Second, 10*time.Second
	s.controller.examinedAt = time.Minute
	for at := 10400; at < 11200; at += 400 {
		s.advance(at)
		for _, p := range []control.ProductID{2, 0} {
			t := &txn{Txn: control.Txn{Product: p}}
			fmt.Println(at, "product", p, "passes it over:", s.controller.unresponsive(b, t))
		}
	}
	// Output:
	// 10400 product 2 passes it over: true
	// 10400 product 0 passes it over: true
	// 10800 product 2 passes it over: true
	// 10800 product 0 passes it over: false
}

func Example_oddInputs() {
	s := newWarmScenario()
	take := func(x control.Txn) {
		s.controller.TxnArrived(x)
		s.printDecisions()
	}
	now := s.controller.now
	fmt.Println("# expiry over, product and plan that the settings don't name, odd sets, no units")
	take(control.Txn{ID: 1, Units: 1, Expiry: now - time.Second})
	take(control.Txn{ID: 2, Product: 9, Expiry: now + time.Second})
	take(control.Txn{ID: 3, Plan: -4, Expiry: now + time.Second})
	take(control.Txn{ID: 4, Customer: ownedBy(0), SetWidth: -3, SetFirst: -9, Expiry: now + time.Second})
	take(control.Txn{ID: 5, Customer: 77, SetWidth: 1 << 40, SetFirst: 1 << 40, Units: -5, Expiry: now + time.Second})
	s.controller.SubmissionEnded(99, 0, 1, control.Succeeded, true, 0, nil)
	s.controller.SubmissionEnded(4, 7, 55, control.Succeeded, true, 0, []float64{1, 2, 3, 4})
	s.controller.ProbeEnded(55, true, 0, nil)
	s.controller.DatagramReceived(99, nil)
	s.controller.DatagramReceived(0, []byte("from myself"))
	s.printDecisions()
	_, err := New(1, control.Settings{}, 0)
	fmt.Println(err)
	// Output:
	// # expiry over, product and plan that the settings don't name, odd sets, no units
	// 10000 reject 1, 2000
	// 10000 reject 2, 2000
	// 10000 reject 3, 2000
	// 10000 submit 4 to 1, 446
	// 10000 submit 5 to 2, 446
	// setting me: missing
}

func Example_retriesLeaveALowBucket() {
	s := newWarmScenario()
	c := ownedBy(0)
	fmt.Println("# four units of twenty left: not for a retry, at once, but for a first attempt")
	s.drainBucket(c, 4)
	s.controller.TxnArrived(control.Txn{ID: 1, Customer: c, Retry: true, Units: 1, SetWidth: 3, Expiry: s.controller.now + time.Second})
	s.printDecisions()
	s.arrive(2, c, 0, 0)
	// Output:
	// # four units of twenty left: not for a retry, at once, but for a first attempt
	// 10000 reject 1, 700
	// 10000 submit 2 to 1, 446
}

func Example_unresponsiveBackendsAreEjected() {
	s := newWarmScenario()
	for _, b := range s.controller.backendsByID {
		b.unanswered, b.unansweredSince, b.sentAt = 2, s.controller.now, s.controller.now
	}
	fmt.Println("# none has answered for a while: all are ejected and probed")
	s.advance(11700)
	s.advance(12300)
	for _, b := range s.controller.backendsByID {
		s.controller.ProbeEnded(b.ID, true, time.Millisecond, nil)
	}
	s.advance(12900)
	for _, b := range s.controller.backendsByID {
		s.controller.ProbeEnded(b.ID, true, time.Millisecond, nil)
	}
	s.advance(13400)
	fmt.Println("back:", !s.controller.backendsByID[0].ejected)
	// Output:
	// # none has answered for a while: all are ejected and probed
	// 12200 probe 1
	// 12300 probe 2
	// 12400 probe 3
	// 12700 probe 1
	// 12800 probe 2
	// back: true
}

func Example_capacityAndTimeOuts() {
	s := newWarmScenario()
	s.arrive(1, ownedBy(0), 0, 0)
	b, before := s.controller.txns[1].currentBackend, s.controller.capacity
	s.controller.utilization = 1
	s.controller.Now(s.controller.now + 200*time.Millisecond)
	s.controller.Now(s.controller.now + 200*time.Millisecond)
	s.controller.saturatedAt = s.controller.now
	s.controller.adjustCapacity(s.controller.congestionOf(s.controller.txns[1], b, control.TimedOut))
	fmt.Println("time-out at a backend that has answered nothing since: capacity as before:", s.controller.capacity == before)
	b.unansweredSince = s.controller.now
	s.controller.adjustCapacity(s.controller.congestionOf(s.controller.txns[1], b, control.TimedOut))
	fmt.Println("it answered others meanwhile: capacity taken away:", s.controller.capacity < before)
	before, s.controller.saturatedAt = s.controller.capacity, s.controller.now-pressureTTL
	s.controller.adjustCapacity(s.controller.congestionOf(s.controller.txns[1], b, control.TimedOut))
	fmt.Println("nothing lacked capacity lately: late answers are the work's own, capacity as before:", s.controller.capacity == before)
	// Output:
	// 10000 submit 1 to 1, 446
	// time-out at a backend that has answered nothing since: capacity as before: true
	// it answered others meanwhile: capacity taken away: true
	// nothing lacked capacity lately: late answers are the work's own, capacity as before: true
}

func Example_wideSets() {
	s := newScenario(settings(0), 0)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
	s.advance(10000)
	s.controller.capacity = 3
	c := ownedBy(1)
	s.controller.plans[0].Burst = 2 // less than a unit for each gateway of the set
	fmt.Println("# new, but a burst share for each would be too much: the owner is asked, and has two")
	s.arrive(1, c, 0, 0)
	s.advance(10030)
	s.receive(1, &quota.Message{Epoch: 9, Version: 1, AckEpoch: s.controller.quota.Epoch(), AckHigh: 1, AckMask: 1, Snapshots: []quota.Snapshot{{Customer: c, Level: 2, Reporters: 2}}})
	fmt.Println("# it has none: rejected, with the time until there is one")
	s.hideDatagrams = true
	s.advance(11000)
	s.hideDatagrams = false
	s.arrive(2, c, 0, 0)
	s.receive(1, &quota.Message{Epoch: 9, Version: 2, AckEpoch: s.controller.quota.Epoch(), AckHigh: 2, AckMask: 3, Snapshots: []quota.Snapshot{{Customer: c, Reporters: 2}}})
	s.advance(11150)
	fmt.Println("# no answer in time: the burst share is there for that")
	s.hideDatagrams = true
	s.advance(13000)
	s.hideDatagrams = false
	s.arrive(3, c, 0, 0)
	s.advance(13140)
	fmt.Println("# an owner shows units that it has just shown one asker to no other")
	c = ownedBy(0)
	s.controller.plans[0].Burst = 1
	s.hideDatagrams = true
	s.advance(14000)
	s.hideDatagrams = false
	s.controller.sweptAt = time.Minute
	for g := control.GatewayID(1); g < 3; g++ {
		s.receive(g, &quota.Message{Epoch: 9, Seq: 1, Deltas: []quota.Delta{{Customer: c, UnitsWanted: 1, SetWidth: 3}}})
	}
	// Output:
	// # new, but a burst share for each would be too much: the owner is asked, and has two
	// 10000 datagram to 1: delta 1 used 0
	// 10030 submit 1 to 1, 419
	// 10030 datagram to 1: delta 2 used 1
	// # it has none: rejected, with the time until there is one
	// 11000 datagram to 1: delta 3 used 0
	// 11000 reject 2, 100
	// 11150 datagram to 1: delta 3 used 0
	// # no answer in time: the burst share is there for that
	// 12000 reject 1
	// 12000 cancel 1/0
	// 13000 datagram to 1: delta 4 used 0
	// 13140 datagram to 1: delta 5 used 0
	// # an owner shows units that it has just shown one asker to no other
	// 13240 submit 3 to 1, 256
	// 13790 probe 1
	// 14000 datagram to 2: snapshot left 1 sharers 3 ack 1
}

func Example_processPause() {
	s := newWarmScenario()
	s.arrive(1, ownedBy(0), 0, 0)
	b := s.controller.txns[1].currentBackend
	b.unanswered = 3
	s.controller.Now(12 * time.Second) // no turn for two seconds
	s.controller.SubmissionEnded(1, 0, b.ID, control.TimedOut, true, 272*time.Millisecond, nil)
	for id := control.TxnID(2); id < 10; id++ {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: ownedBy(0), Units: 1, SetWidth: 3, Expiry: s.controller.now + 2*time.Second})
	}
	fmt.Println("# of eight txns that came over two seconds the last two are still in their SLA time")
	s.printDecisions()
	fmt.Println("held against the backend:", b.lossShare, "- unresponsive for", s.controller.now-b.unansweredSince)
	// Output:
	// 10000 submit 1 to 1, 446
	// # of eight txns that came over two seconds the last two are still in their SLA time
	// 12000 reject 2, 2000
	// 12000 reject 3, 2000
	// 12000 reject 4, 2000
	// 12000 reject 5, 2000
	// 12000 reject 6, 2000
	// 12000 reject 7, 2000
	// 12000 submit 8 to 1, 121
	// 12000 submit 9 to 1, 333
	// held against the backend: 0 - unresponsive for 0s
}

func Example_newCluster() {
	c := ownedBy(0)
	for _, age := range []time.Duration{0, 60 * time.Second} {
		s := newScenario(settings(0), 5000)
		for g := control.GatewayID(1); g < 3; g++ {
			s.controller.DatagramReceived(g, (&quota.Message{Epoch: 7, Age: age, Seq: 1}).Encode())
		}
		s.controller.quota.Account(c, 0, 0, 3)
		state, _ := s.controller.quota.State(c)
		fmt.Println("peers started since", age, "- a bucket starts with", state.Level)
	}
	// Output:
	// peers started since 0s - a bucket starts with 20
	// peers started since 1m0s - a bucket starts with 0
}

func Example_observations() {
	s := newWarmScenario()
	b := s.controller.backends[2]
	m := &quota.Message{Epoch: 7}
	for i := 0; i < 4; i++ {
		m.Observations = append(m.Observations, quota.Observation{BackendHash: b.hash & quota.ObservationHashMask, Ratio: quota.ObservedFailed}, quota.Observation{BackendHash: 5, Ratio: 9})
	}
	s.receive(1, m)
	fmt.Println("observed failures: excluded for that product", b.failures[0].excludedUntil > s.controller.now, "and no other", b.failures[1].excludedUntil > s.controller.now)
	fmt.Println("a backend that its own list does not name stays unknown:", len(s.controller.backends))
	// Output:
	// observed failures: excluded for that product true and no other false
	// a backend that its own list does not name stays unknown: 3
}

// What is gone is forgotten: backends at once, an owned customer when its bucket is full again, and not before.
func Example_forgetting() {
	s := newWarmScenario()
	mine, other := ownedBy(0), ownedBy(1)
	for i := 4; i < 500; i++ {
		s.changeEndpoints(false, control.Endpoint{ID: control.BackendID(i - 1)}, control.Endpoint{ID: control.BackendID(i), State: control.Ready})
	}
	fmt.Println("backends", len(s.controller.backendsByID), len(s.controller.backends), len(s.controller.backendsByHash))
	s.controller.plans[0].Rate = 2
	s.arrive(1, mine, 0, 0)
	s.endSubmission(1, control.Succeeded)
	s.arrive(2, other, 0, 0)
	s.endSubmission(2, control.Succeeded)
	for i := 1; i <= 3; i++ { // a peer goes on using what is quiet here
		s.advance(10000 + 4000*i)
		s.receive(1, &quota.Message{Epoch: 7, AckEpoch: s.controller.quota.Epoch(), AckHigh: 9, AckMask: 1<<32 - 1, Seq: uint64(i),
			Deltas: []quota.Delta{{Customer: mine, Units: 15, SetWidth: 3}}})
	}
	state, _ := s.controller.quota.State(mine)
	fmt.Printf("left %.0f, customers %d\n", state.Level, s.controller.quota.Customers())
	s.advance(40000)
	fmt.Println("customers", s.controller.quota.Customers())
	// Output:
	// backends 3 3 3
	// 10000 submit 1 to 1, 446
	// 10000 submit 2 to 2, 446
	// left 0, customers 1
	// customers 0
}

// A load report that can't be true is not taken, and an old one counts ever less: a backend that told of a crowd
// once, and is therefore not chosen, would else never tell of anything again.
func Example_loadReports() {
	s := newWarmScenario()
	b := s.controller.backends[1]
	tell := func(held float64) {
		s.controller.SubmissionEnded(0, 0, 1, control.Succeeded, true, 0, []float64{held})
		fmt.Printf("reported %g: load %.1f\n", held, s.controller.loadOf(b))
	}
	s.controller.refreshBackends()
	tell(1e5)
	tell(20)
	for t := 11000; t <= 14000; t += 1000 {
		s.advance(t)
		fmt.Printf("%d: load %.1f\n", t, s.controller.loadOf(b))
	}
	// Output:
	// reported 100000: load 0.0
	// reported 20: load 10.0
	// 11000: load 7.5
	// 12000: load 5.0
	// 13000: load 2.5
	// 14000: load 0.0
}

// Reports are late: what looks a little fuller keeps its customers, only one that overflows loses them.
func Example_reportedLoads() {
	s := newScenario(settings(0), 0)
	for id := control.BackendID(1); id <= 20; id++ {
		s.changeEndpoints(false, control.Endpoint{ID: id, State: control.Ready})
	}
	s.hideDatagrams = true
	s.advance(10000)
	s.controller.capacity = 50
	c := ownedBy(0)
	first := func(id control.TxnID) *backend {
		s.arrive(id, c, 0, 0)
		return s.controller.txns[id].currentBackend
	}
	b := first(1)
	s.endSubmission(1, control.Succeeded)
	for i, held := range []float64{4, 40} {
		for _, x := range s.controller.backendsByID {
			x.inFlightElsewhere, x.loadReportedAt = 1, s.controller.now
		}
		b.inFlightElsewhere = held
		fmt.Printf("it holds %.0f, the others 1: first again: %v\n", held, first(control.TxnID(i+2)) == b)
		s.endSubmission(control.TxnID(i+2), control.Succeeded)
	}
	// Output:
	// 10000 submit 1 to 14, 446
	// 10000 submit 2 to 14, 446
	// it holds 4, the others 1: first again: true
	// 10000 submit 3 to 1, 446
	// it holds 40, the others 1: first again: false
}
