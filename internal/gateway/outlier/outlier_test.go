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

// orders calls f with every order of n things.
func orders(n int, f func([]int)) {
	var each func(done, left []int)
	each = func(done, left []int) {
		if len(left) == 0 {
			f(done)
		}
		for i, x := range left {
			each(append(slices.Clone(done), x), slices.Delete(slices.Clone(left), i, i+1))
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	each(nil, all)
}

func on() *State {
	s := NewState()
	if _, err := s.Apply(&Entry{Verb: SetSettings, Settings: &Settings{Enabled: true}}); err != nil {
		panic(err)
	}
	return s
}

func back(id InstanceID) Backend { return Backend{ID: id, Service: "libro", Zone: "a"} }

func said(seq, rev uint64, id InstanceID, kinds ...EvidenceKind) Report {
	f := Observation{Key: Key{id, Strict}, Rev: rev}
	for _, k := range kinds {
		f.Evidence = append(f.Evidence, Evidence{Kind: k, Timeout: 2 * time.Second})
	}
	return Report{Zone: "a", Incarnation: 1, Seq: seq, Observations: []Observation{f}}
}

// Two nodes' evidence, an old duty's late verdict, a change of view, an operator's word and the backend's end in every
// order: no old verdict after a newer view's, none on what was cleared by what was seen before, none on a life that is
// gone, nor on the next one at its address; and all that fold the log come to the same, from wherever they start.
func TestAllOrdersOfAVerdict(t *testing.T) {
	t.Parallel()
	k := Key{"i-1", Strict}
	plays := 0
	orders(7, func(order []int) {
		s, now, fence := on(), time.Duration(0), uint64(1)
		duty := NewCoordinator(fence, 0)
		phase, cleared, gone := Ready, false, false
		var log []Entry
		var snaps [][]byte
		take := func(e Entry) routing.Result {
			was := s.Ejection(k)
			had := was != nil
			var before Ejection
			if had {
				before = *was
			}
			v, err := s.Apply(&e)
			must.Eq(t, v == routing.Accepted, err == nil)
			if v != routing.Accepted {
				return v
			}
			if log = append(log, e); plays%10 == 9 {
				snaps = append(snaps, s.Snapshot())
			}
			duty.ApplyState(s, &e)
			must.True(t, e.FencingToken == 0 || e.FencingToken >= s.FencingToken)
			must.False(t, e.Verb == Eject && (e.Key != k || had && before.Step == Ejected))
			must.False(t, e.Verb == Eject && cleared) // all that was seen is older
			cleared = cleared || e.Verb == Clear
			return v
		}
		turn := func() {
			now += 10 * time.Millisecond
			duty.Tick(now)
			for a, ok := duty.Next(); ok; a, ok = duty.Next() {
				if p, is := a.(Propose); is {
					must.True(t, phase == Ready || p.Entry.Verb == Forget)
					take(p.Entry)
				}
			}
		}
		duty.SetNodeCount(2)
		for _, id := range []InstanceID{"i-1", "i-2", "i-3"} {
			duty.SetBackend(back(id))
		}
		duty.ApplyState(s, nil)
		for _, i := range order {
			switch i {
			case 0:
				duty.HandleReport(0, said(1, 0, "i-1", DuplicateAnswer))
			case 1:
				duty.HandleReport(1, said(1, 0, "i-1", StrayAnswer))
				// one that comes twice, and before what was said later
				duty.HandleReport(0, said(3, 0, "i-1", DuplicateAnswer, DuplicateAnswer))
				duty.HandleReport(0, said(2, 0, "i-1"))
			case 2: // a verdict of the first view's that was long on its way
				v := take(Entry{Verb: Eject, Key: k, Service: "libro", Witnesses: []Slot{0, 1}, ReadyBackends: 3, FencingToken: 1})
				must.False(t, s.FencingToken > 1 && v == routing.Accepted)
			case 3: // another has the duty; nodes tell it all again
				fence++
				duty = NewCoordinator(fence, now)
				duty.SetNodeCount(2)
				for _, id := range []InstanceID{"i-1", "i-2", "i-3"} {
					if l := back(id); id != "i-1" || phase != Gone {
						l.Phase = Ready
						if id == "i-1" {
							l.Phase = phase
						}
						duty.SetBackend(l)
					}
				}
				duty.ApplyState(s, nil)
				duty.HandleReport(1, said(4, 0, "i-1", StrayAnswer))
			case 4:
				phase = max(phase, Draining)
				l := back("i-1")
				l.Phase = phase
				duty.SetBackend(l)
			case 5: // it ends, and another life begins at its address
				phase, gone = Gone, true
				l := back("i-1")
				l.Phase = Gone
				duty.SetBackend(l)
				duty.SetBackend(back("i-4"))
				duty.HandleReport(0, said(9, 0, "i-1", DuplicateAnswer))
			case 6:
				if c := s.Ejection(k); c != nil {
					take(Entry{Verb: Clear, Key: k, Revision: c.Rev, Author: "ana"})
				}
			}
			turn()
			for _, id := range []InstanceID{"i-2", "i-3", "i-4"} {
				must.Nil(t, s.Ejection(Key{id, Strict}))
			}
		}
		now += time.Minute
		turn()
		if now += time.Second; gone {
			turn()
			must.Nil(t, s.Ejection(k), must.Sprint(order))
		}
		if plays++; plays%10 > 0 {
			return
		}
		for i, b := range snaps {
			again, err := Restore(b)
			must.NoError(t, err)
			for j := range log[i+1:] {
				_, err = again.Apply(&log[i+1+j])
				must.NoError(t, err)
			}
			must.Eq(t, s.Snapshot(), again.Snapshot())
		}
	})
}

// Who alone had a backend out has no say on its way back; another has.
func TestTheWayBackIsOnOthersWord(t *testing.T) {
	t.Parallel()
	for witness, want := range []int{0, 1} {
		s, k := on(), Key{"i-1", Strict}
		for _, e := range []Entry{{Verb: Eject, Service: "libro", Witnesses: []Slot{0}, Sufficient: 1, ReadyBackends: 3}, {Verb: StepUp},
			{Verb: StepUp}} {
			e.Key, e.Revision, e.FencingToken = k, s.revision(k), 1
			_, err := s.Apply(&e)
			must.NoError(t, err)
		}
		d := NewCoordinator(1, 0)
		d.SetNodeCount(3)
		d.SetBackend(back("i-1"))
		d.ApplyState(s, nil)
		d.HandleReport(Slot(witness), said(1, s.revision(k), "i-1", DuplicateAnswer))
		d.Tick(time.Second)
		_, ok := d.Next()
		must.Eq(t, want == 1, ok)
	}
}

// What a node sees, hears and is cut from in every order: a lost answer is held back and told only where its zone is
// heard and the core is in touch; a verdict shuts; a hold ends; what was sent under an older rev, or to a life that is
// gone, is nobody's evidence.
func TestAllOrdersAtANode(t *testing.T) {
	t.Parallel()
	k := Key{"i-1", Strict}
	orders(7, func(order []int) {
		s := on()
		d := NewNode("a", 1, 0)
		d.SetConnected(true)
		for _, id := range []InstanceID{"i-1", "i-2", "i-3", "i-4"} {
			d.SetBackend(back(id))
		}
		d.ApplyState(s, nil)
		bind := map[Key]Access{}
		now, touch, told, gone, lostAt := time.Duration(0), true, 0, false, time.Duration(-1)
		play := func(long time.Duration, heard bool) {
			for end := now + long; now < end; {
				now += 100 * time.Millisecond
				d.Tick(now)
				if heard {
					d.RecordAttempt(Key{"i-2", Strict}, 0, now-40*time.Millisecond, AttemptEnd{Ending: control.Succeeded})
				}
				for a, ok := d.Next(); ok; a, ok = d.Next() {
					switch a := a.(type) {
					case SetAccess:
						bind[a.Key] = a.Access
					case SendReport:
						must.True(t, touch)
						for _, f := range a.Report.Observations {
							must.Eq(t, s.revision(f.Key), f.Rev)
							if len(f.Evidence) > 0 {
								must.True(t, f.ID == "i-1" && !gone && now-lostAt >= linkEvidenceDelay)
								told++
							}
						}
					}
				}
				if c := s.Ejection(k); c != nil && c.Step == Ejected && !gone {
					must.Eq(t, Closed, bind[k])
				}
				for _, id := range []InstanceID{"i-2", "i-3", "i-4", "i-5"} {
					must.Eq(t, Open, bind[Key{id, Strict}])
				}
			}
		}
		play(3*time.Second, true)
		revs := s.revision(k)
		for _, i := range order {
			switch i {
			case 0:
				d.RecordAttempt(k, revs, now-2*time.Second, AttemptEnd{Ending: control.TimedOut})
				if lostAt < 0 {
					lostAt = now
				}
			case 1:
				e := Entry{Verb: Eject, Key: k, Service: "libro", Witnesses: []Slot{2, 3}, ReadyBackends: 4, FencingToken: 1, Revision: s.revision(k)}
				if _, err := s.Apply(&e); err == nil {
					d.ApplyState(s, &e)
				}
			case 2:
				if c := s.Ejection(k); c != nil {
					e := Entry{Verb: Clear, Key: k, Revision: c.Rev}
					_, err := s.Apply(&e)
					must.NoError(t, err)
					d.ApplyState(s, &e)
				}
			case 3:
				touch = false
				d.SetConnected(false)
			case 4:
				touch = true
				d.SetConnected(true)
			case 5: // its address is another's
				gone = true
				l := back("i-1")
				l.Phase = Gone
				d.SetBackend(l)
				d.SetBackend(back("i-5"))
			case 6: // its zone falls silent for longer than answers usually take to come
				play(2*time.Second, false)
			}
			play(200*time.Millisecond, true)
		}
		play(11*time.Second, true)
		if c := s.Ejection(k); c == nil || c.Step == InService {
			must.True(t, gone || bind[k] == Open, must.Sprint(order))
		}
		must.True(t, lostAt >= 0)
	})
}

// SetNodeCount of another zone convict nobody by what a link can do, while those near the backend hear it well; a proof needs no
// such, and shares hold without any one node.
func TestWhatOneZoneOrOneNodeSaysAlone(t *testing.T) {
	t.Parallel()
	play := func(say func(seq uint64) []Report) (convicts int) {
		d := NewCoordinator(1, 0)
		d.SetNodeCount(4)
		for _, id := range []InstanceID{"i-1", "i-2", "i-3"} {
			d.SetBackend(back(id))
		}
		d.ApplyState(on(), nil)
		for seq := uint64(1); seq < 30; seq++ {
			for i, r := range say(seq) {
				d.HandleReport(Slot(i), r)
			}
			d.Tick(time.Duration(seq) * 100 * time.Millisecond)
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				if p, is := a.(Propose); is && p.Entry.Verb == Eject {
					convicts++
				}
			}
		}
		return convicts
	}
	report := func(seq uint64, zone string, clean, failing uint32, kinds ...EvidenceKind) Report {
		r := said(seq, 0, "i-1", kinds...)
		r.Zone, r.Observations[0].Window = zone, Window{Clean: clean, Failing: failing}
		r.Observations[0].ServiceWindow = Window{Clean: clean + 50, Failing: failing}
		return r
	}
	must.Eq(t, 0, play(func(seq uint64) []Report { // two of zone b, those of zone a hear it
		return []Report{report(seq, "b", 0, 0, ConnectionReset), report(seq, "b", 0, 0, ConnectionReset), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Positive(t, play(func(seq uint64) []Report { // one of zone a lost one as well
		return []Report{report(seq, "b", 0, 0, ConnectionReset), report(seq, "a", 9, 0, ConnectionReset), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Eq(t, 0, play(func(seq uint64) []Report { // nobody else has had an answer in that time
		return []Report{report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Eq(t, 0, play(func(seq uint64) []Report { // one node's failing ends
		return []Report{report(seq, "a", 20, 40), report(seq, "a", 20, 1), report(seq, "a", 20, 0), report(seq, "a", 20, 0)}
	}))
	must.Positive(t, play(func(seq uint64) []Report {
		return []Report{report(seq, "a", 20, 9), report(seq, "a", 20, 9), report(seq, "a", 20, 0), report(seq, "a", 20, 0)}
	}))
	must.Positive(t, play(func(seq uint64) []Report {
		return []Report{report(seq, "b", 9, 0, DuplicateAnswer), report(seq, "a", 9, 0), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	others := func(seq uint64, lates int) []Report { // what came meanwhile, by so many nodes' word
		all := []Report{report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 0, 0, LostAnswer), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
		for i := range lates {
			all[2+i].Observations[0].Slots = slices.Repeat([]Window{{Clean: 50, LatencyMillis: 5000}}, maxReportedSlots)
		}
		return all
	}
	must.Eq(t, 0, play(func(seq uint64) []Report { return others(seq, 1) }))
	must.Positive(t, play(func(seq uint64) []Report { return others(seq, 2) }))
	broken := report(1, "a", 0, 0, evidenceKinds) // not to be believed, and not to be stumbled over
	must.Eq(t, 0, play(func(uint64) []Report { return []Report{broken} }))
}

// One backend that resets is told of and held off; three at once are this node's own trouble.
func TestResetsAtOnceAreTheNodesOwn(t *testing.T) {
	for n, want := range []int{0, 1, 2, 0} {
		d, told := NewNode("a", 1, 0), 0
		d.SetConnected(true)
		for i := range 6 {
			d.SetBackend(back(InstanceID(fmt.Sprint("i-", i))))
		}
		d.ApplyState(on(), nil)
		for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
			d.Tick(now)
			d.RecordAttempt(Key{"i-5", Strict}, 0, now-40*time.Millisecond, AttemptEnd{Ending: control.Succeeded})
			for i := 0; i < n && now == 3*time.Second; i++ {
				d.RecordAttempt(Key{InstanceID(fmt.Sprint("i-", i)), Strict}, 0, now-100*time.Millisecond, AttemptEnd{Ending: control.ConnectionLost})
			}
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				if r, is := a.(SendReport); is {
					told += len(r.Report.Observations)
				}
			}
		}
		must.Eq(t, want, told, must.Sprint(n))
	}
}

func TestWhatAnEndIsEvidenceOf(t *testing.T) {
	for want, all := range map[EvidenceKind][]AttemptEnd{
		CleanAnswer:     {{Ending: control.Succeeded}, {Ending: control.Succeeded, PartialAnswer: true}},
		ServerError:     {{Ending: control.Errored}},
		LostAnswer:      {{Ending: control.TimedOut}},
		ConnectionReset: {{Ending: control.ConnectionLost}, {Ending: control.ConnectionLost, FreshConnection: true, PartialAnswer: true}},
		MalformedAnswer: {{Ending: control.Errored, Malformed: true}, {Ending: control.ConnectionLost, FreshConnection: true, Malformed: true}},
		NoEvidence: {{Ending: control.ConnectionLost, FreshConnection: true}, {Ending: control.TimedOut, PartialAnswer: true}, {Ending: control.Rejected},
			{Ending: control.Unreachable}, {Ending: control.Canceled}, {Ending: control.NotSent}, {Ending: control.Succeeded, NodeStalled: true}},
	} {
		for _, s := range all {
			must.Eq(t, want, s.Evidence(), must.Sprint(s))
		}
	}
}

func TestSettingsAreReadAndRefusedByTheirField(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"floor_share":      func(s *Settings) { s.MinInServicePercent = 101 },
		"alone_most":       func(s *Settings) { s.SoleWitnessMax = -1 },
		"routes[0].manner": func(s *Settings) { s.Routes = []Route{{"r-a", "kind"}} },
		"routes":           func(s *Settings) { s.Routes = []Route{{"r-a", "off"}, {"r-a", "strict"}} },
		"probe_silent":     func(s *Settings) { s.ProbeIdleAfter = 5 },
	} {
		x := DefaultSettings()
		spoil(&x)
		s := NewState()
		v, err := s.Apply(&Entry{Verb: SetSettings, Settings: &x})
		must.Eq(t, routing.Invalid, v)
		must.StrHasPrefix(t, want+":", err.Error())
	}
	s := NewState()
	must.False(t, s.Enabled())
	x := &Settings{Enabled: true, Routes: []Route{{"r-a", "off"}, {"r-b", "patient"}}}
	for i, want := range []routing.Result{routing.Accepted, routing.Duplicate, routing.Conflict} { // again, and by another
		e := &Entry{Verb: SetSettings, Settings: x, CallID: []string{"ana-1", "ana-1", "ben-1"}[i]}
		read, err := DecodeEntry(e.Encode())
		must.NoError(t, err)
		v, _ := s.Apply(read)
		must.Eq(t, want, v)
	}
	u := s.Settings()
	must.True(t, s.Enabled() && u.MinInService == 2 && u.SoleWitnessMax == 4)
	must.Eq(t, []Mode{Unwatched, Patient, Strict, Patient},
		[]Mode{u.ModeFor("r-a", true), u.ModeFor("r-b", true), u.ModeFor("r-c", true), u.ModeFor("r-c", false)})
}

// The state is bounded, the word of one node is, and so is what it may do once it was refuted.
func TestStateIsBounded(t *testing.T) {
	t.Parallel()
	s := on()
	convict := func(i int, who ...Slot) (routing.Result, error) {
		k := Key{InstanceID(fmt.Sprintf("i-%04d", i)), Strict}
		return s.Apply(&Entry{Verb: Eject, Key: k, Service: fmt.Sprint("s-", i%9), Witnesses: who, Sufficient: 1, ReadyBackends: 16, FencingToken: 1,
			Revision: s.revision(k), Reason: strings.Repeat("x", maxTextBytes)})
	}
	for i := range 9 { // by one service two, by all four
		_, err := convict(i*9%18, 5)
		must.Eq(t, i < 2, err == nil, must.Sprint(i))
	}
	k := Key{"i-0000", Strict}
	for _, v := range []Verb{StepUp, StepUp, Readmit} {
		_, err := s.Apply(&Entry{Verb: v, Key: k, Revision: s.revision(k), FencingToken: 1})
		must.NoError(t, err)
	}
	must.Eq(t, 1, s.refutations(5))
	_, err := convict(18, 5) // one of a service of 16 is out already, and no more are its now
	must.Error(t, err)
	_, err = convict(18, 5, 6) // nor do two, one of which was refuted
	must.Error(t, err)
	_, err = convict(18, 5, 6, 7)
	must.NoError(t, err)
	must.Eq(t, membership.NoSlot, s.Ejection(Key{"i-0018", Strict}).SoleWitness)
	for i := range maxEjections + 10 {
		convict(i+100, 1, 2)
	}
	must.Len(t, maxEjections, s.Ejections())
	must.Len(t, maxHistory, s.History())
	must.Eq(t, 0, s.refutations(5)) // long ago
	b := s.Snapshot()
	must.Less(t, 1<<20, len(b))
	again, err := Restore(b)
	must.NoError(t, err)
	must.Eq(t, b, again.Snapshot())
	_, err = Restore(b[:len(b)/2])
	must.Error(t, err)
	_, err = s.Apply(&Entry{Verb: Forget, FencingToken: 2, GoneInstances: []InstanceID{"i-0018"}})
	must.NoError(t, err)
	_, err = convict(2000, 1, 2) // of the duty before
	must.ErrorContains(t, err, "fence")
	must.Nil(t, s.Ejection(Key{"i-0018", Strict}))
}

// All of a strict service out: nothing is open, and the log says so every five seconds; of a patient one the least sick
// stay, whatever the verdicts. A node that sees all fail doubts itself, and holds off half.
func TestFloors(t *testing.T) {
	s := on()
	d := NewNode("a", 1, 0)
	d.SetConnected(true)
	bind, empty := map[Key]Access{}, 0
	play := func(from, to time.Duration) {
		for now := from; now < to; now += 100 * time.Millisecond {
			d.Tick(now)
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				switch a := a.(type) {
				case SetAccess:
					bind[a.Key] = a.Access
				case NoneAvailable:
					must.Eq(t, 6, a.Backends)
					empty++
				}
			}
		}
	}
	ids := []InstanceID{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}
	for _, id := range ids {
		d.SetBackend(back(id))
	}
	d.ApplyState(s, nil)
	shut := func(m Mode) (n int) {
		for _, id := range ids {
			if bind[Key{id, m}] == Closed {
				n++
			}
		}
		return n
	}
	for _, id := range ids {
		d.RecordAttempt(Key{id, Strict}, 0, 0, AttemptEnd{Ending: control.Errored, Malformed: true})
	}
	play(0, time.Second)
	must.Eq(t, 3, shut(Strict))
	must.True(t, d.services["libro"].doubtUntil > 0)
	for i, id := range ids {
		for m := range modeCount {
			e := Entry{Verb: Eject, Key: Key{id, m}, Service: "libro", Witnesses: []Slot{1, 2}, ReadyBackends: 6, FencingToken: 1, Score: 900 - 100*i}
			_, err := s.Apply(&e)
			must.NoError(t, err)
			d.ApplyState(s, &e)
		}
	}
	play(time.Second, 13*time.Second)
	must.Eq(t, 6, shut(Strict))
	must.Eq(t, 3, empty)
	must.Eq(t, 3, shut(Patient))
	must.Eq(t, []Access{Closed, Closed, Closed, Open, Open, Open}, []Access{bind[Key{"i-1", Patient}], bind[Key{"i-2", Patient}],
		bind[Key{"i-3", Patient}], bind[Key{"i-4", Patient}], bind[Key{"i-5", Patient}], bind[Key{"i-6", Patient}]})
}
