package loadbalancer

import (
	"fmt"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// Guards against too many or too few retries of an inquiry-like txn. After each kind of failure, the txn is retried until it has had
// three submissions, which is the setting limits.max_submissions. Then the txn is rejected.
func Example_failedSubmissionsAreRetried() {
	s := newWarmScenario()
	c := customerOwnedBy(0)
	for id, e := range []control.Ending{control.Succeeded, control.Errored, control.Rejected, control.TimedOut, control.Unreachable, control.ConnectionLost} {
		fmt.Println("# txn", id, "is inquiry-like, each submission ends with the control.Ending number", e)
		s.addTxn(control.TxnID(id), c, 0, 0)
		s.endSubmission(control.TxnID(id), e)
		if s.controller.txns[control.TxnID(id)] != nil {
			s.endSubmission(control.TxnID(id), e)
		}
		if s.controller.txns[control.TxnID(id)] != nil {
			s.endSubmission(control.TxnID(id), e)
		}
		s.controller.ClientLeft(control.TxnID(id)) // if the txn is already removed, the call has no effect
		s.printDecisions()
	}
	// Output:
	// # txn 0 is inquiry-like, each submission ends with the control.Ending number 0
	// 10000 ms: submit txn 0 to backend 1, Decision.After=500 ms
	// # txn 1 is inquiry-like, each submission ends with the control.Ending number 1
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 1 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 1 to backend 2, Decision.After=1998 ms
	// 10000 ms: reject txn 1, Decision.After=2000 ms
	// # txn 2 is inquiry-like, each submission ends with the control.Ending number 2
	// 10000 ms: submit txn 2 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 1, Decision.After=1998 ms
	// 10000 ms: reject txn 2, Decision.After=2000 ms
	// # txn 3 is inquiry-like, each submission ends with the control.Ending number 3
	// 10000 ms: submit txn 3 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 1, Decision.After=1998 ms
	// 10000 ms: reject txn 3, Decision.After=2000 ms
	// # txn 4 is inquiry-like, each submission ends with the control.Ending number 4
	// 10000 ms: submit txn 4 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 4 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 4 to backend 3, Decision.After=1998 ms
	// 10000 ms: reject txn 4, Decision.After=2000 ms
	// # txn 5 is inquiry-like, each submission ends with the control.Ending number 5
	// 10000 ms: submit txn 5 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 5 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 5 to backend 1, Decision.After=1998 ms
	// 10000 ms: reject txn 5, Decision.After=2000 ms
}

// Guards against a txn that has no answer at its expiry. If a submission of a once-only txn is in flight 2 ms (expiryMargin) before the
// expiry of the txn, the controller fails the txn and cancels the submission. The state of the txn is removed when the submission has
// ended.
func Example_txnIsFailedBeforeExpiry() {
	s := newWarmScenario()
	s.addTxn(1, customerOwnedBy(0), 2, 0)
	s.advanceTo(11997)
	s.advanceTo(11998)
	s.controller.SubmissionEnded(1, 0, 1, control.TimedOut, false, 0, nil) // the outcome of the submission comes after the answer
	s.advanceTo(12100)
	fmt.Println(len(s.controller.txns), "txns are kept by the controller")
	// Output:
	// 10000 ms: submit txn 1 to backend 1
	// 11998 ms: fail txn 1
	// 11998 ms: cancel txn 1 attempt 0
	// 0 txns are kept by the controller
}

// Guards against a once-only txn that runs twice. Such a txn is retried only if its submission provably did not run.
func Example_onceOnlyIsRetriedOnlyIfNotRun() {
	s := newWarmScenario()
	fmt.Println("# the submissions of txn 1 provably did not run: txn 1 is retried twice, each time at another backend than before, and then rejected")
	s.addTxn(1, customerOwnedBy(0), 2, 0)
	s.endSubmission(1, control.Unreachable)
	s.endSubmission(1, control.Rejected)
	s.endSubmission(1, control.Rejected)
	fmt.Println("# the submission of txn 2 may have run: txn 2 is failed at once")
	s.addTxn(2, customerOwnedBy(0), 2, 0)
	s.endSubmission(2, control.Errored)
	// Output:
	// # the submissions of txn 1 provably did not run: txn 1 is retried twice, each time at another backend than before, and then rejected
	// 10000 ms: submit txn 1 to backend 1
	// 10000 ms: submit txn 1 to backend 3
	// 10000 ms: submit txn 1 to backend 1
	// 10000 ms: reject txn 1, Decision.After=2000 ms
	// # the submission of txn 2 may have run: txn 2 is failed at once
	// 10000 ms: submit txn 2 to backend 2
	// 10000 ms: fail txn 2
}

// Guards against a referenced txn that runs twice. Such a txn is retried only within the repeat window of its product. If the repeat
// scope of the product is a pod, the txn is also retried only in the pod of the first submission that may have run.
func Example_referencedIsRetriedInScopeAndWindow() {
	s := newWarmScenario()
	fmt.Println("# the product of txn 1 has the repeat scope pod: retries stay in the pod of the first submission that may have run")
	s.addTxn(1, customerOwnedBy(0), 1, 0)
	s.endSubmission(1, control.ConnectionLost)
	s.endSubmission(1, control.ConnectionLost)
	fmt.Println("# the repeat window of the product is over: txn 2 is failed and not retried")
	s.addTxn(2, customerOwnedBy(0), 1, 0)
	s.controller.products[1].repeatWindow = 0
	s.endSubmission(2, control.ConnectionLost)
	fmt.Println("# the product of txn 3 has the repeat scope all: a retry may go to any backend, and txn 3 is rejected after three submissions")
	s.addTxn(3, customerOwnedBy(0), 3, 0)
	s.endSubmission(3, control.ConnectionLost)
	s.endSubmission(3, control.ConnectionLost)
	s.endSubmission(3, control.ConnectionLost)
	// Output:
	// # the product of txn 1 has the repeat scope pod: retries stay in the pod of the first submission that may have run
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 1 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 1 to backend 1, Decision.After=1998 ms
	// # the repeat window of the product is over: txn 2 is failed and not retried
	// 10000 ms: submit txn 2 to backend 1, Decision.After=500 ms
	// 10000 ms: fail txn 2
	// # the product of txn 3 has the repeat scope all: a retry may go to any backend, and txn 3 is rejected after three submissions
	// 10000 ms: submit txn 3 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 1, Decision.After=1998 ms
	// 10000 ms: reject txn 3, Decision.After=2000 ms
}

// Guards against submissions to backends that are draining or gone.
func Example_drainingBackendGetsNoTxns() {
	s := newWarmScenario()
	s.changeEndpoints(false, control.Endpoint{ID: 1, State: control.Draining}, control.Endpoint{ID: 2, State: control.Gone})
	for id := control.TxnID(1); id < 5; id++ {
		s.addTxn(id, customerOwnedBy(0)+control.CustomerID(id), 0, 0)
	}
	s.changeEndpoints(true) // an empty list, so no backend is ready
	s.addTxn(9, customerOwnedBy(0), 0, 0)
	s.advanceTo(12000)
	// Output:
	// 10000 ms: submit txn 1 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 4 to backend 3, Decision.After=500 ms
	// 10500 ms: reject txn 9
	// 12000 ms: reject txn 1
	// 12000 ms: cancel txn 1 attempt 0
	// 12000 ms: reject txn 2
	// 12000 ms: cancel txn 2 attempt 0
	// 12000 ms: reject txn 3
	// 12000 ms: cancel txn 3 attempt 0
	// 12000 ms: reject txn 4
	// 12000 ms: cancel txn 4 attempt 0
}

// countSubmissionsTo runs the scenario from fromMillis to toMillis and returns the number of submissions to a backend in this time. A txn
// of product 0 arrives every 10 ms. Each submission succeeds.
func (s *scenario) countSubmissionsTo(backendID control.BackendID, fromMillis, toMillis int) (n int) {
	for at := fromMillis; at < toMillis; at += 10 {
		s.controller.Now(time.Millisecond * time.Duration(at))
		s.controller.TxnArrived(control.Txn{ID: control.TxnID(at), Customer: control.CustomerID(at), SetWidth: 3, Units: 1, Expiry: s.controller.now + time.Second})
		for x, ok := s.controller.Next(); ok; x, ok = s.controller.Next() {
			if x.Action == control.Submit && x.Backend == backendID {
				n++
			}
			if x.Action == control.Submit {
				s.controller.SubmissionEnded(x.Txn, 0, x.Backend, control.Succeeded, true, 10*time.Millisecond, nil)
			}
		}
	}
	return n
}

// Guards against overload of a backend that is warming up.
func Example_warmUpBudgetLimitsSubmissions() {
	s := newWarmScenario()
	s.changeEndpoints(false, control.Endpoint{ID: 1, State: control.Ready, Started: 9900 * time.Millisecond})
	fmt.Println("two backends are warm, and backend 1 is warming up:")
	for at := 10000; at < 14000; at += 1000 {
		fmt.Println(" submissions in one second to the backend that is warming up:", s.countSubmissionsTo(1, at, at+1000))
	}
	s = newScenario(defaultTestSettings(0), 0)
	s.advanceTo(20000)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready, Started: 19900 * time.Millisecond})
	fmt.Println("backend 1 is the only backend and is warming up, so the rate of a warm backend is unknown:")
	for at := 20000; at < 23000; at += 1000 {
		fmt.Println(" submissions in one second to the backend that is warming up:", s.countSubmissionsTo(1, at, at+1000))
	}
	// Output:
	// two backends are warm, and backend 1 is warming up:
	//  submissions in one second to the backend that is warming up: 4
	//  submissions in one second to the backend that is warming up: 8
	//  submissions in one second to the backend that is warming up: 9
	//  submissions in one second to the backend that is warming up: 13
	// backend 1 is the only backend and is warming up, so the rate of a warm backend is unknown:
	//  submissions in one second to the backend that is warming up: 1
	//  submissions in one second to the backend that is warming up: 3
	//  submissions in one second to the backend that is warming up: 6
}

// Guards against a front door that admits or grants the same units of the hard limit again after a restart.
func Example_hardLimitIsKeptAcrossRestart() {
	s := newScenario(defaultTestSettings(0), 0)
	s.hideDatagrams = true
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready})
	s.advanceTo(10000)
	s.controller.capacity = 100
	c := customerOwnedBy(0)
	fmt.Println("# the owner's share of the hard limit, with the owner's pool, has two thirds of the burst, so 13 of the 16 txns are submitted")
	for id := control.TxnID(1); id <= 16; id++ {
		s.addTxn(id, c, 0, 1)
	}
	s = newScenario(defaultTestSettings(0), 10000)
	s.hideDatagrams = true
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready})
	fmt.Println("# after a restart of the owner, its share and its pool are empty, so a txn waits for the refill")
	s.addTxn(1, c, 0, 1)
	s.advanceTo(10200)
	// Output:
	// # the owner's share of the hard limit, with the owner's pool, has two thirds of the burst, so 13 of the 16 txns are submitted
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 4 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 5 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 6 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 7 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 8 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 9 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 10 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 11 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 12 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 13 to backend 1, Decision.After=500 ms
	// # after a restart of the owner, its share and its pool are empty, so a txn waits for the refill
	// 10100 ms: submit txn 1 to backend 1, Decision.After=400 ms
}

// Guards against an owner that grants units again after a restart, and against an owner that applies messages of a peer's former
// epoch.
func Example_ownerRestartEmptiesBucket() {
	s := newScenario(defaultTestSettings(0), 5000)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
	fmt.Println("# the bucket of a restarted owner starts empty and refills at the rate, so a txn waits until the bucket has one unit")
	s.addTxn(1, customerOwnedBy(0), 0, 0)
	s.advanceTo(5100)
	s.advanceTo(5120)
	fmt.Println("# a peer restarts: after a message of the peer's new epoch, a message of its former epoch is dropped and not acknowledged")
	c := customerOwnedBy(0)
	s.receiveMessage(1, &quota.Message{Epoch: 7, Seq: 5, Deltas: []quota.Delta{{Customer: c, SetWidth: 3}}})
	s.advanceTo(5200)
	s.receiveMessage(1, &quota.Message{Epoch: 8, Seq: 1, Deltas: []quota.Delta{{Customer: c, SetWidth: 3}}})
	s.advanceTo(5300)
	s.receiveMessage(1, &quota.Message{Epoch: 7, Seq: 6, Deltas: []quota.Delta{{Customer: c, Units: 9, SetWidth: 3}}})
	s.advanceTo(5400)
	// Output:
	// # the bucket of a restarted owner starts empty and refills at the rate, so a txn waits until the bucket has one unit
	//  5100 ms: submit txn 1 to backend 1, Decision.After=400 ms
	// # a peer restarts: after a message of the peer's new epoch, a message of its former epoch is dropped and not acknowledged
	//  5120 ms: datagram to gateway 1: snapshot level=0.1875 reporters=2 ack=5
	//  5200 ms: datagram to gateway 1: snapshot level=1 reporters=2 ack=1
}

// Guards against consumed units that are lost or counted twice. Datagrams with deltas arrive out of order and repeatedly.
func Example_deltasAreAppliedOnce() {
	s := newScenario(defaultTestSettings(0), 0)
	s.advanceTo(10000)
	c := customerOwnedBy(0)
	first := &quota.Message{Epoch: 7, Seq: 1, Deltas: []quota.Delta{{Customer: c, Units: 3, SetWidth: 3}}}
	second := &quota.Message{Epoch: 7, Seq: 2, Deltas: []quota.Delta{{Customer: c, Units: 5, SetWidth: 3}}}
	fmt.Println("# deltas arrive out of order and repeatedly: each delta is applied once")
	s.receiveMessage(1, second)
	s.controller.sweptAt = 20 * time.Second // no sweep runs in this example, so the bucket is refilled only when a message arrives
	s.advanceTo(10100)
	s.receiveMessage(1, first)
	s.advanceTo(10200)
	s.receiveMessage(1, second)
	s.advanceTo(10300)
	fmt.Println("# a datagram that cannot be decoded is dropped and counted")
	s.controller.DatagramReceived(1, []byte{1, 2, 3})
	fmt.Println("dropped datagrams:", s.controller.quota.BadDatagramCount())
	// Output:
	// # deltas arrive out of order and repeatedly: each delta is applied once
	// 10000 ms: datagram to gateway 1: snapshot level=15 reporters=2 ack=2
	// 10100 ms: datagram to gateway 1: snapshot level=13 reporters=2 ack=2
	// 10200 ms: datagram to gateway 1: snapshot level=14 reporters=2 ack=2
	// # a datagram that cannot be decoded is dropped and counted
	// dropped datagrams: 1
}

// Guards against a front door that consumes more units than its burst share and the owner's snapshots allow. The burst share is the
// number of units that a front door may consume before the owner acknowledges them. Datagrams are lost, and snapshots arrive late or
// expire.
func Example_snapshotsLimitConsumption() {
	s := newWarmScenario()
	s.hideDatagrams, s.controller.capacity = false, 5
	c := customerOwnedBy(1)
	fmt.Println("# new customer: six txns are submitted against the burst share while the front door waits for a snapshot of the owner")
	for id := control.TxnID(1); id < 9; id++ {
		s.addTxn(id, c, 0, 0)
	}
	s.advanceTo(10050)
	fmt.Println("# no acknowledgement arrives: each delta is sent again with its former sequence number")
	s.advanceTo(10200)
	fmt.Println("# a snapshot of level 4 arrives with the acknowledgement of the first two deltas: txn 11 is submitted")
	newSnapshot := func(version uint64, left float64) *quota.Message {
		return &quota.Message{Epoch: 9, Version: version, AckEpoch: s.controller.quota.Epoch(), AckHigh: 2, AckMask: 3,
			Snapshots: []quota.Snapshot{{Customer: c, Level: left, Reporters: 1}}}
	}
	s.receiveMessage(1, newSnapshot(5, 4))
	s.addTxn(11, c, 0, 0)
	fmt.Println("# an older snapshot that arrives late restores no units")
	s.receiveMessage(1, newSnapshot(4, 20))
	s.addTxn(12, c, 0, 0)
	s.addTxn(13, c, 0, 0)
	s.advanceTo(10500)
	fmt.Println("# the snapshot has expired: a txn is submitted against the burst share, and a delta requests a new snapshot")
	s.advanceTo(11900)
	s.addTxn(14, c, 0, 0)
	// Output:
	// # new customer: six txns are submitted against the burst share while the front door waits for a snapshot of the owner
	// 10000 ms: submit txn 1 to backend 2, Decision.After=500 ms
	// 10000 ms: datagram to gateway 1: delta seq=1 units=1
	// 10000 ms: submit txn 2 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 3 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 4 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 5 to backend 2, Decision.After=500 ms
	// 10000 ms: submit txn 6 to backend 2, Decision.After=500 ms
	// 10050 ms: datagram to gateway 1: delta seq=2 units=5
	// # no acknowledgement arrives: each delta is sent again with its former sequence number
	// 10150 ms: datagram to gateway 1: delta seq=1 units=1
	// 10200 ms: datagram to gateway 1: delta seq=2 units=5
	// # a snapshot of level 4 arrives with the acknowledgement of the first two deltas: txn 11 is submitted
	// 10200 ms: submit txn 7 to backend 2, Decision.After=300 ms
	// 10200 ms: submit txn 8 to backend 3, Decision.After=300 ms
	// 10200 ms: submit txn 11 to backend 3, Decision.After=500 ms
	// # an older snapshot that arrives late restores no units
	// 10200 ms: submit txn 12 to backend 3, Decision.After=500 ms
	// 10200 ms: reject txn 13, Decision.After=100 ms
	// 10250 ms: datagram to gateway 1: delta seq=3 units=4
	// 10400 ms: datagram to gateway 1: delta seq=3 units=4
	// # the snapshot has expired: a txn is submitted against the burst share, and a delta requests a new snapshot
	// 10650 ms: datagram to gateway 1: delta seq=3 units=4
	// 11150 ms: datagram to gateway 1: delta seq=3 units=4
	// 11900 ms: submit txn 14 to backend 1, Decision.After=500 ms
	// 11900 ms: datagram to gateway 1: delta seq=4 units=1
}

// Guards against the exclusion of a backend for all products although only one product fails at the backend.
func Example_failingProductIsExcluded() {
	s := newWarmScenario()
	c := customerOwnedBy(0)
	fmt.Println("# product 0 fails at backend 1: after two failures, backend 1 gets no txns of product 0 and still gets txns of product 3")
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
			fmt.Printf("product %d at backend %d: %v\n", p, x.Backend, map[control.Ending]string{control.Succeeded: "succeeded", control.Errored: "error"}[e])
			t := s.controller.txns[id]
			s.controller.SubmissionEnded(id, t.submissions-1, x.Backend, e, e == control.Succeeded, 10*time.Millisecond, nil)
			x, _ = s.controller.Next()
		}
	}
	// Output:
	// # product 0 fails at backend 1: after two failures, backend 1 gets no txns of product 0 and still gets txns of product 3
	// product 3 at backend 1: succeeded
	// product 0 at backend 1: error
	// product 0 at backend 3: succeeded
	// product 3 at backend 1: succeeded
	// product 0 at backend 1: error
	// product 0 at backend 3: succeeded
	// product 3 at backend 1: succeeded
	// product 0 at backend 3: succeeded
	// product 3 at backend 1: succeeded
	// product 0 at backend 3: succeeded
	// product 3 at backend 1: succeeded
	// product 0 at backend 3: succeeded
	// product 3 at backend 1: succeeded
	// product 0 at backend 3: succeeded
}

// Guards against a lower capacity for all backends because one backend rejects submissions. Here all backends reject every submission.
func Example_rejectionsKeepCapacity() {
	s := newWarmScenario()
	initial := s.controller.capacity
	for id := control.TxnID(1); id < 40; id++ {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: customerOwnedBy(0), Units: 1, SetWidth: 3, Expiry: s.controller.now + time.Second})
		for x, ok := s.controller.Next(); ok; x, ok = s.controller.Next() {
			if x.Action == control.Submit {
				s.controller.SubmissionEnded(x.Txn, s.controller.txns[x.Txn].submissions-1, x.Backend, control.Rejected, false, time.Millisecond, nil)
			}
		}
		s.controller.Now(s.controller.now + 10*time.Millisecond)
	}
	fmt.Println("capacity unchanged:", s.controller.capacity == initial,
		"- backend 1 rejected two or more submissions in a row:", s.controller.backends[1].consecutiveRejections > 1)
	// Output:
	// capacity unchanged: true - backend 1 rejected two or more submissions in a row: true
}

// Guards against clients' retries that are treated differently from first attempts. A retry that arrives before a first attempt gets the next free
// backend.
func Example_retryWaitsLikeFirstAttempt() {
	s := newWarmScenario()
	s.controller.capacity = 0.4
	addTxn := func(id control.TxnID, retry bool) {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: control.CustomerID(id), Retry: retry, Units: 1, SetWidth: 1,
			Expiry: s.controller.now + time.Second})
		s.printDecisions()
	}
	fmt.Println("# txns 1 and 2 use all capacity: txn 3, which is a client's retry, waits, and so does txn 4 behind it")
	addTxn(1, false)
	addTxn(2, false)
	addTxn(3, true)
	addTxn(4, false)
	s.advanceTo(10100)
	s.endSubmission(1, control.Succeeded)
	s.advanceTo(10200)
	s.endSubmission(2, control.Succeeded)
	// Output:
	// # txns 1 and 2 use all capacity: txn 3, which is a client's retry, waits, and so does txn 4 behind it
	// 10000 ms: submit txn 1 to backend 3, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 2, Decision.After=500 ms
	// 10100 ms: submit txn 3 to backend 1, Decision.After=898 ms
	// 10200 ms: submit txn 4 to backend 3, Decision.After=798 ms
}

// Guards against txns that exceed the quota of their customer and use up capacity that other txns need.
func Example_exceedQuotaWithSpareCapacity() {
	s := newWarmScenario()
	s.controller.plans[0].overQuotaValue, s.controller.plans[0].overQuotaCost = 0.3, 0
	c := customerOwnedBy(0)
	s.drainBucket(c, 0)
	s.controller.plans[0].Rate = 1
	fmt.Println("# the bucket is empty, but backends have spare capacity and a response beyond the quota costs nothing: txn 1 is submitted beyond the quota")
	s.addTxn(1, c, 0, 0)
	fmt.Println("# a txn has just found no backend with capacity: txn 2 is rejected, and its retry delay is the time until the bucket has one unit")
	s.controller.saturatedAt = s.controller.now
	s.addTxn(2, c, 0, 0)
	// Output:
	// # the bucket is empty, but backends have spare capacity and a response beyond the quota costs nothing: txn 1 is submitted beyond the quota
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// # a txn has just found no backend with capacity: txn 2 is rejected, and its retry delay is the time until the bucket has one unit
	// 10000 ms: reject txn 2, Decision.After=1000 ms
}

// Guards against a txn that loses its units while it waits for a backend. The snapshot that covers the txn expires before a backend has
// capacity, because the snapshot may be used for only 150 ms.
func Example_unitsStayReservedWhileWaiting() {
	s := newScenario(defaultTestSettings(0), 0)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
	s.advanceTo(10000)
	c := customerOwnedBy(1)
	s.controller.plans[0].Burst = 2 // so small that a snapshot may be used only for the time of one answer of the owner
	s.controller.capacity = 0.3
	s.addTxn(1, customerOwnedBy(0), 0, 0)
	s.hideDatagrams = true
	s.addTxn(2, c, 0, 0)
	s.receiveMessage(1, &quota.Message{Epoch: 9, Version: 1, AckEpoch: s.controller.quota.Epoch(), AckHigh: 1, AckMask: 1, Snapshots: []quota.Snapshot{{Customer: c, Level: 2, Reporters: 2}}})
	reservedUnits := func() float64 {
		state, _ := s.controller.quota.AccountState(c)
		return state.Reserved
	}
	fmt.Println("units reserved for txn 2 while it waits for a backend:", reservedUnits(), "- other txns cannot consume these units")
	s.advanceTo(10170)
	s.endSubmission(1, control.Succeeded)
	s.advanceTo(10180)
	fmt.Println("units reserved for txn 2 after its submission:", reservedUnits())
	// Output:
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// units reserved for txn 2 while it waits for a backend: 1 - other txns cannot consume these units
	// 10170 ms: submit txn 2 to backend 1, Decision.After=1828 ms
	// units reserved for txn 2 after its submission: 0
}

// Guards against a client's retry that is rejected although its client still waits. A retry is a request of its own, with the expiry that it brings.
func Example_retryHasItsOwnExpiry() {
	s := newWarmScenario()
	c := customerOwnedBy(0)
	addRetry := func(id control.TxnID, left time.Duration) {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: c, Retry: true, Units: 1, SetWidth: 3, Expiry: s.controller.now + left})
		s.printDecisions()
	}
	fmt.Println("# no first attempt has arrived before retry 1")
	addRetry(1, 1900*time.Millisecond)
	s.addTxn(2, customerOwnedBy(0), 0, 0)
	fmt.Println("# the first attempt was 100 ms before retry 3, and 600 ms before retry 4")
	addRetry(3, 1900*time.Millisecond)
	addRetry(4, 1400*time.Millisecond)
	fmt.Println("# retry 5 has 100 ms left")
	addRetry(5, 100*time.Millisecond)
	// Output:
	// # no first attempt has arrived before retry 1
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 1, Decision.After=500 ms
	// # the first attempt was 100 ms before retry 3, and 600 ms before retry 4
	// 10000 ms: submit txn 3 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 4 to backend 1, Decision.After=500 ms
	// # retry 5 has 100 ms left
	// 10000 ms: submit txn 5 to backend 3, Decision.After=98 ms
}

// Guards against a customer that gets no units or too many units while the owner of the customer's bucket does not answer. Only the burst
// share and its growth may be consumed.
func Example_unresponsiveOwnerLeavesBurstShare() {
	s := newWarmScenario()
	c := customerOwnedBy(1)
	fmt.Println("# no datagram arrives, so the burst share is used up and then grows at the rate; times in ms at which a txn is submitted:")
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
	// # no datagram arrives, so the burst share is used up and then grows at the rate; times in ms at which a txn is submitted:
	// 10000 10010 10020 10030 10040 10050 10230 10400 10700 11000 11300 11510 11510 11510 11670 11870
}

// Guards against a txn that still waits although the end of a submission has freed capacity.
func Example_waitingTxnIsSubmittedUnderPressure() {
	s := newWarmScenario()
	s.controller.capacity = 0.4
	c := customerOwnedBy(0)
	fmt.Println("# txns 0 and 1 use all capacity: txn 2 waits and is submitted when the submission of txn 0 ends")
	for id, p := range []control.ProductID{0, 0, 2} {
		s.addTxn(control.TxnID(id), c, p, 0)
	}
	s.advanceTo(10100)
	s.endSubmission(0, control.Succeeded)
	// Output:
	// # txns 0 and 1 use all capacity: txn 2 waits and is submitted when the submission of txn 0 ends
	// 10000 ms: submit txn 0 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 1 to backend 3, Decision.After=500 ms
	// 10100 ms: submit txn 2 to backend 1
}

// Guards against an unresponsive backend that never gets another submission. An inquiry-like txn (product 0) may be submitted to the
// backend after each trialInterval of 700 ms. A once-only txn (product 2) may not.
func Example_unresponsiveBackendIsTried() {
	s := newScenario(defaultTestSettings(0), 0)
	s.hideDatagrams = true
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready})
	s.advanceTo(10000)
	b := s.controller.backends[1]
	b.unanswered, b.unansweredSince, b.sentAt = 2, 10*time.Second, 10*time.Second
	s.controller.examinedAt = time.Minute
	for at := 10400; at < 11200; at += 400 {
		s.advanceTo(at)
		for _, p := range []control.ProductID{2, 0} {
			t := &txn{Txn: control.Txn{Product: p}}
			fmt.Println("at", at, "ms: a txn of product", p, "must avoid the backend:", s.controller.mustAvoidUnresponsive(b, t))
		}
	}
	// Output:
	// at 10400 ms: a txn of product 2 must avoid the backend: true
	// at 10400 ms: a txn of product 0 must avoid the backend: true
	// at 10800 ms: a txn of product 2 must avoid the backend: true
	// at 10800 ms: a txn of product 0 must avoid the backend: false
}

// Guards against panics and missing answers for invalid inputs.
func Example_invalidInputs() {
	s := newWarmScenario()
	addTxn := func(x control.Txn) {
		s.controller.TxnArrived(x)
		s.printDecisions()
	}
	now := s.controller.now
	fmt.Println("# txn 1 has expired, txn 2 has an unknown product, txn 3 an unknown plan, txn 4 a negative set, txn 5 a too large set and negative units")
	addTxn(control.Txn{ID: 1, Units: 1, Expiry: now - time.Second})
	addTxn(control.Txn{ID: 2, Product: 9, Expiry: now + time.Second})
	addTxn(control.Txn{ID: 3, Plan: -4, Expiry: now + time.Second})
	addTxn(control.Txn{ID: 4, Customer: customerOwnedBy(0), SetWidth: -3, SetFirst: -9, Expiry: now + time.Second})
	addTxn(control.Txn{ID: 5, Customer: 77, SetWidth: 1 << 40, SetFirst: 1 << 40, Units: -5, Expiry: now + time.Second})
	s.controller.SubmissionEnded(99, 0, 1, control.Succeeded, true, 0, nil)
	s.controller.SubmissionEnded(4, 7, 55, control.Succeeded, true, 0, []float64{1, 2, 3, 4})
	s.controller.ProbeEnded(55, true, 0, nil)
	s.controller.DatagramReceived(99, nil)
	s.controller.DatagramReceived(0, []byte("from myself"))
	s.printDecisions()
	_, err := New(1, control.Settings{}, 0)
	fmt.Println(err)
	// Output:
	// # txn 1 has expired, txn 2 has an unknown product, txn 3 an unknown plan, txn 4 a negative set, txn 5 a too large set and negative units
	// 10000 ms: reject txn 1, Decision.After=2000 ms
	// 10000 ms: reject txn 2, Decision.After=2000 ms
	// 10000 ms: reject txn 3, Decision.After=2000 ms
	// 10000 ms: submit txn 4 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 5 to backend 2, Decision.After=500 ms
	// setting me: missing
}

// Guards against clients' retries that need more units than first attempts. The units that are left go to the txns in the order of their arrival.
func Example_retryNeedsNoMoreUnits() {
	s := newWarmScenario()
	c := customerOwnedBy(0)
	fmt.Println("# 1 of 20 units is left in the bucket: txn 1, which is a client's retry, is submitted, and txn 2, a first attempt, waits for a unit")
	s.drainBucket(c, 1)
	s.controller.TxnArrived(control.Txn{ID: 1, Customer: c, Retry: true, Units: 1, SetWidth: 3, Expiry: s.controller.now + time.Second})
	s.printDecisions()
	s.addTxn(2, c, 0, 0)
	s.advanceTo(10200)
	// Output:
	// # 1 of 20 units is left in the bucket: txn 1, which is a client's retry, is submitted, and txn 2, a first attempt, waits for a unit
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// 10100 ms: submit txn 2 to backend 1, Decision.After=400 ms
}

// Guards against unresponsive backends that get no submissions after they have recovered. If all backends are unresponsive at the same
// time, all backends are ejected. Successful probes then readmit the backends.
func Example_unresponsiveBackendsAreEjected() {
	s := newWarmScenario()
	for _, b := range s.controller.backendsByID {
		b.unanswered, b.unansweredSince, b.sentAt = 2, s.controller.now, s.controller.now
	}
	fmt.Println("# no backend has responded for 1.7 s although submissions are in flight: all backends are ejected and probed")
	s.advanceTo(11700)
	s.advanceTo(12300)
	for _, b := range s.controller.backendsByID {
		s.controller.ProbeEnded(b.ID, true, time.Millisecond, nil)
	}
	s.advanceTo(12900)
	for _, b := range s.controller.backendsByID {
		s.controller.ProbeEnded(b.ID, true, time.Millisecond, nil)
	}
	s.advanceTo(13400)
	fmt.Println("backend 1 is readmitted after two successful probes:", !s.controller.backendsByID[0].ejected)
	// Output:
	// # no backend has responded for 1.7 s although submissions are in flight: all backends are ejected and probed
	// 12200 ms: probe backend 1
	// 12300 ms: probe backend 2
	// 12400 ms: probe backend 3
	// 12700 ms: probe backend 1
	// 12800 ms: probe backend 2
	// backend 1 is readmitted after two successful probes: true
}

// Guards against time-outs that lower the capacity although the fleet is not congested.
func Example_timeOutsLowerCapacityUnderPressure() {
	s := newWarmScenario()
	s.addTxn(1, customerOwnedBy(0), 0, 0)
	b, before := s.controller.txns[1].currentBackend, s.controller.capacity
	s.controller.utilization = 1
	s.controller.Now(s.controller.now + 200*time.Millisecond)
	s.controller.Now(s.controller.now + 200*time.Millisecond)
	s.controller.saturatedAt = s.controller.now
	s.controller.adjustCapacity(s.controller.congestionOf(s.controller.txns[1], b, control.TimedOut))
	fmt.Println("time-out at a backend that has not responded since the submission was sent: capacity unchanged:", s.controller.capacity == before)
	b.unansweredSince = s.controller.now
	s.controller.adjustCapacity(s.controller.congestionOf(s.controller.txns[1], b, control.TimedOut))
	fmt.Println("time-out at a backend that has responded to other txns since the submission was sent: capacity lowered:", s.controller.capacity < before)
	before, s.controller.saturatedAt = s.controller.capacity, s.controller.now-pressureTTL
	s.controller.adjustCapacity(s.controller.congestionOf(s.controller.txns[1], b, control.TimedOut))
	fmt.Println("time-out while the front door is not under pressure, so the work itself takes long: capacity unchanged:", s.controller.capacity == before)
	// Output:
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// time-out at a backend that has not responded since the submission was sent: capacity unchanged: true
	// time-out at a backend that has responded to other txns since the submission was sent: capacity lowered: true
	// time-out while the front door is not under pressure, so the work itself takes long: capacity unchanged: true
}

// Guards against consumption above a small burst. If the burst has less than one unit for each gateway of the customer's set, a gateway
// must wait for the owner's answer before it consumes a unit.
func Example_ownerIsAskedIfBurstShareIsTooSmall() {
	s := newScenario(defaultTestSettings(0), 0)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
	s.advanceTo(10000)
	s.controller.capacity = 3
	c := customerOwnedBy(1)
	s.controller.plans[0].Burst = 2 // units; less than one unit for each of the three gateways
	fmt.Println("# new customer, and less than one unit of the burst for each gateway: txn 1 waits until a snapshot of level 2 arrives")
	s.addTxn(1, c, 0, 0)
	s.advanceTo(10030)
	s.receiveMessage(1, &quota.Message{Epoch: 9, Version: 1, AckEpoch: s.controller.quota.Epoch(), AckHigh: 1, AckMask: 1, Snapshots: []quota.Snapshot{{Customer: c, Level: 2, Reporters: 2}}})
	fmt.Println("# a snapshot of level 0 arrives: txn 2 is rejected, and its retry delay is the time until the owner's bucket has one unit")
	s.hideDatagrams = true
	s.advanceTo(11000)
	s.hideDatagrams = false
	s.addTxn(2, c, 0, 0)
	s.receiveMessage(1, &quota.Message{Epoch: 9, Version: 2, AckEpoch: s.controller.quota.Epoch(), AckHigh: 2, AckMask: 3, Snapshots: []quota.Snapshot{{Customer: c, Reporters: 2}}})
	s.advanceTo(11150)
	fmt.Println("# the owner does not answer in time: txn 3 is submitted against the burst share")
	s.hideDatagrams = true
	s.advanceTo(13000)
	s.hideDatagrams = false
	s.addTxn(3, c, 0, 0)
	s.advanceTo(13140)
	fmt.Println("# this front door is the owner: it has promised its unit to gateway 1 in a snapshot and promises the unit to no other gateway")
	c = customerOwnedBy(0)
	s.controller.plans[0].Burst = 1
	s.hideDatagrams = true
	s.advanceTo(14000)
	s.hideDatagrams = false
	s.controller.sweptAt = time.Minute
	for g := control.GatewayID(1); g < 3; g++ {
		s.receiveMessage(g, &quota.Message{Epoch: 9, Seq: 1, Deltas: []quota.Delta{{Customer: c, UnitsWanted: 1, SetWidth: 3}}})
	}
	// Output:
	// # new customer, and less than one unit of the burst for each gateway: txn 1 waits until a snapshot of level 2 arrives
	// 10000 ms: datagram to gateway 1: delta seq=1 units=0
	// 10030 ms: submit txn 1 to backend 1, Decision.After=470 ms
	// 10030 ms: datagram to gateway 1: delta seq=2 units=1
	// # a snapshot of level 0 arrives: txn 2 is rejected, and its retry delay is the time until the owner's bucket has one unit
	// 11000 ms: datagram to gateway 1: delta seq=3 units=0
	// 11000 ms: reject txn 2, Decision.After=100 ms
	// 11150 ms: datagram to gateway 1: delta seq=3 units=0
	// # the owner does not answer in time: txn 3 is submitted against the burst share
	// 12000 ms: reject txn 1
	// 12000 ms: cancel txn 1 attempt 0
	// 13000 ms: datagram to gateway 1: delta seq=4 units=0
	// 13140 ms: datagram to gateway 1: delta seq=5 units=0
	// # this front door is the owner: it has promised its unit to gateway 1 in a snapshot and promises the unit to no other gateway
	// 13240 ms: submit txn 3 to backend 1, Decision.After=260 ms
	// 13790 ms: probe backend 1
	// 14000 ms: datagram to gateway 2: snapshot level=1 reporters=3 ack=1
}

// Guards against two effects of a stall of this process. The missing responses must not count as a failure of the backends. Txns that arrived during
// the stall have less SLA time left, but their clients wait until their expiries.
func Example_processStallIsNoFaultOfBackends() {
	s := newWarmScenario()
	s.addTxn(1, customerOwnedBy(0), 0, 0)
	b := s.controller.txns[1].currentBackend
	b.unanswered = 3
	s.controller.Now(12 * time.Second) // the process stalls for two seconds
	s.controller.SubmissionEnded(1, 0, b.ID, control.TimedOut, true, 272*time.Millisecond, nil)
	for id := control.TxnID(2); id < 10; id++ {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: customerOwnedBy(0), Units: 1, SetWidth: 3, Expiry: s.controller.now + 2*time.Second})
	}
	fmt.Println("# eight txns arrived during the stall of 2 s: only the last two have SLA time left, which shortens the time-outs of their submissions")
	s.printDecisions()
	fmt.Println("loss share of the backend:", b.lossShare, "- time without a response from the backend:", s.controller.now-b.unansweredSince)
	// Output:
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// # eight txns arrived during the stall of 2 s: only the last two have SLA time left, which shortens the time-outs of their submissions
	// 12000 ms: submit txn 2 to backend 1, Decision.After=1998 ms
	// 12000 ms: submit txn 3 to backend 1, Decision.After=1998 ms
	// 12000 ms: submit txn 4 to backend 1, Decision.After=1998 ms
	// 12000 ms: submit txn 5 to backend 1, Decision.After=1998 ms
	// 12000 ms: submit txn 6 to backend 3, Decision.After=1998 ms
	// 12000 ms: submit txn 7 to backend 3, Decision.After=1998 ms
	// 12000 ms: submit txn 8 to backend 3, Decision.After=125 ms
	// 12000 ms: submit txn 9 to backend 3, Decision.After=375 ms
	// loss share of the backend: 0 - time without a response from the backend: 0s
}

// Guards against buckets that start full after the restart of one front door. Buckets may start full only if all front doors were started
// at about the same time.
func Example_bucketStartsFullInNewCluster() {
	c := customerOwnedBy(0)
	for _, age := range []time.Duration{0, 60 * time.Second} {
		s := newScenario(defaultTestSettings(0), 5000)
		for g := control.GatewayID(1); g < 3; g++ {
			s.controller.DatagramReceived(g, (&quota.Message{Epoch: 7, Age: age, Seq: 1}).Encode())
		}
		s.controller.quota.EnsureAccount(c, 0, 0, 3)
		state, _ := s.controller.quota.AccountState(c)
		fmt.Println("all peers started", age, "before this front door: units in a new bucket:", state.Level)
	}
	// Output:
	// all peers started 0s before this front door: units in a new bucket: 20
	// all peers started 1m0s before this front door: units in a new bucket: 0
}

// Guards against front doors that exclude a failing backend only after failures of their own submissions. The observations of a peer
// must be enough for the exclusion.
func Example_peerObservationsExcludeBackend() {
	s := newWarmScenario()
	b := s.controller.backends[2]
	m := &quota.Message{Epoch: 7}
	for i := 0; i < 4; i++ {
		m.Observations = append(m.Observations, quota.Observation{BackendHash: b.hash & quota.ObservationHashMask, Ratio: quota.ObservedFailed}, quota.Observation{BackendHash: 5, Ratio: 9})
	}
	s.receiveMessage(1, m)
	fmt.Println("a peer reported failures of product 0 at backend 2: the backend is excluded for product 0:", b.failures[0].excludedUntil > s.controller.now,
		"- for product 1:", b.failures[1].excludedUntil > s.controller.now)
	fmt.Println("a peer reported an outcome of a backend that is not in this front door's list, and the list is unchanged: number of backends:",
		len(s.controller.backends))
	// Output:
	// a peer reported failures of product 0 at backend 2: the backend is excluded for product 0: true - for product 1: false
	// a peer reported an outcome of a backend that is not in this front door's list, and the list is unchanged: number of backends: 3
}

// Guards against state that is never removed or is removed too early. A backend that is gone must be removed at once. The account of a
// customer whose bucket this front door owns must be removed only when the bucket is full again.
func Example_goneBackendsAndFullBucketsAreRemoved() {
	s := newWarmScenario()
	mine, other := customerOwnedBy(0), customerOwnedBy(1)
	for i := 4; i < 500; i++ {
		s.changeEndpoints(false, control.Endpoint{ID: control.BackendID(i - 1)}, control.Endpoint{ID: control.BackendID(i), State: control.Ready})
	}
	fmt.Println("number of backends in the list and in the two maps:", len(s.controller.backendsByID),
		len(s.controller.backends), len(s.controller.backendsByHash))
	s.controller.plans[0].Rate = 2
	s.addTxn(1, mine, 0, 0)
	s.endSubmission(1, control.Succeeded)
	s.addTxn(2, other, 0, 0)
	s.endSubmission(2, control.Succeeded)
	for i := 1; i <= 3; i++ { // a peer consumes units of the bucket, and this front door gets no more txns of the customer
		s.advanceTo(10000 + 4000*i)
		s.receiveMessage(1, &quota.Message{Epoch: 7, AckEpoch: s.controller.quota.Epoch(), AckHigh: 9, AckMask: 1<<32 - 1, Seq: uint64(i),
			Deltas: []quota.Delta{{Customer: mine, Units: 15, SetWidth: 3}}})
	}
	state, _ := s.controller.quota.AccountState(mine)
	fmt.Printf("the bucket is not full: units in the bucket: %.0f, number of customers with an account: %d\n", state.Level, s.controller.quota.CustomerCount())
	s.advanceTo(40000)
	fmt.Println("the bucket is full again: number of customers with an account:", s.controller.quota.CustomerCount())
	// Output:
	// number of backends in the list and in the two maps: 3 3 3
	// 10000 ms: submit txn 1 to backend 1, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 2, Decision.After=500 ms
	// the bucket is not full: units in the bucket: 0, number of customers with an account: 1
	// the bucket is full again: number of customers with an account: 0
}

// Guards against a backend that is never picked again after one load report with a high load, because only a submission brings a new load
// report. The weight of a load report decreases with its age. A load report with an impossible value is ignored.
func Example_loadReportsExpire() {
	s := newWarmScenario()
	b := s.controller.backends[1]
	applyReport := func(inFlight float64) {
		s.controller.SubmissionEnded(0, 0, 1, control.Succeeded, true, 0, []float64{inFlight})
		fmt.Printf("load report with %g submissions in flight: load of the backend %.1f\n", inFlight, s.controller.loadOf(b))
	}
	s.controller.refreshBackends()
	applyReport(1e5)
	applyReport(20)
	for t := 11000; t <= 14000; t += 1000 {
		s.advanceTo(t)
		fmt.Printf("at %d ms: load of the backend %.1f\n", t, s.controller.loadOf(b))
	}
	// Output:
	// load report with 100000 submissions in flight: load of the backend 0.0
	// load report with 20 submissions in flight: load of the backend 10.0
	// at 11000 ms: load of the backend 7.5
	// at 12000 ms: load of the backend 5.0
	// at 13000 ms: load of the backend 2.5
	// at 14000 ms: load of the backend 0.0
}

// Guards against load reports that move customers from one backend to another again and again, because the reports arrive late. A backend
// with somewhat more than the mean load must keep its customers. Only a backend with far more than the mean load may lose customers.
func Example_reportedLoadKeepsRanking() {
	s := newScenario(defaultTestSettings(0), 0)
	for id := control.BackendID(1); id <= 20; id++ {
		s.changeEndpoints(false, control.Endpoint{ID: id, State: control.Ready})
	}
	s.hideDatagrams = true
	s.advanceTo(10000)
	s.controller.capacity = 50
	c := customerOwnedBy(0)
	backendOfNewTxn := func(id control.TxnID) *backend {
		s.addTxn(id, c, 0, 0)
		return s.controller.txns[id].currentBackend
	}
	b := backendOfNewTxn(1)
	s.endSubmission(1, control.Succeeded)
	for i, inFlight := range []float64{4, 40} {
		for _, x := range s.controller.backendsByID {
			x.inFlightElsewhere, x.loadReportedAt = 1, s.controller.now
		}
		b.inFlightElsewhere = inFlight
		fmt.Printf("submissions of other front doors in flight: %.0f at the customer's backend, 1 at each other backend; the customer's backend is picked: %v\n",
			inFlight, backendOfNewTxn(control.TxnID(i+2)) == b)
		s.endSubmission(control.TxnID(i+2), control.Succeeded)
	}
	// Output:
	// 10000 ms: submit txn 1 to backend 14, Decision.After=500 ms
	// 10000 ms: submit txn 2 to backend 14, Decision.After=500 ms
	// submissions of other front doors in flight: 4 at the customer's backend, 1 at each other backend; the customer's backend is picked: true
	// 10000 ms: submit txn 3 to backend 1, Decision.After=500 ms
	// submissions of other front doors in flight: 40 at the customer's backend, 1 at each other backend; the customer's backend is picked: false
}
