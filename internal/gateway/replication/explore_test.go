package replication

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cluster is a few members, what they have on disk, and what is on its way; each step is one of all that
// could come next.
type cluster struct {
	places []*simMember
	flight []flying
	order  []Entry // as delivered first, from index 2 on
	lost   []Kept  // wiped disks: what they held was acknowledged in good faith
	left   budget
	fault  fault
	terms  Terms
	wrong  string
	path   *step
	list   []Member         // in force
	bases  map[place]uint64 // what the leader knew to be committed when it made a list

	timed   bool // contact is judged: see contact_test.go
	now     time.Duration
	ackedAt []time.Duration // by order
}

type simMember struct {
	p      *Replica
	disk   Kept
	writes []Write // not synced
	led    uint64  // the newest view it was seen to lead
	gone   bool    // for good, or until it is started
}

type flying struct {
	from MemberID
	s    Send
}

type budget struct{ promises, crashes, wipes, changes, beats, ticks, losses, returns, swaps, doubles, compacts int }

type step struct {
	before *step
	what   string
}

func (s *step) String() string {
	if s == nil {
		return ""
	}
	return s.before.String() + "\n  " + s.what
}

// calm are terms under which time never matters: steps are taken when the explorer says so.
var calm = Terms{Patience: 1, Spread: 1, Silence: time.Hour, Learn: time.Hour, Pending: 9, Batch: 1, Tell: time.Hour,
	Beat: time.Hour, Resend: 1}

// newCluster has so many members in view 2, and others beside them with empty disks.
func newCluster(members, beside int, f fault, left budget) *cluster {
	return newClusterOf(ConfigurationLog, members, beside, f, left)
}

// newClusterOf is as newCluster, for one of several logs on the same disks.
func newClusterOf(log LogID, members, beside int, f fault, left budget) *cluster {
	w := &cluster{left: left, fault: f, terms: calm, bases: map[place]uint64{}}
	w.terms.Log = log
	for i := range members + beside {
		w.places = append(w.places, &simMember{disk: Kept{Me: MemberID(i + 1)}})
		w.start(i)
	}
	var list []Member
	for _, s := range w.places[:members] {
		list = append(list, s.p.me)
	}
	w.list = list
	for i := range list {
		if w.places[i].p.Found(list) != nil {
			panic("not founded")
		}
		w.pull(i)
	}
	w.settle()
	w.places[0].p.prepare(true)
	w.pull(0)
	w.settle()
	w.heartbeat(0)
	w.settle()
	return w
}

func (w *cluster) start(i int) {
	s := w.places[i]
	s.writes, s.gone = nil, false
	s.p = New(Member{s.disk.Me, fmt.Sprint("node", i)}, s.disk, w.terms, 1, 0)
	s.p.fault = w.fault
	w.pull(i)
}

func (w *cluster) fail(f string, a ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(f, a...)
	}
}

// pull carries out a member's actions and judges them.
func (w *cluster) pull(i int) {
	s := w.places[i]
	if c := s.p.configs[len(s.p.configs)-1]; s.p.role == leading && c.index > s.p.committed {
		if v, _ := s.p.viewAt(c.index); v == s.p.promise && w.bases[place{v, c.index}] == 0 {
			w.bases = maps.Clone(w.bases)
			w.bases[place{v, c.index}] = s.p.committed
		}
	}
	for a, ok := s.p.Next(); ok; a, ok = s.p.Next() {
		switch a := a.(type) {
		case Send:
			w.flight = append(w.flight, flying{s.disk.Me, a})
		case Write:
			s.writes = append(s.writes, a)
		case Commit:
			w.judge(i, a.Entry)
		case Restore:
			if all := w.fold(a.Index); string(a.State) != all {
				w.fail("member %d restores %q at %d, delivered is %q", s.disk.Me, a.State, a.Index, all)
			}
		}
	}
	if s.p.role == leading && s.p.promise > s.led {
		s.led = s.p.promise
		if slices.ContainsFunc(w.places, func(o *simMember) bool { return o != s && o.led == s.led }) {
			w.fail("two lead view %d", s.led)
		}
		for _, e := range w.order {
			if v, ok := s.p.viewAt(e.Index); e.Index > s.p.snap.Index && (!ok || v != e.View) {
				w.fail("member %d leads view %d without the delivered entry %d", s.p.me.ID, s.p.promise, e.Index)
			}
		}
	}
}

func same(a, b Entry) bool {
	return a.Index == b.Index && a.View == b.View && a.Kind == b.Kind && string(a.Data) == string(b.Data)
}

func holds(k Kept, e Entry) bool {
	n := e.Index - k.Snap.Index - 1
	return k.Snap.Index >= e.Index || n < uint64(len(k.Entries)) && same(k.Entries[n], e)
}

func (w *cluster) judge(i int, e Entry) {
	if n := e.Index - 2; n < uint64(len(w.order)) {
		if !same(w.order[n], e) {
			w.fail("entry %d of view %d was delivered, and then one of view %d", e.Index, w.order[n].View, e.View)
		}
		return
	}
	w.order, w.ackedAt = append(w.order, e), append(w.ackedAt, w.now)
	if e.Kind == ConfigChange {
		w.judgeList(e)
	}
	if !majority(w.places[i].p.Members(), func(id MemberID) bool {
		had := func(k Kept) bool { return k.Me == id && holds(k, e) }
		now := func(s *simMember) bool { return had(s.disk) }
		return slices.ContainsFunc(w.lost, had) || slices.ContainsFunc(w.places, now)
	}) {
		w.fail("entry %d is delivered and on too few disks", e.Index)
	}
}

// fold is the host's state: what was delivered up to an index, the newest first, so that two differ in each byte.
func (w *cluster) fold(upto uint64) (all string) {
	for _, e := range w.order[:min(uint64(len(w.order)), max(upto, 1)-1)] {
		all = string(e.Data) + all
	}
	return all
}

// compact has a member put all that it delivered into a snapshot.
func (w *cluster) compact(i int) {
	p := w.places[i].p
	p.Compact(p.committed, []byte(w.fold(p.committed)))
	w.pull(i)
}

// judgeList: once a list is in force as many more may go as its size says, whoever they are. So who is new on it has what the leader
// knew to be committed when it made it, and it is no shorter than what it was founded with.
func (w *cluster) judgeList(e Entry) {
	was := w.list
	if w.list = e.Members; len(e.Members) < len(was) {
		w.fail("list %d has %d members", e.Index, len(e.Members))
	}
	for _, s := range w.places {
		is := func(m Member) bool { return m.ID == s.disk.Me }
		have, base := s.disk.Snap.Index+uint64(len(s.disk.Entries)), w.bases[place{e.View, e.Index}]
		if slices.ContainsFunc(e.Members, is) && !slices.ContainsFunc(was, is) && !s.gone && have < base {
			w.fail("list %d is in force, and its new member %d has %d of %d", e.Index, s.disk.Me, have, base)
		}
	}
}

func (w *cluster) sync(i int) {
	s := w.places[i]
	s.disk.Apply(s.writes[0])
	nr := s.writes[0].Nr
	s.writes = s.writes[1:]
	w.wakes(i)
	s.p.Synced(nr)
	w.pull(i)
}

func (w *cluster) arrive(n int) {
	m := w.flight[n]
	w.flight = slices.Delete(slices.Clone(w.flight), n, n+1)
	for i, s := range w.places {
		if s.gone {
			continue
		}
		if s.p.me.Addr == m.s.To.Addr || m.s.To.Addr == "" && s.p.me.ID == m.s.To.ID {
			w.wakes(i)
			s.p.Heard(m.from, m.s.Message)
			w.pull(i)
		}
	}
}

func (w *cluster) heartbeat(i int) {
	w.wakes(i)
	if !w.timed {
		w.places[i].p.now++ // what nobody acknowledged goes again
	}
	w.places[i].p.heartbeat()
	w.pull(i)
}

// settle lets all come through in order.
func (w *cluster) settle() {
	for again := true; again; {
		again = len(w.flight) > 0
		for i, s := range w.places {
			for len(s.writes) > 0 {
				w.sync(i)
				again = true
			}
		}
		if len(w.flight) > 0 {
			w.arrive(0)
		}
	}
}

// prune takes away what can't do anything any more: answers to who has gone on to a newer view, on disk.
func (w *cluster) prune() {
	w.flight = slices.DeleteFunc(slices.Clone(w.flight), func(f flying) bool {
		to := slices.IndexFunc(w.places, func(s *simMember) bool { return s.disk.Me == f.s.To.ID })
		k := f.s.Message.Kind
		return to < 0 || f.s.Message.View < w.places[to].disk.Promise && k != Append && k != Prepare
	})
}

// steps are all that could come next. What is never taken was lost or has yet to come.
func (w *cluster) steps(do func(what string, act func(*cluster))) {
	for n, m := range w.flight {
		key := string(m.key(nil, w.timed))
		if !slices.ContainsFunc(w.flight[:n], func(o flying) bool { return string(o.key(nil, w.timed)) == key }) {
			k := m.s.Message
			what := fmt.Sprintf("%d>%d kind %d view %d index %d", m.from, m.s.To.ID, k.Kind, k.View, k.Index)
			do(what, func(w *cluster) { w.arrive(n) })
			if k.Chunk != nil && w.left.doubles > 0 {
				do(what+" and will again", func(w *cluster) {
					w.left.doubles--
					w.flight = append(slices.Clone(w.flight), w.flight[n])
					w.arrive(n)
				})
			}
		}
	}
	for i, s := range w.places {
		id := s.disk.Me
		if s.gone {
			if w.left.returns > 0 {
				do(fmt.Sprintf("%d is back", id), func(w *cluster) { w.left.returns--; w.start(i) })
			}
			continue
		}
		if w.left.losses > 0 {
			do(fmt.Sprintf("%d is lost", id), func(w *cluster) { w.left.losses--; w.lose(i) })
		}
		if w.left.swaps > 0 && s.p.role == leading {
			w.swaps(i, do)
		}
		if len(s.writes) > 0 {
			do(fmt.Sprintf("%d syncs", id), func(w *cluster) { w.sync(i) })
		}
		if w.left.crashes > 0 {
			do(fmt.Sprintf("%d loses power", id), func(w *cluster) { w.left.crashes--; w.start(i) })
		}
		if w.left.wipes > 0 && s.p.Founded() {
			do(fmt.Sprintf("%d loses its disk", id), func(w *cluster) { w.left.wipes--; w.wipe(i) })
		}
		if w.left.promises > 0 && s.p.role != leading && s.p.member(id) {
			do(fmt.Sprintf("%d asks", id), func(w *cluster) { w.left.promises--; w.places[i].p.prepare(true); w.pull(i) })
		}
		if w.left.changes > 0 && s.p.role == leading {
			do(fmt.Sprintf("%d proposes", id), func(w *cluster) {
				w.left.changes--
				w.places[i].p.Propose(1, []byte{byte(w.left.changes)})
				w.pull(i)
			})
		}
		if w.left.compacts > 0 && s.p.committed > s.p.snap.Index {
			do(fmt.Sprintf("%d compacts", id), func(w *cluster) { w.left.compacts--; w.compact(i) })
		}
		if w.left.beats > 0 && s.p.role == leading {
			do(fmt.Sprintf("%d beats", id), func(w *cluster) { w.left.beats--; w.heartbeat(i) })
		}
	}
	if w.left.ticks > 0 {
		do("a second passes", func(w *cluster) { w.left.ticks--; w.now += time.Second })
	}
}

// lose takes a member away with what it has on disk.
func (w *cluster) lose(i int) { w.places[i].gone, w.places[i].writes = true, nil }

// swaps are the replacements that a leader could begin: any that is there for any member that is lost.
func (w *cluster) swaps(i int, do func(what string, act func(*cluster))) {
	p := w.places[i].p
	for _, in := range w.places {
		for _, out := range w.places {
			if from, to := in.p.me, out.p.me.ID; !in.gone && out.gone && !p.member(from.ID) && p.member(to) {
				do(fmt.Sprintf("%d takes %d in for %d", p.me.ID, from.ID, to), func(w *cluster) {
					w.left.swaps--
					w.places[i].p.Admit(from, to)
					w.pull(i)
				})
			}
		}
	}
}

// replaced has a member lost and another take its place, as all know that reach each other.
func (w *cluster) replaced(out, in int) *cluster {
	w.lose(out)
	w.places[0].p.Admit(w.places[in].p.me, w.places[out].disk.Me)
	w.pull(0)
	w.settle()
	w.heartbeat(0)
	w.settle()
	return w
}

func (w *cluster) wipe(i int) {
	s := w.places[i]
	w.lost = append(slices.Clone(w.lost), s.disk)
	if s.disk = (Kept{Me: s.disk.Me + 10}); w.fault == countWiped {
		s.disk.Me -= 10
	}
	w.start(i)
}

func (w *cluster) clone() *cluster {
	c := *w
	c.places = nil
	for _, s := range w.places {
		o, p := *s, *s.p
		p.log, p.configs, p.writes = slices.Clone(p.log), slices.Clone(p.configs), slices.Clone(p.writes)
		p.waits, p.reads, p.peers = slices.Clone(p.waits), slices.Clone(p.reads), maps.Clone(p.peers)
		for id, q := range p.peers {
			q := *q
			p.peers[id] = &q
		}
		p.in.data, p.trail = slices.Clip(p.in.data), slices.Clip(p.trail)
		p.tokens, p.preVotes = maps.Clone(p.tokens), maps.Clone(p.preVotes)
		p.promises, p.prepareSent, p.lost = maps.Clone(p.promises), maps.Clone(p.prepareSent), maps.Clone(p.lost)
		o.p = &p
		c.places = append(c.places, &o)
	}
	c.flight, c.order, c.ackedAt = slices.Clip(w.flight), slices.Clip(w.order), slices.Clip(w.ackedAt)
	for _, s := range c.places {
		s.writes = slices.Clip(s.writes)
	}
	return &c
}

func ints(b []byte, all ...uint64) []byte {
	for _, n := range all {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func entries(b []byte, all []Entry) []byte {
	b = ints(b, uint64(len(all)))
	for _, e := range all {
		b = append(ints(b, e.Index, e.View, uint64(e.Kind), uint64(len(e.Data))), e.Data...)
	}
	return b
}

func (f flying) key(b []byte, timed bool) []byte {
	m := f.s.Message
	b = ints(b, uint64(f.from), uint64(m.To), uint64(m.Kind), m.View, m.Index, m.At, m.Delivered, m.Round)
	if m.Snap != nil {
		b = append(append(b, 's'), m.Snap.State...)
	}
	if m.Chunk != nil {
		b = m.Chunk.key(b)
	}
	if timed {
		b = ints(b, uint64(m.Clock), uint64(m.Echo), uint64(m.Contact))
	}
	return entries(b, m.Entries)
}

func (c *Chunk) key(b []byte) []byte {
	return append(ints(b, c.Index, c.View, c.Sum, c.Size, c.Offset), c.Data...)
}

// key tells stages apart that may go on differently.
func (w *cluster) key() uint64 {
	var b []byte
	for _, s := range w.places {
		p := s.p
		b = ints(b, uint64(p.me.ID), uint64(p.role), p.promise, uint64(p.promisedTo), uint64(p.leader),
			p.committed, p.synced, p.nr-p.done, p.matched, p.round, p.roundSaid, p.seen, uint64(p.fetch), p.noOp, p.snap.Index, uint64(len(p.writes)),
			uint64(p.learner), uint64(len(p.learns.members)))
		if s.gone {
			b = append(b, 'g')
		}
		b = entries(append(p.in.id.key(entries(b, p.log)), p.in.data...), p.trail)
		for _, q := range p.waits {
			b = ints(b, q.nr-p.done, uint64(q.kind), q.view, uint64(q.to))
		}
		for id := range MemberID(20) {
			if q := p.peers[id]; q != nil {
				b = ints(b, q.next, q.match, q.round)
				if o := q.out; o.Blob != nil {
					b = ints(o.Blob.id.key(b), o.acked, o.sent, o.again, uint64(p.now-o.moved))
				}
				if w.timed {
					b = ints(b, uint64(q.clock), uint64(q.contact))
				}
			}
			if q, ok := p.promises[id]; ok && p.role == preparing {
				b = ints(b, q.view, q.index)
			}
		}
		if w.timed {
			b = ints(b, uint64(p.leaderClock), uint64(p.known.at), p.known.view)
		}
		b = entries(ints(b, s.disk.Promise, uint64(s.disk.For), s.disk.Delivered), s.disk.Entries)
		for _, q := range s.writes {
			b = entries(ints(b, q.Promise, q.From, q.Delivered), q.Entries)
		}
	}
	var flight []string
	for _, f := range w.flight {
		flight = append(flight, string(f.key(nil, w.timed)))
	}
	slices.Sort(flight)
	b = append(b, fmt.Sprint(w.left, w.now, w.ackedAt)...)
	for _, f := range flight {
		b = append(b, f...)
	}
	return maphash.Bytes(seed, b)
}

var seed = maphash.MakeSeed()

// explore takes all steps in all orders, breadth first, until so many stages were seen.
func explore(w *cluster, most int) (seen int, wrong string) {
	known := map[uint64]bool{w.key(): true}
	for line := []*cluster{w}; len(line) > 0 && len(known) < most; {
		w := line[0]
		line[0], line = nil, line[1:]
		w.steps(func(what string, act func(*cluster)) {
			if wrong != "" || len(known) >= most {
				return
			}
			c := w.clone()
			c.path = &step{w.path, what}
			func() {
				defer func() {
					if r := recover(); r != nil { // a debug build's check
						c.fail("%v", r)
					}
				}()
				act(c)
				c.prune()
				c.judgeContact()
			}()
			if c.wrong != "" {
				wrong = c.wrong + c.path.String()
			}
			if k := c.key(); !known[k] {
				known[k] = true
				line = append(line, c)
			}
		})
		if wrong != "" {
			break
		}
	}
	return len(known), wrong
}

// leads lets a member ask and only some others promise; what else was said is lost.
func (w *cluster) leads(i int, with ...int) {
	w.places[i].p.prepare(true)
	w.pull(i)
	w.sync(i)
	w.among([]int{i}, with)
	w.syncs(with...)
	w.among(with, []int{i})
	if w.places[i].p.role == preparing { // another's log is newer
		w.among([]int{i}, with)
		w.among(with, []int{i})
	}
	w.sync(i)
}

// syncs lets some have on disk all that they wrote.
func (w *cluster) syncs(which ...int) {
	for _, i := range which {
		for len(w.places[i].writes) > 0 {
			w.sync(i)
		}
	}
}

// only lets all that one said to another come through; what others said is lost.
func (w *cluster) only(from, to int) { w.among([]int{from}, []int{to}) }

// among lets all that some said to others come through; the rest is lost.
func (w *cluster) among(from, to []int) {
	in := func(which []int, id MemberID) bool {
		return slices.ContainsFunc(which, func(i int) bool { return w.places[i].disk.Me == id })
	}
	w.flight = slices.DeleteFunc(w.flight, func(f flying) bool { return !in(from, f.from) || !in(to, f.s.To.ID) })
	for n := len(w.flight); n > 0; n-- {
		w.arrive(0)
	}
}

// propose has an entry that only the first member has so far.
func (w *cluster) propose() *cluster {
	w.places[0].p.Propose(1, []byte("x"))
	w.pull(0)
	return w
}

// inChunks has all go in chunks of a byte, two in flight.
func (w *cluster) inChunks() *cluster {
	w.terms.Window, w.terms.Chunk, w.terms.Trail = 2, 1, 64<<10
	for _, s := range w.places {
		s.p.terms = w.terms
	}
	return w
}

// changes has so many delivered by the first two, which both compact, while the third hears nothing.
func (w *cluster) changes(all ...string) *cluster {
	for _, data := range all {
		w.places[0].p.Propose(1, []byte(data))
		for range 3 {
			w.pull(0)
			w.syncs(0)
			w.among([]int{0}, []int{1})
			w.syncs(1)
			w.among([]int{1}, []int{0})
		}
		w.heartbeat(0)
		w.among([]int{0}, []int{1})
		w.flight = nil
	}
	w.compact(0)
	w.compact(1)
	w.syncs(0, 1)
	for _, s := range w.places { // as after a restart: what is not in the snapshot alone is not at hand
		s.p.trail = nil
	}
	return w
}

// The scenes: what has been, before all orders of what may come are tried, and the faults that this must
// show.
type scenario struct {
	name   string
	make   func(fault) *cluster
	faults []fault
}

var scenarios = []scenario{
	{"a change, a new view, a loss of power", func(f fault) *cluster {
		return newCluster(3, 0, f, budget{promises: 1, crashes: 1}).propose()
	}, []fault{ackUnsynced, forgetful, tellEarly, fewPromises, notNewest}},
	{"an old leader's lines come late", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{changes: 1, beats: 1}).propose()
		late := w.flight
		w.leads(1, 2)
		w.flight = append(w.flight, late...)
		return w
	}, []fault{takeOld}},
	{"two views at once", func(f fault) *cluster {
		return newCluster(3, 0, f, budget{promises: 2, changes: 1})
	}, []fault{ackUnsynced}},
	{"a lost disk", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{promises: 1, wipes: 1, beats: 1}).propose()
		w.only(0, 2)
		return w
	}, []fault{countWiped}},
	{"a member for another", func(f fault) *cluster {
		w := newCluster(3, 1, f, budget{promises: 1})
		w.places[0].p.Admit(w.places[3].p.me, 3)
		for w.pull(0); w.places[0].p.settled(); w.pull(0) {
			w.arrive(0)
			if len(w.places[3].writes) > 0 {
				w.sync(3)
			}
		}
		return w
	}, []fault{oneMajority}},
	{"a member to be", func(f fault) *cluster {
		w := newCluster(3, 1, f, budget{promises: 1})
		w.places[0].p.terms.Batch = 1 << 10 // it is told more at once than was delivered
		w.places[0].p.Admit(w.places[3].p.me, 0)
		w.pull(0)
		w.propose().syncs(0)
		for range 2 {
			w.only(0, 3)
			w.syncs(3)
			w.only(3, 0)
		}
		return w
	}, []fault{countLearner}},
	{"two ask for one view", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{changes: 1, beats: 1})
		for _, i := range []int{1, 2} {
			w.places[i].p.prepare(true)
			w.pull(i)
			w.syncs(i)
		}
		return w
	}, []fault{promiseTwo}},
	{"what only the old leader has", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{promises: 1, crashes: 1, beats: 1}).propose()
		w.sync(0)
		w.leads(1, 2)
		return w
	}, []fault{noTruncate}},
	{"an old view's entry", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{promises: 1}).propose()
		w.sync(0)
		w.leads(1, 2)
		w.heartbeat(0)
		w.only(0, 1)
		w.only(1, 0)
		w.leads(0, 2)
		w.places[1].p.Heard(1, Message{Kind: Prepare, House: w.places[1].p.clusterID, To: 2, View: 4})
		w.pull(1)
		return w
	}, []fault{countOld}},
	{"a change behind an entry of another view", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{changes: 1, beats: 1}).propose()
		w.sync(0)
		w.leads(1, 2)
		return w
	}, []fault{unmatched}},
	{"a confirmation comes two views late", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{promises: 1, crashes: 1, beats: 1}).propose().propose()
		w.only(0, 1)
		w.syncs(1)
		late := w.flight
		w.start(0)
		w.leads(2, 0)
		w.only(2, 1)
		w.syncs(1)
		w.leads(0, 2)
		w.flight = append(w.flight, late...)
		return w
	}, []fault{countLate}},
	{"a snapshot in chunks", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{crashes: 1, beats: 1, doubles: 1}).inChunks().changes("a", "b", "c")
		w.heartbeat(0)
		w.only(0, 2)
		w.only(2, 0)
		return w
	}, []fault{skipChunks, installPart}},
	{"a newer snapshot midway", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{beats: 1, changes: 1, compacts: 1, crashes: 1}).inChunks().changes("a", "b", "c")
		w.heartbeat(0)
		w.only(0, 2)
		w.only(2, 0)
		return w
	}, []fault{installPart}},
	{"a new leader with a newer snapshot midway", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{beats: 1, crashes: 1, doubles: 1}).inChunks().changes("a", "b", "c")
		w.heartbeat(0)
		w.only(0, 2)
		w.only(2, 0)
		w.arrive(0) // one chunk is had, another of the old leader's is on its way
		late := w.flight
		w.changes("d")
		w.leads(1, 0)
		w.flight = append(w.flight, late...)
		return w
	}, []fault{mixChunks}},
	{"a large change in chunks, and another in its place", func(f fault) *cluster {
		w := newCluster(3, 0, f, budget{beats: 1, crashes: 1}).inChunks()
		w.places[0].p.Propose(1, []byte("xyz"))
		w.pull(0)
		late := w.flight
		w.only(0, 2)
		w.leads(1, 2)
		w.among([]int{1}, []int{2})
		w.syncs(2)
		w.among([]int{2}, []int{1})
		w.places[1].p.Propose(1, []byte("XYZ"))
		w.pull(1)
		w.flight = append(w.flight, late...)
		return w
	}, []fault{mixChunks}},
	{"five: a change, a new view, a loss of power", func(f fault) *cluster {
		w := newCluster(5, 0, f, budget{crashes: 1}).propose()
		w.syncs(0)
		late := slices.DeleteFunc(slices.Clone(w.flight), func(m flying) bool { return m.s.To.ID != w.places[2].disk.Me })
		w.only(0, 1)
		w.syncs(1)
		w.only(1, 0) // one more is enough
		w.places[3].p.prepare(true)
		w.pull(3)
		w.syncs(3)
		w.among([]int{3}, []int{2, 4})
		w.syncs(4)
		w.flight = append(w.flight, late...)
		return w
	}, []fault{forgetful, tellEarly, fewPromises}},
	{"five: another has the newest log", func(f fault) *cluster {
		w := newCluster(5, 0, f, budget{promises: 1}).propose()
		w.syncs(0)
		w.among([]int{0}, []int{1, 2})
		w.syncs(1, 2)
		w.among([]int{1, 2}, []int{0})
		w.places[3].p.prepare(true)
		w.pull(3)
		w.syncs(3)
		return w
	}, []fault{notNewest, fewPromises}},
	{"five: what only two have", func(f fault) *cluster {
		w := newCluster(5, 0, f, budget{changes: 1, beats: 1}).propose()
		w.sync(0)
		w.among([]int{0}, []int{1})
		w.sync(1)
		w.leads(2, 3, 4)
		return w
	}, []fault{noTruncate, unmatched}},
	{"five: a lost disk", func(f fault) *cluster {
		w := newCluster(5, 0, f, budget{promises: 1, wipes: 1}).propose()
		w.sync(0)
		w.among([]int{0}, []int{1, 2})
		w.sync(1)
		w.sync(2)
		w.among([]int{1, 2}, []int{0})
		return w
	}, []fault{countWiped}},
	{"a lost member is replaced, and the leader is lost", func(f fault) *cluster {
		w := newCluster(3, 1, f, budget{promises: 1, losses: 1, returns: 1, swaps: 1})
		w.lose(2)
		return w
	}, []fault{admitEarly}},
	{"who was replaced is back and asks", func(f fault) *cluster {
		w := newCluster(3, 1, f, budget{promises: 2, returns: 1, changes: 1}).replaced(2, 3)
		w.propose()
		w.only(0, 3)
		w.syncs(0, 3)
		return w
	}, []fault{ackUnsynced}},
	{"the members before ask while one takes another's place", func(f fault) *cluster {
		w := newCluster(3, 1, f, budget{promises: 1, returns: 1})
		w.lose(2)
		w.places[0].p.Admit(w.places[3].p.me, 3)
		for w.pull(0); w.places[0].p.settled(); w.pull(0) {
			w.arrive(0)
			w.syncs(3)
		}
		return w
	}, []fault{oneMajority}},
	{"a learner is lost and another comes", func(f fault) *cluster {
		w := newCluster(3, 2, f, budget{promises: 1, returns: 2, swaps: 1})
		w.lose(2)
		w.places[0].p.Admit(w.places[3].p.me, 3)
		w.pull(0)
		w.only(0, 3)
		w.only(3, 0)
		w.lose(3)
		w.places[0].p.dropLearner()
		return w
	}, []fault{admitEarly}},
	{"a lost disk at a member's address while another is away", func(f fault) *cluster {
		w := newCluster(3, 1, f, budget{promises: 1, returns: 1, swaps: 1})
		w.lose(2)
		w.propose().settle()
		w.wipe(1)
		w.places[0].p.Admit(w.places[1].p.me, 0)
		w.pull(0)
		return w
	}, []fault{countWiped}},
	{"five: two are lost, one is replaced, the other in turn", func(f fault) *cluster {
		w := newCluster(5, 2, f, budget{promises: 1, losses: 1, swaps: 1}).replaced(4, 5)
		w.lose(3)
		return w
	}, []fault{admitEarly}},
	{"five: the lost one asks as another takes its place, and one more is lost", func(f fault) *cluster {
		w := newCluster(5, 1, f, budget{losses: 1})
		w.lose(4)
		w.places[0].p.Admit(w.places[5].p.me, 5)
		for w.pull(0); w.places[0].p.settled(); w.pull(0) {
			w.arrive(0)
			w.syncs(5)
		}
		w.syncs(0)
		w.among([]int{0}, []int{1, 5})
		w.syncs(1, 5)
		late := w.flight
		w.start(4)
		w.places[4].p.prepare(true)
		w.pull(4)
		w.syncs(4)
		w.among([]int{4}, []int{2, 3})
		w.flight = append(w.flight, late...)
		return w
	}, []fault{oneMajority}},
}

// maxStates is how many stages are looked at from each scene, unless REPLICATION_STAGES says otherwise.
func maxStates(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_STAGES")); err == nil {
		return n
	}
	return usual
}

func TestAllOrders(t *testing.T) { exploreAll(t, scenarios) }

// exploreAll finds nothing in scenes, and each one's faults.
func exploreAll(t *testing.T, scenes []scenario) {
	for _, s := range scenes {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			seen, wrong := explore(s.make(sound), maxStates(10_000))
			t.Log(seen, "stages")
			must.Eq(t, "", wrong)
		})
		for _, f := range s.faults {
			t.Run(fmt.Sprint(s.name, ", fault ", f), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				seen, wrong := explore(s.make(f), maxStates(20_000))
				t.Log(seen, "stages,", time.Since(began), wrong)
				must.NotEq(t, "", wrong)
			})
		}
	}
}
