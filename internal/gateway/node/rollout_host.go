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

func (n *Node) openRollouts() {
	n.rollouts = rolloutHost{local: rollout.NewNode(n.settings.Zone, n.incarnation, n.loop.Now()), loggedRevisions: map[string]uint64{},
		admissionStates: map[string]admissionState{}, catchUpRequestedAt: -time.Second}
}

// applyRollouts takes the state after an entry or a snapshot.
func (n *Node) applyRollouts() {
	x, s := &n.rollouts, n.machine.Rollouts
	if s.Rev == x.appliedRevision {
		return
	}
	x.appliedRevision = s.Rev
	x.local.Tick(n.loop.Now())
	x.local.ApplyState(s)
	if x.coordinator != nil {
		x.coordinator.Tick(n.loop.Now())
		x.coordinator.ApplyState(s)
	}
	for i := range s.Runs() {
		r := &s.Runs()[i]
		if x.loggedRevisions[r.Order.Service] != r.Rev {
			x.loggedRevisions[r.Order.Service] = r.Rev
			last := r.History[len(r.History)-1]
			n.say(rolloutPart, "%s %d: %s by %s: %s, step %d of %d, %s of the users%s", r.Order.Service, r.Number, last.Verb,
				cmp.Or(last.By, "nobody named"), r.Phase, r.Step, len(r.Order.Steps), formatShare(r.Share()), reasonSuffix(last.Why))
		}
	}
	n.updateRolloutAdmission()
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
func (n *Node) poolOf(w registry.Record) control.ServiceID {
	if r := n.machine.Rollouts.Run(w.Service); r != nil {
		if pool := n.rollouts.local.BackendSide(w.Service, w.Generation); (pool == rollout.Canary) != (r.Phase == rollout.Finished) {
			return n.catalog.serviceID(secondaryService(w.Service))
		}
	}
	return n.catalog.serviceID(w.Service)
}

// updateRolloutAdmission tells the office who may go where, as far as that has changed.
func (n *Node) updateRolloutAdmission() {
	x := &n.rollouts
	for i := range n.machine.Rollouts.Runs() {
		r := &n.machine.Rollouts.Runs()[i]
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
		main, under := n.catalog.serviceID(name), n.catalog.serviceID(secondaryService(name))
		if !had || was.number != now.number || was.final != now.final || (was.phase == rollout.Finished) != ended {
			n.admission.SetRollout(main, under, admission.CanaryClosed)
			n.relistBackends(name, main)
		}
		n.admission.SetRollout(main, under, now.open)
	}
}

// relistBackends lists the backends of a service by their versions: those of the main one first, so that it is never without.
func (n *Node) relistBackends(service string, main control.ServiceID) {
	if n.registry == nil {
		return
	}
	n.registry.Tick(n.loop.Now())
	words := slices.DeleteFunc(n.registry.Backends(), func(w registry.Record) bool { return w.Service != service })
	for _, first := range []bool{true, false} {
		for _, w := range words {
			if (n.poolOf(w) == main) == first {
				c := registry.Changed{Record: w}
				if w.ColdLeft > 0 {
					c.SlowStartUntil = n.loop.Now() + w.ColdLeft
				}
				n.updateListing(c)
			}
		}
	}
}

// ---- The path of a request

// requestSides answers the office.
type requestSides Node

// Assign tells where a request begins, by its user.
func (r *requestSides) Assign(id control.TxnID, kind control.ProductID, service control.ServiceID) admission.Assignment {
	h := (*Node)(r)
	name := h.catalog.serviceNames[service]
	user, tenant := h.frontend.User(h.gate.Asker(slots.Ref(id)), slots.Ref(id))
	in := rollout.Scope{Tenant: tenant, Zone: h.settings.Zone}
	if route := h.catalog.routesByProduct[kind]; route != nil {
		in.Route = route.Name
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
func (r *requestSides) SubmissionEnded(e admission.Comparison) {
	x := &(*Node)(r).rollouts
	end := rollout.Outcome{Side: e.Side, Route: uint32(e.Kind), Tenant: e.Tenant, Backend: uint64(e.Backend),
		Cause: causeOf(e.Ending, x.answerStatus), Latency: e.Took, WarmingUp: e.WarmingUp}
	if e.Effectful {
		end.Kind = rollout.Write
	}
	x.local.RecordOutcome(r.catalog.serviceNames[e.Service], e.Number, end)
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

func (o *outcomeTap) Ended(txn slots.Ref, nr int, at control.BackendID, outcome gate.Outcome) {
	if x := &o.node.rollouts; x.local.HasRollouts() && outcome.Answer != nil {
		x.answerStatus = outcome.Answer.Status()
	}
	o.Gate.Ended(txn, nr, at, outcome)
	o.node.rollouts.answerStatus = 0
}

// ---- Reports and the duty

// tickRollouts is the part of the one timer.
func (n *Node) tickRollouts() {
	x := &n.rollouts
	if !x.local.HasRollouts() {
		return
	}
	now := n.loop.Now()
	fresh := n.permitted(permitRefuse)
	if fresh && !x.caughtUp && now-x.catchUpRequestedAt >= time.Second {
		x.catchUpRequestedAt = now
		n.callLeader(ReadRollouts, nil, 0, n.receiveCatchUp)
	}
	x.local.SetConnected(fresh && x.caughtUp)
	x.local.Tick(now)
	for a, ok := x.local.Next(); ok; a, ok = x.local.Next() {
		switch a := a.(type) {
		case rollout.SendReport:
			n.queueReport(a.Report)
		case rollout.LocalRollback:
			n.warn(rolloutPart, "%s %d: this node pulls back for itself: %s", a.Service, a.Number, a.Reason)
		}
	}
	n.sendReports()
	n.runRolloutCoordinator()
	n.updateRolloutAdmission()
}

// receiveCatchUp: what whoever leads knew when it was asked; this node's own may be of before its last life.
func (n *Node) receiveCatchUp(status int, body []byte) {
	var there controlapi.RolloutStatus
	if status == 200 && json.Unmarshal(body, &there) == nil && n.machine.Rollouts.Rev >= there.Rev {
		n.rollouts.caughtUp = true
	}
}

// queueReport lays one out to be sent in place of the one before it.
func (n *Node) queueReport(r rollout.Report) {
	x := &n.rollouts
	if x.coordinator != nil {
		n.receiveReport(&RolloutMessage{Seat: n.slot(), Report: &r})
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

func (n *Node) sendReports() {
	x, now := &n.rollouts, n.loop.Now()
	x.reportBudget = min(x.reportBudget+reportBytesPerSecond*(now-x.reportBudgetAt).Seconds(), reportBurstBytes)
	x.reportBudgetAt = now
	for len(x.queuedReports) > 0 && x.reportBudget > 0 {
		r := x.queuedReports[0]
		x.queuedReports = x.queuedReports[1:]
		x.reportBudget -= float64(reportOverheadBytes + len(r.Evidence))
		if to := n.forwardTarget(); to != "" {
			n.links.Send(to, &Frame{Rollout: &RolloutMessage{Seat: n.slot(), Hops: 1, Report: &r}})
		}
	}
}

// receiveRolloutMessage takes a report, or the word of a lap, or passes it on.
func (n *Node) receiveRolloutMessage(from string, w *RolloutMessage) {
	switch {
	case w.Lap != nil:
		n.rollouts.local.Tick(n.loop.Now())
		n.rollouts.local.HandleLap(*w.Lap)
		if n.core != nil {
			n.sendToFollowers(from, &Frame{Rollout: w})
		}
	case w.Report == nil || len(w.Report.Evidence) > maxEvidenceBytes:
	case n.rollouts.coordinator != nil:
		n.receiveReport(w)
	case w.Hops < maxHops && n.core != nil:
		if to := n.forwardTarget(); to != "" && to != from {
			n.links.Send(to, &Frame{Rollout: &RolloutMessage{Seat: w.Seat, Hops: w.Hops + 1, Report: w.Report}})
		}
	}
}

func (n *Node) sendToFollowers(but string, f *Frame) {
	for addr := range n.learners {
		if addr != but {
			n.links.Send(addr, f)
		}
	}
}

func (n *Node) receiveReport(w *RolloutMessage) {
	if w.Seat == membership.NoSlot {
		return
	}
	n.rollouts.coordinator.Tick(n.loop.Now())
	if err := n.rollouts.coordinator.HandleReport(rollout.NodeID(w.Seat), *w.Report); err != nil {
		n.say(rolloutPart, "node %d: %v", w.Seat, err)
	}
}

// runRolloutCoordinator judges for all while this node leads: the fence is the number of its view.
func (n *Node) runRolloutCoordinator() {
	x, now := &n.rollouts, n.loop.Now()
	if !n.isLeader() {
		x.coordinator = nil
		return
	}
	if _, view, _ := n.core.replica.Leader(); x.coordinator == nil || x.coordinatorTerm != view {
		x.coordinator, x.coordinatorTerm = rollout.NewCoordinator(view, now), view
		x.coordinator.ApplyState(n.machine.Rollouts)
		x.backendsRefreshedAt = now - backendsRefreshInterval
	}
	if now-x.backendsRefreshedAt >= backendsRefreshInterval {
		x.backendsRefreshedAt = now
		x.coordinator.SetNodeCount(n.slotCount)
		n.updateCoordinatorBackends()
	}
	x.coordinator.Tick(now)
	for a, ok := x.coordinator.Next(); ok; a, ok = x.coordinator.Next() {
		switch a := a.(type) {
		case rollout.Propose:
			e := a.Entry
			e.At = time.Now().UnixMilli()
			n.core.propose(statemachine.KindRollout, e.Encode(), func(status int, body []byte) {
				if status != 200 {
					n.say(rolloutPart, "%s %d: %s not taken: %s", e.Service, e.Number, e.Verb, body)
				}
			})
		case rollout.BroadcastLap:
			l := a.Lap
			x.local.HandleLap(l)
			f := &Frame{Rollout: &RolloutMessage{Lap: &l}}
			for _, m := range n.core.replica.Members() {
				if addr := n.memberAddr(m); addr != "" && addr != n.peerAddr {
					n.links.Send(addr, f)
				}
			}
			n.sendToFollowers("", f)
		}
	}
}

// updateCoordinatorBackends tells the duty whether there is an old version to go back to, and a service at all.
func (n *Node) updateCoordinatorBackends() {
	for i := range n.machine.Rollouts.Runs() {
		r := &n.machine.Rollouts.Runs()[i]
		if r.Phase != rollout.Running {
			continue
		}
		old := -1
		if room := n.rolloutCapacity(&r.Order); room.Old+room.New > 0 {
			old = room.Old
		}
		_, known := n.table.Service(r.Order.Service)
		n.rollouts.coordinator.SetBaselineBackends(r.Order.Service, old, known || n.table.Version() == 0)
	}
}

// rolloutCapacity is how many requests the ready backends of each version take at a time, and how many there are at the busiest, as
// far as this node's own tell.
func (n *Node) rolloutCapacity(o *rollout.Spec) (m rollout.Capacity) {
	if n.registry == nil {
		return m
	}
	for _, w := range n.registry.Backends() {
		switch {
		case w.Service != o.Service || w.Phase != registry.Ready:
		case w.Generation == o.New:
			m.New += max(w.Capacity, 1)
		default:
			m.Old += max(w.Capacity, 1)
		}
	}
	m.Busy = int(math.Ceil(n.admission.PeakConcurrency(n.catalog.serviceID(o.Service)) * float64(max(n.slotCount, 1))))
	return m
}

// prepareEntry is an operator's entry as whoever leads puts it into the log: with what the duty has counted until now. An order that
// would be taken, but names what is not in the configuration, is refused here, since another node may not know the newest.
func (n *Node) prepareEntry(k statemachine.Kind, body []byte) ([]byte, error) {
	if k != statemachine.KindRollout {
		return body, nil
	}
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return nil, err
	}
	if e.Order != nil { // whoever took the call may know of fewer backends
		here := n.rolloutCapacity(e.Order)
		e.Room.Old, e.Room.New = max(e.Room.Old, here.Old), max(e.Room.New, here.New)
	}
	if v, _ := n.machine.Rollouts.Decide(e); v == routing.Taken && e.Order != nil {
		if err := n.checkKnown(e.Order); err != nil {
			return nil, err
		}
	}
	if n.rollouts.coordinator != nil {
		e.Counts, _ = n.rollouts.coordinator.Counts(e.Service)
	}
	return e.Encode(), nil
}
