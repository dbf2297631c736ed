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
	reportRate  = 1 << 10 // bytes a second
	reportBurst = 2 << 10
	reportOther = 400      // bytes of one beside the evidence, about
	reportMost  = 64 << 10 // of evidence
	reportsMost = 64       // that wait

	lookBackends = time.Second // the duty is told of them so often
)

// rollouts is what a node goes by.
type rollouts struct {
	node       *rollout.Node
	duty       *rollout.Coordinator // nil: another node has it
	fence      uint64
	lookedAt   time.Duration     // at the backends, for the duty
	rev        uint64            // of the state, as last folded
	revs       map[string]uint64 // of each service's, as last logged
	sideStates map[string]sideState
	touched    bool // in this life the roll-outs were known here as whoever leads knows them
	askedAt    time.Duration
	waiting    []rollout.Report // the newest of each service, to go out
	left       float64          // bytes that may
	leftAt     time.Duration
	answer     int // status of the answer whose end is being told; 0: there is none
}

// sideState is what admission last was told of a service.
type sideState struct {
	number rollout.Number
	phase  rollout.Phase
	open   admission.Open
	sure   bool // finished, and the node knows that there is no later one
}

func (h *Node) openRollouts() {
	h.rollouts = rollouts{node: rollout.NewNode(h.settings.Zone, h.life, h.e.Now()), revs: map[string]uint64{},
		sideStates: map[string]sideState{}, askedAt: -time.Second}
}

// foldRollouts takes the state after an entry or a snapshot.
func (h *Node) foldRollouts() {
	x, s := &h.rollouts, h.machine.Rollouts
	if s.Rev == x.rev {
		return
	}
	x.rev = s.Rev
	x.node.Now(h.e.Now())
	x.node.Fold(s)
	if x.duty != nil {
		x.duty.Now(h.e.Now())
		x.duty.Fold(s)
	}
	for i := range s.Runs() {
		r := &s.Runs()[i]
		if x.revs[r.Order.Service] != r.Rev {
			x.revs[r.Order.Service] = r.Rev
			last := r.History[len(r.History)-1]
			h.say(rolloutPart, "%s %d: %s by %s: %s, step %d of %d, %s of the users%s", r.Order.Service, r.Number, last.Verb,
				cmp.Or(last.By, "nobody named"), r.Phase, r.Step, len(r.Order.Steps), percent(r.Share()), because(last.Why))
		}
	}
	h.updateSides()
}

func because(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

// percent words a share in 1/10000.
func percent(share int) string { return strconv.FormatFloat(float64(share)/100, 'f', -1, 64) + " %" }

// underOf names the version of a service that is not the main one; no configuration can.
func underOf(service string) string { return service + "\x00" }

// poolOf is where a backend is listed: until a roll-out is finished the main version is all but the new one, from
// then on all but the old one.
func (h *Node) poolOf(w registry.Record) control.ServiceID {
	if r := h.machine.Rollouts.Run(w.Service); r != nil {
		if pool := h.rollouts.node.Pool(w.Service, w.Generation); (pool == rollout.New) != (r.Phase == rollout.Finished) {
			return h.catalog.service(underOf(w.Service))
		}
	}
	return h.catalog.service(w.Service)
}

// updateSides tells the office who may go where, as far as that has changed.
func (h *Node) updateSides() {
	x := &h.rollouts
	for i := range h.machine.Rollouts.Runs() {
		r := &h.machine.Rollouts.Runs()[i]
		name := r.Order.Service
		ended := r.Phase == rollout.Finished
		now := sideState{r.Number, r.Phase, admission.Shared, ended && x.node.Touched()}
		switch {
		case ended:
			now.open = admission.Spare
		case x.node.Barred(name):
			now.open = admission.Shut
		}
		was, had := x.sideStates[name]
		if was == now {
			continue
		}
		x.sideStates[name] = now
		main, under := h.catalog.service(name), h.catalog.service(underOf(name))
		if !had || was.number != now.number || was.sure != now.sure || (was.phase == rollout.Finished) != ended {
			h.admission.SetRollout(main, under, admission.Shut)
			h.listAnew(name, main)
		}
		h.admission.SetRollout(main, under, now.open)
	}
}

// listAnew lists the backends of a service by their versions: those of the main one first, so that it is never without.
func (h *Node) listAnew(service string, main control.ServiceID) {
	if h.registry == nil {
		return
	}
	h.registry.Now(h.e.Now())
	words := slices.DeleteFunc(h.registry.All(), func(w registry.Record) bool { return w.Service != service })
	for _, first := range []bool{true, false} {
		for _, w := range words {
			if (h.poolOf(w) == main) == first {
				c := registry.Changed{Word: w}
				if w.ColdLeft > 0 {
					c.ColdUntil = h.e.Now() + w.ColdLeft
				}
				h.listed(c)
			}
		}
	}
}

// ---- The path of a request

// sides answers the office.
type sides Node

// Begin tells where a request begins, by its user.
func (s *sides) Begin(id control.TxnID, kind control.ProductID, service control.ServiceID) admission.Began {
	h := (*Node)(s)
	name := h.catalog.titles[service]
	user, tenant := h.front.User(h.gate.Asker(slots.Ref(id)), slots.Ref(id))
	in := rollout.Scope{Tenant: tenant, Zone: h.settings.Zone}
	if r := h.catalog.routes[kind]; r != nil {
		in.Route = r.Name
	}
	b := admission.Began{Number: h.rollouts.node.Number(name)}
	b.Side, b.Counts = h.rollouts.node.Side(name, user, in)
	if b.Counts {
		f := fnv.New32a()
		f.Write([]byte(tenant))
		b.Tenant = f.Sum32()
	}
	return b
}

// Ended passes on how a request that counts has ended.
func (s *sides) Ended(e admission.Compared) {
	x := &(*Node)(s).rollouts
	end := rollout.End{Side: e.Side, Call: uint32(e.Kind), Tenant: e.Tenant, Backend: uint64(e.At),
		Cause: causeOf(e.Ending, x.answer), Took: e.Took, Cold: e.Cold}
	if e.Effectful {
		end.Kind = rollout.Write
	}
	x.node.Ended(s.catalog.titles[e.Service], e.Number, end)
}

// causeOf is the table from endings, and the status of the answer where there was one, to causes.
func causeOf(e control.Ending, status int) rollout.Cause {
	switch {
	case e == control.Settled:
		return rollout.Fine
	case e == control.Full:
		return rollout.Full
	case e != control.Errored:
		return rollout.NoAnswer
	case status >= 500:
		return rollout.Failed
	case status >= 400: // the service's own word
		return rollout.Fine
	}
	return rollout.Wrong
}

// endTap notes the status of an answer on its way to the gate, for the time of the call.
type endTap struct {
	*gate.Gate
	h *Node
}

func (u *endTap) Ended(txn slots.Ref, nr int, at control.BackendID, o gate.Outcome) {
	if x := &u.h.rollouts; x.node.Active() && o.Answer != nil {
		x.answer = o.Answer.Status()
	}
	u.Gate.Ended(txn, nr, at, o)
	u.h.rollouts.answer = 0
}

// ---- Reports and the duty

// tendRollouts is the part of the one timer.
func (h *Node) tendRollouts() {
	x := &h.rollouts
	if !x.node.Active() {
		return
	}
	now := h.e.Now()
	fresh := h.may(deny)
	if fresh && !x.touched && now-x.askedAt >= time.Second {
		x.askedAt = now
		h.ask(ReadRollouts, nil, 0, h.caughtUp)
	}
	x.node.Touch(fresh && x.touched)
	x.node.Now(now)
	for a, ok := x.node.Next(); ok; a, ok = x.node.Next() {
		switch a := a.(type) {
		case rollout.Tell:
			h.report(a.Report)
		case rollout.Lowered:
			h.warn(rolloutPart, "%s %d: this node pulls back for itself: %s", a.Service, a.Number, a.Why)
		}
	}
	h.sendReports()
	h.tendDuty()
	h.updateSides()
}

// caughtUp: what whoever leads knew when it was asked; this node's own may be of before its last life.
func (h *Node) caughtUp(status int, body []byte) {
	var there controlapi.RolloutStatus
	if status == 200 && json.Unmarshal(body, &there) == nil && h.machine.Rollouts.Rev >= there.Rev {
		h.rollouts.touched = true
	}
}

// report lays one out to be sent in place of the one before it.
func (h *Node) report(r rollout.Report) {
	x := &h.rollouts
	if x.duty != nil {
		h.dutyHeard(&RolloutWord{Seat: h.slot(), Report: &r})
		return
	}
	for i := range x.waiting {
		if x.waiting[i].Service == r.Service {
			x.waiting[i] = r
			return
		}
	}
	if len(x.waiting) < reportsMost {
		x.waiting = append(x.waiting, r)
	}
}

func (h *Node) sendReports() {
	x, now := &h.rollouts, h.e.Now()
	x.left = min(x.left+reportRate*(now-x.leftAt).Seconds(), reportBurst)
	x.leftAt = now
	for len(x.waiting) > 0 && x.left > 0 {
		r := x.waiting[0]
		x.waiting = x.waiting[1:]
		x.left -= float64(reportOther + len(r.Evidence))
		if to := h.leads(); to != "" {
			h.links.Send(to, &Frame{Rollout: &RolloutWord{Seat: h.slot(), Hops: 1, Report: &r}})
		}
	}
}

// rolloutHeard takes a report, or the word of a lap, or passes it on.
func (h *Node) rolloutHeard(from string, w *RolloutWord) {
	switch {
	case w.Lap != nil:
		h.rollouts.node.Now(h.e.Now())
		h.rollouts.node.Lap(*w.Lap)
		if h.core != nil {
			h.tellFollowers(from, &Frame{Rollout: w})
		}
	case w.Report == nil || len(w.Report.Evidence) > reportMost:
	case h.rollouts.duty != nil:
		h.dutyHeard(w)
	case w.Hops < hopsMost && h.core != nil:
		if to := h.leads(); to != "" && to != from {
			h.links.Send(to, &Frame{Rollout: &RolloutWord{Seat: w.Seat, Hops: w.Hops + 1, Report: w.Report}})
		}
	}
}

func (h *Node) tellFollowers(but string, f *Frame) {
	for addr := range h.followers {
		if addr != but {
			h.links.Send(addr, f)
		}
	}
}

func (h *Node) dutyHeard(w *RolloutWord) {
	if w.Seat == membership.NoSlot {
		return
	}
	h.rollouts.duty.Now(h.e.Now())
	if err := h.rollouts.duty.Heard(rollout.NodeID(w.Seat), *w.Report); err != nil {
		h.say(rolloutPart, "node %d: %v", w.Seat, err)
	}
}

// tendDuty judges for all while this node leads: the fence is the number of its view.
func (h *Node) tendDuty() {
	x, now := &h.rollouts, h.e.Now()
	if !h.leading() {
		x.duty = nil
		return
	}
	if _, view, _ := h.core.p.Leader(); x.duty == nil || x.fence != view {
		x.duty, x.fence = rollout.NewCoordinator(view, now), view
		x.duty.Fold(h.machine.Rollouts)
		x.lookedAt = now - lookBackends
	}
	if now-x.lookedAt >= lookBackends {
		x.lookedAt = now
		x.duty.SetNodes(h.slots)
		h.tellBackends()
	}
	x.duty.Now(now)
	for a, ok := x.duty.Next(); ok; a, ok = x.duty.Next() {
		switch a := a.(type) {
		case rollout.Propose:
			e := a.Entry
			e.At = time.Now().UnixMilli()
			h.core.propose(statemachine.KindRollout, e.Word(), func(status int, body []byte) {
				if status != 200 {
					h.say(rolloutPart, "%s %d: %s not taken: %s", e.Service, e.Number, e.Verb, body)
				}
			})
		case rollout.Laps:
			l := a.Lap
			x.node.Lap(l)
			f := &Frame{Rollout: &RolloutWord{Lap: &l}}
			for _, m := range h.core.p.Members() {
				if addr := h.addrOf(m); addr != "" && addr != h.inner {
					h.links.Send(addr, f)
				}
			}
			h.tellFollowers("", f)
		}
	}
}

// tellBackends tells the duty whether there is an old version to go back to, and a service at all.
func (h *Node) tellBackends() {
	for i := range h.machine.Rollouts.Runs() {
		r := &h.machine.Rollouts.Runs()[i]
		if r.Phase != rollout.Running {
			continue
		}
		old := -1
		if room := h.roomOf(&r.Order); room.Old+room.New > 0 {
			old = room.Old
		}
		_, known := h.table.Service(r.Order.Service)
		h.rollouts.duty.Backends(r.Order.Service, old, known || h.table.Version() == 0)
	}
}

// roomOf is how many requests the ready backends of each version take at a time, and how many there are at the busiest, as
// far as this node's own tell.
func (h *Node) roomOf(o *rollout.Rollout) (m rollout.Room) {
	if h.registry == nil {
		return m
	}
	for _, w := range h.registry.All() {
		switch {
		case w.Service != o.Service || w.Phase != registry.Ready:
		case w.Generation == o.New:
			m.New += max(w.Capacity, 1)
		default:
			m.Old += max(w.Capacity, 1)
		}
	}
	m.Busy = int(math.Ceil(h.admission.Busy(h.catalog.service(o.Service)) * float64(max(h.slots, 1))))
	return m
}

// counted is an operator's entry as whoever leads puts it into the log: with what the duty has counted until now. An order that
// would be taken, but names what is not in the configuration, is refused here, since another node may not know the newest.
func (h *Node) counted(k statemachine.Kind, body []byte) ([]byte, error) {
	if k != statemachine.KindRollout {
		return body, nil
	}
	e, err := rollout.ReadEntry(body)
	if err != nil {
		return nil, err
	}
	if e.Order != nil { // whoever took the call may know of fewer backends
		here := h.roomOf(e.Order)
		e.Room.Old, e.Room.New = max(e.Room.Old, here.Old), max(e.Room.New, here.New)
	}
	if v, _ := h.machine.Rollouts.Decide(e); v == routing.Taken && e.Order != nil {
		if err := h.knows(e.Order); err != nil {
			return nil, err
		}
	}
	if h.rollouts.duty != nil {
		e.Counts, _ = h.rollouts.duty.Counts(e.Service)
	}
	return e.Word(), nil
}
