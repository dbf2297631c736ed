package controlapi

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
)

// Coordination is the part of a node that the applications' calls need.
type Coordination interface {
	// Coordinate brings a call to whoever leads its group. then is called once, within the caller's second, or within a watch's
	// wait and a second.
	Coordinate(c coordination.Call, then func(coordination.Result))
	// GroupList is how the groups stand, as this node knows it.
	GroupList() GroupList
	// TransferGroup has the node at an inner address lead a group; false: this node does not lead it, or that one could not at once.
	TransferGroup(id groups.ID, address string) bool
}

// Paths of the calls on groups; a move's is followed by the group's number.
const (
	pathGroups    = "/api/Groups.List"
	pathMoveGroup = "/api/Groups.Move/"
)

// pathCall is a path that is followed by a name.
type pathCall struct {
	prefix    string
	method    string
	operation coordination.Operation
}

// pathCalls are the applications' calls.
var pathCalls = []pathCall{
	{"/api/Locks.Begin/", "POST", coordination.LockAcquire},
	{"/api/Locks.Heartbeat/", "POST", coordination.LockRenew},
	{"/api/Locks.Finish/", "POST", coordination.LockRelease},
	{"/api/Locks.Read/", "GET", coordination.LockRead},
	{"/api/Locks.List/", "GET", coordination.LockList},
	{"/api/numbers/", "POST", coordination.NumberNext},
	{"/api/Cells.Replace/", "POST", coordination.KeyPut},
	{"/api/Cells.Read/", "GET", coordination.KeyRead},
	{"/api/watch/", "GET", coordination.KeyWatch},
}

// coordinate takes an application's call; false: the path is another's.
func (h *Handler) coordinate(c *downstream.Client, method, target string, body []byte) bool {
	path, query, _ := strings.Cut(target, "?")
	if h.groups(c, method, path, body) {
		return true
	}
	for _, p := range pathCalls {
		text, ok := strings.CutPrefix(path, p.prefix)
		if !ok {
			continue
		}
		if method != p.method {
			c.Reject(405, counters.NoSuchMethod, p.method+" only")
			return true
		}
		call, err := readCall(p.operation, text, query, body)
		t := h.hold(c)
		if err != nil {
			h.end(t, 400, []byte(err.Error()))
			return true
		}
		h.node.Coordinate(call, func(a coordination.Result) { h.coordinated(t, call.Operation, &a) })
		return true
	}
	return false
}

// readCall reads a call from its path, its query and its body.
func readCall(o coordination.Operation, text, query string, body []byte) (call coordination.Call, err error) {
	call.Operation = o
	if call.Name, err = url.PathUnescape(text); err != nil || call.Name == "" || len(call.Name) > coordination.MaxNameBytes {
		return call, errors.New("no name in the path, or too long a one")
	}
	switch o {
	case coordination.LockAcquire:
		var b LockBegin
		err = readBody(body, &b)
		call.Holder = b.Holder
		call.TTL, err = holdOf(b.Hold, err)
	case coordination.LockRenew:
		var b LockHeartbeat
		err = readBody(body, &b)
		call.Holder, call.FencingToken = b.Holder, b.Fence
		call.TTL, err = holdOf(b.Hold, err)
	case coordination.LockRelease:
		var b LockFinish
		err = readBody(body, &b)
		call.Holder, call.FencingToken = b.Holder, b.Fence
	case coordination.KeyPut:
		var b KeyReplace
		err = readBody(body, &b)
		call.Value = b.Value
		if b.Topic != nil {
			call.Conditional, call.ExpectedRevision = true, *b.Topic
		}
	case coordination.KeyWatch:
		call.AfterRevision, call.Timeout, err = readWatch(query)
	case coordination.LockList:
		call.Group, err = readGroup(call.Name)
	}
	return call, err
}

// groups takes a call on groups; false: the path is another's.
func (h *Handler) groups(c *downstream.Client, method, path string, body []byte) bool {
	text, move := strings.CutPrefix(path, pathMoveGroup)
	switch {
	case !move && path != pathGroups:
		return false
	case move != (method == "POST") || !move && method != "GET":
		c.Reject(405, counters.NoSuchMethod, "GET to list, POST to move")
		return true
	}
	t := h.hold(c)
	if !move {
		list, err := json.Marshal(h.node.GroupList())
		if err != nil {
			list = []byte(err.Error())
		}
		h.end(t, 200, list)
		return true
	}
	var to GroupMove
	id, err := readGroup(text)
	if err == nil {
		err = readBody(body, &to)
	}
	switch {
	case err != nil:
		h.end(t, 400, []byte(err.Error()))
	case !h.node.TransferGroup(id, to.To):
		h.end(t, 409, []byte("this node does not lead the group, or the other one could not lead it at once"))
	default:
		h.end(t, 200, []byte("{}"))
	}
	return true
}

func readGroup(text string) (groups.ID, error) {
	id, err := strconv.ParseUint(text, 10, 8)
	if err != nil || id >= groups.Count {
		return 0, errors.Errorf("groups are numbered from 0 to %d", groups.Count-1)
	}
	return groups.ID(id), nil
}

func readBody(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "body")
	}
	if err := valid.Struct(into); err != nil {
		return errors.Wrap(err, "body")
	}
	return nil
}

// holdOf reads how long a lock is held.
func holdOf(text string, err error) (time.Duration, error) {
	if err != nil {
		return 0, err
	}
	hold, err := routing.ParseSpan(text)
	if err != nil {
		return 0, errors.Wrap(err, "hold")
	}
	if hold <= 0 || hold > coordination.MaxTTL {
		return 0, errors.Errorf("hold: more than 0 s, at most %v", coordination.MaxTTL)
	}
	return hold, nil
}

// readWatch reads where a watch begins, and how long it waits.
func readWatch(query string) (after uint64, wait time.Duration, err error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0, 0, errors.Wrap(err, "query")
	}
	if text := values.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, errors.Wrap(err, "after")
		}
	}
	if text := values.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0, 0, errors.Wrap(err, "wait_ms")
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return after, min(wait, coordination.MaxWatchTimeout), nil
}

// statusCodes are those that callers get. 412, 429 and 503 promise that nothing was done and never will be.
var statusCodes = [...]int{
	coordination.StatusOK:           200,
	coordination.StatusLockHeld:     409,
	coordination.StatusLockLost:     409,
	coordination.StatusConflict:     412,
	coordination.StatusNotFound:     404,
	coordination.StatusCompacted:    410,
	coordination.StatusLimitReached: 429,
	coordination.StatusUnavailable:  503,
	coordination.StatusAmbiguous:    504,
}

// coordinated answers a call that was held.
func (h *Handler) coordinated(t downstream.Ticket, o coordination.Operation, a *coordination.Result) {
	code := statusCodes[a.Status]
	after := time.Duration(0)
	if a.Status == coordination.StatusUnavailable || a.Status == coordination.StatusLimitReached {
		after = busyAdvice
	}
	text, err := json.Marshal(answerBody(o, a))
	if err != nil {
		code, text = 500, nil
	}
	h.in.Answer(t, func(b []byte, last bool) []byte {
		return answer.WithBody(b, code, "application/json", text, after, last)
	})
}

// answerBody words an answer.
func answerBody(o coordination.Operation, a *coordination.Result) any {
	switch {
	case a.Status == coordination.StatusConflict:
		return KeyRevision{Revision: a.Revision}
	case a.Status != coordination.StatusOK:
		return Refusal{Error: a.Status.String()}
	}
	switch o {
	case coordination.LockAcquire:
		return LockFence{Fence: a.FencingToken}
	case coordination.NumberNext:
		return NextNumber{Value: a.Number}
	case coordination.KeyPut:
		return KeyRevision{Revision: a.Revision}
	case coordination.KeyRead:
		return KeyValue{Value: a.Value, Revision: a.Revision}
	case coordination.KeyWatch:
		events := KeyEvents{Events: make([]KeyEvent, 0, len(a.Events)), Revision: a.Revision}
		for _, e := range a.Events {
			events.Events = append(events.Events, KeyEvent{Name: e.Name, Value: e.Value, Revision: e.Revision})
		}
		return events
	case coordination.LockRead, coordination.LockList:
		list := LockList{Locks: make([]LockStatus, 0, len(a.Locks))}
		for _, l := range a.Locks {
			list.Locks = append(list.Locks, LockStatus{Name: l.Name, Holder: l.Holder, Fence: l.FencingToken, LeftMs: l.TimeLeft.Milliseconds()})
		}
		return list
	}
	return struct{}{}
}
