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
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
)

// Coordination is the part of a node that the applications' calls need.
type Coordination interface {
	// Coordinate brings a call to the leader of its group. inputDelay is how long the call may have waited unread. then is called once:
	// within a second, or within a watch's timeout and a second.
	Coordinate(c coordination.Call, inputDelay time.Duration, then func(coordination.Result))
	// GroupList is the status of the groups, as this node knows it.
	GroupList() GroupList
	// TransferGroup has the node at an inner address lead a group; false: this node does not lead it, or that one could not at once.
	TransferGroup(id groups.ID, address string) bool
}

// coordinationCall is a path that is followed by a name, and the operation that it stands for.
type coordinationCall struct {
	prefix    string
	method    string
	operation coordination.Operation
}

// coordinationCalls are the applications' calls.
var coordinationCalls = []coordinationCall{
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

// handleCoordination takes an application's call; false: the path is another's.
func (h *Handler) handleCoordination(c *downstream.Client, request call) bool {
	for _, known := range coordinationCalls {
		name, ok := strings.CutPrefix(request.path, known.prefix)
		if !ok {
			continue
		}
		if request.method != known.method {
			c.Reject(405, counters.NoSuchMethod, known.method+" only")
			return true
		}
		inputDelay := c.InputDelay()
		operation, err := parseCall(known.operation, name, request.query, request.body)
		ticket := deferAnswer(c)
		if err != nil {
			h.respondInvalid(ticket, err)
			return true
		}
		h.node.Coordinate(operation, inputDelay, func(r coordination.Result) { h.respondCoordination(ticket, known.operation, &r) })
		return true
	}
	return false
}

// parseCall reads an application's call from its path, its query and its body. name is as in the path.
func parseCall(operation coordination.Operation, name, query string, body []byte) (coordination.Call, error) {
	c := coordination.Call{Operation: operation}
	var err error
	if c.Name, err = url.PathUnescape(name); err != nil || c.Name == "" || len(c.Name) > coordination.MaxNameBytes {
		return c, errors.New("no name in the path, or too long a one")
	}
	switch operation {
	case coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease:
		err = parseLockBody(&c, body)
	case coordination.KeyPut:
		var put KeyReplace
		err = parseBody(body, &put)
		c.Value = put.Value
		if put.Topic != nil {
			c.Conditional, c.ExpectedRevision = true, *put.Topic
		}
	case coordination.KeyWatch:
		c.AfterRevision, c.Timeout, err = parseWatch(query)
	case coordination.LockList:
		c.Group, err = parseGroup(c.Name)
	}
	return c, err
}

// parseLockBody reads the body of a call that acquires, renews or releases a lock.
func parseLockBody(c *coordination.Call, body []byte) error {
	var err error
	ttl := ""
	switch c.Operation {
	case coordination.LockAcquire:
		var acquire LockBegin
		err = parseBody(body, &acquire)
		c.Holder, ttl = acquire.Holder, acquire.Hold
	case coordination.LockRenew:
		var renew LockHeartbeat
		err = parseBody(body, &renew)
		c.Holder, c.FencingToken, ttl = renew.Holder, renew.Fence, renew.Hold
	case coordination.LockRelease:
		var release LockFinish
		err = parseBody(body, &release)
		c.Holder, c.FencingToken = release.Holder, release.Fence
	}
	if err != nil || c.Operation == coordination.LockRelease {
		return err
	}
	c.TTL, err = parseTTL(ttl)
	return err
}

// parseBody reads a body into a generated type and checks its tags.
func parseBody(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "body")
	}
	if err := validate.Struct(into); err != nil {
		return errors.Wrap(err, "body")
	}
	return nil
}

// parseTTL reads how long a lock is held; more than 0, at most coordination.MaxTTL.
func parseTTL(text string) (time.Duration, error) {
	ttl, err := routing.ParseDuration(text)
	if err != nil {
		return 0, errors.Wrap(err, "hold")
	}
	if ttl <= 0 || ttl > coordination.MaxTTL {
		return 0, errors.Errorf("hold: more than 0 s, at most %v", coordination.MaxTTL)
	}
	return ttl, nil
}

// parseWatch reads the revision that a watch begins after, and how long it waits, at most coordination.MaxWatchTimeout.
func parseWatch(query string) (after uint64, timeout time.Duration, err error) {
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
		timeout = time.Duration(ms) * time.Millisecond
	}
	return after, min(timeout, coordination.MaxWatchTimeout), nil
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

// respondCoordination answers an application's call, which was deferred.
func (h *Handler) respondCoordination(ticket downstream.Ticket, operation coordination.Operation, result *coordination.Result) {
	retryAfter := time.Duration(0)
	if result.Status == coordination.StatusUnavailable || result.Status == coordination.StatusLimitReached {
		retryAfter = retryAfterUnavailable
	}
	status := statusCodes[result.Status]
	text, err := json.Marshal(resultBody(operation, result))
	if err != nil {
		status, text = 500, nil
	}
	h.respondJSON(ticket, status, text, retryAfter)
}

// resultBody gives the generated type of an answer.
func resultBody(o coordination.Operation, a *coordination.Result) any {
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
