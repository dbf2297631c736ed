package node

import (
	"hash/fnv"

	"clovergap/control"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// A version that is not the main one is a service of its own to admission, and which of the two is the main one follows from the phase.

// admissionStates are the last update that admission was given of each service's roll-out.
type admissionStates map[string]admissionState

type admissionState struct {
	number rollout.Number
	phase  rollout.Phase
	open   admission.CanaryAccess
	final  bool // finished, and the node knows that there is no later one
}

// relists reports whether the backends of a service are to be listed anew, since its main version is another one now, or may be.
func (a admissionState) relists(before admissionState, known bool) bool {
	return !known || before.number != a.number || before.final != a.final ||
		(before.phase == rollout.Finished) != (a.phase == rollout.Finished)
}

// secondaryService names the version of a service that is not the main one; no configuration can.
func secondaryService(service string) string { return service + "\x00" }

// serviceOf is the service that a backend is listed for: until a roll-out is finished the main version is all but the new one, from then
// on all but the baseline.
func (r *rolloutHost) serviceOf(record registry.Record) string {
	if run := r.peers.rolloutState().Run(record.Service); run != nil {
		side := r.local.BackendSide(record.Service, record.Generation)
		if (side == rollout.Canary) != (run.Phase == rollout.Finished) {
			return secondaryService(record.Service)
		}
	}
	return record.Service
}

// updateAdmission updates admission on which users may go to which version, where that has changed.
func (r *rolloutHost) updateAdmission() {
	for i := range r.peers.rolloutState().Runs() {
		run := &r.peers.rolloutState().Runs()[i]
		service, state := run.Spec.Service, r.admissionOf(run)
		before, known := r.admission[service]
		if before == state {
			continue
		}
		r.admission[service] = state
		if state.relists(before, known) {
			r.backends.setRollout(service, admission.CanaryClosed)
			r.relist(service)
		}
		r.backends.setRollout(service, state.open)
	}
}

// admissionOf is what admission is to go by in a roll-out.
func (r *rolloutHost) admissionOf(run *rollout.Run) admissionState {
	finished := run.Phase == rollout.Finished
	state := admissionState{run.Number, run.Phase, admission.CanaryShared, finished && r.local.WasEverConnected()}
	switch {
	case finished:
		state.open = admission.CanaryFallback
	case r.local.IsCanaryExcluded(run.Spec.Service):
		state.open = admission.CanaryClosed
	}
	return state
}

// relist lists the backends of a service by their versions: those of the main one first, so that it is never without.
func (r *rolloutHost) relist(service string) {
	r.backends.tickRegistry() // their remaining slow start is as of its clock
	records, _ := r.backends.serviceRecords(service)
	for _, main := range []bool{true, false} {
		for _, record := range records {
			if (r.serviceOf(record) == service) != main {
				continue
			}
			c := registry.Changed{Record: record}
			if record.SlowStartLeft > 0 {
				c.SlowStartUntil = r.peers.now() + record.SlowStartLeft
			}
			r.backends.updateListing(c)
		}
	}
}

// requestSides assigns requests to a side of a roll-out, and records how they ended.
type requestSides Node

// Assign is the side on which a request begins, by its user.
func (r *requestSides) Assign(id control.TxnID, kind control.ProductID, service control.ServiceID) admission.Assignment {
	n := (*Node)(r)
	name := n.catalog.serviceNames[service]
	user, tenant := n.frontend.User(n.gate.Requester(slots.Ref(id)), slots.Ref(id))
	scope := rollout.Scope{Tenant: tenant, Zone: n.settings.Zone}
	if route := n.catalog.routesByProduct[kind]; route != nil {
		scope.Route = route.Name
	}
	b := admission.Assignment{Number: n.rollouts.local.RunningNumber(name)}
	b.Side, b.InComparison = n.rollouts.local.ChooseSide(name, user, scope)
	if b.InComparison {
		sum := fnv.New32a()
		sum.Write([]byte(tenant))
		b.Tenant = sum.Sum32()
	}
	return b
}

// SubmissionEnded records how the first submission of a request that is part of the comparison of the two versions has ended.
func (r *requestSides) SubmissionEnded(e admission.ComparisonSample) {
	outcome := rollout.Outcome{Side: e.Side, Route: uint32(e.Kind), Tenant: e.Tenant, Backend: uint64(e.Backend),
		Cause: causeOf(e.Ending, r.rollouts.answerStatus), Latency: e.Took, WarmingUp: e.WarmingUp}
	if e.Effectful {
		outcome.Kind = rollout.Write
	}
	r.rollouts.local.RecordOutcome(r.catalog.serviceNames[e.Service], e.Number, outcome)
}

// causeOf is the table from endings, and the status of the response where there was one, to causes.
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
	case status >= 400: // the service meant it
		return rollout.Success
	}
	return rollout.InvalidResponse
}

// outcomeTap records the status of a response on its way to the gate, for the time of the call.
type outcomeTap struct {
	*gate.Gate
	node *Node
}

// Ended passes on how an attempt at a backend ended.
func (o *outcomeTap) Ended(txn slots.Ref, attempt int, backend control.BackendID, outcome gate.Outcome) {
	r := o.node.rollouts
	if r.local.HasRollouts() && outcome.Answer != nil {
		r.answerStatus = outcome.Answer.Status()
	}
	o.Gate.Ended(txn, attempt, backend, outcome)
	r.answerStatus = 0
}
