// Package leasing runs the leases' core in a front door: frames beside the module's messages over the same datagrams,
// grants in log, counters and history, and the tasks that an operator switched on.
package leasing

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/failpoint"
	"clovergap/internal/frontdoor/lease"
	"clovergap/internal/frontdoor/ledger"
	"clovergap/internal/frontdoor/operator"
	"clovergap/internal/history"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
)

// The tasks.
const (
	turnTask = lease.Task("turn")
	rollTask = lease.Task("roll-call")
)

// contactSpans is how long a front door counts as heard, in spans of the roll call.
const contactSpans = 3

// Host is the front door's part in the leases.
type Host struct {
	engine      *eventloop.Engine
	conf        operator.Leases
	core        *lease.Core
	nodeID      lease.Node
	name        string
	zone        string
	sendFrame   func(control.GatewayID, []byte)
	log         *zap.Logger
	record      func(history.Event)
	alarmRef    uint32 // of the present due time
	sendTokens  float64
	refilledAt  time.Duration // room was brought up to this
	lastSeen    map[lease.Node]time.Duration
	stepRunning bool // a step is under way outside the turn
	nextStepAt  time.Duration
	wantsTurn   bool // its turn is wished for
	waiters     []chan struct{}
}

// New makes one. The life is of this process; tell sends a frame.
func New(e *eventloop.Engine, o operator.Leases, me, members int, life uint32, name, zone string, tell func(control.GatewayID, []byte),
	log *zap.Logger, past func(history.Event)) (*Host, error) {
	length, longest, margin, retry, _ := o.Spans()
	c := lease.Config{NodeID: lease.Node(me), Incarnation: life, Voters: o.Voters, Length: length, MaxLength: longest, Drift: o.Drift, Margin: margin, Retry: retry,
		Floor: lease.Number(time.Now().UnixMilli()), Fleets: Fleets(o, members)}
	core, err := lease.New(c, e.Now())
	if err != nil {
		return nil, fmt.Errorf("leases.%w", err)
	}
	if last := c.Fleets[len(c.Fleets)-1].Members; last != members {
		return nil, fmt.Errorf("leases.fleets: the last has %d members, the configuration %d", last, members)
	}
	h := &Host{engine: e, conf: o, core: core, nodeID: lease.Node(me), name: name, zone: zone, sendFrame: tell, log: log, record: past, sendTokens: o.MaxFramesPerSecond, refilledAt: e.Now(),
		lastSeen: map[lease.Node]time.Duration{}}
	if o.RollCall != "" {
		core.Acquire(rollTask, 1, 0)
	}
	return h, nil
}

// Fleets are those of the operator file, or the one that the configuration tells.
func Fleets(o operator.Leases, members int) (all []lease.Fleet) {
	for _, f := range o.Fleets {
		all = append(all, lease.Fleet{Generation: f.Generation, Members: f.Members})
	}
	if len(all) == 0 {
		all = []lease.Fleet{{Generation: 1, Members: members}}
	}
	return all
}

// PeerSeen notes that a peer was heard, whatever it said.
func (h *Host) PeerSeen(from control.GatewayID) { h.lastSeen[lease.Node(from)] = h.engine.Now() }

// Receive takes a frame from a peer.
func (h *Host) Receive(from control.GatewayID, payload []byte) {
	h.engine.Count.Add(counters.FramesTaken)
	h.PeerSeen(from)
	h.core.Advance(h.engine.Now())
	h.core.Receive(lease.Node(from), payload)
}

// Live and Due are the engine's; the pull at the end of the turn does the work.
func (h *Host) Live(nr uint32) bool { return nr == h.alarmRef }

// Due is called when it is time for something.
func (h *Host) Due(uint32) {}

// RunDecisions carries out what the core decides.
func (h *Host) RunDecisions() {
	h.core.Advance(h.engine.Now())
	for x, ok := h.core.Next(); ok; x, ok = h.core.Next() {
		g := x.Grant
		switch x.Kind {
		case lease.Send:
			h.send(x)
			continue
		case lease.Granted:
			h.engine.Count.Add(counters.Grants)
			h.log.Info("lease granted", zap.String("task", string(g.Task)), zap.Int("permit", g.Permit), zap.Uint64("number", uint64(g.Number)))
		case lease.Ended:
			h.engine.Count.Add(counters.GrantsGone)
			h.log.Info("lease over", zap.String("task", string(g.Task)), zap.Int("permit", g.Permit), zap.Uint64("number", uint64(g.Number)))
		}
		h.recordGrant(x)
	}
	h.runTasks()
	at, ok := h.core.NextDeadline()
	if h.conf.RollCall != "" && !h.stepRunning {
		if _, held := h.core.CurrentGrant(rollTask); held {
			at, ok = min(at, h.nextStepAt), true
		}
	}
	if ok {
		h.alarmRef++
		h.engine.At(max(at, h.engine.Now()+time.Millisecond), h, h.alarmRef)
	}
}

// recordGrant puts a grant's course into the history, by the machine's clock.
func (h *Host) recordGrant(x lease.Output) {
	kind := history.LeaseGranted
	if x.Kind == lease.Ended {
		kind = history.LeaseReleased
	}
	h.record(history.Event{Kind: kind, Key: string(x.Grant.Task), What: strconv.Itoa(x.Grant.Permit), Number: float64(x.Grant.Number),
		Deadline: history.Now() + x.Grant.Until - h.engine.Now()})
	for _, w := range h.waiters {
		close(w)
	}
	h.waiters = nil
}

// send sends a frame, within so many a second; beyond them it is lost, as any datagram may be.
func (h *Host) send(x lease.Output) {
	h.sendTokens = min(h.conf.MaxFramesPerSecond, h.sendTokens+h.conf.MaxFramesPerSecond*(h.engine.Now()-h.refilledAt).Seconds())
	if h.refilledAt = h.engine.Now(); h.sendTokens < 1 {
		h.engine.Count.Add(counters.FramesUnsent)
		return
	}
	h.sendTokens--
	h.engine.Count.Add(counters.FramesSent)
	h.sendFrame(control.GatewayID(x.To), x.Payload)
}

// runTasks does what is due under grants that are held.
func (h *Host) runTasks() {
	if h.wantsTurn && h.conf.TurnsZone > 0 { // the zone's before the fleet's: nobody holds the second while it waits for the first
		if _, ok := h.core.CurrentGrant(h.zoneTask()); ok {
			h.core.Acquire(turnTask, h.conf.Turns, 0)
		}
	}
	if h.conf.RollCall == "" || h.stepRunning || h.engine.Now() < h.nextStepAt {
		return
	}
	g, ok := h.core.CurrentGrant(rollTask)
	if !ok {
		return
	}
	_, _, _, _, span := h.conf.Spans()
	h.nextStepAt = h.engine.Now() + span/2
	var who []lease.Node
	for n, at := range h.lastSeen {
		if h.engine.Now()-at < contactSpans*span {
			who = append(who, n)
		}
	}
	h.stepRunning = true
	h.engine.Count.Add(counters.Steps)
	go h.rollCallStep(g, time.Now().UnixNano()/int64(span), append(who, h.nodeID)) // a file may take its time, and no txn waits for it
}

// rollCallStep takes one step of the roll call. The grant is looked at just before; a process that stands still between that
// and the write is refused by the ledger.
func (h *Host) rollCallStep(g lease.Grant, span int64, who []lease.Node) {
	good := false
	h.engine.Turn(func() {
		h.core.Advance(h.engine.Now())
		now, ok := h.core.CurrentGrant(rollTask)
		good = ok && now.Number == g.Number
	})
	var err error
	if good {
		h.record(history.Event{Kind: history.ActBegan, Key: string(g.Task), Number: float64(g.Number)})
		failpoint.At(failpoint.BeforeAct)
		err = ledger.Add(h.conf.RollCall, ledger.Step{Task: string(g.Task), Number: uint64(g.Number), Writer: h.name, Span: span, What: who})
		failpoint.At(failpoint.AfterAct)
		what := "done"
		if err != nil {
			what = err.Error()
		}
		h.record(history.Event{Kind: history.ActEnded, Key: string(g.Task), Number: float64(g.Number), What: what})
	}
	h.engine.Turn(func() {
		h.stepRunning = false
		switch {
		case errors.Is(err, ledger.ErrStale):
			h.engine.Count.Add(counters.StepsStale)
			h.log.Warn("a stale step was refused", zap.Error(err))
			h.core.Release(rollTask)
			h.core.Acquire(rollTask, 1, 0)
		case err != nil && !errors.Is(err, ledger.ErrClosed):
			h.log.Error("roll call", zap.Error(err))
		}
	})
}

func (h *Host) zoneTask() lease.Task { return turnTask + "/" + lease.Task(h.zone) }

// SetTurnWanted wishes for this front door's turn to restart, or gives it back.
func (h *Host) SetTurnWanted(want bool) error {
	if h.conf.Turns == 0 {
		return errors.New("no turns: leases.turns is 0")
	}
	h.wantsTurn = want
	switch {
	case !want:
		h.core.Release(turnTask)
		if h.conf.TurnsZone > 0 {
			h.core.Release(h.zoneTask())
		}
	case h.conf.TurnsZone > 0:
		return h.core.Acquire(h.zoneTask(), h.conf.TurnsZone, 0)
	default:
		return h.core.Acquire(turnTask, h.conf.Turns, 0)
	}
	return nil
}

// HasTurn tells whether it is this front door's turn.
func (h *Host) HasTurn() bool {
	h.core.Advance(h.engine.Now())
	_, ok := h.core.CurrentGrant(turnTask)
	if ok && h.conf.TurnsZone > 0 {
		_, ok = h.core.CurrentGrant(h.zoneTask())
	}
	return ok
}

// Changed gives a channel that is closed when a grant comes, goes or lasts longer.
func (h *Host) Changed() <-chan struct{} {
	c := make(chan struct{})
	h.waiters = append(h.waiters, c)
	return c
}

// Status is what this front door holds and has promised.
type Status struct {
	Gateway       string     `json:"front_door"`
	NotVotingS    float64    `json:"silent_s,omitempty"` // it votes for nobody for so long yet
	Grants        []Permit   `json:"holds"`
	Promised      []Promised `json:"promised"`
	Refused       int        `json:"refused"`
	BadFrames     int        `json:"bad_frames"`
	StaleRequests int        `json:"older_generation"`
}

// Permit is one that is held here.
type Permit struct {
	Task       string  `json:"task"`
	Permit     int     `json:"permit"`
	Number     uint64  `json:"number"`
	RemainingS float64 `json:"left_s"`
}

// Promised is a permit that this front door, as one of its voters, has promised.
type Promised struct {
	Task       string  `json:"task"`
	Permit     int     `json:"permit"`
	Holder     int     `json:"holder"`
	Number     uint64  `json:"number"`
	RemainingS float64 `json:"left_s"`
	Waiting    int     `json:"waiting"`
}

// Status gives the view; in the owner's turn.
func (h *Host) Status() Status {
	h.core.Advance(h.engine.Now())
	v := Status{Gateway: h.name, Grants: []Permit{}, Promised: []Promised{}, Refused: h.core.Refused, BadFrames: h.core.BadMessages, StaleRequests: h.core.StaleRequests,
		NotVotingS: max(0, h.core.StartupDelayLeft().Seconds())}
	for _, t := range []lease.Task{turnTask, h.zoneTask(), rollTask} {
		if g, ok := h.core.CurrentGrant(t); ok {
			v.Grants = append(v.Grants, Permit{string(g.Task), g.Permit, uint64(g.Number), (g.Until - h.engine.Now()).Seconds()})
		}
	}
	for _, p := range h.core.Promises() {
		v.Promised = append(v.Promised, Promised{string(p.Task), p.Permit, int(p.Holder), uint64(p.Number), p.Remaining.Seconds(), p.Waiting})
	}
	return v
}
