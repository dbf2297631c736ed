package outlier

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/invariant"
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

func (z *zonePath) tolerance() time.Duration {
	return min(max(time.Duration(gapFactor*z.usualGap*float64(time.Second)), minGap), maxGap)
}

func (z *zonePath) observeAnswer(now time.Duration) {
	if now-z.lastAnswerAt > z.tolerance() {
		z.steadySince = now
	}
	z.usualGap += gapSmoothing * (min(now-z.lastAnswerAt, maxGap).Seconds() - z.usualGap)
	z.lastAnswerAt = now
}

// intact tells that answers kept coming from a time on, so often that a cut as long as half of it would show.
func (z *zonePath) intact(from, now time.Duration) bool {
	return z != nil && z.steadySince <= from && z.lastAnswerAt > from && now-z.lastAnswerAt <= z.tolerance() && z.tolerance() <= max((now-from)/2, minGap)
}

// NewNode makes one. Life differs between lives of a node.
func NewNode(zone string, lifeNr uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: lifeNr, nodeCount: 1, disconnected: true, state: NewState(), backends: map[InstanceID]*backend{},
		services: map[string]*service{}, zonePaths: map[string]*zonePath{}, active: map[Key]*keyState{}}
}

// SetNodeCount says how many share the backends.
func (n *Node) SetNodeCount(count int) { n.nodeCount = max(count, 1) }

// ApplyState takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (n *Node) ApplyState(s *State, e *Entry) {
	n.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		if l := n.backends[e.Key.ID]; l != nil {
			n.applyKey(l, e.Key.Mode)
		}
	} else {
		for _, l := range n.backends {
			n.applyKey(l, Strict)
			n.applyKey(l, Patient)
		}
	}
	if !s.Enabled() {
		n.delayed, n.resets = nil, nil
		for _, f := range n.active {
			n.resetKey(f, f.revision)
		}
	}
	n.updateAccess()
}

func (n *Node) applyKey(l *backend, m Mode) {
	f := &l.keys[m]
	if rev := n.state.revision(f.key); rev != f.revision {
		n.resetKey(f, rev)
	}
	n.markDirty(l.service)
}

// markDirty has a service's binds looked at.
func (n *Node) markDirty(h *service) {
	if !h.dirty {
		h.dirty = true
		n.dirty = append(n.dirty, h)
	}
}

// resetKey: what was seen under another rev says nothing any more.
func (n *Node) resetKey(f *keyState, rev uint64) {
	*f = keyState{key: f.key, backend: f.backend, revision: rev, revisionSince: n.now, localEjections: f.localEjections, access: f.access, local: f.local}
	n.active[f.key] = f
}

// SetConnected says whether this node hears the core. What it found of links while it did not is dropped at its return.
func (n *Node) SetConnected(fresh bool) {
	if fresh && n.disconnected {
		n.delayed = nil
		for _, f := range n.active {
			f.delayedCount = 0
			f.evidence = slices.DeleteFunc(f.evidence, func(p evidenceItem) bool { return weights[p.kind][f.key.Mode] == Partial })
		}
	}
	n.disconnected = !fresh
}

// SetBackend takes what the registry tells of a backend.
func (n *Node) SetBackend(x Backend) {
	l := n.backends[x.ID]
	if l == nil {
		if x.Phase != Ready {
			return
		}
		h := n.services[x.Service]
		if h == nil {
			h = &service{name: x.Service}
			n.services[x.Service] = h
		}
		l = &backend{service: h, lastAnswerAt: n.now}
		for m := range l.keys {
			f := &l.keys[m]
			f.key, f.backend = Key{x.ID, Mode(m)}, l
			n.resetKey(f, n.state.revision(f.key))
		}
		n.backends[x.ID] = l
	}
	l.Backend = x
	h := l.service
	n.markDirty(h)
	at, had := slices.BinarySearchFunc(h.backends, x.ID, func(l *backend, id InstanceID) int {
		return Key{ID: l.ID}.compare(Key{ID: id})
	})
	if is := x.Phase == Ready; is && !had {
		h.backends = slices.Insert(h.backends, at, l)
	} else if !is && had {
		h.backends = slices.Delete(h.backends, at, at+1)
	}
	if x.Phase != Ready { // it gets nothing new, and what is told of it now is not about the service
		delete(n.backends, x.ID)
		for m := range l.keys {
			n.setAccess(&l.keys[m], Open, false) // one that comes back begins so
			delete(n.active, l.keys[m].key)
		}
		if len(h.backends) == 0 {
			delete(n.services, h.name)
		}
	}
	n.updateAccess()
}

// ModeFor is how a route's requests judge and are bound.
func (n *Node) ModeFor(route string, effectful bool) Mode {
	if !n.state.Enabled() {
		return Unwatched
	}
	return n.state.Settings().ModeFor(route, effectful)
}

// Revision is kept with a submission, for its end.
func (n *Node) Revision(k Key) uint64 { return n.state.revision(k) }

// RecordAttempt takes the one end of a submission that was sent at a time under a rev.
func (n *Node) RecordAttempt(k Key, rev uint64, sent time.Duration, seen AttemptEnd) {
	l := n.backends[k.ID]
	kind := seen.Evidence()
	if l == nil || !n.state.Enabled() {
		return
	}
	if seen.pathWorked() {
		l.lastAnswerAt = n.now
		p := n.zonePaths[l.Zone]
		if p == nil {
			p = &zonePath{lastAnswerAt: n.now, steadySince: n.now, usualGap: maxGap.Seconds() / gapFactor}
			n.zonePaths[l.Zone] = p
		}
		p.observeAnswer(n.now)
	}
	if kind == ConnectionReset {
		n.resets = append(n.resets, observedReset{k.ID, n.now})
	}
	n.record(l, k, rev, kind, sent)
}

// RecordEvidence takes what is no end of a submission: Stray and Second, by the rev under which the connection's last was sent.
func (n *Node) RecordEvidence(k Key, rev uint64, kind EvidenceKind) {
	if l := n.backends[k.ID]; l != nil && n.state.Enabled() {
		n.record(l, k, rev, kind, n.now)
	}
}

func (n *Node) record(l *backend, k Key, rev uint64, kind EvidenceKind, sent time.Duration) {
	if k.Mode >= modeCount || kind == NoEvidence {
		return
	}
	f := &l.keys[k.Mode]
	if f.revision != rev {
		return
	}
	switch {
	case kind == CleanAnswer:
		w := f.window.slotAt(n.now)
		w.Clean++
		w.LatencyMillis += uint32((n.now - sent).Milliseconds())
		l.service.windows[k.Mode].slotAt(n.now).Clean++
		f.Clean++
		if s := &l.keys[Strict]; k.Mode == Patient && s.revision > 0 {
			s.Reads++
		}
	case weights[kind][k.Mode] == Ignored:
	case kind == LostAnswer || kind == ConnectionReset: // a link may have done that
		if k.Mode == Strict && n.mayEjectLocally(l) {
			f.delayedCount++
		}
		n.delayed = append(n.delayed, delayedEvidence{evidenceItem{kind, n.now, n.now - sent}, f, rev, sent})
		n.active[k] = f
		n.markDirty(l.service)
	default:
		n.countEvidence(f, evidenceItem{kind, n.now, 0})
	}
	n.updateAccess()
}

// countEvidence takes what only the backend can have done, or what was held back long enough.
func (n *Node) countEvidence(f *keyState, p evidenceItem) {
	m := f.key.Mode
	if weights[p.kind][m] != Partial { // those have a rule of their own
		f.window.slotAt(n.now).Failing++
		f.backend.service.windows[m].slotAt(n.now).Failing++
		f.Failing++
	}
	n.active[f.key] = f
	if weights[p.kind][m] == ByRate {
		if f.window.sum(n.now).failureRate() >= doubtRate[m] {
			f.scheduleReport(slowReportDelay)
		}
		return
	}
	if f.evidence = append(f.evidence, p); len(f.evidence) > maxEvidence {
		f.evidence = f.evidence[1:]
	}
	f.scheduleReport(reportDelay)
	if m == Strict && n.mayEjectLocally(f.backend) {
		f.ejectedUntil = n.now + localEjectionTime<<min(f.localEjections, maxLocalDoublings)
		f.localEjections++
	}
	n.markDirty(f.backend.service)
}

// scheduleReport wants the file told within a time.
func (k *keyState) scheduleReport(in time.Duration) {
	if k.reportWithin == 0 || in < k.reportWithin {
		k.reportWithin = in
	}
}

// mayEjectLocally bounds what a node holds off by itself: one that sees more than half fail doubts itself.
func (n *Node) mayEjectLocally(l *backend) bool {
	h, count := l.service, 0
	for _, o := range h.backends {
		if f := &o.keys[Strict]; o != l && f.locallyEjected(n.now) {
			count++
		}
	}
	if count+1 > max(1, len(h.backends)/2) {
		h.doubtUntil = n.now + windowDuration
		return false
	}
	return true
}

func (k *keyState) locallyEjected(now time.Duration) bool {
	return k.delayedCount > 0 || k.ejectedUntil > now
}

// HandleProbe takes the answer to a probe: which life answered, "" if none did, and whether it is well.
func (n *Node) HandleProbe(id, by InstanceID, well bool) {
	l := n.backends[id]
	if l == nil || !n.state.Enabled() {
		return
	}
	l.lastAnswerAt = n.now
	for m := range l.keys {
		f := &l.keys[m]
		switch {
		case by != "" && by != id:
			n.countEvidence(f, evidenceItem{WrongInstance, n.now, 0})
		case well && by == id:
			f.Probes++
		default:
			f.Probes = 0
		}
	}
	n.updateAccess()
}

// HandleRequest takes the duty's question.
func (n *Node) HandleRequest(a ReportRequest) {
	for _, k := range a.Keys {
		if l := n.backends[k.ID]; l != nil && k.Mode < modeCount {
			l.keys[k.Mode].reportWithin = reportNow
			n.active[k] = &l.keys[k.Mode]
		}
	}
	n.report(a.Keys)
}

// Tick sets the clock.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	n.releaseDelayed()
	keys := slices.SortedFunc(maps.Keys(n.active), Key.compare)
	for _, k := range keys {
		n.maintain(n.active[k])
	}
	for _, h := range n.services {
		if h.noneAvailableAt > 0 && n.now-h.noneAvailableAt >= noneAvailableRepeat {
			n.markDirty(h)
		}
	}
	n.probeIdle()
	n.updateAccess()
	n.report(keys)
}

// releaseDelayed tells of what was held back, or drops it as a link's or this node's own.
func (n *Node) releaseDelayed() {
	due := 0
	for _, x := range n.delayed {
		if n.now-x.observedAt < linkEvidenceDelay {
			break
		}
		due++
		f := x.state
		if f.revision != x.revision || n.backends[f.key.ID] != f.backend {
			continue
		}
		f.delayedCount = max(f.delayedCount-1, 0)
		n.markDirty(f.backend.service)
		others := map[InstanceID]bool{}
		for _, r := range n.resets {
			if x.kind == ConnectionReset && r.id != f.key.ID && (r.observedAt-x.observedAt).Abs() <= linkEvidenceDelay {
				others[r.id] = true
			}
		}
		// A cut makes no resets, and what it broke shows at several backends at once.
		if !n.disconnected && len(others) < maxOtherResets && (x.kind == ConnectionReset || n.zonePaths[f.backend.Zone].intact(x.sentAt, n.now)) {
			n.countEvidence(f, x.evidenceItem)
		}
	}
	n.delayed = n.delayed[due:]
	n.resets = slices.DeleteFunc(n.resets, func(r observedReset) bool { return n.now-r.observedAt > 3*linkEvidenceDelay })
}

// maintain tends a file that is not at rest.
func (n *Node) maintain(f *keyState) {
	f.evidence = slices.DeleteFunc(f.evidence, func(p evidenceItem) bool { return n.now-p.observedAt > evidenceTTL })
	if f.ejectedUntil > 0 && f.ejectedUntil <= n.now {
		f.ejectedUntil = 0
		n.markDirty(f.backend.service)
	}
	c := n.state.Ejection(f.key)
	way := c != nil && c.Step != InService && n.state.Enabled()
	if way {
		if f.Totals != f.reportedTotals {
			f.scheduleReport(slowReportDelay)
		}
		if rest := ejectionTime(n.state, c); f.backend.Owned && c.Step <= ReadsOnly && c.Step.next(f.key.Mode) != InService && n.now-f.revisionSince >= rest {
			n.probe(f.backend)
		}
	} else if len(f.evidence) == 0 && f.delayedCount == 0 && f.ejectedUntil == 0 && f.reportWithin == 0 {
		delete(n.active, f.key)
	}
	if len(f.evidence) > 0 && n.now-f.reportedAt >= reportRepeat {
		f.scheduleReport(reportNow)
	}
}

func (n *Node) probe(l *backend) {
	if n.now-l.probedAt >= probeInterval {
		l.probedAt = n.now
		n.push(Probe{l.ID})
	}
}

// probeIdle has those in service probed that this node keeps and has not heard, where the settings say so.
func (n *Node) probeIdle() {
	after := time.Duration(n.state.Settings().ProbeIdleAfter)
	if after == 0 || !n.state.Enabled() {
		return
	}
	for _, h := range n.services {
		for _, l := range h.backends {
			if l.Owned && n.now-max(l.lastAnswerAt, l.probedAt) >= after {
				n.probe(l)
			}
		}
	}
}

// report tells what is due.
func (n *Node) report(keys []Key) {
	if n.disconnected || !n.state.Enabled() {
		return
	}
	var files []Observation
	doubt := false
	for _, k := range keys {
		f := n.active[k]
		if f == nil || f.reportWithin == 0 || n.now-f.reportedAt < f.reportWithin && f.reportedAt > 0 {
			continue
		}
		h := f.backend.service
		x := Observation{Key: k, Rev: f.revision, Window: f.window.sum(n.now), ServiceWindow: h.windows[k.Mode].sum(n.now),
			Totals: f.Totals}
		if k.Mode == Strict && (len(f.evidence) > 0 || f.reportWithin == reportNow) {
			x.Slots, x.SlotAge = f.window.completedSlots(n.now), n.now%slotDuration
		}
		f.reportWithin, f.reportedAt, f.reportedTotals = 0, n.now, f.Totals
		for _, p := range f.evidence {
			x.Evidence = append(x.Evidence, Evidence{p.kind, n.now - p.observedAt, p.timeout})
		}
		doubt = doubt || h.doubtUntil > n.now
		if files = append(files, x); len(files) == maxObservations {
			break // the rest with the next turn
		}
	}
	if len(files) > 0 {
		n.seq++
		n.push(SendReport{Report{n.zone, n.incarnation, n.seq, doubt, files}})
	}
}

// updateAccess tells the host what changed in what backends get.
func (n *Node) updateAccess() {
	for _, h := range n.dirty {
		h.dirty = false
		n.updatePatient(h)
		n.updateStrict(h)
	}
	n.dirty = n.dirty[:0]
}

func (n *Node) accessOf(k Key) Access {
	if c := n.state.Ejection(k); c != nil && n.state.Enabled() {
		return c.access()
	}
	return Open
}

// updatePatient keeps the least sick in service down to the floor.
func (n *Node) updatePatient(h *service) {
	var out []*Ejection
	for _, l := range h.backends {
		if k := l.keys[Patient].key; n.accessOf(k) != Open {
			out = append(out, n.state.Ejection(k))
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
	short := max(0, n.state.Settings().minInService(len(h.backends))-(len(h.backends)-len(out)))
	invariant.That(short <= len(out), "a floor is not above all")
	kept := map[InstanceID]bool{}
	for _, c := range out[:short] {
		kept[c.ID] = true
	}
	for _, l := range h.backends {
		if f := &l.keys[Patient]; kept[l.ID] {
			n.setAccess(f, Open, false)
		} else {
			n.setAccess(f, n.accessOf(f.key), false)
		}
	}
}

// updateStrict has no floor: a write is better refused than lost.
func (n *Node) updateStrict(h *service) {
	some := false
	for _, l := range h.backends {
		f := &l.keys[Strict]
		b := n.accessOf(f.key)
		own := b != Closed && n.state.Enabled() && f.locallyEjected(n.now)
		if own {
			b = Closed
		}
		some = some || b != Closed
		n.setAccess(f, b, own)
	}
	switch {
	case some || len(h.backends) == 0:
		h.noneAvailableAt = 0
	case h.noneAvailableAt == 0 || n.now-h.noneAvailableAt >= noneAvailableRepeat:
		h.noneAvailableAt = n.now
		n.push(NoneAvailable{h.name, Strict, len(h.backends)})
	}
}

func (n *Node) setAccess(f *keyState, b Access, own bool) {
	if f.access == b && f.local == own {
		return
	}
	f.access, f.local = b, own
	n.push(SetAccess{f.key, b, time.Duration(n.nodeCount) * time.Second / limitedPerSecond, own})
}
