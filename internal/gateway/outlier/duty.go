package outlier

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

const (
	askAgain   = time.Second            // a question, or an entry that did not come back through the log
	askFor     = 500 * time.Millisecond // after which half of the nodes are enough
	freshFor   = 2 * time.Second        // a window that was told longer ago is not the present one
	lossFor    = 4 * time.Second        // after which nobody can tell any more what else was answered then
	vouchLeast = 2                      // clean answers that tell a lost one from a late one
	vouchTimes = 6                      // in so small a part of its time
	restLeast  = 20                     // ends of the rest to compare with
	restTimes  = 2                      // its failing share, at least
	strictOver = 0.05                   // beyond strictRest times the rest's
	strictRest = 4
	patientAll = 0.5
	restMost   = 10 * time.Minute
	probesBack = 3  // clean ones in a row
	readsBack  = 20 // and clean ends, in the steps back
	writesBack = 40
	writesLast = 4  // doublings
	nodesBack  = 4  // from so many nodes at the least, where there are
	worthFail  = 10 // clean ends that one failing costs
	filesMost  = 4096
	unknownFor = 60 * time.Second // a life that no registry knows
)

// failLeast are failing ends that make a verdict by their share; failAsk, of those told, that make a question.
const failAsk = 2

var failLeast = [manners]uint32{5, 8}

// Coordinator is the one node's part that judges for all. It may be taken over at any time by another with a higher fence:
// what it needs is told again within two seconds.
type Coordinator struct {
	queue
	now     time.Duration
	began   time.Duration
	fence   uint64
	nodes   int
	state   *State
	lives   map[LifeID]Life
	files   map[Key]*dossier
	ways    map[Key]*way
	forgot  time.Duration
	askKeys []Key
}

// dossier is what all nodes have of a key.
type dossier struct {
	by    map[Slot]*told
	news  bool
	asked time.Duration
	said  time.Duration // last proposal
	lost  map[Slot]lost // by witnesses
}

// lost is the newest half of a proof of a witness that others bore out.
type lost struct {
	rev uint64
	at  time.Duration
}

type told struct {
	File
	zone  string
	life  uint64
	seq   uint64
	doubt bool
	at    time.Duration
}

// way is that of a case back into service.
type way struct {
	rev   uint64
	since time.Duration
	said  time.Duration
}

// NewCoordinator makes one. The fence must be above that of whoever had the duty before.
func NewCoordinator(fence uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, began: now, fence: fence, nodes: 1, state: NewState(), lives: map[LifeID]Life{},
		files: map[Key]*dossier{}, ways: map[Key]*way{}, forgot: now}
}

// SetNodes says how many live.
func (d *Coordinator) SetNodes(n int) { d.nodes = max(n, 1) }

// Fold takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (d *Coordinator) Fold(s *State, e *Entry) {
	d.state = s
	if e != nil && e.Verb != Set && e.Verb != Forget {
		d.ways[e.Key] = &way{rev: s.rev(e.Key), since: d.now, said: -askAgain}
		return
	}
	for i := range s.Cases() {
		if c := &s.Cases()[i]; d.ways[c.Key] == nil {
			d.ways[c.Key] = &way{rev: c.Rev, since: d.now, said: -askAgain}
		}
	}
	maps.DeleteFunc(d.ways, func(k Key, _ *way) bool { return s.Case(k) == nil })
}

// Life takes what the registry tells of a backend.
func (d *Coordinator) Life(l Life) {
	if d.lives[l.ID] = l; l.Phase == Gone {
		for m := range manners {
			delete(d.files, Key{l.ID, m})
		}
		if !slices.ContainsFunc(d.state.Cases(), func(c Case) bool { return c.ID == l.ID }) {
			delete(d.lives, l.ID)
		}
	}
}

// Heard takes a report.
func (d *Coordinator) Heard(from Slot, r Report) {
	for _, f := range r.Files {
		l, ok := d.lives[f.ID]
		if !ok || l.Phase != Ready || !f.sound() || !d.state.On() {
			continue
		}
		x := d.files[f.Key]
		if x == nil {
			if len(d.files) >= filesMost {
				continue
			}
			x = &dossier{by: map[Slot]*told{}, lost: map[Slot]lost{}, asked: -askAgain, said: -askAgain}
			d.files[f.Key] = x
		}
		if t := x.by[from]; t != nil && t.life == r.Life && t.seq >= r.Seq {
			continue
		}
		x.by[from], x.news = &told{f, r.Zone, r.Life, r.Seq, r.Doubt, d.now}, true
	}
}

// Now sets the clock and judges what is new.
func (d *Coordinator) Now(now time.Duration) {
	d.now = max(d.now, now)
	if !d.state.On() {
		return
	}
	for _, k := range slices.SortedFunc(maps.Keys(d.files), Key.compare) {
		x := d.files[k]
		if x.news {
			x.news = false
			d.judge(k, x)
		}
		if !d.lively(x) {
			delete(d.files, k)
		}
	}
	for len(d.askKeys) > 0 {
		n := min(len(d.askKeys), tellMost)
		d.do(AskAll{Ask{d.askKeys[:n:n]}})
		d.askKeys = d.askKeys[n:]
	}
	for i := range d.state.Cases() {
		d.back(&d.state.Cases()[i])
	}
	d.forget()
}

// lively tells whether anything of a dossier may still count.
func (d *Coordinator) lively(x *dossier) bool {
	for _, t := range x.by {
		if d.now-t.at <= pieceFor {
			return true
		}
	}
	return false
}

// Rules of a verdict.
const (
	byProof = "proof"
	byLinks = "lost"
	byShare = "failing"
)

// judge holds what all nodes have of a key against the three rules.
func (d *Coordinator) judge(k Key, x *dossier) {
	l, c := d.lives[k.ID], d.state.Case(k)
	if l.Phase != Ready || c != nil && c.Step == Out {
		return
	}
	rev, back, mute := d.state.rev(k), c != nil && c.Step != Free, membership.NoSlot
	if back {
		mute = c.Alone // whoever alone had it out has no say on its way back
	}
	var proofs []Slot
	doubt := false
	var pieces []Piece
	var all, most Window // most: what one node has that has most failing
	for _, s := range slices.Sorted(maps.Keys(x.by)) {
		t := x.by[s]
		if t.Rev != rev || s == mute {
			continue
		}
		proof := false
		for _, p := range t.Pieces {
			if p.Age+d.now-t.at <= pieceFor {
				proof, pieces = proof || weights[p.Kind][k.Manner] == Proof, append(pieces, p)
			}
		}
		if proof {
			proofs, doubt = append(proofs, s), doubt || t.doubt
		}
		if d.now-t.at <= freshFor {
			if all.add(t.Window); t.Window.Failing > most.Failing {
				most = t.Window
			}
		}
	}
	if d.nodes == 1 {
		most = Window{}
	}
	halves, sure := d.losses(k, x, rev, mute)
	links := len(halves) > 0 && (len(halves)+len(proofs) > 1 || back) && sure && d.answered(k, x) && d.near(x, l, rev, halves)
	both, suffice := slices.Clone(proofs), len(proofs)
	for _, s := range halves {
		if links && !slices.Contains(proofs, s) {
			both = append(both, s)
		}
	}
	if doubt {
		suffice = 0
	}
	if len(proofs) > 0 && d.convict(k, x, byProof, both, suffice, pieces, all) {
		return
	}
	suffice = 0
	if back { // in a trickle one that is lost is enough
		suffice = len(halves)
	}
	if links && d.convict(k, x, byLinks, halves, suffice, pieces, all) {
		return
	}
	if w := all.minus(most); w.Failing >= failAsk && w.share() >= low[k.Manner] && d.answered(k, x) {
		if slots, ok := d.fails(k, x, rev, mute, all); ok {
			suffice = 0
			if d.nodes == 1 {
				suffice = 1
			}
			d.convict(k, x, byShare, slots, suffice, pieces, all)
		}
	}
}

// answered asks all nodes about a key, and tells whether enough have answered.
func (d *Coordinator) answered(k Key, x *dossier) bool {
	n := 0
	for _, t := range x.by {
		if t.at >= x.asked {
			n++
		}
	}
	since := d.now - x.asked
	if since < askAgain && (4*n >= 3*d.nodes || 2*n >= d.nodes && since >= askFor) {
		return true
	}
	x.news = true
	if since >= askAgain {
		x.asked = d.now
		d.askKeys = append(d.askKeys, k)
	}
	return false
}

// near tells whether one of the witnesses is in the backend's zone, or nobody there has had an end of it: links from
// elsewhere may be bad.
func (d *Coordinator) near(x *dossier, l Life, rev uint64, slots []Slot) bool {
	local := false
	for s, t := range x.by {
		if t.zone == l.Zone && slices.Contains(slots, s) {
			return true
		}
		local = local || t.zone == l.Zone && t.Rev == rev && d.now-t.at <= freshFor && t.Window.ends() > 0
	}
	return !local
}

// vouched tells a lost answer from a late one: in the second half of its time others came, in a small part of it, and not
// by one node's word.
func (x *dossier) vouched(rev uint64, p Piece, at time.Duration, nodes int) bool {
	var all, most Window
	for _, t := range x.by {
		var sum Window
		for i, w := range t.Late {
			to := t.at - t.Into - time.Duration(i)*slotLong
			if t.Rev == rev && to <= at && to-slotLong >= at-p.Wait/2 {
				sum.add(w)
			}
		}
		if all.add(sum); sum.Clean > most.Clean {
			most = sum
		}
	}
	quick := func(w Window) bool {
		return w.Clean > 0 && time.Duration(w.Took/w.Clean)*time.Millisecond <= p.Wait/vouchTimes
	}
	return all.Clean >= vouchLeast && quick(all) && (nodes == 1 || quick(all.minus(most)))
}

// losses are the witnesses of halves that others bear out; false where that is still asked.
func (d *Coordinator) losses(k Key, x *dossier, rev uint64, mute Slot) (slots []Slot, sure bool) {
	sure = true
	for _, s := range slices.Sorted(maps.Keys(x.by)) {
		t := x.by[s]
		if t.Rev != rev || s == mute {
			continue
		}
		for _, p := range t.Pieces {
			at := t.at - p.Age
			if weights[p.Kind][k.Manner] != Half || x.lost[s].rev == rev && x.lost[s].at >= at-slotLong || d.now-at > lossFor {
				continue
			}
			if p.Kind == Lost && !d.answered(k, x) {
				sure = false
			} else if p.Kind == Reset || x.vouched(rev, p, at, d.nodes) {
				x.lost[s] = lost{rev, at}
			}
		}
		if o, ok := x.lost[s]; ok && o.rev == rev && d.now-o.at <= pieceFor {
			slots = append(slots, s)
		}
	}
	return slots, sure
}

// fails holds the failing share against the rest's, without any one node.
func (d *Coordinator) fails(k Key, x *dossier, rev uint64, mute Slot, all Window) (slots []Slot, is bool) {
	var rest Window
	by := map[Slot]Window{} // what each node has of the rest
	for s, t := range x.by {
		if d.now-t.at <= freshFor {
			by[s] = t.Rest
		}
	}
	for o, y := range d.files { // those that are in doubt themselves are no rest
		if o.Manner != k.Manner || d.lives[o.ID].Service != d.lives[k.ID].Service {
			continue
		}
		var w Window
		for _, t := range y.by {
			if d.now-t.at <= freshFor {
				w.add(t.Window)
			}
		}
		if o != k && (w.Failing < 2 || w.share() < low[k.Manner]) {
			continue
		}
		for s, t := range y.by {
			if d.now-t.at <= freshFor {
				by[s] = by[s].minus(t.Window)
			}
		}
	}
	for _, w := range by {
		rest.add(w)
	}
	sick := func(w, rest Window) bool {
		asked := max(patientAll, restTimes*rest.share())
		if k.Manner == Strict {
			asked = strictOver + strictRest*rest.share()
		}
		return rest.ends() >= restLeast && w.Failing >= failLeast[k.Manner] && w.share() >= asked
	}
	if !sick(all, rest) {
		return nil, false
	}
	for s, t := range x.by {
		if d.now-t.at > freshFor {
			continue
		}
		w := all
		if t.Rev == rev && s != mute {
			w = all.minus(t.Window)
			if t.Window.Failing > 0 {
				slots = append(slots, s)
			}
		}
		if d.nodes > 1 && !sick(w, rest.minus(by[s])) {
			return nil, false
		}
	}
	slices.SortFunc(slots, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(x.by[b].Window.Failing, x.by[a].Window.Failing), cmp.Compare(a, b))
	})
	return slots, len(slots) > 0
}

// convict proposes a verdict; false where the state would not take it.
func (d *Coordinator) convict(k Key, x *dossier, rule string, slots []Slot, suffice int, pieces []Piece, all Window) bool {
	l := d.lives[k.ID]
	backs := 0
	for _, o := range d.lives {
		if o.Service == l.Service && o.Phase == Ready {
			backs++
		}
	}
	e := Entry{Verb: Convict, Rev: d.state.rev(k), Key: k, Service: l.Service, Witnesses: slots[:min(len(slots), witnesses)],
		Suffice: suffice, Backs: backs, Score: int(1000 * all.share()), Why: rule + ": " + words(pieces, all)}
	return d.propose(e, &x.said)
}

// propose puts an entry forward if the state would take it now, and again where it does not come back.
func (d *Coordinator) propose(e Entry, said *time.Duration) bool {
	e.By, e.Fence = "duty", d.fence
	if v, _ := d.state.Decide(&e); v != routing.Taken {
		return false
	}
	if d.now-*said >= askAgain {
		*said = d.now
		d.do(Propose{e})
	}
	return true
}

// rest is how long a case stays out at the least.
func rest(s *State, c *Case) time.Duration {
	return min(time.Duration(s.Settings().Rest)<<c.Falls, restMost)
}

// need is what a step asks for, in clean ends; a probe counts for two reads where a service has none.
func (c *Case) need() uint32 {
	if c.Step == Writes {
		return writesBack << min(c.Falls, writesLast)
	}
	return readsBack
}

// back takes a case one step on where what is asked for has come, from several nodes: one alone may lie.
func (d *Coordinator) back(c *Case) {
	w, l := d.ways[c.Key], d.lives[c.ID]
	if c.Step == Free || w == nil || l.ID == "" || l.Phase != Ready {
		return
	}
	var sum Sums
	worst := uint32(0) // what the one node says that says most: one alone may lie
	if x := d.files[c.Key]; x != nil {
		most := c.need()/min(uint32(d.nodes), nodesBack) + 1
		for _, t := range x.by {
			if t.Rev == c.Rev {
				sum.add(Sums{Clean: min(t.Clean, most), Failing: t.Failing, Reads: min(t.Reads, most), Probes: t.Probes})
				worst = max(worst, t.Failing)
			}
		}
	}
	if d.nodes > 1 {
		sum.Failing -= worst
	}
	e := Entry{Verb: Parole, Rev: c.Rev, Key: c.Key, Service: c.Service,
		Why: fmt.Sprintf("%d clean ends, %d failing, %d clean reads, %d probes", sum.Clean, sum.Failing, sum.Reads, sum.Probes)}
	if c.Step.next(c.Manner) == Free {
		e.Verb = Acquit
	}
	ready := false
	switch {
	case c.Step == Out:
		ready = d.now-w.since >= rest(d.state, c) && sum.Probes >= probesBack
	case c.Step == Reads && c.Manner == Strict:
		ready = sum.Reads+2*sum.Probes >= c.need()
	default:
		ready = sum.Clean >= c.need()+worthFail*sum.Failing
	}
	if ready {
		d.propose(e, &w.said)
	}
}

// forget drops the cases of lives that are gone, or that no registry has known for long.
func (d *Coordinator) forget() {
	if d.now-d.forgot < askAgain {
		return
	}
	var gone []LifeID
	for i := range d.state.Cases() {
		id := d.state.Cases()[i].ID
		l, known := d.lives[id]
		if (known && l.Phase == Gone || !known && d.now-d.began > unknownFor) && !slices.Contains(gone, id) {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.propose(Entry{Verb: Forget, Gone: gone}, &d.forgot)
	}
	maps.DeleteFunc(d.lives, func(id LifeID, l Life) bool {
		return l.Phase == Gone && d.state.Case(Key{id, Strict}) == nil && d.state.Case(Key{id, Patient}) == nil
	})
}
