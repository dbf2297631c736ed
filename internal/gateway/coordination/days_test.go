package coordination_test

import (
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/lab/callers"
	"clovergap/internal/lab/callhistory"
)

// simulation is a cluster with callers and faults, and the history of what the callers observed.
type simulation struct {
	*cluster
	callers     *callers.Callers
	history     []*callhistory.Record
	faultsEnded bool
}

// newSimulation returns a simulation whose faults and calls are determined by a seed. The knobs disable safeguards at all nodes.
func newSimulation(seed uint64, knobs coordination.TestingKnobs) *simulation {
	s := &simulation{cluster: newCluster(seed, 5, knobs)}
	s.callers = callers.Start(s, s.rng, callers.Config{Lockers: 6, MaxWatcherPause: testHistoryRetention, LongTTLs: true})
	s.scheduleEvent(300*ms, s.injectRandomFault)
	return s
}

// Now, After and Call implement callers.Environment.
func (s *simulation) Now() time.Duration                  { return s.now }
func (s *simulation) After(wait time.Duration, do func()) { s.scheduleEvent(wait, do) }

// runAndAudit runs the simulation with faults for a duration, audits the final state without faults, and returns the violations.
func (s *simulation) runAndAudit(duration time.Duration) (violations []callhistory.Violation) {
	s.runUntil(duration)
	s.faultsEnded = true
	s.callers.Stop()
	s.runUntil(duration + 25*time.Second)
	s.callers.Audit()
	s.runUntil(duration + 35*time.Second)
	violations = callhistory.Check(s.history, callhistory.Config{HistoryRetention: testHistoryRetention})
	for _, m := range s.callers.UnansweredAuditCalls() {
		violations = append(violations, callhistory.Violation{Rule: callhistory.RuleLost, Text: m})
	}
	return violations
}

// injectRandomFault injects a random fault and schedules the next one.
func (s *simulation) injectRandomFault() {
	if s.faultsEnded {
		return
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	id := groups.GroupOf(callers.SharedNames()[s.rng.IntN(len(callers.SharedNames()))])
	if s.rng.IntN(2) == 0 {
		n = s.logs[id].leader
	}
	to := nodeAddress(s.rng.IntN(len(s.nodes)))
	switch s.rng.IntN(7) {
	case 0: // another node may become leader of the group
		s.electLeader(id, s.nodes[s.rng.IntN(len(s.nodes))])
	case 1: // a leader's process is suspended, and another node is elected meanwhile
		n.suspend(s.randomDuration(100*ms, 4*time.Second))
		s.scheduleEvent(s.randomDuration(0, 400*ms), func() {
			for id := range groups.ID(groups.Count) {
				if s.logs[id].leader == n && n.suspended {
					s.electLeader(id, s.randomOtherNode(n))
				}
			}
		})
	case 2: // a node's process restarts
		n.restart()
	case 3: // messages to a node are delayed
		delayedTarget := []string{to, nodeAddress(s.logs[id].leader.index)}[s.rng.IntN(2)]
		n = s.nodes[s.rng.IntN(len(s.nodes))]
		n.delayedUntil[delayedTarget] = s.now + s.randomDuration(100*ms, 3*time.Second)
	case 4: // a link between two nodes breaks
		n.brokenLinks[to] = true
		n.service.PeerDisconnected(to)
		s.scheduleEvent(s.randomDuration(50*ms, 2*time.Second), func() { n.brokenLinks[to] = false })
	case 5: // a node loses its contact with a majority
		n.isolated = true
		s.scheduleEvent(s.randomDuration(100*ms, 2*time.Second), func() { n.isolated = false })
	case 6: // every group elects a random node
		for id := range groups.ID(groups.Count) {
			s.electLeader(id, s.nodes[s.rng.IntN(len(s.nodes))])
		}
	}
	s.scheduleEvent(s.randomDuration(50*ms, 1500*ms), s.injectRandomFault)
}

// Call sends a call to a random node and records the call's result. The function done is called once, when the call has ended
// or when the caller abandons the call.
func (s *simulation) Call(caller string, c coordination.Call, done func(*callhistory.Record)) {
	r := &callhistory.Record{Caller: caller, Call: c, Sent: s.now, Ended: callhistory.Never}
	s.history = append(s.history, r)
	isDone := false
	finish := func() {
		if !isDone {
			isDone = true
			done(r)
		}
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	incarnation := n.incarnation
	s.scheduleEvent(s.randomDuration(ms/2, 2*ms), func() {
		if n.incarnation != incarnation {
			finish()
			return
		}
		n.runTurn(func() {
			n.service.Submit(c, n.inputDelay, func(result coordination.Result) {
				s.scheduleEvent(s.randomDuration(ms/2, 2*ms), func() {
					if isDone || n.incarnation != incarnation || s.rng.IntN(50) == 0 && !s.faultsEnded { // the connection is reset
						finish()
						return
					}
					r.Result, r.Ended = result, s.now
					if result.Status == coordination.StatusAmbiguous {
						r.Ended = callhistory.Never
					}
					finish()
				})
			})
		})
	})
	s.scheduleEvent(time.Second+c.Timeout, finish)
	if s.rng.IntN(15) == 0 && !s.faultsEnded { // the connection is reset while the call is in progress
		s.scheduleEvent(s.randomDuration(0, 60*ms), finish)
	}
}
