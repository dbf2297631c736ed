package node

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// Roll-outs: the rollout decides, this file carries for it. A version that is not the main one is a service of its own to the
// office, and which of the two is the main one follows from the phase. While there is no roll-out nothing is asked, timed or sent.

// Bounds of what a node reports, so that the reports of 96 nodes are under half of a link of 2 Mbit/s at whoever leads.
// What does not go out is stood for by the next one: reports are sums.
const (
	reportBytesPerSecond = 1 << 10 // bytes a second
	reportBurstBytes     = 2 << 10
	reportOverheadBytes  = 400      // bytes of one beside the evidence, about
	maxEvidenceBytes     = 64 << 10 // of evidence
	maxQueuedReports     = 64       // that wait

	backendsRefreshInterval = time.Second // the duty is told of them so often
)

// rolloutHost is what a node goes by.
type rolloutHost struct {
	local               *rollout.Node
	coordinator         *rollout.Coordinator // nil: another node has it
	coordinatorTerm     uint64
	backendsRefreshedAt time.Duration     // at the backends, for the duty
	appliedRevision     uint64            // of the state, as last folded
	loggedRevisions     map[string]uint64 // of each service's, as last logged
	admissionStates     map[string]admissionState
	caughtUp            bool // in this life the roll-outs were known here as whoever leads knows them
	catchUpRequestedAt  time.Duration
	queuedReports       []rollout.Report // the newest of each service, to go out
	reportBudget        float64          // bytes that may
	reportBudgetAt      time.Duration
	answerStatus        int // status of the answer whose end is being told; 0: there is none
}

// admissionState is what admission last was told of a service.
type admissionState struct {
	number rollout.Number
	phase  rollout.Phase
	open   admission.CanaryAccess
	final  bool // finished, and the node knows that there is no later one
}

func (h *Node) openRollouts() {
	h.rollouts = rolloutHost{local: rollout.NewNode(h.settings.Zone, h.incarnation, h.loop.Now()), loggedRevisions: map[string]uint64{},
		admissionStates: map[string]admissionState{}, catchUpRequestedAt: -time.Second}
}

// applyRollouts takes the state after an entry or a snapshot.
func (h *Node) applyRollouts() {
	x, s := &h.rollouts, h.machine.Rollouts
	if s.Rev == x.appliedRevision {
		return
	}
	x.appliedRevision = s.Rev
	x.local.Tick(h.loop.Now())
	x.local.ApplyState(s)
	if x.coordinator != nil {
		x.coordinator.Tick(h.loop.Now())
		x.coordinator.ApplyState(s)
	}
	for i := range s.Runs() {
		r := &s.Runs()[i]
		if x.loggedRevisions[r.Order.Service] != r.Rev {
			x.loggedRevisions[r.Order.Service] = r.Rev
			last := r.History[len(r.History)-1]
			h.say(rolloutPart, "%s %d: %s by %s: %s, step %d of %d, %s of the users%s", r.Order.Service, r.Number, last.Verb,
				cmp.Or(last.By, "nobody named"), r.Phase, r.Step, len(r.Order.Steps), formatShare(r.Share()), reasonSuffix(last.Why))
		}
	}
	h.updateRolloutAdmission()
}

func reasonSuffix(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

// formatShare words a share in 1/10000.
func formatShare(share int) string {
	return strconv.FormatFloat(float64(share)/100, 'f', -1, 64) + " %"
}

// secondaryService names the version of a service that is not the main one; no configuration can.
func secondaryService(service string) string { return service + "\x00" }

// poolOf is where a backend is listed: until a roll-out is finished the main version is all but the new one, from
// then on all but the old one.
func (h *Node) poolOf(w registry.Record) control.ServiceID {
	if r := h.machine.Rollouts.Run(w.Service); r != nil {
		if pool := h.rollouts.local.BackendSide(w.Service, w.Generation); (pool == rollout.Canary) != (r.Phase == rollout.Finished) {
			return h.catalog.serviceID(secondaryService(w.Service))
		}
	}
	return h.catalog.serviceID(w.Service)
}

// updateRolloutAdmission tells the office who may go where, as far as that has changed.
func (h *Node) updateRolloutAdmission() {
	x := &h.rollouts
	for i := range h.machine.Rollouts.Runs() {
		r := &h.machine.Rollouts.Runs()[i]
		name := r.Order.Service
		ended := r.Phase == rollout.Finished
		now := admissionState{r.Number, r.Phase, admission.CanaryShared, ended && x.local.EverConnected()}
		switch {
		case ended:
			now.open = admission.CanaryFallback
		case x.local.CanaryBarred(name):
			now.open = admission.CanaryClosed
		}
		was, had := x.admissionStates[name]
		if was == now {
			continue
		}
		x.admissionStates[name] = now
		main, under := h.catalog.serviceID(name), h.catalog.serviceID(secondaryService(name))
		if !had || was.number != now.number || was.final != now.final || (was.phase == rollout.Finished) != ended {
			h.admission.SetRollout(main, under, admission.CanaryClosed)
			h.relistBackends(name, main)
		}
		h.admission.SetRollout(main, under, now.open)
	}
}

// relistBackends lists the backends of a service by their versions: those of the main one first, so that it is never without.
func (h *Node) relistBackends(service string, main control.ServiceID) {
	if h.registry == nil {
		return
	}
	h.registry.Tick(h.loop.Now())
	words := slices.DeleteFunc(h.registry.Backends(), func(w registry.Record) bool { return w.Service != service })
	for _, first := range []bool{true, false} {
		for _, w := range words {
			if (h.poolOf(w) == main) == first {
				c := registry.Changed{Record: w}
				if w.ColdLeft > 0 {
					c.SlowStartUntil = h.loop.Now() + w.ColdLeft
				}
				h.updateListing(c)
			}
		}
	}
}

// ---- The path of a request

// requestSides answers the office.
type requestSides Node

// Assign tells where a request begins, by its user.
func (s *requestSides) Assign(id control.TxnID, kind control.ProductID, service control.ServiceID) admission.Assignment {
	h := (*Node)(s)
	name := h.catalog.serviceNames[service]
	user, tenant := h.frontend.User(h.gate.Asker(slots.Ref(id)), slots.Ref(id))
	in := rollout.Scope{Tenant: tenant, Zone: h.settings.Zone}
	if r := h.catalog.routesByProduct[kind]; r != nil {
		in.Route = r.Name
	}
	b := admission.Assignment{Number: h.rollouts.local.RunningNumber(name)}
	b.Side, b.Counts = h.rollouts.local.ChooseSide(name, user, in)
	if b.Counts {
		f := fnv.New32a()
		f.Write([]byte(tenant))
		b.Tenant = f.Sum32()
	}
	return b
}

// SubmissionEnded passes on how a request that counts has ended.
func (s *requestSides) SubmissionEnded(e admission.Comparison) {
	x := &(*Node)(s).rollouts
	end := rollout.Outcome{Side: e.Side, Route: uint32(e.Kind), Tenant: e.Tenant, Backend: uint64(e.Backend),
		Cause: causeOf(e.Ending, x.answerStatus), Latency: e.Took, WarmingUp: e.WarmingUp}
	if e.Effectful {
		end.Kind = rollout.Write
	}
	x.local.RecordOutcome(s.catalog.serviceNames[e.Service], e.Number, end)
}

// causeOf is the table from endings, and the status of the answer where there was one, to causes.
func causeOf(e control.Ending, status int) rollout.Cause {
	switch {
	case e == control.Succeeded:
		return rollout.Success
	case e == control.Rejected:
		return rollout.Rejected
	case e != control.Errored:
		return rollout.NoResponse
	case status >= 500:
		return rollout.ServerError
	case status >= 400: // the service's own word
		return rollout.Success
	}
	return rollout.InvalidResponse
}

// outcomeTap notes the status of an answer on its way to the gate, for the time of the call.
type outcomeTap struct {
	*gate.Gate
	node *Node
}

func (u *outcomeTap) Ended(txn slots.Ref, nr int, at control.BackendID, o gate.Outcome) {
	if x := &u.node.rollouts; x.local.HasRollouts() && o.Answer != nil {
		x.answerStatus = o.Answer.Status()
	}
	u.Gate.Ended(txn, nr, at, o)
	u.node.rollouts.answerStatus = 0
}

// ---- Reports and the duty

// tickRollouts is the part of the one timer.
func (h *Node) tickRollouts() {
	x := &h.rollouts
	if !x.local.HasRollouts() {
		return
	}
	now := h.loop.Now()
	fresh := h.permitted(permitRefuse)
	if fresh && !x.caughtUp && now-x.catchUpRequestedAt >= time.Second {
		x.catchUpRequestedAt = now
		h.callLeader(ReadRollouts, nil, 0, h.receiveCatchUp)
	}
	x.local.SetConnected(fresh && x.caughtUp)
	x.local.Tick(now)
	for a, ok := x.local.Next(); ok; a, ok = x.local.Next() {
		switch a := a.(type) {
		case rollout.SendReport:
			h.queueReport(a.Report)
		case rollout.LocalRollback:
			h.warn(rolloutPart, "%s %d: this node pulls back for itself: %s", a.Service, a.Number, a.Reason)
		}
	}
	h.sendReports()
	h.runRolloutCoordinator()
	h.updateRolloutAdmission()
}

// receiveCatchUp: what whoever leads knew when it was asked; this node's own may be of before its last life.
func (h *Node) receiveCatchUp(status int, body []byte) {
	var there controlapi.RolloutStatus
	if status == 200 && json.Unmarshal(body, &there) == nil && h.machine.Rollouts.Rev >= there.Rev {
		h.rollouts.caughtUp = true
	}
}

// queueReport lays one out to be sent in place of the one before it.
func (h *Node) queueReport(r rollout.Report) {
	x := &h.rollouts
	if x.coordinator != nil {
		h.receiveReport(&RolloutMessage{Seat: h.slot(), Report: &r})
		return
	}
	for i := range x.queuedReports {
		if x.queuedReports[i].Service == r.Service {
			x.queuedReports[i] = r
			return
		}
	}
	if len(x.queuedReports) < maxQueuedReports {
		x.queuedReports = append(x.queuedReports, r)
	}
}

func (h *Node) sendReports() {
	x, now := &h.rollouts, h.loop.Now()
	x.reportBudget = min(x.reportBudget+reportBytesPerSecond*(now-x.reportBudgetAt).Seconds(), reportBurstBytes)
	x.reportBudgetAt = now
	for len(x.queuedReports) > 0 && x.reportBudget > 0 {
		r := x.queuedReports[0]
		x.queuedReports = x.queuedReports[1:]
		x.reportBudget -= float64(reportOverheadBytes + len(r.Evidence))
		if to := h.forwardTarget(); to != "" {
			h.links.Send(to, &Frame{Rollout: &RolloutMessage{Seat: h.slot(), Hops: 1, Report: &r}})
		}
	}
}

// receiveRolloutMessage takes a report, or the word of a lap, or passes it on.
func (h *Node) receiveRolloutMessage(from string, w *RolloutMessage) {
	switch {
	case w.Lap != nil:
		h.rollouts.local.Tick(h.loop.Now())
		h.rollouts.local.HandleLap(*w.Lap)
		if h.core != nil {
			h.sendToFollowers(from, &Frame{Rollout: w})
		}
	case w.Report == nil || len(w.Report.Evidence) > maxEvidenceBytes:
	case h.rollouts.coordinator != nil:
		h.receiveReport(w)
	case w.Hops < maxHops && h.core != nil:
		if to := h.forwardTarget(); to != "" && to != from {
			h.links.Send(to, &Frame{Rollout: &RolloutMessage{Seat: w.Seat, Hops: w.Hops + 1, Report: w.Report}})
		}
	}
}

func (h *Node) sendToFollowers(but string, f *Frame) {
	for addr := range h.learners {
		if addr != but {
			h.links.Send(addr, f)
		}
	}
}

func (h *Node) receiveReport(w *RolloutMessage) {
	if w.Seat == membership.NoSlot {
		return
	}
	h.rollouts.coordinator.Tick(h.loop.Now())
	if err := h.rollouts.coordinator.HandleReport(rollout.NodeID(w.Seat), *w.Report); err != nil {
		h.say(rolloutPart, "node %d: %v", w.Seat, err)
	}
}

// runRolloutCoordinator judges for all while this node leads: the fence is the number of its view.
func (h *Node) runRolloutCoordinator() {
	x, now := &h.rollouts, h.loop.Now()
	if !h.isLeader() {
		x.coordinator = nil
		return
	}
	if _, view, _ := h.core.replica.Leader(); x.coordinator == nil || x.coordinatorTerm != view {
		x.coordinator, x.coordinatorTerm = rollout.NewCoordinator(view, now), view
		x.coordinator.ApplyState(h.machine.Rollouts)
		x.backendsRefreshedAt = now - backendsRefreshInterval
	}
	if now-x.backendsRefreshedAt >= backendsRefreshInterval {
		x.backendsRefreshedAt = now
		x.coordinator.SetNodeCount(h.slotCount)
		h.updateCoordinatorBackends()
	}
	x.coordinator.Tick(now)
	for a, ok := x.coordinator.Next(); ok; a, ok = x.coordinator.Next() {
		switch a := a.(type) {
		case rollout.Propose:
			e := a.Entry
			e.At = time.Now().UnixMilli()
			h.core.propose(statemachine.KindRollout, e.Encode(), func(status int, body []byte) {
				if status != 200 {
					h.say(rolloutPart, "%s %d: %s not taken: %s", e.Service, e.Number, e.Verb, body)
				}
			})
		case rollout.BroadcastLap:
			l := a.Lap
			x.local.HandleLap(l)
			f := &Frame{Rollout: &RolloutMessage{Lap: &l}}
			for _, m := range h.core.replica.Members() {
				if addr := h.memberAddr(m); addr != "" && addr != h.peerAddr {
					h.links.Send(addr, f)
				}
			}
			h.sendToFollowers("", f)
		}
	}
}

// updateCoordinatorBackends tells the duty whether there is an old version to go back to, and a service at all.
func (h *Node) updateCoordinatorBackends() {
	for i := range h.machine.Rollouts.Runs() {
		r := &h.machine.Rollouts.Runs()[i]
		if r.Phase != rollout.Running {
			continue
		}
		old := -1
		if room := h.rolloutCapacity(&r.Order); room.Old+room.New > 0 {
			old = room.Old
		}
		_, known := h.table.Service(r.Order.Service)
		h.rollouts.coordinator.SetBaselineBackends(r.Order.Service, old, known || h.table.Version() == 0)
	}
}

// rolloutCapacity is how many requests the ready backends of each version take at a time, and how many there are at the busiest, as
// far as this node's own tell.
func (h *Node) rolloutCapacity(o *rollout.Spec) (m rollout.Capacity) {
	if h.registry == nil {
		return m
	}
	for _, w := range h.registry.Backends() {
		switch {
		case w.Service != o.Service || w.Phase != registry.Ready:
		case w.Generation == o.New:
			m.New += max(w.Capacity, 1)
		default:
			m.Old += max(w.Capacity, 1)
		}
	}
	m.Busy = int(math.Ceil(h.admission.PeakConcurrency(h.catalog.serviceID(o.Service)) * float64(max(h.slotCount, 1))))
	return m
}

// prepareEntry is an operator's entry as whoever leads puts it into the log: with what the duty has counted until now. An order that
// would be taken, but names what is not in the configuration, is refused here, since another node may not know the newest.
func (h *Node) prepareEntry(k statemachine.Kind, body []byte) ([]byte, error) {
	if k != statemachine.KindRollout {
		return body, nil
	}
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return nil, err
	}
	if e.Order != nil { // whoever took the call may know of fewer backends
		here := h.rolloutCapacity(e.Order)
		e.Room.Old, e.Room.New = max(e.Room.Old, here.Old), max(e.Room.New, here.New)
	}
	if v, _ := h.machine.Rollouts.Decide(e); v == routing.Taken && e.Order != nil {
		if err := h.checkKnown(e.Order); err != nil {
			return nil, err
		}
	}
	if h.rollouts.coordinator != nil {
		e.Counts, _ = h.rollouts.coordinator.Counts(e.Service)
	}
	return e.Encode(), nil
}
