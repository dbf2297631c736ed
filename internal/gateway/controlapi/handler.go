package controlapi

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/slots"
)

// Node is what stands behind the calls. Every then is called once, in a turn, sooner or later.
type Node interface {
	Ready() bool
	// Change brings a change to whoever leads: 200 taken, 400 invalid, 412 another version is current, 413 too large, 503 not
	// now, Unclear.
	Change(kind statemachine.Kind, body []byte, then func(status int, body []byte))
	// ReadConfiguration reads the newest configuration: 200 with it, 503 if it can't be told for sure now.
	ReadConfiguration(then func(status int, body []byte))
	Heartbeat(w registry.Record, then func(ok bool, target string))
	Deregister(id string, then func(ok bool, target string))
	Status() NodeStatus
	Rollouts
	Coordination
}

// Paths of the calls; the last two are followed by a backend's id.
const (
	pathReady     = "/api/ready"
	pathReplace   = "/api/Config.Replace"
	pathAmend     = "/api/Config.Amend"
	pathRead      = "/api/Config.Read"
	pathStatus    = "/api/Node.Status"
	pathHeartbeat = "/api/Backends.Heartbeat/"
	pathLeave     = "/api/Backends.Leave/"
)

// Unclear is the status, among nodes and their parts, of a change that may have been taken or may still be. A caller gets 503.
const Unclear = 504

// longest id of a backend, in bytes.
const longestID = 128

// busyAdvice is when a caller may come back that found nobody to settle its call.
const busyAdvice = 200 * time.Millisecond

var valid = validator.New(validator.WithRequiredStructEnabled())

// Handler answers the calls of backends and operators, and the platform's question whether this node is ready.
type Handler struct {
	in   *downstream.Server
	node Node
}

// New makes one; in is the connections that it answers on.
func New(in *downstream.Server, h Node) *Handler { return &Handler{in, h} }

// Left is never told: calls go on when their caller has left.
func (h *Handler) Left(slots.Ref) {}

// Take takes a whole call.
func (h *Handler) Take(c *downstream.Client) {
	r, b := c.Request()
	target, method := string(r.Target(b)), string(r.Method(b))
	if h.coordinate(c, method, target, r.Body(b)) {
		return
	}
	path, _, _ := strings.Cut(target, "?")
	if call, ok := strings.CutPrefix(path, pathRollout); ok {
		h.rollout(c, method, call, r.Body(b))
		return
	}
	want := "POST"
	if path == pathReady || path == pathRead || path == pathStatus {
		want = "GET"
	}
	id, beat := strings.CutPrefix(path, pathHeartbeat)
	gone, leave := strings.CutPrefix(path, pathLeave)
	switch {
	case path != pathReady && path != pathReplace && path != pathAmend && path != pathRead && path != pathStatus && !beat && !leave:
		c.Reject(404, counters.NoSuchPath, "no such call")
	case method != want:
		c.Reject(405, counters.NoSuchMethod, want+" only")
	case path == pathReady:
		h.ready(c)
	case path == pathStatus:
		text, err := json.Marshal(h.node.Status())
		if err != nil {
			text = []byte(err.Error())
		}
		c.Answer(func(b []byte, last bool) []byte { return answer.WithBody(b, 200, "application/json", text, 0, last) })
	case path == pathRead:
		t := h.hold(c)
		h.node.ReadConfiguration(func(status int, body []byte) { h.end(t, status, body) })
	case beat:
		h.beat(c, id, r.Body(b))
	case leave:
		if gone == "" || len(gone) > longestID {
			c.Reject(400, counters.BadID, "no id in the path")
			return
		}
		t := h.hold(c)
		h.node.Deregister(gone, func(ok bool, target string) { h.acknowledge(t, ok, target) })
	default:
		kind := statemachine.KindReplaceConfig
		if path == pathAmend {
			kind = statemachine.KindAmendConfig
		}
		body := bytes.Clone(r.Body(b))
		t := h.hold(c)
		h.node.Change(kind, body, func(status int, text []byte) { h.end(t, status, text) })
	}
}

func (h *Handler) hold(c *downstream.Client) downstream.Ticket {
	t := c.Ticket()
	c.AwaitAnswer(0, "")
	return t
}

func (h *Handler) ready(c *downstream.Client) {
	status := 503
	if h.node.Ready() {
		status = 200
	}
	c.Answer(func(b []byte, last bool) []byte { return answer.WithBody(b, status, "", nil, 0, last) })
}

// end answers a call that was held. What is no configuration is worded as a refusal.
func (h *Handler) end(t downstream.Ticket, status int, body []byte) {
	if status != 200 {
		body, _ = json.Marshal(Refusal{Error: kindOf(status), Detail: string(body)})
	}
	after := time.Duration(0)
	if status == Unclear {
		status = 503
	}
	if status == 503 {
		after = busyAdvice
	}
	h.in.Answer(t, func(b []byte, last bool) []byte {
		return answer.WithBody(b, status, "application/json", body, after, last)
	})
}

// kindOf is the closed list of what may be wrong with a call.
func kindOf(status int) string {
	switch status {
	case 400:
		return "invalid"
	case 412:
		return "conflict"
	case 413:
		return "too_large"
	case 503:
		return "unavailable"
	case Unclear:
		return "unclear"
	}
	return "failed"
}

// beat takes what a backend says of itself.
func (h *Handler) beat(c *downstream.Client, id string, body []byte) {
	w, err := readBeat(id, body)
	if err != nil {
		c.Reject(400, counters.BadRequest, err.Error())
		return
	}
	t := h.hold(c)
	h.node.Heartbeat(w, func(ok bool, target string) { h.acknowledge(t, ok, target) })
}

func readBeat(id string, body []byte) (registry.Record, error) {
	var b Heartbeat
	if id == "" || len(id) > longestID {
		return registry.Record{}, errors.New("no id in the path")
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return registry.Record{}, errors.Wrap(err, "beat")
	}
	if err := valid.Struct(b); err != nil {
		return registry.Record{}, errors.Wrap(err, "beat")
	}
	cold := time.Duration(0)
	if b.ColdLeft != "" {
		var err error
		if cold, err = routing.ParseSpan(b.ColdLeft); err != nil {
			return registry.Record{}, errors.Wrap(err, "cold_left")
		}
	}
	phase := registry.Ready
	if b.Phase == Draining {
		phase = registry.Draining
	}
	return registry.Record{ID: id, Service: b.Target, Addr: b.Address, Zone: b.Zone, Generation: b.Generation,
		Capacity: b.Capacity, Phase: phase, SlowStartLeft: cold, Seq: b.CallSeq}, nil
}

// acknowledge answers a backend's call.
func (h *Handler) acknowledge(t downstream.Ticket, ok bool, target string) {
	if !ok {
		h.end(t, 503, []byte("too few nodes have heard it"))
		return
	}
	body, _ := json.Marshal(HeartbeatAnswer{BeatTarget: target})
	h.end(t, 200, body)
}
