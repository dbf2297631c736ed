package outlier

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/proxy/invariant"
)

const (
	linkEvidenceDelay   = 500 * time.Millisecond // what a link may have done, until it is told
	localEjectionTime   = 10 * time.Second       // a node's own hold, doubled each time
	maxLocalDoublings   = 3                      // so often
	reportNow           = 1
	reportDelay         = 200 * time.Millisecond // of news of a key
	slowReportDelay     = time.Second            // of what is no news yet
	reportRepeat        = 2 * time.Second        // while pieces count
	maxObservations     = 32                     // files of one report
	probeInterval       = time.Second
	noneAvailableRepeat = 5 * time.Second
	limitedPerSecond    = 10 // a second, of all nodes
	gapFactor           = 8  // the usual gap between answers of a zone
	minGap              = 300 * time.Millisecond
	maxGap              = 3 * time.Second
	gapSmoothing        = 0.05
	maxOtherResets      = 2 // other backends that reset at once: it was not theirs
)

// doubtRate is the share from which a backend is in doubt, and a node tells of it.
var doubtRate = [modeCount]float64{0.05, 0.3}

// Node is one node's part: a witness, and bound by verdicts.
type Node struct {
	actionQueue
	now          time.Duration
	zone         string
	incarnation  uint64
	seq          uint64
	nodeCount    int
	disconnected bool
	state        *State
	backends     map[InstanceID]*backend
	services     map[string]*service  // by service
	zonePaths    map[string]*zonePath // by zone
	active       map[Key]*keyState    // all with anything to look at
	delayed      []delayedEvidence    // not told yet
	resets       []observedReset      // of the last moment
	dirty        []*service           // whose binds may have changed
}

type backend struct {
	Backend
	service      *service
	keys         [modeCount]keyState
	lastAnswerAt time.Duration // last answer that came here
	probedAt     time.Duration
}

type service struct {
	name            string
	backends        []*backend // ready ones, by id
	windows         [modeCount]slidingWindow
	doubtUntil      time.Duration // until when this node doubts itself
	dirty           bool
	noneAvailableAt time.Duration // last line on that; 0: somebody is in service
}

// keyState is what this node has of a key.
type keyState struct {
	key           Key
	backend       *backend
	revision      uint64
	revisionSince time.Duration // when the rev came here
	window        slidingWindow
	evidence      []evidenceItem
	Totals
	reportedTotals Totals        // as last told
	delayedCount   int           // pieces that are held back
	ejectedUntil   time.Duration // of this node's own hold
	localEjections int
	access         Access
	local          bool
	reportWithin   time.Duration // longest it may wait to be told; 0: nothing to tell
	reportedAt     time.Duration
}

type evidenceItem struct {
	kind       EvidenceKind
	observedAt time.Duration
	timeout    time.Duration
}

// delayedEvidence is a piece that a link may have made.
type delayedEvidence struct {
	evidenceItem
	state    *keyState
	revision uint64
	sentAt   time.Duration
}

type observedReset struct {
	id         InstanceID
	observedAt time.Duration
}

// zonePath is whether the backends of a zone are heard.
type zonePath struct {
	lastAnswerAt time.Duration // answer
	usualGap     float64       // gap between two, in seconds
	steadySince  time.Duration // since when no gap was long
}

func (p *zonePath) tolerance() time.Duration {
	return min(max(time.Duration(gapFactor*p.usualGap*float64(time.Second)), minGap), maxGap)
}

func (p *zonePath) observeAnswer(now time.Duration) {
	if now-p.lastAnswerAt > p.tolerance() {
		p.steadySince = now
	}
	p.usualGap += gapSmoothing * (min(now-p.lastAnswerAt, maxGap).Seconds() - p.usualGap)
	p.lastAnswerAt = now
}

// intact tells that answers kept coming from a time on, so often that a cut as long as half of it would show.
func (p *zonePath) intact(from, now time.Duration) bool {
	return p != nil && p.steadySince <= from && p.lastAnswerAt > from && now-p.lastAnswerAt <= p.tolerance() && p.tolerance() <= max((now-from)/2, minGap)
}

// NewNode makes one. Life differs between lives of a node.
func NewNode(zone string, lifeNr uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: lifeNr, nodeCount: 1, disconnected: true, state: NewState(), backends: map[InstanceID]*backend{},
		services: map[string]*service{}, zonePaths: map[string]*zonePath{}, active: map[Key]*keyState{}}
}

// SetNodeCount says how many share the backends.
func (d *Node) SetNodeCount(n int) { d.nodeCount = max(n, 1) }

// ApplyState takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (d *Node) ApplyState(s *State, e *Entry) {
	d.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		if l := d.backends[e.Key.ID]; l != nil {
			d.applyKey(l, e.Key.Mode)
		}
	} else {
		for _, l := range d.backends {
			d.applyKey(l, Strict)
			d.applyKey(l, Patient)
		}
	}
	if !s.Enabled() {
		d.delayed, d.resets = nil, nil
		for _, f := range d.active {
			d.resetKey(f, f.revision)
		}
	}
	d.updateAccess()
}

func (d *Node) applyKey(l *backend, m Mode) {
	f := &l.keys[m]
	if rev := d.state.revision(f.key); rev != f.revision {
		d.resetKey(f, rev)
	}
	d.markDirty(l.service)
}

// markDirty has a service's binds looked at.
func (d *Node) markDirty(h *service) {
	if !h.dirty {
		h.dirty = true
		d.dirty = append(d.dirty, h)
	}
}

// resetKey: what was seen under another rev says nothing any more.
func (d *Node) resetKey(f *keyState, rev uint64) {
	*f = keyState{key: f.key, backend: f.backend, revision: rev, revisionSince: d.now, localEjections: f.localEjections, access: f.access, local: f.local}
	d.active[f.key] = f
}

// SetConnected says whether this node hears the core. What it found of links while it did not is dropped at its return.
func (d *Node) SetConnected(fresh bool) {
	if fresh && d.disconnected {
		d.delayed = nil
		for _, f := range d.active {
			f.delayedCount = 0
			f.evidence = slices.DeleteFunc(f.evidence, func(p evidenceItem) bool { return weights[p.kind][f.key.Mode] == Partial })
		}
	}
	d.disconnected = !fresh
}

// SetBackend takes what the registry tells of a backend.
func (d *Node) SetBackend(x Backend) {
	l := d.backends[x.ID]
	if l == nil {
		if x.Phase != Ready {
			return
		}
		h := d.services[x.Service]
		if h == nil {
			h = &service{name: x.Service}
			d.services[x.Service] = h
		}
		l = &backend{service: h, lastAnswerAt: d.now}
		for m := range l.keys {
			f := &l.keys[m]
			f.key, f.backend = Key{x.ID, Mode(m)}, l
			d.resetKey(f, d.state.revision(f.key))
		}
		d.backends[x.ID] = l
	}
	l.Backend = x
	h := l.service
	d.markDirty(h)
	at, had := slices.BinarySearchFunc(h.backends, x.ID, func(l *backend, id InstanceID) int {
		return Key{ID: l.ID}.compare(Key{ID: id})
	})
	if is := x.Phase == Ready; is && !had {
		h.backends = slices.Insert(h.backends, at, l)
	} else if !is && had {
		h.backends = slices.Delete(h.backends, at, at+1)
	}
	if x.Phase != Ready { // it gets nothing new, and what is told of it now is not about the service
		delete(d.backends, x.ID)
		for m := range l.keys {
			d.setAccess(&l.keys[m], Open, false) // one that comes back begins so
			delete(d.active, l.keys[m].key)
		}
		if len(h.backends) == 0 {
			delete(d.services, h.name)
		}
	}
	d.updateAccess()
}

// ModeFor is how a route's requests judge and are bound.
func (d *Node) ModeFor(route string, effectful bool) Mode {
	if !d.state.Enabled() {
		return Unwatched
	}
	return d.state.Settings().ModeFor(route, effectful)
}

// Revision is kept with a submission, for its end.
func (d *Node) Revision(k Key) uint64 { return d.state.revision(k) }

// RecordAttempt takes the one end of a submission that was sent at a time under a rev.
func (d *Node) RecordAttempt(k Key, rev uint64, sent time.Duration, seen AttemptEnd) {
	l := d.backends[k.ID]
	kind := seen.Evidence()
	if l == nil || !d.state.Enabled() {
		return
	}
	if seen.pathWorked() {
		l.lastAnswerAt = d.now
		p := d.zonePaths[l.Zone]
		if p == nil {
			p = &zonePath{lastAnswerAt: d.now, steadySince: d.now, usualGap: maxGap.Seconds() / gapFactor}
			d.zonePaths[l.Zone] = p
		}
		p.observeAnswer(d.now)
	}
	if kind == ConnectionReset {
		d.resets = append(d.resets, observedReset{k.ID, d.now})
	}
	d.record(l, k, rev, kind, sent)
}

// RecordEvidence takes what is no end of a submission: Stray and Second, by the rev under which the connection's last was sent.
func (d *Node) RecordEvidence(k Key, rev uint64, kind EvidenceKind) {
	if l := d.backends[k.ID]; l != nil && d.state.Enabled() {
		d.record(l, k, rev, kind, d.now)
	}
}

func (d *Node) record(l *backend, k Key, rev uint64, kind EvidenceKind, sent time.Duration) {
	if k.Mode >= modeCount || kind == NoEvidence {
		return
	}
	f := &l.keys[k.Mode]
	if f.revision != rev {
		return
	}
	switch {
	case kind == CleanAnswer:
		w := f.window.slotAt(d.now)
		w.Clean++
		w.LatencyMillis += uint32((d.now - sent).Milliseconds())
		l.service.windows[k.Mode].slotAt(d.now).Clean++
		f.Clean++
		if s := &l.keys[Strict]; k.Mode == Patient && s.revision > 0 {
			s.Reads++
		}
	case weights[kind][k.Mode] == Ignored:
	case kind == LostAnswer || kind == ConnectionReset: // a link may have done that
		if k.Mode == Strict && d.mayEjectLocally(l) {
			f.delayedCount++
		}
		d.delayed = append(d.delayed, delayedEvidence{evidenceItem{kind, d.now, d.now - sent}, f, rev, sent})
		d.active[k] = f
		d.markDirty(l.service)
	default:
		d.countEvidence(f, evidenceItem{kind, d.now, 0})
	}
	d.updateAccess()
}

// countEvidence takes what only the backend can have done, or what was held back long enough.
func (d *Node) countEvidence(f *keyState, p evidenceItem) {
	m := f.key.Mode
	if weights[p.kind][m] != Partial { // those have a rule of their own
		f.window.slotAt(d.now).Failing++
		f.backend.service.windows[m].slotAt(d.now).Failing++
		f.Failing++
	}
	d.active[f.key] = f
	if weights[p.kind][m] == ByRate {
		if f.window.sum(d.now).failureRate() >= doubtRate[m] {
			f.scheduleReport(slowReportDelay)
		}
		return
	}
	if f.evidence = append(f.evidence, p); len(f.evidence) > maxEvidence {
		f.evidence = f.evidence[1:]
	}
	f.scheduleReport(reportDelay)
	if m == Strict && d.mayEjectLocally(f.backend) {
		f.ejectedUntil = d.now + localEjectionTime<<min(f.localEjections, maxLocalDoublings)
		f.localEjections++
	}
	d.markDirty(f.backend.service)
}

// scheduleReport wants the file told within a time.
func (f *keyState) scheduleReport(in time.Duration) {
	if f.reportWithin == 0 || in < f.reportWithin {
		f.reportWithin = in
	}
}

// mayEjectLocally bounds what a node holds off by itself: one that sees more than half fail doubts itself.
func (d *Node) mayEjectLocally(l *backend) bool {
	h, n := l.service, 0
	for _, o := range h.backends {
		if f := &o.keys[Strict]; o != l && f.locallyEjected(d.now) {
			n++
		}
	}
	if n+1 > max(1, len(h.backends)/2) {
		h.doubtUntil = d.now + windowDuration
		return false
	}
	return true
}

func (f *keyState) locallyEjected(now time.Duration) bool {
	return f.delayedCount > 0 || f.ejectedUntil > now
}

// HandleProbe takes the answer to a probe: which life answered, "" if none did, and whether it is well.
func (d *Node) HandleProbe(id, by InstanceID, well bool) {
	l := d.backends[id]
	if l == nil || !d.state.Enabled() {
		return
	}
	l.lastAnswerAt = d.now
	for m := range l.keys {
		f := &l.keys[m]
		switch {
		case by != "" && by != id:
			d.countEvidence(f, evidenceItem{WrongInstance, d.now, 0})
		case well && by == id:
			f.Probes++
		default:
			f.Probes = 0
		}
	}
	d.updateAccess()
}

// HandleRequest takes the duty's question.
func (d *Node) HandleRequest(a ReportRequest) {
	for _, k := range a.Keys {
		if l := d.backends[k.ID]; l != nil && k.Mode < modeCount {
			l.keys[k.Mode].reportWithin = reportNow
			d.active[k] = &l.keys[k.Mode]
		}
	}
	d.report(a.Keys)
}

// Tick sets the clock.
func (d *Node) Tick(now time.Duration) {
	d.now = max(d.now, now)
	d.releaseDelayed()
	keys := slices.SortedFunc(maps.Keys(d.active), Key.compare)
	for _, k := range keys {
		d.maintain(d.active[k])
	}
	for _, h := range d.services {
		if h.noneAvailableAt > 0 && d.now-h.noneAvailableAt >= noneAvailableRepeat {
			d.markDirty(h)
		}
	}
	d.probeIdle()
	d.updateAccess()
	d.report(keys)
}

// releaseDelayed tells of what was held back, or drops it as a link's or this node's own.
func (d *Node) releaseDelayed() {
	due := 0
	for _, x := range d.delayed {
		if d.now-x.observedAt < linkEvidenceDelay {
			break
		}
		due++
		f := x.state
		if f.revision != x.revision || d.backends[f.key.ID] != f.backend {
			continue
		}
		f.delayedCount = max(f.delayedCount-1, 0)
		d.markDirty(f.backend.service)
		others := map[InstanceID]bool{}
		for _, r := range d.resets {
			if x.kind == ConnectionReset && r.id != f.key.ID && (r.observedAt-x.observedAt).Abs() <= linkEvidenceDelay {
				others[r.id] = true
			}
		}
		// A cut makes no resets, and what it broke shows at several backends at once.
		if !d.disconnected && len(others) < maxOtherResets && (x.kind == ConnectionReset || d.zonePaths[f.backend.Zone].intact(x.sentAt, d.now)) {
			d.countEvidence(f, x.evidenceItem)
		}
	}
	d.delayed = d.delayed[due:]
	d.resets = slices.DeleteFunc(d.resets, func(r observedReset) bool { return d.now-r.observedAt > 3*linkEvidenceDelay })
}

// maintain tends a file that is not at rest.
func (d *Node) maintain(f *keyState) {
	f.evidence = slices.DeleteFunc(f.evidence, func(p evidenceItem) bool { return d.now-p.observedAt > evidenceTTL })
	if f.ejectedUntil > 0 && f.ejectedUntil <= d.now {
		f.ejectedUntil = 0
		d.markDirty(f.backend.service)
	}
	c := d.state.Ejection(f.key)
	way := c != nil && c.Step != InService && d.state.Enabled()
	if way {
		if f.Totals != f.reportedTotals {
			f.scheduleReport(slowReportDelay)
		}
		if rest := ejectionTime(d.state, c); f.backend.Owned && c.Step <= ReadsOnly && c.Step.next(f.key.Mode) != InService && d.now-f.revisionSince >= rest {
			d.probe(f.backend)
		}
	} else if len(f.evidence) == 0 && f.delayedCount == 0 && f.ejectedUntil == 0 && f.reportWithin == 0 {
		delete(d.active, f.key)
	}
	if len(f.evidence) > 0 && d.now-f.reportedAt >= reportRepeat {
		f.scheduleReport(reportNow)
	}
}

func (d *Node) probe(l *backend) {
	if d.now-l.probedAt >= probeInterval {
		l.probedAt = d.now
		d.push(Probe{l.ID})
	}
}

// probeIdle has those in service probed that this node keeps and has not heard, where the settings say so.
func (d *Node) probeIdle() {
	after := time.Duration(d.state.Settings().ProbeIdleAfter)
	if after == 0 || !d.state.Enabled() {
		return
	}
	for _, h := range d.services {
		for _, l := range h.backends {
			if l.Owned && d.now-max(l.lastAnswerAt, l.probedAt) >= after {
				d.probe(l)
			}
		}
	}
}

// report tells what is due.
func (d *Node) report(keys []Key) {
	if d.disconnected || !d.state.Enabled() {
		return
	}
	var files []Observation
	doubt := false
	for _, k := range keys {
		f := d.active[k]
		if f == nil || f.reportWithin == 0 || d.now-f.reportedAt < f.reportWithin && f.reportedAt > 0 {
			continue
		}
		h := f.backend.service
		x := Observation{Key: k, Rev: f.revision, Window: f.window.sum(d.now), ServiceWindow: h.windows[k.Mode].sum(d.now),
			Totals: f.Totals}
		if k.Mode == Strict && (len(f.evidence) > 0 || f.reportWithin == reportNow) {
			x.Slots, x.SlotAge = f.window.completedSlots(d.now), d.now%slotDuration
		}
		f.reportWithin, f.reportedAt, f.reportedTotals = 0, d.now, f.Totals
		for _, p := range f.evidence {
			x.Evidence = append(x.Evidence, Evidence{p.kind, d.now - p.observedAt, p.timeout})
		}
		doubt = doubt || h.doubtUntil > d.now
		if files = append(files, x); len(files) == maxObservations {
			break // the rest with the next turn
		}
	}
	if len(files) > 0 {
		d.seq++
		d.push(SendReport{Report{d.zone, d.incarnation, d.seq, doubt, files}})
	}
}

// updateAccess tells the host what changed in what backends get.
func (d *Node) updateAccess() {
	for _, h := range d.dirty {
		h.dirty = false
		d.updatePatient(h)
		d.updateStrict(h)
	}
	d.dirty = d.dirty[:0]
}

func (d *Node) accessOf(k Key) Access {
	if c := d.state.Ejection(k); c != nil && d.state.Enabled() {
		return c.access()
	}
	return Open
}

// updatePatient keeps the least sick in service down to the floor.
func (d *Node) updatePatient(h *service) {
	var out []*Ejection
	for _, l := range h.backends {
		if k := l.keys[Patient].key; d.accessOf(k) != Open {
			out = append(out, d.state.Ejection(k))
		}
	}
	slices.SortFunc(out, func(a, b *Ejection) int {
		switch { // the least sick first
		case a.Step != b.Step:
			return int(b.Step) - int(a.Step)
		case a.Score != b.Score:
			return a.Score - b.Score
		}
		return a.compare(b.Key)
	})
	short := max(0, d.state.Settings().minInService(len(h.backends))-(len(h.backends)-len(out)))
	invariant.That(short <= len(out), "a floor is not above all")
	kept := map[InstanceID]bool{}
	for _, c := range out[:short] {
		kept[c.ID] = true
	}
	for _, l := range h.backends {
		if f := &l.keys[Patient]; kept[l.ID] {
			d.setAccess(f, Open, false)
		} else {
			d.setAccess(f, d.accessOf(f.key), false)
		}
	}
}

// updateStrict has no floor: a write is better refused than lost.
func (d *Node) updateStrict(h *service) {
	some := false
	for _, l := range h.backends {
		f := &l.keys[Strict]
		b := d.accessOf(f.key)
		own := b != Closed && d.state.Enabled() && f.locallyEjected(d.now)
		if own {
			b = Closed
		}
		some = some || b != Closed
		d.setAccess(f, b, own)
	}
	switch {
	case some || len(h.backends) == 0:
		h.noneAvailableAt = 0
	case h.noneAvailableAt == 0 || d.now-h.noneAvailableAt >= noneAvailableRepeat:
		h.noneAvailableAt = d.now
		d.push(NoneAvailable{h.name, Strict, len(h.backends)})
	}
}

func (d *Node) setAccess(f *keyState, b Access, own bool) {
	if f.access == b && f.local == own {
		return
	}
	f.access, f.local = b, own
	d.push(SetAccess{f.key, b, time.Duration(d.nodeCount) * time.Second / limitedPerSecond, own})
}
