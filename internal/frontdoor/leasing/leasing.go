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

// heardFor is how long a front door counts as heard, in spans of the roll call.
const heardFor = 3

// Host is the front door's part in the leases.
type Host struct {
	e     *eventloop.Engine
	conf  operator.Leases
	core  *lease.Core
	me    lease.Node
	name  string
	zone  string
	tell  func(control.GatewayID, []byte)
	log   *zap.Logger
	past  func(history.Event)
	nr    uint32 // of the present due time
	room  float64
	at    time.Duration // room was brought up to this
	heard map[lease.Node]time.Duration
	busy  bool // a step is under way outside the turn
	next  time.Duration
	turn  bool // its turn is wished for
	wake  []chan struct{}
}

// New makes one. The life is of this process; tell sends a frame.
func New(e *eventloop.Engine, o operator.Leases, me, members int, life uint32, name, zone string, tell func(control.GatewayID, []byte),
	log *zap.Logger, past func(history.Event)) (*Host, error) {
	length, longest, margin, retry, _ := o.Spans()
	c := lease.Config{Me: lease.Node(me), Life: life, Voters: o.Voters, Length: length, Longest: longest, Drift: o.Drift, Margin: margin, Retry: retry,
		Floor: lease.Number(time.Now().UnixMilli()), Fleets: Fleets(o, members)}
	core, err := lease.New(c, e.Now())
	if err != nil {
		return nil, fmt.Errorf("leases.%w", err)
	}
	if last := c.Fleets[len(c.Fleets)-1].Members; last != members {
		return nil, fmt.Errorf("leases.fleets: the last has %d members, the configuration %d", last, members)
	}
	h := &Host{e: e, conf: o, core: core, me: lease.Node(me), name: name, zone: zone, tell: tell, log: log, past: past, room: o.PerSecond, at: e.Now(),
		heard: map[lease.Node]time.Duration{}}
	if o.RollCall != "" {
		core.Wish(rollTask, 1, 0)
	}
	return h, nil
}

// Fleets are those of the operator file, or the one that the configuration tells.
func Fleets(o operator.Leases, members int) (all []lease.Fleet) {
	for _, f := range o.Fleets {
		all = append(all, lease.Fleet{Gen: f.Generation, Members: f.Members})
	}
	if len(all) == 0 {
		all = []lease.Fleet{{Gen: 1, Members: members}}
	}
	return all
}

// Seen notes that a peer was heard, whatever it said.
func (h *Host) Seen(from control.GatewayID) { h.heard[lease.Node(from)] = h.e.Now() }

// Heard takes a frame from a peer.
func (h *Host) Heard(from control.GatewayID, payload []byte) {
	h.e.Count.Add(counters.FramesTaken)
	h.Seen(from)
	h.core.Now(h.e.Now())
	h.core.Heard(lease.Node(from), payload)
}

// Live and Due are the engine's; the pull at the end of the turn does the work.
func (h *Host) Live(nr uint32) bool { return nr == h.nr }

// Due is called when it is time for something.
func (h *Host) Due(uint32) {}

// Pull carries out what the core decides.
func (h *Host) Pull() {
	h.core.Now(h.e.Now())
	for x, ok := h.core.Next(); ok; x, ok = h.core.Next() {
		g := x.Grant
		switch x.Kind {
		case lease.Send:
			h.send(x)
			continue
		case lease.Granted:
			h.e.Count.Add(counters.Grants)
			h.log.Info("lease granted", zap.String("task", string(g.Task)), zap.Int("permit", g.Permit), zap.Uint64("number", uint64(g.Number)))
		case lease.Gone:
			h.e.Count.Add(counters.GrantsGone)
			h.log.Info("lease over", zap.String("task", string(g.Task)), zap.Int("permit", g.Permit), zap.Uint64("number", uint64(g.Number)))
		}
		h.note(x)
	}
	h.tasks()
	at, ok := h.core.Due()
	if h.conf.RollCall != "" && !h.busy {
		if _, held := h.core.Holds(rollTask); held {
			at, ok = min(at, h.next), true
		}
	}
	if ok {
		h.nr++
		h.e.At(max(at, h.e.Now()+time.Millisecond), h, h.nr)
	}
}

// note puts a grant's course into the history, by the machine's clock.
func (h *Host) note(x lease.Output) {
	kind := history.Holds
	if x.Kind == lease.Gone {
		kind = history.Gave
	}
	h.past(history.Event{Kind: kind, Key: string(x.Grant.Task), What: strconv.Itoa(x.Grant.Permit), N: float64(x.Grant.Number),
		Due: history.Now() + x.Grant.Until - h.e.Now()})
	for _, w := range h.wake {
		close(w)
	}
	h.wake = nil
}

// send sends a frame, within so many a second; beyond them it is lost, as any datagram may be.
func (h *Host) send(x lease.Output) {
	h.room = min(h.conf.PerSecond, h.room+h.conf.PerSecond*(h.e.Now()-h.at).Seconds())
	if h.at = h.e.Now(); h.room < 1 {
		h.e.Count.Add(counters.FramesUnsent)
		return
	}
	h.room--
	h.e.Count.Add(counters.FramesSent)
	h.tell(control.GatewayID(x.To), x.Payload)
}

// tasks does what is due under grants that are held.
func (h *Host) tasks() {
	if h.turn && h.conf.TurnsZone > 0 { // the zone's before the fleet's: nobody holds the second while it waits for the first
		if _, ok := h.core.Holds(h.zoneTask()); ok {
			h.core.Wish(turnTask, h.conf.Turns, 0)
		}
	}
	if h.conf.RollCall == "" || h.busy || h.e.Now() < h.next {
		return
	}
	g, ok := h.core.Holds(rollTask)
	if !ok {
		return
	}
	_, _, _, _, span := h.conf.Spans()
	h.next = h.e.Now() + span/2
	var who []lease.Node
	for n, at := range h.heard {
		if h.e.Now()-at < heardFor*span {
			who = append(who, n)
		}
	}
	h.busy = true
	h.e.Count.Add(counters.Steps)
	go h.step(g, time.Now().UnixNano()/int64(span), append(who, h.me)) // a file may take its time, and no txn waits for it
}

// step takes one step of the roll call. The grant is looked at just before; a process that stands still between that
// and the write is refused by the ledger.
func (h *Host) step(g lease.Grant, span int64, who []lease.Node) {
	good := false
	h.e.Turn(func() {
		h.core.Now(h.e.Now())
		now, ok := h.core.Holds(rollTask)
		good = ok && now.Number == g.Number
	})
	var err error
	if good {
		h.past(history.Event{Kind: history.Began, Key: string(g.Task), N: float64(g.Number)})
		failpoint.At(failpoint.BeforeAct)
		err = ledger.Add(h.conf.RollCall, ledger.Line{Task: string(g.Task), Number: uint64(g.Number), By: h.name, Span: span, What: who})
		failpoint.At(failpoint.AfterAct)
		what := "done"
		if err != nil {
			what = err.Error()
		}
		h.past(history.Event{Kind: history.Ended, Key: string(g.Task), N: float64(g.Number), What: what})
	}
	h.e.Turn(func() {
		h.busy = false
		switch {
		case errors.Is(err, ledger.ErrStale):
			h.e.Count.Add(counters.StepsStale)
			h.log.Warn("a stale step was refused", zap.Error(err))
			h.core.Drop(rollTask)
			h.core.Wish(rollTask, 1, 0)
		case err != nil && !errors.Is(err, ledger.ErrClosed):
			h.log.Error("roll call", zap.Error(err))
		}
	})
}

func (h *Host) zoneTask() lease.Task { return turnTask + "/" + lease.Task(h.zone) }

// Turn wishes for this front door's turn to restart, or gives it back.
func (h *Host) Turn(want bool) error {
	if h.conf.Turns == 0 {
		return errors.New("no turns: leases.turns is 0")
	}
	h.turn = want
	switch {
	case !want:
		h.core.Drop(turnTask)
		if h.conf.TurnsZone > 0 {
			h.core.Drop(h.zoneTask())
		}
	case h.conf.TurnsZone > 0:
		return h.core.Wish(h.zoneTask(), h.conf.TurnsZone, 0)
	default:
		return h.core.Wish(turnTask, h.conf.Turns, 0)
	}
	return nil
}

// HasTurn tells whether it is this front door's turn.
func (h *Host) HasTurn() bool {
	h.core.Now(h.e.Now())
	_, ok := h.core.Holds(turnTask)
	if ok && h.conf.TurnsZone > 0 {
		_, ok = h.core.Holds(h.zoneTask())
	}
	return ok
}

// Changed gives a channel that is closed when a grant comes, goes or lasts longer.
func (h *Host) Changed() <-chan struct{} {
	c := make(chan struct{})
	h.wake = append(h.wake, c)
	return c
}

// View is what this front door holds and has promised.
type View struct {
	FrontDoor string     `json:"front_door"`
	Silent    float64    `json:"silent_s,omitempty"` // it votes for nobody for so long yet
	Holds     []Permit   `json:"holds"`
	Promised  []Promised `json:"promised"`
	Refused   int        `json:"refused"`
	Bad       int        `json:"bad_frames"`
	Old       int        `json:"older_generation"`
}

// Permit is one that is held here.
type Permit struct {
	Task   string  `json:"task"`
	Permit int     `json:"permit"`
	Number uint64  `json:"number"`
	LeftS  float64 `json:"left_s"`
}

// Promised is a permit that this front door, as one of its voters, has promised.
type Promised struct {
	Task    string  `json:"task"`
	Permit  int     `json:"permit"`
	Holder  int     `json:"holder"`
	Number  uint64  `json:"number"`
	LeftS   float64 `json:"left_s"`
	Waiting int     `json:"waiting"`
}

// Look gives the view; in the owner's turn.
func (h *Host) Look() View {
	h.core.Now(h.e.Now())
	v := View{FrontDoor: h.name, Holds: []Permit{}, Promised: []Promised{}, Refused: h.core.Refused, Bad: h.core.Bad, Old: h.core.Old,
		Silent: max(0, h.core.SilentFor().Seconds())}
	for _, t := range []lease.Task{turnTask, h.zoneTask(), rollTask} {
		if g, ok := h.core.Holds(t); ok {
			v.Holds = append(v.Holds, Permit{string(g.Task), g.Permit, uint64(g.Number), (g.Until - h.e.Now()).Seconds()})
		}
	}
	for _, p := range h.core.Promises() {
		v.Promised = append(v.Promised, Promised{string(p.Task), p.Permit, int(p.Holder), uint64(p.Number), p.Left.Seconds(), p.Waiting})
	}
	return v
}
