package registry

import (
	"slices"
	"sort"
	"time"
)

// peer is another node, and what it has yet to be told.
type peer struct {
	node   Node
	lostAt time.Duration
	nr     uint64

	order  []string // ids whose words wait to be sent
	waits  map[string]bool
	sendAt time.Duration // when they go
	flight []*parcel     // sent and not confirmed
	again  []*parcel     // to be sent once more
	sure   bool          // has confirmed something since it was greeted: what it says is of its present life
	behind bool          // gave no confirmation: only asked for a sign, and greeted when there is one

	busy   bool // its slot is among the registry's busy ones
	greet  bool // the next message begins to tell all there is
	whole  bool // and it is being told all that
	doubts []string
	beats  []Record
	acks   []uint64
}

// parcel is one message on its way, with what it said when it was first sent.
type parcel struct {
	nr     uint64
	ids    []string
	levels []level
	doubts []string
	greet  bool
	at     time.Duration
	tries  int
}

func (b *Registry) peer(s Slot) *peer {
	p := b.peers[s]
	if p == nil {
		p = &peer{node: Node{Seat: s}, nr: uint64(b.terms.Life) << 32, waits: map[string]bool{},
			lostAt: b.now}
		b.peers[s] = p
		at := sort.Search(len(b.slots), func(i int) bool { return b.slots[i] >= s })
		b.slots = slices.Insert(b.slots, at, s)
	}
	return p
}

// wordIsCopy takes a defence out; only a test sets it.
var wordIsCopy bool

// drop forgets what was on its way to a node: it may come back in a new life that has heard nothing.
func (b *Registry) drop(p *peer) {
	p.lostAt = b.now
	p.order, p.flight, p.again, p.doubts, p.beats, p.acks = nil, nil, nil, nil, nil, nil
	p.behind, p.greet, p.whole, p.sure = false, false, false, false
	clear(p.waits)
	b.queued = slices.DeleteFunc(b.queued, func(t transfer) bool { return t.to == p.node.Seat })
	for _, e := range b.list {
		delete(e.told, p.node.Seat)
	}
}

// tells tells whether a node gets this one's words: where a node with a disk lives, such ones do, and those who follow
// this node.
func (b *Registry) tells(p *peer) bool {
	return p.node.Live && (!b.firm || p.node.Firm || p.node.Hears)
}

// Greet tells a node that is connected anew, or follows anew. One that follows gets all backends that are not gone. Nodes
// with a disk tell each other those kept here, those that the other should keep, those whose registrar is missing and that
// fall to this node, and all ends: together they tell it the whole registry. A node without a disk tells the ends of
// backends that are still there; more of what it knows follows where the other turns out not to have it.
func (b *Registry) Greet(s Slot) {
	p := b.peers[s]
	if p == nil {
		return
	}
	b.drop(p)
	if !b.tells(p) {
		return
	}
	if p.node.Hears {
		b.enqueue(p)
		b.transfer()
		return
	}
	for _, e := range b.list {
		k, there := e.w.Keeper, e.phase() != Gone
		var tell bool
		switch {
		case b.firm && !b.self.Firm:
			tell = there && e.level() > noEnd
		default:
			tell = k == b.me || k == s || e.level() > noEnd || b.lost(k) && b.duty(e, s).Seat == b.me
		}
		if tell {
			b.tell(p, e.w.ID, true)
		}
	}
}

// unnamed tells the node that is followed what it did not name a while after it began to tell all it has: so it learns
// what it should have had, or this node that it is gone.
func (b *Registry) unnamed() {
	if b.now < b.askAt {
		return
	}
	b.askAt = never
	p := b.peers[b.feeder]
	if p == nil || !b.tells(p) {
		return
	}
	for _, e := range b.list {
		if e.phase() != Gone && e.named < b.fedAt {
			b.tell(p, e.w.ID, false)
		}
	}
}

// spread tells all nodes that this one tells, at once or together with other small news.
func (b *Registry) spread(e *entry, now bool) { b.pass(e, nil, now) }

// pass tells what came from one node to the others: what a node with a disk told it has told all that have one, so it is
// for those who follow; what another told is for all.
func (b *Registry) pass(e *entry, from *peer, now bool) {
	for _, s := range b.slots {
		if p := b.peers[s]; p != from && b.tells(p) && !(from != nil && from.node.Firm && p.node.Firm) {
			b.tell(p, e.w.ID, now)
		}
	}
}

func (b *Registry) tell(p *peer, id string, now bool) {
	at := b.now
	if !now {
		at += packFor
	}
	b.work(p)
	if len(p.order) == 0 || at < p.sendAt {
		p.sendAt = at
	}
	if !p.waits[id] {
		p.waits[id] = true
		p.order = append(p.order, id)
	}
}

// relay passes a beat on; the next beat makes up for a lost one.
func (b *Registry) relay(e *entry, s Slot) {
	if p := b.peers[s]; p != nil && p.node.Live && len(p.beats) < wordsMost {
		b.work(p)
		p.beats = append(p.beats, b.record(e))
	}
}

// load takes what is due for a node.
func (b *Registry) load(p *peer) (m Message, ok bool) {
	m.Acks, p.acks = p.acks, nil
	if !p.node.Live {
		return m, len(m.Acks) > 0
	}
	m.Beats, p.beats = p.beats, nil
	if len(p.again) > 0 {
		f := p.again[0]
		p.again = p.again[1:]
		return b.fill(m, f), true
	}
	due := len(p.order) > 0 && b.now >= p.sendAt || p.greet
	if !due && len(p.doubts) == 0 || p.behind || len(p.flight) >= flightMost {
		return m, len(m.Acks)+len(m.Beats) > 0
	}
	p.nr++
	f := &parcel{nr: p.nr, at: b.now, doubts: p.doubts, greet: p.greet}
	p.doubts, p.greet = nil, false
	if due {
		n := min(len(p.order), wordsMost)
		f.ids, p.order = slices.Clone(p.order[:n]), p.order[n:]
	}
	for _, id := range f.ids {
		delete(p.waits, id)
		l := noEnd
		if e := b.all[id]; e != nil {
			l = e.level()
		}
		f.levels = append(f.levels, l)
	}
	p.flight = append(p.flight, f)
	return b.fill(m, f), true
}

// endsOnTheirWay are the backends whose end a node has been sent, or was about to be, and has not confirmed.
func (b *Registry) endsOnTheirWay(p *peer) (ids []string) {
	ends := func(all []string) {
		for _, id := range all {
			if e := b.all[id]; e != nil && e.level() > e.told[p.node.Seat] {
				ids = append(ids, id)
			}
		}
	}
	ends(p.order)
	for _, f := range p.flight {
		ends(f.ids)
	}
	return ids
}

// sendRound tells the other nodes with a disk once more of ends that did not reach one of them: they may reach it.
func (b *Registry) sendRound(ids []string) {
	for _, id := range ids {
		for _, s := range b.slots {
			if p := b.peers[s]; p.node.Firm && b.tells(p) {
				b.tell(p, id, true)
			}
		}
	}
}

// unreached are the nodes with a disk that this one does not reach.
func (b *Registry) unreached() (all []Slot) {
	for _, s := range b.slots {
		if p := b.peers[s]; p.node.Firm && !p.node.Live {
			all = append(all, s)
		}
	}
	return all
}

// goRound tells ends to nodes with a disk that whoever told this one does not reach.
func (b *Registry) goRound(m Message) {
	if !b.self.Firm {
		return
	}
	for _, s := range m.Unreached {
		p := b.peers[s]
		if p == nil || !p.node.Firm || !b.tells(p) {
			continue
		}
		for _, w := range m.Words {
			if e := b.all[w.ID]; e != nil && e.level() > e.told[s] && !p.carries(w.ID, e.level()) {
				b.tell(p, w.ID, true)
			}
		}
	}
}

// fill writes the words of a parcel as they are now.
func (b *Registry) fill(m Message, f *parcel) Message {
	m.Nr, m.All = f.nr, f.greet
	ends := false
	for _, id := range f.ids {
		if e := b.all[id]; e != nil {
			m.Words = append(m.Words, b.record(e))
			ends = ends || e.level() > noEnd
		}
	}
	if ends {
		m.Unreached = b.unreached()
	}
	for _, id := range f.doubts {
		if e := b.all[id]; e != nil {
			m.Doubts = append(m.Doubts, b.record(e))
		}
	}
	return m
}

// resend repeats what was not confirmed, and gives up on a node that confirms nothing.
func (b *Registry) resend(p *peer) {
	for _, f := range p.flight {
		if b.now-f.at < p.patience(f) {
			continue
		}
		if f.tries++; f.tries > resendMost && !p.behind {
			b.drop(p)
			p.behind = true
			p.nr++
			f = &parcel{nr: p.nr, at: b.now}
			p.flight, p.again = []*parcel{f}, []*parcel{f}
			return
		}
		f.at = b.now
		if !slices.Contains(p.again, f) {
			p.again = append(p.again, f)
		}
	}
}

// patience is how long a confirmation is waited for: twice as long after each time. Links lose nothing while they are up, so what is not
// confirmed mostly waits where the node has more to do than it can, and the same again is no help to it.
func (p *peer) patience(f *parcel) time.Duration {
	if p.behind {
		return askAfter
	}
	return resendAfter << min(f.tries, resendDoubles)
}

// due is when the node wants to be looked at again.
func (p *peer) due() time.Duration {
	at := never
	for _, f := range p.flight {
		at = min(at, f.at+p.patience(f))
	}
	if p.node.Live && !p.behind && len(p.order) > 0 && len(p.flight) < flightMost {
		at = min(at, p.sendAt)
	}
	return at
}

// Heard takes a message of another node.
func (b *Registry) Heard(from Slot, m Message) {
	p := b.peers[from]
	if p == nil {
		if from < 0 || from == b.me {
			return
		}
		p = b.peer(from)
	}
	if p.behind && p.node.Live {
		b.Greet(from)
	}
	if m.All {
		b.feeder, b.fedAt, b.askAt = from, b.now, b.now+nameFor
	}
	for _, nr := range m.Acks {
		b.confirmed(p, nr)
	}
	if from == b.feeder && len(m.Words) > 0 && b.askAt != never { // it is still telling all it has
		b.askAt = max(b.askAt, min(b.now+nameFor, b.fedAt+nameMost))
	}
	for _, w := range m.Words {
		b.heard(p, w)
	}
	b.goRound(m)
	for _, w := range m.Beats {
		if e := b.entry(w.ID); e != nil {
			b.beat(e, w, false)
		}
	}
	for _, w := range m.Doubts {
		b.doubted(p, w)
	}
	if m.Nr != 0 && len(p.acks) < confirmsMost {
		b.work(p)
		p.acks = append(p.acks, m.Nr)
	}
	b.settle()
}

// heard joins a word and says otherwise where more is known here.
func (b *Registry) heard(p *peer, w Record) {
	e := b.entry(w.ID)
	if e == nil {
		return
	}
	mine := e.w.Keeper == b.me && e.phase() != Gone
	recent := b.now-e.signAt < silentBeats*b.terms.BeatInterval
	before, was, levelBefore, cold, doubt := e.w, e.phase(), e.level(), e.cold, e.doubt
	b.join(e, w)
	if p.node.Seat == b.feeder {
		e.named = b.now
	}
	// What this node alone held for gone, nobody was told.
	turned := e.phase() != was || e.level() > levelBefore || doubt && w.Phase == Gone
	news := turned || differs(before, e.w)
	switch {
	case e.w.Keeper == b.me && (before.Keeper != b.me || news):
		// The registrar answers for what all know: others may have believed it, or have come up with it.
		b.spread(e, turned)
	case b.self.Firm && (news || e.cold != cold):
		b.pass(e, p, turned)
	}
	if k := b.peers[e.w.Keeper]; b.self.Firm && before.Service == "" && e.phase() != Gone && k != nil && k != p && k.node.Live {
		b.tell(k, e.w.ID, false) // new here, and not from its registrar: that one may have forgotten it, and watches again
	}
	if w.Phase == Gone && p.node.Seat == e.w.Keeper {
		e.doubt = false
	}
	// It holds the end itself, if it has said so in its present life: a late word of the former one is no copy.
	if l := lvl(w); l > noEnd && (p.sure || wordIsCopy) {
		b.tolds(e, p.node.Seat, l)
	}
	if w.Missed != None && w.Fence == e.w.Fence && w.Keeper == e.w.Keeper {
		if w.Missed == b.me && mine && recent {
			// Somebody thinks this node missing, but the beats still come here.
			b.claim(e, None)
			b.spread(e, true)
			return
		}
		if m := b.peers[w.Missed]; w.Missed != p.node.Seat && m != nil && m.node.Live {
			b.tell(m, e.w.ID, true)
		}
	}
	is := b.record(e)
	switch {
	case w.Phase == Gone && is.Phase != Gone && (e.w.Keeper == b.me || recent):
		b.spread(e, true) // whoever believed it must be told
	case w.Phase != is.Phase || lvl(w) != lvl(is) ||
		w.Keeper != is.Keeper && (w.Fence < is.Fence || w.Fence == is.Fence && w.Keeper < is.Keeper),
		w.Seq < is.Seq && is.Phase != Gone && p.node.Seat == is.Keeper: // its silence would be of a beat that was not the last
		if p.node.Live {
			b.tell(p, e.w.ID, true)
		}
	}
}

// doubted hears that another backend answered at the address: the next beat shows who is right.
func (b *Registry) doubted(p *peer, w Record) {
	e := b.entry(w.ID)
	if e == nil {
		return
	}
	before := e.phase()
	b.join(e, w)
	if e.phase() != Gone {
		b.hush(e)
	}
	if before != Gone {
		b.spread(e, true)
	} else {
		b.tell(p, e.w.ID, true)
	}
}

// ask tells the registrar of a doubt.
func (b *Registry) ask(e *entry) {
	e.kept = b.now
	if p := b.peers[e.w.Keeper]; p != nil && p.node.Live && !slices.Contains(p.doubts, e.w.ID) {
		b.work(p)
		p.doubts = append(p.doubts, e.w.ID)
	}
}

func lvl(w Record) level {
	switch {
	case w.Final:
		return left
	case w.Drained || w.Phase == Draining:
		return drains
	}
	return noEnd
}

// confirmed notes what a node has taken in.
func (b *Registry) confirmed(p *peer, nr uint64) {
	for i, f := range p.flight {
		if f.nr != nr {
			continue
		}
		for j, id := range f.ids {
			if e := b.all[id]; e != nil && f.levels[j] > noEnd {
				b.tolds(e, p.node.Seat, f.levels[j])
			}
		}
		p.sure = true
		p.flight = slices.Delete(p.flight, i, i+1)
		p.again = slices.DeleteFunc(p.again, func(x *parcel) bool { return x == f })
		return
	}
}

// tolds notes that a node knows of an end.
func (b *Registry) tolds(e *entry, s Slot, l level) {
	if e.told == nil {
		e.told = map[Slot]level{}
	}
	e.told[s] = max(e.told[s], l)
}
