package outlier

import (
	"slices"
	"time"
)

// keyState is this node's state for a key. Most fields are reset when the revision of the key's ejection changes (resetKey).
type keyState struct {
	key      Key
	backend  *backend
	revision uint64
	// The time when this node applied the revision.
	revisionSince time.Duration
	window        slidingWindow
	evidence      []evidenceItem
	Totals
	// The totals in the last report on the key.
	reportedTotals Totals
	// The number of items of delayed evidence on the key. The backend is closed locally while the number is above 0.
	delayedCount int
	// The end of the local ejection. 0 if there is none.
	ejectedUntil time.Duration
	// The number of local ejections of the key so far. It is kept when the revision changes.
	localEjections int
	// The access that was last pushed to the host.
	access Access
	// True if the access that was last pushed is Closed because of a local ejection.
	local bool
	// The next report on the key is due when this time has passed since reportedAt. 0: nothing to report.
	reportWithin time.Duration
	// The time of the last report on the key. 0: never.
	reportedAt time.Duration
}

// evidenceItem is one item of evidence on a backend.
type evidenceItem struct {
	kind       EvidenceKind
	observedAt time.Duration
	// The time from the sending of the attempt to the evidence. For LostAnswer this is the attempt's time-out. 0 for evidence that a network link
	// cannot have caused.
	timeout time.Duration
}

// delayedEvidence is evidence that a network link may have caused. The evidence counts only after linkEvidenceDelay.
type delayedEvidence struct {
	evidenceItem
	state    *keyState
	revision uint64        // The revision of the key's ejection when the attempt was sent.
	sentAt   time.Duration // The time when the attempt was sent.
}

// observedReset records that a backend reset a connection.
type observedReset struct {
	id         InstanceID
	observedAt time.Duration
}

// resetKey discards this node's observations of a key and sets the revision of the key's state. The number of local ejections and the access are
// kept. The observations are discarded because the coordinator ignores observations under an earlier revision.
func (n *Node) resetKey(state *keyState, rev uint64) {
	*state = keyState{key: state.key, backend: state.backend, revision: rev, revisionSince: n.now, localEjections: state.localEjections,
		access: state.access, local: state.local}
	n.active[state.key] = state
}

// RecordAttempt records how an attempt ended. sentAt is the time when the attempt was sent, and rev is the result of Revision at that time. The
// host calls RecordAttempt once for each attempt.
func (n *Node) RecordAttempt(k Key, rev uint64, sentAt time.Duration, end AttemptEnd) {
	instance := n.backends[k.ID]
	kind := end.EvidenceKind()
	if instance == nil || !n.state.Enabled() {
		return
	}
	if end.provesPathWorks() {
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
	n.recordOutcome(instance, k, rev, kind, sentAt)
}

// RecordEvidence records evidence that does not follow from the end of an attempt. The kind is StrayAnswer or DuplicateAnswer. rev is the result
// of Revision when the last attempt was sent on the connection.
func (n *Node) RecordEvidence(k Key, rev uint64, kind EvidenceKind) {
	if instance := n.backends[k.ID]; instance != nil && n.state.Enabled() {
		n.recordOutcome(instance, k, rev, kind, n.now)
	}
}

// recordOutcome records a clean answer or a failure of a key. It ignores an attempt that was sent under another revision than the current one.
func (n *Node) recordOutcome(instance *backend, k Key, rev uint64, kind EvidenceKind, sentAt time.Duration) {
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
		w.LatencyMillis += uint32((n.now - sentAt).Milliseconds())
		instance.service.windows[k.Mode].advanceTo(n.now).Clean++
		state.Clean++
		if s := &instance.keys[Strict]; k.Mode == Patient && s.revision > 0 {
			s.Reads++
		}
	case evidenceWeights[kind][k.Mode] == Ignored:
	case kind == LostAnswer || kind == ConnectionReset: // A network link may have caused the failure.
		if k.Mode == Strict && n.mayEjectLocally(instance) {
			state.delayedCount++
		}
		n.delayed = append(n.delayed, delayedEvidence{evidenceItem{kind, n.now, n.now - sentAt}, state, rev, sentAt})
		n.active[k] = state
		n.queueAccessUpdate(instance.service)
	default:
		n.countEvidence(state, evidenceItem{kind, n.now, 0})
	}
	n.updateAccess()
}

// countEvidence counts an item of evidence and schedules a report. Evidence that a network link may have caused is passed to this function only
// after linkEvidenceDelay. Partial and conclusive evidence on a strict key starts a local ejection, if mayEjectLocally allows the ejection.
func (n *Node) countEvidence(state *keyState, item evidenceItem) {
	m := state.key.Mode
	// Partial evidence does not count in the failure rate. The coordinator evaluates it by a separate rule (ruleLost).
	if evidenceWeights[item.kind][m] != Partial {
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

// scheduleReport schedules a report on the key. The report is due when the duration of the argument within has passed since the last report on the
// key. A report that is already scheduled for an earlier time is not postponed.
func (k *keyState) scheduleReport(within time.Duration) {
	if k.reportWithin == 0 || within < k.reportWithin {
		k.reportWithin = within
	}
}

// mayEjectLocally reports whether this node may eject a backend locally. A node may eject at most half of a service's backends locally, but
// always one. When a further backend fails, the cause is likely to be the node itself. The function then sets service.doubtUntil and returns
// false.
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

// isLocallyEjected reports whether the key is under a local ejection. This includes the delay of evidence that a network link may have caused.
func (k *keyState) isLocallyEjected(now time.Duration) bool {
	return k.delayedCount > 0 || k.ejectedUntil > now
}

// releaseDelayedEvidence processes the evidence whose delay is over. It drops evidence if the observations during the delay show that a network
// link or this node itself may have caused the failure. It counts all other evidence.
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
		// A lost answer counts only if the network path to the zone was intact. A connection reset does not need this check, because a partition
		// does not reset a single connection. A failure of a link or of this node resets connections to several backends at the same time.
		if !n.disconnected && n.otherResetCount(delayed) < maxOtherResets &&
			(delayed.kind == ConnectionReset || n.zonePaths[state.backend.Zone].wasIntact(delayed.sentAt, n.now)) {
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

// updateActiveKey drops expired evidence, ends local ejections, schedules reports and probes an ejected backend that this node owns. It removes the
// key from Node.active when no work is pending.
func (n *Node) updateActiveKey(state *keyState) {
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
		if state.backend.Owned && ejection.usesProbes() && n.now-state.revisionSince >= minEjectionDuration(n.state, ejection) {
			n.pushProbe(state.backend)
		}
	} else if len(state.evidence) == 0 && state.delayedCount == 0 && state.ejectedUntil == 0 && state.reportWithin == 0 {
		delete(n.active, state.key)
	}
	if len(state.evidence) > 0 && n.now-state.reportedAt >= reportInterval {
		state.scheduleReport(reportNow)
	}
}
