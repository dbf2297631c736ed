package registry

import (
	"cmp"
	"slices"
)

// join adds what a word says to what is known. It is the same in every order and repetition: the newest Seq
// gives the facts, the highest fence the registrar; draining and leaving stay. A silence counts only at exactly
// the newest Seq and fence: a later beat revives, and an older registrar does not undo a newer one. It tells
// whether the backend was gone and lives again.
func (b *Registry) join(e *entry, w Record) (revived bool) {
	was := e.phase()
	quiet := w.Phase == Gone && !w.Final
	seq, fence := max(e.w.Seq, w.Seq), max(e.w.Fence, w.Fence)
	gone := e.gone && e.w.Seq == seq && e.w.Fence == fence || quiet && w.Seq == seq && w.Fence == fence
	if w.Service != "" && (w.Seq > e.w.Seq || e.w.Service == "") {
		b.facts(e, w)
	}
	if w.Seq > e.w.Seq {
		e.beatAt, e.here = b.now, false
	}
	if w.Fence > e.w.Fence || w.Fence == e.w.Fence && w.Keeper > e.w.Keeper {
		b.registrar(e, w.Keeper, w.Missed)
	}
	e.w.Seq, e.w.Fence = seq, fence
	e.w.Drained = e.w.Drained || w.Drained || w.Phase == Draining
	e.w.Final = e.w.Final || w.Final
	e.born = min(e.born, b.now-w.Age)
	b.quiet(e, was, gone)
	b.touch(e)
	return was == Gone && e.phase() != Gone
}

// facts takes what the backend says of itself.
func (b *Registry) facts(e *entry, w Record) {
	if e.w.Addr != w.Addr {
		b.move(e, w.Addr)
	}
	e.w.Service, e.w.Zone, e.w.Generation, e.w.Capacity = w.Service, w.Zone, w.Generation, w.Capacity
	// Each beat says it a little differently; only what matters counts.
	if cold := b.now + w.ColdLeft; w.ColdLeft > 0 && max(cold-e.cold, e.cold-cold) > tick {
		e.cold = cold
	}
}

// registrar notes who watches from now on.
func (b *Registry) registrar(e *entry, to, missed Slot) {
	if e.w.Keeper == b.me && to != b.me && b.lost(to) {
		// Another node hears a registrar that this one does not: it is not to be taken from it again and again.
		e.shy = b.now + shyBeats*b.terms.BeatInterval
	}
	e.w.Keeper, e.w.Missed = to, missed
	e.kept, e.beatAt = b.now, b.now
}

// quiet sets what a silence says and counts the gone.
func (b *Registry) quiet(e *entry, was Phase, gone bool) {
	e.gone, e.doubt = gone, gone && e.doubt
	switch is := e.phase(); {
	case was != Gone && is == Gone:
		b.gone++
		e.goneAt = b.now
	case was == Gone && is != Gone:
		b.gone--
	}
}

// hush marks one as gone by silence.
func (b *Registry) hush(e *entry) {
	b.quiet(e, e.phase(), true)
	b.touch(e)
}

// move files the entry under another address.
func (b *Registry) move(e *entry, addr string) {
	b.unfile(e)
	if e.w.Addr = addr; addr == "" {
		return
	}
	b.byAddr[addr] = append(b.byAddr[addr], e)
}

func (b *Registry) unfile(e *entry) {
	if e.w.Addr == "" {
		return
	}
	rest := slices.DeleteFunc(b.byAddr[e.w.Addr], func(x *entry) bool { return x == e })
	for _, x := range rest {
		b.queue(x)
	}
	if len(rest) == 0 {
		delete(b.byAddr, e.w.Addr)
	} else {
		b.byAddr[e.w.Addr] = rest
	}
}

// touch has the views looked at of all that share the address.
func (b *Registry) touch(e *entry) {
	b.queue(e)
	for _, x := range b.byAddr[e.w.Addr] {
		b.queue(x)
	}
}

func (b *Registry) queue(e *entry) {
	if !e.queued {
		e.queued = true
		b.fresh = append(b.fresh, e)
	}
}

// displaced tells that a younger one lives at the same address.
func (b *Registry) displaced(e *entry) bool {
	for _, x := range b.byAddr[e.w.Addr] {
		if x != e && x.phase() != Gone && (x.born > e.born || x.born == e.born && x.w.ID > e.w.ID) {
			return true
		}
	}
	return false
}

func (b *Registry) view(e *entry) Phase {
	if e.w.Service == "" || b.displaced(e) {
		return Gone
	}
	return e.phase()
}

// show gives the view where it differs from the last shown.
func (b *Registry) show(e *entry) (Action, bool) {
	w := b.record(e)
	w.Phase = b.view(e)
	same := w.Service == e.shown.Service && w.Addr == e.shown.Addr && w.Zone == e.shown.Zone &&
		w.Generation == e.shown.Generation && w.Capacity == e.shown.Capacity && w.Phase == e.shown.Phase &&
		e.cold == e.shownCold
	if same || !e.everShown && w.Phase == Gone {
		return nil, false
	}
	e.shown, e.shownCold, e.everShown = w, e.cold, true
	return Changed{Word: w, ColdUntil: e.cold}, true
}

// forget drops what has been gone for long, and the oldest where there are too many.
func (b *Registry) forget() {
	var dead []*entry
	for _, e := range b.list {
		if e.phase() == Gone {
			dead = append(dead, e)
		}
	}
	slices.SortStableFunc(dead, func(x, y *entry) int { return cmp.Compare(x.goneAt, y.goneAt) })
	over := max(len(dead)-tombs, len(b.all)-most+1)
	for i, e := range dead {
		if i >= over && b.now-e.goneAt < tombFor {
			break
		}
		b.unfile(e)
		delete(b.all, e.w.ID)
		b.gone--
	}
	b.list = slices.DeleteFunc(b.list, func(e *entry) bool { return b.all[e.w.ID] != e })
}
