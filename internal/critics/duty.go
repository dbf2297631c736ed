package critics

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"clovergap/internal/company"
	"clovergap/internal/playbill"
)

const (
	askAgain   = time.Second            // a question, or an entry that did not come back through the log
	askFor     = 500 * time.Millisecond // after which half of the doors are enough
	freshFor   = 2 * time.Second        // a window that was told longer ago is not the present one
	vouchLeast = 3                      // clean answers that tell a lost one from a late one
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
	worthFail  = 10 // clean ends that one failing costs
	filesMost  = 4096
	unknownFor = 60 * time.Second // a life that no callboard knows
)

var failLeast = [manners]uint32{5, 8}

// Duty is the one door's part that judges for all. It may be taken over at any time by another with a higher fence:
// what it needs is told again within two seconds.
type Duty struct {
	queue
	now     time.Duration
	began   time.Duration
	fence   uint64
	doors   int
	state   *State
	lives   map[LifeID]Life
	files   map[Key]*dossier
	ways    map[Key]*way
	forgot  time.Duration
	askKeys []Key
}

// dossier is what all doors have of a key.
type dossier struct {
	by    map[Seat]*told
	news  bool
	asked time.Duration
	said  time.Duration // last proposal
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

// NewDuty makes one. The fence must be above that of whoever had the duty before.
func NewDuty(fence uint64, now time.Duration) *Duty {
	return &Duty{now: now, began: now, fence: fence, doors: 1, state: NewState(), lives: map[LifeID]Life{},
		files: map[Key]*dossier{}, ways: map[Key]*way{}, forgot: now}
}

// Doors says how many live.
func (d *Duty) Doors(n int) { d.doors = max(n, 1) }

// Fold takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (d *Duty) Fold(s *State, e *Entry) {
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

// Life takes what the callboard tells of a backend.
func (d *Duty) Life(l Life) {
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
func (d *Duty) Heard(from Seat, r Report) {
	for _, f := range r.Files {
		l, ok := d.lives[f.ID]
		if !ok || l.Phase != Ready || f.Manner >= manners || len(f.Pieces) > piecesMost || !d.state.On() {
			continue
		}
		x := d.files[f.Key]
		if x == nil {
			if len(d.files) >= filesMost {
				continue
			}
			x = &dossier{by: map[Seat]*told{}, asked: -askAgain, said: -askAgain}
			d.files[f.Key] = x
		}
		if t := x.by[from]; t != nil && t.life == r.Life && t.seq >= r.Seq {
			continue
		}
		x.by[from], x.news = &told{f, r.Zone, r.Life, r.Seq, r.Doubt, d.now}, true
	}
}

// Now sets the clock and judges what is new.
func (d *Duty) Now(now time.Duration) {
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
func (d *Duty) lively(x *dossier) bool {
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
	byLinks = "lost by two doors"
	byShare = "failing"
)

// judge holds what all doors have of a key against the three rules.
func (d *Duty) judge(k Key, x *dossier) {
	l, c := d.lives[k.ID], d.state.Case(k)
	if l.Phase != Ready || c != nil && c.Step == Out {
		return
	}
	rev, back, mute := d.state.rev(k), c != nil && c.Step != Free, company.NoSeat
	if back {
		mute = c.Alone // whoever alone had it out has no say on its way back
	}
	var proofs, halves []Seat
	doubt := false
	var pieces []Piece
	var all Window
	for _, s := range slices.Sorted(maps.Keys(x.by)) {
		t := x.by[s]
		if t.Rev != rev || s == mute {
			continue
		}
		most := Nothing
		for _, p := range t.Pieces {
			if p.Age+d.now-t.at <= pieceFor {
				most, pieces = max(most, weights[p.Kind][k.Manner]), append(pieces, p)
			}
		}
		switch most {
		case Proof:
			proofs, doubt = append(proofs, s), t.doubt
		case Half:
			halves = append(halves, s)
		}
		if d.now-t.at <= freshFor {
			all.add(t.Window)
		}
	}
	if both := append(proofs, halves...); len(proofs) > 0 && (len(both) > 1 || !doubt) {
		if d.convict(k, x, byProof, both, pieces, all) {
			return
		}
	}
	links := len(halves) > 1 || back && len(halves) > 0
	shares := all.Failing >= failLeast[k.Manner] && all.share() >= low[k.Manner]
	if !links && !shares || !d.answered(k, x) {
		return
	}
	if links && d.near(x, l, rev, halves) && vouched(pieces, all) && d.convict(k, x, byLinks, halves, pieces, all) {
		return
	}
	if shares {
		if seats, ok := d.fails(k, x, rev, mute, all); ok {
			d.convict(k, x, byShare, seats, pieces, all)
		}
	}
}

// answered asks all doors about a key, and tells whether enough have answered.
func (d *Duty) answered(k Key, x *dossier) bool {
	n := 0
	for _, t := range x.by {
		if t.at >= x.asked {
			n++
		}
	}
	since := d.now - x.asked
	if since < askAgain && (4*n >= 3*d.doors || 2*n >= d.doors && since >= askFor) {
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
func (d *Duty) near(x *dossier, l Life, rev uint64, seats []Seat) bool {
	local := false
	for s, t := range x.by {
		if t.zone == l.Zone && slices.Contains(seats, s) {
			return true
		}
		local = local || t.zone == l.Zone && t.Rev == rev && d.now-t.at <= freshFor && t.Window.ends() > 0
	}
	return !local
}

// vouched tells a lost answer from a late one: others came in a small part of its time.
func vouched(pieces []Piece, all Window) bool {
	wait := time.Duration(0)
	for _, p := range pieces {
		if p.Kind == Lost && (wait == 0 || p.Wait < wait) {
			wait = p.Wait
		}
	}
	if all.Clean < vouchLeast {
		return false
	}
	mean := time.Duration(all.Took/all.Clean) * time.Millisecond
	return wait == 0 || mean <= wait/vouchTimes
}

// fails holds the failing share against the rest's, without any one door.
func (d *Duty) fails(k Key, x *dossier, rev uint64, mute Seat, all Window) (seats []Seat, is bool) {
	var rest Window
	for _, t := range x.by {
		if d.now-t.at <= freshFor {
			rest.add(t.Rest)
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
		if o == k || w.Failing >= 2 && w.share() >= low[k.Manner] {
			rest = rest.minus(w)
		}
	}
	if rest.ends() < restLeast {
		return nil, false
	}
	asked := patientAll
	if k.Manner == Strict {
		asked = strictOver + strictRest*rest.share()
	}
	asked = max(asked, restTimes*rest.share())
	sick := func(w Window) bool { return w.Failing >= failLeast[k.Manner] && w.share() >= asked }
	if !sick(all) {
		return nil, false
	}
	for s, t := range x.by {
		if t.Rev != rev || s == mute || d.now-t.at > freshFor || t.Window.Failing == 0 {
			continue
		}
		if seats = append(seats, s); d.doors > 1 && !sick(all.minus(t.Window)) {
			return nil, false
		}
	}
	slices.SortFunc(seats, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(x.by[b].Window.Failing, x.by[a].Window.Failing), cmp.Compare(a, b))
	})
	return seats, len(seats) > 0
}

// convict proposes a verdict; false where the state would not take it.
func (d *Duty) convict(k Key, x *dossier, rule string, seats []Seat, pieces []Piece, all Window) bool {
	l := d.lives[k.ID]
	backs := 0
	for _, o := range d.lives {
		if o.Service == l.Service && o.Phase == Ready {
			backs++
		}
	}
	e := Entry{Verb: Convict, Rev: d.state.rev(k), Key: k, Service: l.Service, Witnesses: seats[:min(len(seats), witnesses)],
		Backs: backs, Score: int(1000 * all.share()), Why: rule + ": " + words(pieces, all)}
	return d.propose(e, &x.said)
}

// propose puts an entry forward if the state would take it now, and again where it does not come back.
func (d *Duty) propose(e Entry, said *time.Duration) bool {
	e.By, e.Fence = "duty", d.fence
	if v, _ := d.state.Decide(&e); v != playbill.Taken {
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

// back takes a case one step on where what is asked for has come.
func (d *Duty) back(c *Case) {
	w, l := d.ways[c.Key], d.lives[c.ID]
	if c.Step == Free || w == nil || l.ID == "" || l.Phase != Ready {
		return
	}
	var sum Sums
	if x := d.files[c.Key]; x != nil {
		for s, t := range x.by {
			if t.Rev != c.Rev {
				continue
			}
			if len(t.Pieces) > 0 && s != c.Alone {
				return
			}
			sum.add(t.Sums)
		}
	}
	clean := sum.Clean - min(sum.Clean, worthFail*sum.Failing)
	e := Entry{Verb: Parole, Rev: c.Rev, Key: c.Key, Service: c.Service}
	ready := false
	switch {
	case c.Step == Out:
		ready = d.now-w.since >= rest(d.state, c) && sum.Probes >= probesBack
		e.Why = fmt.Sprintf("%d clean probes", sum.Probes)
	case c.Step == Reads && c.Manner == Strict:
		ready = sum.Reads+2*sum.Probes >= readsBack
		e.Why = fmt.Sprintf("%d clean reads, %d clean probes", sum.Reads, sum.Probes)
	case c.Step == Reads:
		ready = clean >= readsBack
	case c.Step == Writes:
		ready = clean >= writesBack<<min(c.Falls, writesLast)
	}
	if c.Step.next(c.Manner) == Free {
		e.Verb, e.Why = Acquit, fmt.Sprintf("%d clean ends, %d failing", sum.Clean, sum.Failing)
	}
	if ready {
		d.propose(e, &w.said)
	}
}

// forget drops the cases of lives that are gone, or that no callboard has known for long.
func (d *Duty) forget() {
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
