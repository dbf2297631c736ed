package outlier

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// forEachPermutation calls f with each permutation of the numbers from 0 to n-1.
func forEachPermutation(n int, f func([]int)) {
	var permute func(prefix, rest []int)
	permute = func(prefix, rest []int) {
		if len(rest) == 0 {
			f(prefix)
		}
		for i, x := range rest {
			permute(append(slices.Clone(prefix), x), slices.Delete(slices.Clone(rest), i, i+1))
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	permute(nil, all)
}

// enabledState returns a state in which outlier detection is enabled.
func enabledState() *State {
	s := NewState()
	if _, err := s.Apply(&Entry{Verb: SetSettings, Settings: &Settings{Enabled: true}}); err != nil {
		panic(err)
	}
	return s
}

// readyBackend returns a ready backend in zone a.
func readyBackend(id InstanceID) Backend { return Backend{ID: id, Service: "libro", Zone: "a"} }

// newReport returns a report with one strict observation that holds one item of evidence of each given kind.
func newReport(seq, rev uint64, id InstanceID, kinds ...EvidenceKind) Report {
	observation := Observation{Key: Key{id, Strict}, Rev: rev}
	for _, k := range kinds {
		observation.Evidence = append(observation.Evidence, Evidence{Kind: k, Timeout: 2 * time.Second})
	}
	return Report{Zone: "a", Incarnation: 1, Seq: seq, Observations: []Observation{observation}}
}

// Guards against an ejection that rests on outdated information. The test applies seven events in every order: the reports of two nodes, a delayed
// entry of the first coordinator, a change of the coordinator, the draining and the end of the backend, and an operator's Clear. An entry with an
// older fencing token must never be accepted after an entry with a newer token. Evidence from before a Clear must eject no backend. Neither an
// instance that is gone nor the next instance at the same address may be ejected. All replicas that apply the log must reach the same state,
// whatever snapshot they start from.
func TestEjectionEventsInEveryOrder(t *testing.T) {
	t.Parallel()
	k := Key{"i-1", Strict}
	runs := 0
	forEachPermutation(7, func(order []int) {
		s, now, fencingToken := enabledState(), time.Duration(0), uint64(1)
		coordinator := NewCoordinator(fencingToken, 0)
		phase, cleared, gone := Ready, false, false
		var entries []Entry
		var snapshots [][]byte
		apply := func(e Entry) routing.Result {
			current := s.Ejection(k)
			existed := current != nil
			var before Ejection
			if existed {
				before = *current
			}
			result, err := s.Apply(&e)
			must.Eq(t, result == routing.Accepted, err == nil)
			if result != routing.Accepted {
				return result
			}
			if entries = append(entries, e); runs%10 == 9 {
				snapshots = append(snapshots, s.Snapshot())
			}
			coordinator.ApplyState(s, &e)
			must.True(t, e.FencingToken == 0 || e.FencingToken >= s.FencingToken)
			must.False(t, e.Verb == Eject && (e.Key != k || existed && before.Step == Ejected))
			must.False(t, e.Verb == Eject && cleared) // All evidence is older than the Clear.
			cleared = cleared || e.Verb == Clear
			return result
		}
		// runTurn calls the coordinator's Tick and applies the proposed entries to the state.
		runTurn := func() {
			now += 10 * time.Millisecond
			coordinator.Tick(now)
			for action, ok := coordinator.Next(); ok; action, ok = coordinator.Next() {
				if proposal, isProposal := action.(Propose); isProposal {
					must.True(t, phase == Ready || proposal.Entry.Verb == Forget)
					apply(proposal.Entry)
				}
			}
		}
		coordinator.SetNodeCount(2)
		for _, id := range []InstanceID{"i-1", "i-2", "i-3"} {
			coordinator.SetBackend(readyBackend(id))
		}
		coordinator.ApplyState(s, nil)
		for _, i := range order {
			switch i {
			case 0:
				coordinator.HandleReport(0, newReport(1, 0, "i-1", DuplicateAnswer))
			case 1:
				coordinator.HandleReport(1, newReport(1, 0, "i-1", StrayAnswer))
				// The report with sequence number 3 arrives before the one with number 2, which has no evidence and must be ignored.
				coordinator.HandleReport(0, newReport(3, 0, "i-1", DuplicateAnswer, DuplicateAnswer))
				coordinator.HandleReport(0, newReport(2, 0, "i-1"))
			case 2: // A delayed entry of the first coordinator.
				result := apply(Entry{Verb: Eject, Key: k, Service: "libro", Witnesses: []Slot{0, 1}, ReadyBackends: 3, FencingToken: 1})
				must.False(t, s.FencingToken > 1 && result == routing.Accepted)
			case 3: // Another coordinator takes over, and node 1 reports again.
				fencingToken++
				coordinator = NewCoordinator(fencingToken, now)
				coordinator.SetNodeCount(2)
				for _, id := range []InstanceID{"i-1", "i-2", "i-3"} {
					if instance := readyBackend(id); id != "i-1" || phase != Gone {
						instance.Phase = Ready
						if id == "i-1" {
							instance.Phase = phase
						}
						coordinator.SetBackend(instance)
					}
				}
				coordinator.ApplyState(s, nil)
				coordinator.HandleReport(1, newReport(4, 0, "i-1", StrayAnswer))
			case 4:
				phase = max(phase, Draining)
				instance := readyBackend("i-1")
				instance.Phase = phase
				coordinator.SetBackend(instance)
			case 5: // The instance ends, and another one starts at its address.
				phase, gone = Gone, true
				instance := readyBackend("i-1")
				instance.Phase = Gone
				coordinator.SetBackend(instance)
				coordinator.SetBackend(readyBackend("i-4"))
				coordinator.HandleReport(0, newReport(9, 0, "i-1", DuplicateAnswer))
			case 6:
				if ejection := s.Ejection(k); ejection != nil {
					apply(Entry{Verb: Clear, Key: k, Revision: ejection.Rev, Author: "ana"})
				}
			}
			runTurn()
			for _, id := range []InstanceID{"i-2", "i-3", "i-4"} {
				must.Nil(t, s.Ejection(Key{id, Strict}))
			}
		}
		now += time.Minute
		runTurn()
		if now += time.Second; gone {
			runTurn()
			must.Nil(t, s.Ejection(k), must.Sprint(order))
		}
		if runs++; runs%10 > 0 {
			return
		}
		for i, b := range snapshots {
			restored, err := Restore(b)
			must.NoError(t, err)
			for j := range entries[i+1:] {
				_, err = restored.Apply(&entries[i+1+j])
				must.NoError(t, err)
			}
			must.Eq(t, s.Snapshot(), restored.Snapshot())
		}
	})
}

// Guards against a sole witness that keeps a backend out of service. During the recovery, the evidence of the sole witness must not eject the
// backend again. The evidence of another node must eject the backend again.
func TestRecoveryIgnoresSoleWitness(t *testing.T) {
	t.Parallel()
	for witness, want := range []int{0, 1} {
		s, k := enabledState(), Key{"i-1", Strict}
		for _, e := range []Entry{{Verb: Eject, Service: "libro", Witnesses: []Slot{0}, Sufficient: 1, ReadyBackends: 3}, {Verb: StepUp},
			{Verb: StepUp}} {
			e.Key, e.Revision, e.FencingToken = k, s.ejectionRevision(k), 1
			_, err := s.Apply(&e)
			must.NoError(t, err)
		}
		coordinator := NewCoordinator(1, 0)
		coordinator.SetNodeCount(3)
		coordinator.SetBackend(readyBackend("i-1"))
		coordinator.ApplyState(s, nil)
		coordinator.HandleReport(Slot(witness), newReport(1, s.ejectionRevision(k), "i-1", DuplicateAnswer))
		coordinator.Tick(time.Second)
		_, ok := coordinator.Next()
		must.Eq(t, want == 1, ok)
	}
}

// Guards against evidence that a network failure caused, and against a backend that stays closed to requests. The test applies seven events to a
// node in every order: a lost answer, an ejection, an operator's Clear, the loss and the return of the connection to the core, the end of the
// instance, and a gap in the answers of the zone. The node may report a lost answer only after linkEvidenceDelay, and only while it is connected
// to the core. An ejection must close the instance to the node's requests, and a local ejection must end. Other instances must stay open. An
// attempt that was sent under an older revision, or to an instance that is gone, must not count as evidence.
func TestNodeEventsInEveryOrder(t *testing.T) {
	t.Parallel()
	k := Key{"i-1", Strict}
	forEachPermutation(7, func(order []int) {
		s := enabledState()
		node := NewNode("a", 1, 0)
		node.SetConnected(true)
		for _, id := range []InstanceID{"i-1", "i-2", "i-3", "i-4"} {
			node.SetBackend(readyBackend(id))
		}
		node.ApplyState(s, nil)
		access := map[Key]Access{}
		now, connected, reported, gone, lostAt := time.Duration(0), true, 0, false, time.Duration(-1)
		// run advances the clock by a duration and checks the node's actions. Instance i-2 answers a request in each step if answering is true.
		run := func(duration time.Duration, answering bool) {
			for end := now + duration; now < end; {
				now += 100 * time.Millisecond
				node.Tick(now)
				if answering {
					node.RecordAttempt(Key{"i-2", Strict}, 0, now-40*time.Millisecond, AttemptEnd{Ending: control.Succeeded})
				}
				for action, ok := node.Next(); ok; action, ok = node.Next() {
					switch action := action.(type) {
					case SetAccess:
						access[action.Key] = action.Access
					case SendReport:
						must.True(t, connected)
						for _, observation := range action.Report.Observations {
							must.Eq(t, s.ejectionRevision(observation.Key), observation.Rev)
							if len(observation.Evidence) > 0 {
								must.True(t, observation.ID == "i-1" && !gone && now-lostAt >= linkEvidenceDelay)
								reported++
							}
						}
					}
				}
				if ejection := s.Ejection(k); ejection != nil && ejection.Step == Ejected && !gone {
					must.Eq(t, Closed, access[k])
				}
				for _, id := range []InstanceID{"i-2", "i-3", "i-4", "i-5"} {
					must.Eq(t, Open, access[Key{id, Strict}])
				}
			}
		}
		run(3*time.Second, true)
		revision := s.ejectionRevision(k)
		for _, i := range order {
			switch i {
			case 0:
				node.RecordAttempt(k, revision, now-2*time.Second, AttemptEnd{Ending: control.TimedOut})
				if lostAt < 0 {
					lostAt = now
				}
			case 1:
				e := Entry{Verb: Eject, Key: k, Service: "libro", Witnesses: []Slot{2, 3}, ReadyBackends: 4, FencingToken: 1, Revision: s.ejectionRevision(k)}
				if _, err := s.Apply(&e); err == nil {
					node.ApplyState(s, &e)
				}
			case 2:
				if ejection := s.Ejection(k); ejection != nil {
					e := Entry{Verb: Clear, Key: k, Revision: ejection.Rev}
					_, err := s.Apply(&e)
					must.NoError(t, err)
					node.ApplyState(s, &e)
				}
			case 3:
				connected = false
				node.SetConnected(false)
			case 4:
				connected = true
				node.SetConnected(true)
			case 5: // The instance ends, and another instance starts at its address.
				gone = true
				instance := readyBackend("i-1")
				instance.Phase = Gone
				node.SetBackend(instance)
				node.SetBackend(readyBackend("i-5"))
			case 6: // No backend of the zone answers for longer than gapTolerance.
				run(2*time.Second, false)
			}
			run(200*time.Millisecond, true)
		}
		run(11*time.Second, true)
		if ejection := s.Ejection(k); ejection == nil || ejection.Step == InService {
			must.True(t, gone || access[k] == Open, must.Sprint(order))
		}
		must.True(t, lostAt >= 0)
	})
}

// Guards against an ejection because of a faulty link or a single node. The partial evidence of nodes of another zone must not eject a backend
// while the nodes of the backend's zone get answers. Conclusive evidence of a node of another zone must eject the backend.
// A failure rate must lead to an ejection only if the rate remains too high when the observations of any one node are left out.
func TestEvidenceOfOneZoneOrNodeIsInsufficient(t *testing.T) {
	t.Parallel()
	// countEjections returns the number of proposed ejections. makeReports returns the reports of the nodes, by node, with the given sequence number.
	countEjections := func(makeReports func(seq uint64) []Report) (ejections int) {
		coordinator := NewCoordinator(1, 0)
		coordinator.SetNodeCount(4)
		for _, id := range []InstanceID{"i-1", "i-2", "i-3"} {
			coordinator.SetBackend(readyBackend(id))
		}
		coordinator.ApplyState(enabledState(), nil)
		for seq := uint64(1); seq < 30; seq++ {
			for i, r := range makeReports(seq) {
				coordinator.HandleReport(Slot(i), r)
			}
			coordinator.Tick(time.Duration(seq) * 100 * time.Millisecond)
			for action, ok := coordinator.Next(); ok; action, ok = coordinator.Next() {
				if proposal, isProposal := action.(Propose); isProposal && proposal.Entry.Verb == Eject {
					ejections++
				}
			}
		}
		return ejections
	}
	// report returns a node's report on instance i-1 with the given counts of i-1 and one item of evidence of each given kind. The other backends of
	// the service gave 50 clean answers.
	report := func(seq uint64, zone string, clean, failing uint32, kinds ...EvidenceKind) Report {
		r := newReport(seq, 0, "i-1", kinds...)
		r.Zone, r.Observations[0].Window = zone, Window{Clean: clean, Failing: failing}
		r.Observations[0].ServiceWindow = Window{Clean: clean + 50, Failing: failing}
		return r
	}
	must.Eq(t, 0, countEjections(func(seq uint64) []Report { // Two nodes of zone b observe resets. The nodes of zone a, which is the backend's zone, get answers.
		return []Report{report(seq, "b", 0, 0, ConnectionReset), report(seq, "b", 0, 0, ConnectionReset), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Positive(t, countEjections(func(seq uint64) []Report { // A node of zone a and a node of zone b observe resets.
		return []Report{report(seq, "b", 0, 0, ConnectionReset), report(seq, "a", 9, 0, ConnectionReset), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Eq(t, 0, countEjections(func(seq uint64) []Report { // No node got an answer during the attempts.
		return []Report{report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Eq(t, 0, countEjections(func(seq uint64) []Report { // Nearly all failures are at one node.
		return []Report{report(seq, "a", 20, 40), report(seq, "a", 20, 1), report(seq, "a", 20, 0), report(seq, "a", 20, 0)}
	}))
	must.Positive(t, countEjections(func(seq uint64) []Report {
		return []Report{report(seq, "a", 20, 9), report(seq, "a", 20, 9), report(seq, "a", 20, 0), report(seq, "a", 20, 0)}
	}))
	must.Positive(t, countEjections(func(seq uint64) []Report {
		return []Report{report(seq, "b", 9, 0, DuplicateAnswer), report(seq, "a", 9, 0), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	// newLossReports returns the reports of two nodes with a lost answer and of two other nodes. The parameter confirming is the number of other nodes
	// that report fast answers during the attempts.
	newLossReports := func(seq uint64, confirming int) []Report {
		reports := []Report{report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
		for i := range confirming {
			reports[2+i].Observations[0].Slots = slices.Repeat([]Window{{Clean: 50, LatencyMillis: 5000}}, maxReportedSlots)
		}
		return reports
	}
	must.Eq(t, 0, countEjections(func(seq uint64) []Report { return newLossReports(seq, 1) }))
	must.Positive(t, countEjections(func(seq uint64) []Report { return newLossReports(seq, 2) }))
	invalid := report(1, "a", 0, 0, evidenceKindCount) // A report with an unknown kind of evidence must be ignored and must cause no panic.
	must.Eq(t, 0, countEjections(func(uint64) []Report { return []Report{invalid} }))
}

// Guards against evidence that a failure of the node itself caused. Resets by one or two backends must be reported. Resets by three backends at
// the same time must be attributed to the node and must not be reported.
func TestSimultaneousResetsAreNotReported(t *testing.T) {
	for resetCount, want := range []int{0, 1, 2, 0} {
		node, reported := NewNode("a", 1, 0), 0
		node.SetConnected(true)
		for i := range 6 {
			node.SetBackend(readyBackend(InstanceID(fmt.Sprint("i-", i))))
		}
		node.ApplyState(enabledState(), nil)
		for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
			node.Tick(now)
			node.RecordAttempt(Key{"i-5", Strict}, 0, now-40*time.Millisecond, AttemptEnd{Ending: control.Succeeded})
			for i := 0; i < resetCount && now == 3*time.Second; i++ {
				node.RecordAttempt(Key{InstanceID(fmt.Sprint("i-", i)), Strict}, 0, now-100*time.Millisecond, AttemptEnd{Ending: control.ConnectionLost})
			}
			for action, ok := node.Next(); ok; action, ok = node.Next() {
				if sent, isReport := action.(SendReport); isReport {
					reported += len(sent.Report.Observations)
				}
			}
		}
		must.Eq(t, want, reported, must.Sprint(resetCount))
	}
}

// Guards against a wrong result of AttemptEnd.EvidenceKind. Such a result would count against a backend that has no fault.
func TestAttemptEndDeterminesEvidenceKind(t *testing.T) {
	for want, ends := range map[EvidenceKind][]AttemptEnd{
		CleanAnswer:     {{Ending: control.Succeeded}, {Ending: control.Succeeded, PartialAnswer: true}},
		ServerError:     {{Ending: control.Errored}},
		LostAnswer:      {{Ending: control.TimedOut}},
		ConnectionReset: {{Ending: control.ConnectionLost}, {Ending: control.ConnectionLost, FreshConnection: true, PartialAnswer: true}},
		MalformedAnswer: {{Ending: control.Errored, Malformed: true}, {Ending: control.ConnectionLost, FreshConnection: true, Malformed: true}},
		NoEvidence: {{Ending: control.ConnectionLost, FreshConnection: true}, {Ending: control.TimedOut, PartialAnswer: true}, {Ending: control.Rejected},
			{Ending: control.Unreachable}, {Ending: control.Canceled}, {Ending: control.NotSent}, {Ending: control.Succeeded, NodeStalled: true}},
	} {
		for _, end := range ends {
			must.Eq(t, want, end.EvidenceKind(), must.Sprint(end))
		}
	}
}

// Guards against settings errors that do not name the invalid field, against wrong defaults, and against wrong modes of routes. Settings with a
// known call ID must not be applied again. Settings with an outdated revision must not replace newer ones.
func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"floor_share":      func(s *Settings) { s.MinInServicePercent = 101 },
		"alone_most":       func(s *Settings) { s.SoleWitnessMax = -1 },
		"routes[0].manner": func(s *Settings) { s.Routes = []Route{{"r-a", "kind"}} },
		"routes":           func(s *Settings) { s.Routes = []Route{{"r-a", "off"}, {"r-a", "strict"}} },
		"probe_silent":     func(s *Settings) { s.ProbeIdleAfter = 5 },
	} {
		settings := DefaultSettings()
		invalidate(&settings)
		s := NewState()
		result, err := s.Apply(&Entry{Verb: SetSettings, Settings: &settings})
		must.Eq(t, routing.Invalid, result)
		must.StrHasPrefix(t, want+":", err.Error())
	}
	s := NewState()
	must.False(t, s.Enabled())
	settings := &Settings{Enabled: true, Routes: []Route{{"r-a", "off"}, {"r-b", "patient"}}}
	// The second entry repeats the call of the first one. The third entry is another call with an outdated revision.
	for i, want := range []routing.Result{routing.Accepted, routing.Duplicate, routing.Conflict} {
		e := &Entry{Verb: SetSettings, Settings: settings, CallID: []string{"ana-1", "ana-1", "ben-1"}[i]}
		decoded, err := DecodeEntry(e.Encode())
		must.NoError(t, err)
		result, _ := s.Apply(decoded)
		must.Eq(t, want, result)
	}
	effective := s.Settings()
	must.True(t, s.Enabled() && effective.MinInService == 2 && effective.SoleWitnessMax == 4)
	must.Eq(t, []Mode{Unwatched, Patient, Strict, Patient},
		[]Mode{effective.ModeFor("r-a", true), effective.ModeFor("r-b", true), effective.ModeFor("r-c", true), effective.ModeFor("r-c", false)})
}

// Guards against a state that grows without bound, and against a node whose evidence alone ejects more backends than Settings.soleWitnessLimits
// allows. A refutation must lower these limits.
func TestStateIsBounded(t *testing.T) {
	t.Parallel()
	s := enabledState()
	eject := func(i int, witnesses ...Slot) (routing.Result, error) {
		k := Key{InstanceID(fmt.Sprintf("i-%04d", i)), Strict}
		return s.Apply(&Entry{Verb: Eject, Key: k, Service: fmt.Sprint("s-", i%9), Witnesses: witnesses, Sufficient: 1, ReadyBackends: 16, FencingToken: 1,
			Revision: s.ejectionRevision(k), Reason: strings.Repeat("x", maxTextBytes)})
	}
	for i := range 9 { // The limit of the sole witness is two backends of one service, and four in total.
		_, err := eject(i*9%18, 5)
		must.Eq(t, i < 2, err == nil, must.Sprint(i))
	}
	k := Key{"i-0000", Strict}
	for _, verb := range []Verb{StepUp, StepUp, Readmit} {
		_, err := s.Apply(&Entry{Verb: verb, Key: k, Revision: s.ejectionRevision(k), FencingToken: 1})
		must.NoError(t, err)
	}
	must.Eq(t, 1, s.refutationCount(5))
	_, err := eject(18, 5) // Witness 5 has already ejected one backend of this service alone, and the refutation lowered the limit to one.
	must.Error(t, err)
	_, err = eject(18, 5, 6) // These two witnesses do not suffice, because witness 5 has a refutation.
	must.Error(t, err)
	_, err = eject(18, 5, 6, 7)
	must.NoError(t, err)
	must.Eq(t, membership.NoSlot, s.Ejection(Key{"i-0018", Strict}).SoleWitness)
	for i := range maxEjections + 10 {
		eject(i+100, 1, 2)
	}
	must.Len(t, maxEjections, s.Ejections())
	must.Len(t, maxHistory, s.History())
	must.Eq(t, 0, s.refutationCount(5)) // The refutation no longer counts after many entries.
	encoded := s.Snapshot()
	must.Less(t, 1<<20, len(encoded))
	restored, err := Restore(encoded)
	must.NoError(t, err)
	must.Eq(t, encoded, restored.Snapshot())
	_, err = Restore(encoded[:len(encoded)/2])
	must.Error(t, err)
	_, err = s.Apply(&Entry{Verb: Forget, FencingToken: 2, GoneInstances: []InstanceID{"i-0018"}})
	must.NoError(t, err)
	_, err = eject(2000, 1, 2) // An entry of the previous coordinator.
	must.ErrorContains(t, err, "fence")
	must.Nil(t, s.Ejection(Key{"i-0018", Strict}))
}

// Guards against a service that keeps fewer backends open to patient requests than Settings.minBackendsInService returns. When all backends are
// ejected, no backend may be open to strict requests, and the node must push NoneAvailable every five seconds. The least unhealthy backends must
// stay open to patient requests. A node at which all backends fail must doubt its own observations and locally eject only half of the backends.
func TestMinimumInServiceStaysOpen(t *testing.T) {
	s := enabledState()
	node := NewNode("a", 1, 0)
	node.SetConnected(true)
	access, noneAvailable := map[Key]Access{}, 0
	run := func(from, to time.Duration) {
		for now := from; now < to; now += 100 * time.Millisecond {
			node.Tick(now)
			for action, ok := node.Next(); ok; action, ok = node.Next() {
				switch action := action.(type) {
				case SetAccess:
					access[action.Key] = action.Access
				case NoneAvailable:
					must.Eq(t, 6, action.Backends)
					noneAvailable++
				}
			}
		}
	}
	ids := []InstanceID{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}
	for _, id := range ids {
		node.SetBackend(readyBackend(id))
	}
	node.ApplyState(s, nil)
	// closedCount returns the number of backends that are closed to the node's requests of a mode.
	closedCount := func(m Mode) (n int) {
		for _, id := range ids {
			if access[Key{id, m}] == Closed {
				n++
			}
		}
		return n
	}
	for _, id := range ids {
		node.RecordAttempt(Key{id, Strict}, 0, 0, AttemptEnd{Ending: control.Errored, Malformed: true})
	}
	run(0, time.Second)
	must.Eq(t, 3, closedCount(Strict))
	must.True(t, node.services["libro"].doubtUntil > 0)
	for i, id := range ids {
		for m := range modeCount {
			e := Entry{Verb: Eject, Key: Key{id, m}, Service: "libro", Witnesses: []Slot{1, 2}, ReadyBackends: 6, FencingToken: 1, Score: 900 - 100*i}
			_, err := s.Apply(&e)
			must.NoError(t, err)
			node.ApplyState(s, &e)
		}
	}
	run(time.Second, 13*time.Second)
	must.Eq(t, 6, closedCount(Strict))
	must.Eq(t, 3, noneAvailable)
	must.Eq(t, 3, closedCount(Patient))
	must.Eq(t, []Access{Closed, Closed, Closed, Open, Open, Open}, []Access{access[Key{"i-1", Patient}], access[Key{"i-2", Patient}],
		access[Key{"i-3", Patient}], access[Key{"i-4", Patient}], access[Key{"i-5", Patient}], access[Key{"i-6", Patient}]})
}
