package outlier

import (
	"slices"
	"time"
)

// keyState is what this node has of a key, under the present revision of its ejection.
type keyState struct {
	key           Key
	backend       *backend
	revision      uint64
	revisionSince time.Duration // when the revision came here
	window        slidingWindow
	evidence      []evidenceItem
	Totals
	reportedTotals Totals        // as last reported
	delayedCount   int           // evidence that is not counted yet
	ejectedUntil   time.Duration // by this node itself
	localEjections int
	access         Access
	local          bool
	reportWithin   time.Duration // the longest that it may wait to be reported; 0: nothing to report
	reportedAt     time.Duration
}

// evidenceItem is one observation of what a backend did.
type evidenceItem struct {
	kind       EvidenceKind
	observedAt time.Duration
	timeout    time.Duration // of the attempt
}

// delayedEvidence is evidence that a link may have made.
type delayedEvidence struct {
	evidenceItem
	state    *keyState
	revision uint64
	sentAt   time.Duration
}

// observedReset is a connection that a backend reset.
type observedReset struct {
	id         InstanceID
	observedAt time.Duration
}

// resetKey drops what was seen under another revision: it says nothing any more.
func (n *Node) resetKey(state *keyState, rev uint64) {
	*state = keyState{key: state.key, backend: state.backend, revision: rev, revisionSince: n.now, localEjections: state.localEjections, access: state.access, local: state.local}
	n.active[state.key] = state
}

// RecordAttempt takes the one end of an attempt that was sent at a time, under a revision of its key.
func (n *Node) RecordAttempt(k Key, rev uint64, sent time.Duration, seen AttemptEnd) {
	instance := n.backends[k.ID]
	kind := seen.Evidence()
	if instance == nil || !n.state.Enabled() {
		return
	}
	if seen.pathWorked() {
		instance.lastAnswerAt = n.now
		path := n.zonePaths[instance.Zone]
		if path == nil {
			path = newZonePath(n.now)
			n.zonePaths[instance.Zone] = path
		}
		path.observeAnswer(n.now)
	}
	if kind == ConnectionReset {
		n.resets = append(n.resets, observedReset{k.ID, n.now})
	}
	n.record(instance, k, rev, kind, sent)
}

// RecordEvidence takes what is no end of an attempt: StrayAnswer and DuplicateAnswer, by the revision under which the connection's last attempt was sent.
func (n *Node) RecordEvidence(k Key, rev uint64, kind EvidenceKind) {
	if instance := n.backends[k.ID]; instance != nil && n.state.Enabled() {
		n.record(instance, k, rev, kind, n.now)
	}
}

// record takes one observation of a key.
func (n *Node) record(instance *backend, k Key, rev uint64, kind EvidenceKind, sent time.Duration) {
	if k.Mode >= modeCount || kind == NoEvidence {
		return
	}
	state := &instance.keys[k.Mode]
	if state.revision != rev {
		return
	}
	switch {
	case kind == CleanAnswer:
		w := state.window.slotAt(n.now)
		w.Clean++
		w.LatencyMillis += uint32((n.now - sent).Milliseconds())
		instance.service.windows[k.Mode].slotAt(n.now).Clean++
		state.Clean++
		if s := &instance.keys[Strict]; k.Mode == Patient && s.revision > 0 {
			s.Reads++
		}
	case evidenceWeights[kind][k.Mode] == Ignored:
	case kind == LostAnswer || kind == ConnectionReset: // a link may have made it
		if k.Mode == Strict && n.mayEjectLocally(instance) {
			state.delayedCount++
		}
		n.delayed = append(n.delayed, delayedEvidence{evidenceItem{kind, n.now, n.now - sent}, state, rev, sent})
		n.active[k] = state
		n.queueService(instance.service)
	default:
		n.countEvidence(state, evidenceItem{kind, n.now, 0})
	}
	n.updateAccess()
}

// countEvidence takes what only the backend can have done, or what was delayed long enough.
func (n *Node) countEvidence(state *keyState, item evidenceItem) {
	m := state.key.Mode
	if evidenceWeights[item.kind][m] != Partial { // those have a rule of their own
		state.window.slotAt(n.now).Failing++
		state.backend.service.windows[m].slotAt(n.now).Failing++
		state.Failing++
	}
	n.active[state.key] = state
	if evidenceWeights[item.kind][m] == ByRate {
		if state.window.sum(n.now).failureRate() >= doubtRate[m] {
			state.scheduleReport(slowReportDelay)
		}
		return
	}
	if state.evidence = append(state.evidence, item); len(state.evidence) > maxEvidence {
		state.evidence = state.evidence[1:]
	}
	state.scheduleReport(reportDelay)
	if m == Strict && n.mayEjectLocally(state.backend) {
		state.ejectedUntil = n.now + localEjectionTime<<min(state.localEjections, maxLocalDoublings)
		state.localEjections++
	}
	n.queueService(state.backend.service)
}

// scheduleReport has the key reported within a time.
func (k *keyState) scheduleReport(in time.Duration) {
	if k.reportWithin == 0 || in < k.reportWithin {
		k.reportWithin = in
	}
}

// mayEjectLocally bounds what a node ejects by itself: one that sees more than half of a service fail doubts itself.
func (n *Node) mayEjectLocally(instance *backend) bool {
	svc, count := instance.service, 0
	for _, other := range svc.backends {
		if state := &other.keys[Strict]; other != instance && state.locallyEjected(n.now) {
			count++
		}
	}
	if count+1 > max(1, len(svc.backends)/2) {
		svc.doubtUntil = n.now + windowDuration
		return false
	}
	return true
}

// locallyEjected reports whether this node by itself gives the backend nothing.
func (k *keyState) locallyEjected(now time.Duration) bool {
	return k.delayedCount > 0 || k.ejectedUntil > now
}

// releaseDelayed counts evidence whose delay is over, or drops it as a link's or this node's own.
func (n *Node) releaseDelayed() {
	released := 0
	for _, delayed := range n.delayed {
		if n.now-delayed.observedAt < linkEvidenceDelay {
			break
		}
		released++
		state := delayed.state
		if state.revision != delayed.revision || n.backends[state.key.ID] != state.backend {
			continue
		}
		state.delayedCount = max(state.delayedCount-1, 0)
		n.queueService(state.backend.service)
		// A partition makes no resets, and what it broke shows at several backends at once.
		if !n.disconnected && n.otherResets(delayed) < maxOtherResets && (delayed.kind == ConnectionReset || n.zonePaths[state.backend.Zone].intact(delayed.sentAt, n.now)) {
			n.countEvidence(state, delayed.evidenceItem)
		}
	}
	n.delayed = n.delayed[released:]
	n.resets = slices.DeleteFunc(n.resets, func(r observedReset) bool { return n.now-r.observedAt > 3*linkEvidenceDelay })
}

// otherResets counts the other backends that reset a connection at the time of one that did; 0 for other evidence.
func (n *Node) otherResets(delayed delayedEvidence) int {
	if delayed.kind != ConnectionReset {
		return 0
	}
	others := map[InstanceID]bool{}
	for _, r := range n.resets {
		if r.id != delayed.state.key.ID && (r.observedAt-delayed.observedAt).Abs() <= linkEvidenceDelay {
			others[r.id] = true
		}
	}
	return len(others)
}

// maintain does what is due for a key, and lets it go when there is nothing left to do.
func (n *Node) maintainKey(state *keyState) {
	state.evidence = slices.DeleteFunc(state.evidence, func(item evidenceItem) bool { return n.now-item.observedAt > evidenceTTL })
	if state.ejectedUntil > 0 && state.ejectedUntil <= n.now {
		state.ejectedUntil = 0
		n.queueService(state.backend.service)
	}
	ejection := n.state.Ejection(state.key)
	if ejection != nil && ejection.Step != InService && n.state.Enabled() {
		if state.Totals != state.reportedTotals {
			state.scheduleReport(slowReportDelay)
		}
		if state.backend.Owned && ejection.wantsProbes() && n.now-state.revisionSince >= ejectionTime(n.state, ejection) {
			n.probe(state.backend)
		}
	} else if len(state.evidence) == 0 && state.delayedCount == 0 && state.ejectedUntil == 0 && state.reportWithin == 0 {
		delete(n.active, state.key)
	}
	if len(state.evidence) > 0 && n.now-state.reportedAt >= reportRepeatInterval {
		state.scheduleReport(reportNow)
	}
}
