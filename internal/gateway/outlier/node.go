package outlier

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/proxy/invariant"
)

const (
	heldBack   = 500 * time.Millisecond // what a link may have done, until it is told
	holdFor    = 10 * time.Second       // a node's own hold, doubled each time
	holdTimes  = 3                      // so often
	atOnce     = 1
	tellPace   = 200 * time.Millisecond // of news of a key
	tellSlow   = time.Second            // of what is no news yet
	tellAgain  = 2 * time.Second        // while pieces count
	tellMost   = 32                     // files of one report
	probePace  = time.Second
	emptyEvery = 5 * time.Second
	trickleAll = 10 // a second, of all nodes
	gapTimes   = 8  // the usual gap between answers of a zone
	gapLeast   = 300 * time.Millisecond
	gapMost    = 3 * time.Second
	gapStep    = 0.05
	resetsMost = 2 // other backends that reset at once: it was not theirs
)

// low is the share from which a backend is in doubt, and a node tells of it.
var low = [manners]float64{0.05, 0.3}

// Node is one node's part: a witness, and bound by verdicts.
type Node struct {
	queue
	now      time.Duration
	zone     string
	life     uint64
	seq      uint64
	nodes    int
	cut      bool
	state    *State
	lives    map[LifeID]*life
	services map[string]*service // by service
	paths    map[string]*path    // by zone
	busy     map[Key]*file       // all with anything to look at
	held     []held              // not told yet
	resets   []reset             // of the last moment
	dirty    []*service          // whose binds may have changed
}

type life struct {
	Life
	service *service
	files   [manners]file
	endAt   time.Duration // last answer that came here
	probed  time.Duration
}

type service struct {
	name  string
	lives []*life // ready ones, by id
	rings [manners]ring
	doubt time.Duration // until when this node doubts itself
	dirty bool
	empty time.Duration // last line on that; 0: somebody is in service
}

// file is what this node has of a key.
type file struct {
	key    Key
	at     *life
	rev    uint64
	since  time.Duration // when the rev came here
	ring   ring
	pieces []piece
	Sums
	said  Sums          // as last told
	waits int           // pieces that are held back
	until time.Duration // of this node's own hold
	holds int
	bound Bind
	own   bool
	news  time.Duration // longest it may wait to be told; 0: nothing to tell
	told  time.Duration
}

type piece struct {
	kind Kind
	at   time.Duration
	wait time.Duration
}

// held is a piece that a link may have made.
type held struct {
	piece
	file *file
	rev  uint64
	sent time.Duration
}

type reset struct {
	id LifeID
	at time.Duration
}

// path is whether the backends of a zone are heard.
type path struct {
	last  time.Duration // answer
	usual float64       // gap between two, in seconds
	calm  time.Duration // since when no gap was long
}

func (p *path) gap() time.Duration {
	return min(max(time.Duration(gapTimes*p.usual*float64(time.Second)), gapLeast), gapMost)
}

func (p *path) heard(now time.Duration) {
	if now-p.last > p.gap() {
		p.calm = now
	}
	p.usual += gapStep * (min(now-p.last, gapMost).Seconds() - p.usual)
	p.last = now
}

// whole tells that answers kept coming from a time on, so often that a cut as long as half of it would show.
func (p *path) whole(from, now time.Duration) bool {
	return p != nil && p.calm <= from && p.last > from && now-p.last <= p.gap() && p.gap() <= max((now-from)/2, gapLeast)
}

// NewNode makes one. Life differs between lives of a node.
func NewNode(zone string, lifeNr uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, life: lifeNr, nodes: 1, cut: true, state: NewState(), lives: map[LifeID]*life{},
		services: map[string]*service{}, paths: map[string]*path{}, busy: map[Key]*file{}}
}

// SetNodes says how many share the backends.
func (d *Node) SetNodes(n int) { d.nodes = max(n, 1) }

// Fold takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (d *Node) Fold(s *State, e *Entry) {
	d.state = s
	if e != nil && e.Verb != Set && e.Verb != Forget {
		if l := d.lives[e.Key.ID]; l != nil {
			d.fold(l, e.Key.Manner)
		}
	} else {
		for _, l := range d.lives {
			d.fold(l, Strict)
			d.fold(l, Patient)
		}
	}
	if !s.On() {
		d.held, d.resets = nil, nil
		for _, f := range d.busy {
			d.anew(f, f.rev)
		}
	}
	d.bind()
}

func (d *Node) fold(l *life, m Manner) {
	f := &l.files[m]
	if rev := d.state.rev(f.key); rev != f.rev {
		d.anew(f, rev)
	}
	d.stir(l.service)
}

// stir has a service's binds looked at.
func (d *Node) stir(h *service) {
	if !h.dirty {
		h.dirty = true
		d.dirty = append(d.dirty, h)
	}
}

// anew: what was seen under another rev says nothing any more.
func (d *Node) anew(f *file, rev uint64) {
	*f = file{key: f.key, at: f.at, rev: rev, since: d.now, holds: f.holds, bound: f.bound, own: f.own}
	d.busy[f.key] = f
}

// Touch says whether this node hears the core. What it found of links while it did not is dropped at its return.
func (d *Node) Touch(fresh bool) {
	if fresh && d.cut {
		d.held = nil
		for _, f := range d.busy {
			f.waits = 0
			f.pieces = slices.DeleteFunc(f.pieces, func(p piece) bool { return weights[p.kind][f.key.Manner] == Half })
		}
	}
	d.cut = !fresh
}

// Life takes what the registry tells of a backend.
func (d *Node) Life(x Life) {
	l := d.lives[x.ID]
	if l == nil {
		if x.Phase != Ready {
			return
		}
		h := d.services[x.Service]
		if h == nil {
			h = &service{name: x.Service}
			d.services[x.Service] = h
		}
		l = &life{service: h, endAt: d.now}
		for m := range l.files {
			f := &l.files[m]
			f.key, f.at = Key{x.ID, Manner(m)}, l
			d.anew(f, d.state.rev(f.key))
		}
		d.lives[x.ID] = l
	}
	l.Life = x
	h := l.service
	d.stir(h)
	at, had := slices.BinarySearchFunc(h.lives, x.ID, func(l *life, id LifeID) int {
		return Key{ID: l.ID}.compare(Key{ID: id})
	})
	if is := x.Phase == Ready; is && !had {
		h.lives = slices.Insert(h.lives, at, l)
	} else if !is && had {
		h.lives = slices.Delete(h.lives, at, at+1)
	}
	if x.Phase != Ready { // it gets nothing new, and what is told of it now is not about the service
		delete(d.lives, x.ID)
		for m := range l.files {
			d.bound(&l.files[m], Open, false) // one that comes back begins so
			delete(d.busy, l.files[m].key)
		}
		if len(h.lives) == 0 {
			delete(d.services, h.name)
		}
	}
	d.bind()
}

// Manner is how a route's requests judge and are bound.
func (d *Node) Manner(route string, effectful bool) Manner {
	if !d.state.On() {
		return Unjudged
	}
	return d.state.Settings().Manner(route, effectful)
}

// Rev is kept with a submission, for its end.
func (d *Node) Rev(k Key) uint64 { return d.state.rev(k) }

// Ended takes the one end of a submission that was sent at a time under a rev.
func (d *Node) Ended(k Key, rev uint64, sent time.Duration, seen Seen) {
	l := d.lives[k.ID]
	kind := seen.Kind()
	if l == nil || !d.state.On() {
		return
	}
	if seen.answered() {
		l.endAt = d.now
		p := d.paths[l.Zone]
		if p == nil {
			p = &path{last: d.now, calm: d.now, usual: gapMost.Seconds() / gapTimes}
			d.paths[l.Zone] = p
		}
		p.heard(d.now)
	}
	if kind == Reset {
		d.resets = append(d.resets, reset{k.ID, d.now})
	}
	d.saw(l, k, rev, kind, sent)
}

// Saw takes what is no end of a submission: Stray and Second, by the rev under which the connection's last was sent.
func (d *Node) Saw(k Key, rev uint64, kind Kind) {
	if l := d.lives[k.ID]; l != nil && d.state.On() {
		d.saw(l, k, rev, kind, d.now)
	}
}

func (d *Node) saw(l *life, k Key, rev uint64, kind Kind, sent time.Duration) {
	if k.Manner >= manners || kind == None {
		return
	}
	f := &l.files[k.Manner]
	if f.rev != rev {
		return
	}
	switch {
	case kind == Clean:
		w := f.ring.at(d.now)
		w.Clean++
		w.Took += uint32((d.now - sent).Milliseconds())
		l.service.rings[k.Manner].at(d.now).Clean++
		f.Clean++
		if s := &l.files[Strict]; k.Manner == Patient && s.rev > 0 {
			s.Reads++
		}
	case weights[kind][k.Manner] == Nothing:
	case kind == Lost || kind == Reset: // a link may have done that
		if k.Manner == Strict && d.mayHold(l) {
			f.waits++
		}
		d.held = append(d.held, held{piece{kind, d.now, d.now - sent}, f, rev, sent})
		d.busy[k] = f
		d.stir(l.service)
	default:
		d.count(f, piece{kind, d.now, 0})
	}
	d.bind()
}

// count takes what only the backend can have done, or what was held back long enough.
func (d *Node) count(f *file, p piece) {
	m := f.key.Manner
	if weights[p.kind][m] != Half { // those have a rule of their own
		f.ring.at(d.now).Failing++
		f.at.service.rings[m].at(d.now).Failing++
		f.Failing++
	}
	d.busy[f.key] = f
	if weights[p.kind][m] == Share {
		if f.ring.sum(d.now).share() >= low[m] {
			f.tell(tellSlow)
		}
		return
	}
	if f.pieces = append(f.pieces, p); len(f.pieces) > piecesMost {
		f.pieces = f.pieces[1:]
	}
	f.tell(tellPace)
	if m == Strict && d.mayHold(f.at) {
		f.until = d.now + holdFor<<min(f.holds, holdTimes)
		f.holds++
	}
	d.stir(f.at.service)
}

// tell wants the file told within a time.
func (f *file) tell(in time.Duration) {
	if f.news == 0 || in < f.news {
		f.news = in
	}
}

// mayHold bounds what a node holds off by itself: one that sees more than half fail doubts itself.
func (d *Node) mayHold(l *life) bool {
	h, n := l.service, 0
	for _, o := range h.lives {
		if f := &o.files[Strict]; o != l && f.holding(d.now) {
			n++
		}
	}
	if n+1 > max(1, len(h.lives)/2) {
		h.doubt = d.now + windowLong
		return false
	}
	return true
}

func (f *file) holding(now time.Duration) bool { return f.waits > 0 || f.until > now }

// Probed takes the answer to a probe: which life answered, "" if none did, and whether it is well.
func (d *Node) Probed(id, by LifeID, well bool) {
	l := d.lives[id]
	if l == nil || !d.state.On() {
		return
	}
	l.endAt = d.now
	for m := range l.files {
		f := &l.files[m]
		switch {
		case by != "" && by != id:
			d.count(f, piece{Stranger, d.now, 0})
		case well && by == id:
			f.Probes++
		default:
			f.Probes = 0
		}
	}
	d.bind()
}

// Asked takes the duty's question.
func (d *Node) Asked(a Ask) {
	for _, k := range a.Keys {
		if l := d.lives[k.ID]; l != nil && k.Manner < manners {
			l.files[k.Manner].news = atOnce
			d.busy[k] = &l.files[k.Manner]
		}
	}
	d.report(a.Keys)
}

// Now sets the clock.
func (d *Node) Now(now time.Duration) {
	d.now = max(d.now, now)
	d.settle()
	keys := slices.SortedFunc(maps.Keys(d.busy), Key.compare)
	for _, k := range keys {
		d.look(d.busy[k])
	}
	for _, h := range d.services {
		if h.empty > 0 && d.now-h.empty >= emptyEvery {
			d.stir(h)
		}
	}
	d.silent()
	d.bind()
	d.report(keys)
}

// settle tells of what was held back, or drops it as a link's or this node's own.
func (d *Node) settle() {
	due := 0
	for _, x := range d.held {
		if d.now-x.at < heldBack {
			break
		}
		due++
		f := x.file
		if f.rev != x.rev || d.lives[f.key.ID] != f.at {
			continue
		}
		f.waits = max(f.waits-1, 0)
		d.stir(f.at.service)
		others := map[LifeID]bool{}
		for _, r := range d.resets {
			if x.kind == Reset && r.id != f.key.ID && (r.at-x.at).Abs() <= heldBack {
				others[r.id] = true
			}
		}
		// A cut makes no resets, and what it broke shows at several backends at once.
		if !d.cut && len(others) < resetsMost && (x.kind == Reset || d.paths[f.at.Zone].whole(x.sent, d.now)) {
			d.count(f, x.piece)
		}
	}
	d.held = d.held[due:]
	d.resets = slices.DeleteFunc(d.resets, func(r reset) bool { return d.now-r.at > 3*heldBack })
}

// look tends a file that is not at rest.
func (d *Node) look(f *file) {
	f.pieces = slices.DeleteFunc(f.pieces, func(p piece) bool { return d.now-p.at > pieceFor })
	if f.until > 0 && f.until <= d.now {
		f.until = 0
		d.stir(f.at.service)
	}
	c := d.state.Case(f.key)
	way := c != nil && c.Step != Free && d.state.On()
	if way {
		if f.Sums != f.said {
			f.tell(tellSlow)
		}
		if rest := rest(d.state, c); f.at.Kept && c.Step <= Reads && c.Step.next(f.key.Manner) != Free && d.now-f.since >= rest {
			d.probe(f.at)
		}
	} else if len(f.pieces) == 0 && f.waits == 0 && f.until == 0 && f.news == 0 {
		delete(d.busy, f.key)
	}
	if len(f.pieces) > 0 && d.now-f.told >= tellAgain {
		f.tell(atOnce)
	}
}

func (d *Node) probe(l *life) {
	if d.now-l.probed >= probePace {
		l.probed = d.now
		d.do(Probe{l.ID})
	}
}

// silent has those in service probed that this node keeps and has not heard, where the settings say so.
func (d *Node) silent() {
	after := time.Duration(d.state.Settings().ProbeSilent)
	if after == 0 || !d.state.On() {
		return
	}
	for _, h := range d.services {
		for _, l := range h.lives {
			if l.Kept && d.now-max(l.endAt, l.probed) >= after {
				d.probe(l)
			}
		}
	}
}

// report tells what is due.
func (d *Node) report(keys []Key) {
	if d.cut || !d.state.On() {
		return
	}
	var files []File
	doubt := false
	for _, k := range keys {
		f := d.busy[k]
		if f == nil || f.news == 0 || d.now-f.told < f.news && f.told > 0 {
			continue
		}
		h := f.at.service
		x := File{Key: k, Rev: f.rev, Window: f.ring.sum(d.now), Rest: h.rings[k.Manner].sum(d.now),
			Sums: f.Sums}
		if k.Manner == Strict && (len(f.pieces) > 0 || f.news == atOnce) {
			x.Late, x.Into = f.ring.late(d.now), d.now%slotLong
		}
		f.news, f.told, f.said = 0, d.now, f.Sums
		for _, p := range f.pieces {
			x.Pieces = append(x.Pieces, Piece{p.kind, d.now - p.at, p.wait})
		}
		doubt = doubt || h.doubt > d.now
		if files = append(files, x); len(files) == tellMost {
			break // the rest with the next turn
		}
	}
	if len(files) > 0 {
		d.seq++
		d.do(Tell{Report{d.zone, d.life, d.seq, doubt, files}})
	}
}

// bind tells the host what changed in what backends get.
func (d *Node) bind() {
	for _, h := range d.dirty {
		h.dirty = false
		d.bindPatient(h)
		d.bindStrict(h)
	}
	d.dirty = d.dirty[:0]
}

func (d *Node) verdict(k Key) Bind {
	if c := d.state.Case(k); c != nil && d.state.On() {
		return c.bind()
	}
	return Open
}

// bindPatient keeps the least sick in service down to the floor.
func (d *Node) bindPatient(h *service) {
	var out []*Case
	for _, l := range h.lives {
		if k := l.files[Patient].key; d.verdict(k) != Open {
			out = append(out, d.state.Case(k))
		}
	}
	slices.SortFunc(out, func(a, b *Case) int {
		switch { // the least sick first
		case a.Step != b.Step:
			return int(b.Step) - int(a.Step)
		case a.Score != b.Score:
			return a.Score - b.Score
		}
		return a.compare(b.Key)
	})
	short := max(0, d.state.Settings().floor(len(h.lives))-(len(h.lives)-len(out)))
	invariant.That(short <= len(out), "a floor is not above all")
	kept := map[LifeID]bool{}
	for _, c := range out[:short] {
		kept[c.ID] = true
	}
	for _, l := range h.lives {
		if f := &l.files[Patient]; kept[l.ID] {
			d.bound(f, Open, false)
		} else {
			d.bound(f, d.verdict(f.key), false)
		}
	}
}

// bindStrict has no floor: a write is better refused than lost.
func (d *Node) bindStrict(h *service) {
	some := false
	for _, l := range h.lives {
		f := &l.files[Strict]
		b := d.verdict(f.key)
		own := b != Shut && d.state.On() && f.holding(d.now)
		if own {
			b = Shut
		}
		some = some || b != Shut
		d.bound(f, b, own)
	}
	switch {
	case some || len(h.lives) == 0:
		h.empty = 0
	case h.empty == 0 || d.now-h.empty >= emptyEvery:
		h.empty = d.now
		d.do(Empty{h.name, Strict, len(h.lives)})
	}
}

func (d *Node) bound(f *file, b Bind, own bool) {
	if f.bound == b && f.own == own {
		return
	}
	f.bound, f.own = b, own
	d.do(Bound{f.key, b, time.Duration(d.nodes) * time.Second / trickleAll, own})
}
