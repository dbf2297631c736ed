package outlier

import (
	"slices"
	"time"
)

// keyState is this node's state for a key under the current revision of its ejection.
type keyState struct {
	key      Key
	backend  *backend
	revision uint64
	// The time when this node applied the revision.
	revisionSince time.Duration
	window        slidingWindow
	evidence      []evidenceItem
	Totals
	// The totals in the last report.
	reportedTotals Totals
	// The number of items of delayed evidence for which this node keeps the backend closed.
	delayedCount int
	// The end of the local ejection. 0 if there is none.
	ejectedUntil time.Duration
	// The number of local ejections so far.
	localEjections int
	// The access that was last pushed to the host.
	access Access
	// Reports whether this node itself closed the access.
	local bool
	// The next report is due when this time has passed since reportedAt. 0: nothing to report.
	reportWithin time.Duration
	// The time of the last report on the key. 0: never.
	reportedAt time.Duration
}

// evidenceItem is one item of evidence on a backend.
type evidenceItem struct {
	kind       EvidenceKind
	observedAt time.Duration
	// The duration of the attempt. For LostAnswer it is the attempt's time-out.
	timeout time.Duration
}

// delayedEvidence is evidence that a network link may have caused. It counts after linkEvidenceDelay.
type delayedEvidence struct {
	evidenceItem
	state    *keyState
	revision uint64
	sentAt   time.Duration
}

// observedReset records that a backend reset a connection.
type observedReset struct {
	id         InstanceID
	observedAt time.Duration
}

// resetKey discards what was observed of a key under another revision, because it is no longer valid.
func (n *Node) resetKey(state *keyState, rev uint64) {
	*state = keyState{key: state.key, backend: state.backend, revision: rev, revisionSince: n.now, localEjections: state.localEjections, access: state.access, local: state.local}
	n.active[state.key] = state
}

// RecordAttempt records how an attempt ended. sent is when the attempt was sent, and rev is the key's revision at that time. The host calls it
// once for each attempt.
func (n *Node) RecordAttempt(k Key, rev uint64, sent time.Duration, seen AttemptEnd) {
	instance := n.backends[k.ID]
	kind := seen.EvidenceKind()
	if instance == nil || !n.state.Enabled() {
		return
	}
	if seen.provesPathWorked() {
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
	n.recordOutcome(instance, k, rev, kind, sent)
}

// RecordEvidence records evidence that does not follow from the end of an attempt. Its kind is StrayAnswer or DuplicateAnswer. rev is the key's revision when
// the connection's last attempt was sent.
func (n *Node) RecordEvidence(k Key, rev uint64, kind EvidenceKind) {
	if instance := n.backends[k.ID]; instance != nil && n.state.Enabled() {
		n.recordOutcome(instance, k, rev, kind, n.now)
	}
}

// recordOutcome records one item of evidence on a key. It ignores evidence of another revision than the current one.
func (n *Node) recordOutcome(instance *backend, k Key, rev uint64, kind EvidenceKind, sent time.Duration) {
	if k.Mode >= modeCount || kind == NoEvidence {
		return
	}
	state := &instance.keys[k.Mode]
	if state.revision != rev {
		return
	}
	switch {
	case kind == CleanAnswer:
		w := state.window.advanceTo(n.now)
		w.Clean++
		w.LatencyMillis += uint32((n.now - sent).Milliseconds())
		instance.service.windows[k.Mode].advanceTo(n.now).Clean++
		state.Clean++
		if s := &instance.keys[Strict]; k.Mode == Patient && s.revision > 0 {
			s.Reads++
		}
	case evidenceWeights[kind][k.Mode] == Ignored:
	case kind == LostAnswer || kind == ConnectionReset: // A network link may have caused it.
		if k.Mode == Strict && n.mayEjectLocally(instance) {
			state.delayedCount++
		}
		n.delayed = append(n.delayed, delayedEvidence{evidenceItem{kind, n.now, n.now - sent}, state, rev, sent})
		n.active[k] = state
		n.queueAccessUpdate(instance.service)
	default:
		n.countEvidence(state, evidenceItem{kind, n.now, 0})
	}
	n.updateAccess()
}

// countEvidence counts evidence. The network link cannot have caused the evidence, or linkEvidenceDelay has passed since it was observed. Evidence
// in the Strict mode whose weight is not ByRate leads to a local ejection, if mayEjectLocally allows it.
func (n *Node) countEvidence(state *keyState, item evidenceItem) {
	m := state.key.Mode
	if evidenceWeights[item.kind][m] != Partial { // A separate rule evaluates partial evidence.
		state.window.advanceTo(n.now).Failing++
		state.backend.service.windows[m].advanceTo(n.now).Failing++
		state.Failing++
	}
	n.active[state.key] = state
	if evidenceWeights[item.kind][m] == ByRate {
		if state.window.sum(n.now).failureRate() >= suspectFailureRate[m] {
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
	n.queueAccessUpdate(state.backend.service)
}

// scheduleReport schedules a report on the key for when the given time has passed since the last report. It never postpones a scheduled
// report.
func (k *keyState) scheduleReport(within time.Duration) {
	if k.reportWithin == 0 || within < k.reportWithin {
		k.reportWithin = within
	}
}

// mayEjectLocally reports whether this node may eject a backend locally. A node that sees more than half of a service's backends fail doubts
// its own observations. The function then returns false and sets doubtUntil.
func (n *Node) mayEjectLocally(instance *backend) bool {
	svc, count := instance.service, 0
	for _, other := range svc.backends {
		if state := &other.keys[Strict]; other != instance && state.isLocallyEjected(n.now) {
			count++
		}
	}
	if count+1 > max(1, len(svc.backends)/2) {
		svc.doubtUntil = n.now + windowDuration
		return false
	}
	return true
}

// isLocallyEjected reports whether this node itself closes the backend, without an ejection by the coordinator.
func (k *keyState) isLocallyEjected(now time.Duration) bool {
	return k.delayedCount > 0 || k.ejectedUntil > now
}

// releaseDelayedEvidence processes the evidence whose delay is over. It counts the evidence, or drops it if a network link or this node itself may
// have caused it.
func (n *Node) releaseDelayedEvidence() {
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
		n.queueAccessUpdate(state.backend.service)
		// A partition itself causes no connection resets, so a reset needs no intact path. Connections that a partition broke show as resets of
		// several backends at the same time.
		if !n.disconnected && n.otherResetCount(delayed) < maxOtherResets && (delayed.kind == ConnectionReset || n.zonePaths[state.backend.Zone].wasIntact(delayed.sentAt, n.now)) {
			n.countEvidence(state, delayed.evidenceItem)
		}
	}
	n.delayed = n.delayed[released:]
	n.resets = slices.DeleteFunc(n.resets, func(r observedReset) bool { return n.now-r.observedAt > 3*linkEvidenceDelay })
}

// otherResetCount returns the number of other backends that reset a connection within linkEvidenceDelay of the given reset. It returns 0 for
// evidence that is not a reset.
func (n *Node) otherResetCount(delayed delayedEvidence) int {
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

// maintainKey drops expired evidence, ends local ejections, schedules reports and probes an ejected backend that this node owns. It removes the
// key from the active ones when no work is pending.
func (n *Node) maintainKey(state *keyState) {
	state.evidence = slices.DeleteFunc(state.evidence, func(item evidenceItem) bool { return n.now-item.observedAt > evidenceTTL })
	if state.ejectedUntil > 0 && state.ejectedUntil <= n.now {
		state.ejectedUntil = 0
		n.queueAccessUpdate(state.backend.service)
	}
	ejection := n.state.Ejection(state.key)
	if ejection != nil && ejection.Step != InService && n.state.Enabled() {
		if state.Totals != state.reportedTotals {
			state.scheduleReport(slowReportDelay)
		}
		if state.backend.Owned && ejection.advancesByProbes() && n.now-state.revisionSince >= minEjectionDuration(n.state, ejection) {
			n.pushProbe(state.backend)
		}
	} else if len(state.evidence) == 0 && state.delayedCount == 0 && state.ejectedUntil == 0 && state.reportWithin == 0 {
		delete(n.active, state.key)
	}
	if len(state.evidence) > 0 && n.now-state.reportedAt >= reportInterval {
		state.scheduleReport(reportNow)
	}
}
