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
	if _, err := s.Apply(&Entry{Verb: Set, Settings: &Settings{On: true}}); err != nil {
		panic(err)
	}
	return s
}

func back(id LifeID) Life { return Life{ID: id, Service: "libro", Zone: "a"} }

func said(seq, rev uint64, id LifeID, kinds ...Kind) Report {
	f := File{Key: Key{id, Strict}, Rev: rev}
	for _, k := range kinds {
		f.Pieces = append(f.Pieces, Piece{Kind: k, Wait: 2 * time.Second})
	}
	return Report{Zone: "a", Life: 1, Seq: seq, Files: []File{f}}
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
		take := func(e Entry) routing.Verdict {
			was := s.Case(k)
			had := was != nil
			var before Case
			if had {
				before = *was
			}
			v, err := s.Apply(&e)
			must.Eq(t, v == routing.Taken, err == nil)
			if v != routing.Taken {
				return v
			}
			if log = append(log, e); plays%10 == 9 {
				snaps = append(snaps, s.Snapshot())
			}
			duty.Fold(s, &e)
			must.True(t, e.Fence == 0 || e.Fence >= s.Fence)
			must.False(t, e.Verb == Convict && (e.Key != k || had && before.Step == Out))
			must.False(t, e.Verb == Convict && cleared) // all that was seen is older
			cleared = cleared || e.Verb == Clear
			return v
		}
		turn := func() {
			now += 10 * time.Millisecond
			duty.Now(now)
			for a, ok := duty.Next(); ok; a, ok = duty.Next() {
				if p, is := a.(Propose); is {
					must.True(t, phase == Ready || p.Entry.Verb == Forget)
					take(p.Entry)
				}
			}
		}
		duty.SetNodes(2)
		for _, id := range []LifeID{"i-1", "i-2", "i-3"} {
			duty.Life(back(id))
		}
		duty.Fold(s, nil)
		for _, i := range order {
			switch i {
			case 0:
				duty.Heard(0, said(1, 0, "i-1", Second))
			case 1:
				duty.Heard(1, said(1, 0, "i-1", Stray))
				// one that comes twice, and before what was said later
				duty.Heard(0, said(3, 0, "i-1", Second, Second))
				duty.Heard(0, said(2, 0, "i-1"))
			case 2: // a verdict of the first view's that was long on its way
				v := take(Entry{Verb: Convict, Key: k, Service: "libro", Witnesses: []Slot{0, 1}, Backs: 3, Fence: 1})
				must.False(t, s.Fence > 1 && v == routing.Taken)
			case 3: // another has the duty; nodes tell it all again
				fence++
				duty = NewCoordinator(fence, now)
				duty.SetNodes(2)
				for _, id := range []LifeID{"i-1", "i-2", "i-3"} {
					if l := back(id); id != "i-1" || phase != Gone {
						l.Phase = Ready
						if id == "i-1" {
							l.Phase = phase
						}
						duty.Life(l)
					}
				}
				duty.Fold(s, nil)
				duty.Heard(1, said(4, 0, "i-1", Stray))
			case 4:
				phase = max(phase, Draining)
				l := back("i-1")
				l.Phase = phase
				duty.Life(l)
			case 5: // it ends, and another life begins at its address
				phase, gone = Gone, true
				l := back("i-1")
				l.Phase = Gone
				duty.Life(l)
				duty.Life(back("i-4"))
				duty.Heard(0, said(9, 0, "i-1", Second))
			case 6:
				if c := s.Case(k); c != nil {
					take(Entry{Verb: Clear, Key: k, Rev: c.Rev, By: "ana"})
				}
			}
			turn()
			for _, id := range []LifeID{"i-2", "i-3", "i-4"} {
				must.Nil(t, s.Case(Key{id, Strict}))
			}
		}
		now += time.Minute
		turn()
		if now += time.Second; gone {
			turn()
			must.Nil(t, s.Case(k), must.Sprint(order))
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
		for _, e := range []Entry{{Verb: Convict, Service: "libro", Witnesses: []Slot{0}, Suffice: 1, Backs: 3}, {Verb: Parole},
			{Verb: Parole}} {
			e.Key, e.Rev, e.Fence = k, s.rev(k), 1
			_, err := s.Apply(&e)
			must.NoError(t, err)
		}
		d := NewCoordinator(1, 0)
		d.SetNodes(3)
		d.Life(back("i-1"))
		d.Fold(s, nil)
		d.Heard(Slot(witness), said(1, s.rev(k), "i-1", Second))
		d.Now(time.Second)
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
		d.Touch(true)
		for _, id := range []LifeID{"i-1", "i-2", "i-3", "i-4"} {
			d.Life(back(id))
		}
		d.Fold(s, nil)
		bind := map[Key]Bind{}
		now, touch, told, gone, lostAt := time.Duration(0), true, 0, false, time.Duration(-1)
		play := func(long time.Duration, heard bool) {
			for end := now + long; now < end; {
				now += 100 * time.Millisecond
				d.Now(now)
				if heard {
					d.Ended(Key{"i-2", Strict}, 0, now-40*time.Millisecond, Seen{How: control.Settled})
				}
				for a, ok := d.Next(); ok; a, ok = d.Next() {
					switch a := a.(type) {
					case Bound:
						bind[a.Key] = a.Bind
					case Tell:
						must.True(t, touch)
						for _, f := range a.Report.Files {
							must.Eq(t, s.rev(f.Key), f.Rev)
							if len(f.Pieces) > 0 {
								must.True(t, f.ID == "i-1" && !gone && now-lostAt >= heldBack)
								told++
							}
						}
					}
				}
				if c := s.Case(k); c != nil && c.Step == Out && !gone {
					must.Eq(t, Shut, bind[k])
				}
				for _, id := range []LifeID{"i-2", "i-3", "i-4", "i-5"} {
					must.Eq(t, Open, bind[Key{id, Strict}])
				}
			}
		}
		play(3*time.Second, true)
		revs := s.rev(k)
		for _, i := range order {
			switch i {
			case 0:
				d.Ended(k, revs, now-2*time.Second, Seen{How: control.TimedOut})
				if lostAt < 0 {
					lostAt = now
				}
			case 1:
				e := Entry{Verb: Convict, Key: k, Service: "libro", Witnesses: []Slot{2, 3}, Backs: 4, Fence: 1, Rev: s.rev(k)}
				if _, err := s.Apply(&e); err == nil {
					d.Fold(s, &e)
				}
			case 2:
				if c := s.Case(k); c != nil {
					e := Entry{Verb: Clear, Key: k, Rev: c.Rev}
					_, err := s.Apply(&e)
					must.NoError(t, err)
					d.Fold(s, &e)
				}
			case 3:
				touch = false
				d.Touch(false)
			case 4:
				touch = true
				d.Touch(true)
			case 5: // its address is another's
				gone = true
				l := back("i-1")
				l.Phase = Gone
				d.Life(l)
				d.Life(back("i-5"))
			case 6: // its zone falls silent for longer than answers usually take to come
				play(2*time.Second, false)
			}
			play(200*time.Millisecond, true)
		}
		play(11*time.Second, true)
		if c := s.Case(k); c == nil || c.Step == Free {
			must.True(t, gone || bind[k] == Open, must.Sprint(order))
		}
		must.True(t, lostAt >= 0)
	})
}

// SetNodes of another zone convict nobody by what a link can do, while those near the backend hear it well; a proof needs no
// such, and shares hold without any one node.
func TestWhatOneZoneOrOneNodeSaysAlone(t *testing.T) {
	t.Parallel()
	play := func(say func(seq uint64) []Report) (convicts int) {
		d := NewCoordinator(1, 0)
		d.SetNodes(4)
		for _, id := range []LifeID{"i-1", "i-2", "i-3"} {
			d.Life(back(id))
		}
		d.Fold(on(), nil)
		for seq := uint64(1); seq < 30; seq++ {
			for i, r := range say(seq) {
				d.Heard(Slot(i), r)
			}
			d.Now(time.Duration(seq) * 100 * time.Millisecond)
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				if p, is := a.(Propose); is && p.Entry.Verb == Convict {
					convicts++
				}
			}
		}
		return convicts
	}
	report := func(seq uint64, zone string, clean, failing uint32, kinds ...Kind) Report {
		r := said(seq, 0, "i-1", kinds...)
		r.Zone, r.Files[0].Window = zone, Window{Clean: clean, Failing: failing}
		r.Files[0].Rest = Window{Clean: clean + 50, Failing: failing}
		return r
	}
	must.Eq(t, 0, play(func(seq uint64) []Report { // two of zone b, those of zone a hear it
		return []Report{report(seq, "b", 0, 0, Reset), report(seq, "b", 0, 0, Reset), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Positive(t, play(func(seq uint64) []Report { // one of zone a lost one as well
		return []Report{report(seq, "b", 0, 0, Reset), report(seq, "a", 9, 0, Reset), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Eq(t, 0, play(func(seq uint64) []Report { // nobody else has had an answer in that time
		return []Report{report(seq, "a", 0, 0, Lost), report(seq, "a", 0, 0, Lost), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	must.Eq(t, 0, play(func(seq uint64) []Report { // one node's failing ends
		return []Report{report(seq, "a", 20, 40), report(seq, "a", 20, 1), report(seq, "a", 20, 0), report(seq, "a", 20, 0)}
	}))
	must.Positive(t, play(func(seq uint64) []Report {
		return []Report{report(seq, "a", 20, 9), report(seq, "a", 20, 9), report(seq, "a", 20, 0), report(seq, "a", 20, 0)}
	}))
	must.Positive(t, play(func(seq uint64) []Report {
		return []Report{report(seq, "b", 9, 0, Second), report(seq, "a", 9, 0), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
	}))
	others := func(seq uint64, lates int) []Report { // what came meanwhile, by so many nodes' word
		all := []Report{report(seq, "a", 0, 0, Lost), report(seq, "a", 0, 0, Lost), report(seq, "a", 9, 0), report(seq, "a", 9, 0)}
		for i := range lates {
			all[2+i].Files[0].Late = slices.Repeat([]Window{{Clean: 50, Took: 5000}}, lateSlots)
		}
		return all
	}
	must.Eq(t, 0, play(func(seq uint64) []Report { return others(seq, 1) }))
	must.Positive(t, play(func(seq uint64) []Report { return others(seq, 2) }))
	broken := report(1, "a", 0, 0, kinds) // not to be believed, and not to be stumbled over
	must.Eq(t, 0, play(func(uint64) []Report { return []Report{broken} }))
}

// One backend that resets is told of and held off; three at once are this node's own trouble.
func TestResetsAtOnceAreTheNodesOwn(t *testing.T) {
	for n, want := range []int{0, 1, 2, 0} {
		d, told := NewNode("a", 1, 0), 0
		d.Touch(true)
		for i := range 6 {
			d.Life(back(LifeID(fmt.Sprint("i-", i))))
		}
		d.Fold(on(), nil)
		for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
			d.Now(now)
			d.Ended(Key{"i-5", Strict}, 0, now-40*time.Millisecond, Seen{How: control.Settled})
			for i := 0; i < n && now == 3*time.Second; i++ {
				d.Ended(Key{LifeID(fmt.Sprint("i-", i)), Strict}, 0, now-100*time.Millisecond, Seen{How: control.Broken})
			}
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				if r, is := a.(Tell); is {
					told += len(r.Report.Files)
				}
			}
		}
		must.Eq(t, want, told, must.Sprint(n))
	}
}

func TestWhatAnEndIsEvidenceOf(t *testing.T) {
	for want, all := range map[Kind][]Seen{
		Clean:    {{How: control.Settled}, {How: control.Settled, Some: true}},
		Failed:   {{How: control.Errored}},
		Lost:     {{How: control.TimedOut}},
		Reset:    {{How: control.Broken}, {How: control.Broken, Fresh: true, Some: true}},
		Unsealed: {{How: control.Errored, Form: true}, {How: control.Broken, Fresh: true, Form: true}},
		None: {{How: control.Broken, Fresh: true}, {How: control.TimedOut, Some: true}, {How: control.Full},
			{How: control.Unreachable}, {How: control.CalledOff}, {How: control.NotSent}, {How: control.Settled, Own: true}},
	} {
		for _, s := range all {
			must.Eq(t, want, s.Kind(), must.Sprint(s))
		}
	}
}

func TestSettingsAreReadAndRefusedByTheirField(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"floor_share":      func(s *Settings) { s.FloorShare = 101 },
		"alone_most":       func(s *Settings) { s.AloneMost = -1 },
		"routes[0].manner": func(s *Settings) { s.Routes = []Route{{"r-a", "kind"}} },
		"routes":           func(s *Settings) { s.Routes = []Route{{"r-a", "off"}, {"r-a", "strict"}} },
		"probe_silent":     func(s *Settings) { s.ProbeSilent = 5 },
	} {
		x := Usual()
		spoil(&x)
		s := NewState()
		v, err := s.Apply(&Entry{Verb: Set, Settings: &x})
		must.Eq(t, routing.Invalid, v)
		must.StrHasPrefix(t, want+":", err.Error())
	}
	s := NewState()
	must.False(t, s.On())
	x := &Settings{On: true, Routes: []Route{{"r-a", "off"}, {"r-b", "patient"}}}
	for i, want := range []routing.Verdict{routing.Taken, routing.Already, routing.Conflict} { // again, and by another
		e := &Entry{Verb: Set, Settings: x, Mark: []string{"ana-1", "ana-1", "ben-1"}[i]}
		read, err := ReadEntry(e.Word())
		must.NoError(t, err)
		v, _ := s.Apply(read)
		must.Eq(t, want, v)
	}
	u := s.Settings()
	must.True(t, s.On() && u.FloorNumber == 2 && u.AloneMost == 4)
	must.Eq(t, []Manner{Unjudged, Patient, Strict, Patient},
		[]Manner{u.Manner("r-a", true), u.Manner("r-b", true), u.Manner("r-c", true), u.Manner("r-c", false)})
}

// The state is bounded, the word of one node is, and so is what it may do once it was refuted.
func TestStateIsBounded(t *testing.T) {
	t.Parallel()
	s := on()
	convict := func(i int, who ...Slot) (routing.Verdict, error) {
		k := Key{LifeID(fmt.Sprintf("i-%04d", i)), Strict}
		return s.Apply(&Entry{Verb: Convict, Key: k, Service: fmt.Sprint("s-", i%9), Witnesses: who, Suffice: 1, Backs: 16, Fence: 1,
			Rev: s.rev(k), Why: strings.Repeat("x", textMost)})
	}
	for i := range 9 { // by one service two, by all four
		_, err := convict(i*9%18, 5)
		must.Eq(t, i < 2, err == nil, must.Sprint(i))
	}
	k := Key{"i-0000", Strict}
	for _, v := range []Verb{Parole, Parole, Acquit} {
		_, err := s.Apply(&Entry{Verb: v, Key: k, Rev: s.rev(k), Fence: 1})
		must.NoError(t, err)
	}
	must.Eq(t, 1, s.refuted(5))
	_, err := convict(18, 5) // one of a service of 16 is out already, and no more are its now
	must.Error(t, err)
	_, err = convict(18, 5, 6) // nor do two, one of which was refuted
	must.Error(t, err)
	_, err = convict(18, 5, 6, 7)
	must.NoError(t, err)
	must.Eq(t, membership.NoSlot, s.Case(Key{"i-0018", Strict}).Alone)
	for i := range casesMost + 10 {
		convict(i+100, 1, 2)
	}
	must.Len(t, casesMost, s.Cases())
	must.Len(t, pastMost, s.Past())
	must.Eq(t, 0, s.refuted(5)) // long ago
	b := s.Snapshot()
	must.Less(t, 1<<20, len(b))
	again, err := Restore(b)
	must.NoError(t, err)
	must.Eq(t, b, again.Snapshot())
	_, err = Restore(b[:len(b)/2])
	must.Error(t, err)
	_, err = s.Apply(&Entry{Verb: Forget, Fence: 2, Gone: []LifeID{"i-0018"}})
	must.NoError(t, err)
	_, err = convict(2000, 1, 2) // of the duty before
	must.ErrorContains(t, err, "fence")
	must.Nil(t, s.Case(Key{"i-0018", Strict}))
}

// All of a strict service out: nothing is open, and the log says so every five seconds; of a patient one the least sick
// stay, whatever the verdicts. A node that sees all fail doubts itself, and holds off half.
func TestFloors(t *testing.T) {
	s := on()
	d := NewNode("a", 1, 0)
	d.Touch(true)
	bind, empty := map[Key]Bind{}, 0
	play := func(from, to time.Duration) {
		for now := from; now < to; now += 100 * time.Millisecond {
			d.Now(now)
			for a, ok := d.Next(); ok; a, ok = d.Next() {
				switch a := a.(type) {
				case Bound:
					bind[a.Key] = a.Bind
				case Empty:
					must.Eq(t, 6, a.Backs)
					empty++
				}
			}
		}
	}
	ids := []LifeID{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}
	for _, id := range ids {
		d.Life(back(id))
	}
	d.Fold(s, nil)
	shut := func(m Manner) (n int) {
		for _, id := range ids {
			if bind[Key{id, m}] == Shut {
				n++
			}
		}
		return n
	}
	for _, id := range ids {
		d.Ended(Key{id, Strict}, 0, 0, Seen{How: control.Errored, Form: true})
	}
	play(0, time.Second)
	must.Eq(t, 3, shut(Strict))
	must.True(t, d.services["libro"].doubt > 0)
	for i, id := range ids {
		for m := range manners {
			e := Entry{Verb: Convict, Key: Key{id, m}, Service: "libro", Witnesses: []Slot{1, 2}, Backs: 6, Fence: 1, Score: 900 - 100*i}
			_, err := s.Apply(&e)
			must.NoError(t, err)
			d.Fold(s, &e)
		}
	}
	play(time.Second, 13*time.Second)
	must.Eq(t, 6, shut(Strict))
	must.Eq(t, 3, empty)
	must.Eq(t, 3, shut(Patient))
	must.Eq(t, []Bind{Shut, Shut, Shut, Open, Open, Open}, []Bind{bind[Key{"i-1", Patient}], bind[Key{"i-2", Patient}],
		bind[Key{"i-3", Patient}], bind[Key{"i-4", Patient}], bind[Key{"i-5", Patient}], bind[Key{"i-6", Patient}]})
}
