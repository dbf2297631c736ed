// Applications that call for locks, numbers, keys and watches while faults strike the gateway's processes.

package faultrig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/history"
	"clovergap/internal/lab/callers"
	"clovergap/internal/lab/callhistory"
	"clovergap/internal/lab/gatewaystandin"
)

const (
	// applicationTimeout is how long a caller waits for an answer, beside the time of a watch.
	applicationTimeout = time.Second
	// abandonedTimeout is how long the connection of a call that was given up stays open, in half of the cases.
	abandonedTimeout = 10 * time.Second
	// leaseExpiryTimeout is the time after which each lock is free whose caller stopped: the longest lease, which is a restarter's 8 s, the call that
	// acquired the lock, and what the log's clock loses at changes of the leader.
	leaseExpiryTimeout = 14 * time.Second
	// auditTimeout is the time within which all calls of the audit are answered.
	auditTimeout = 5 * time.Second
	// linearizabilityTimeout bounds the search for an order of the calls of one name.
	linearizabilityTimeout = 20 * time.Second
	// moveShare is the share of calls, one in so many, for which a caller changes its node without need.
	moveShare = 8
	// backlogInterval is the time between two reads that are sent to each paused node, so that it has much to read when it goes on.
	backlogInterval = 10 * time.Millisecond
	// maxBacklogReads bounds the reads that wait for paused nodes.
	maxBacklogReads = 400
	// ruleOfCall precedes the name of a rule of package callhistory.
	ruleOfCall = "Call "
)

// applications are the callers on a run of real nodes. They implement callers.Environment: one callback at a time, under mu.
type applications struct {
	deployment *gatewaystandin.Deployment
	began      time.Time
	ctx        context.Context // ends when the run is over
	tasks      sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	rng     *rand.Rand
	history []*callhistory.Record
	clients map[string]*applicationClient // by caller
	timers  map[*time.Timer]struct{}
	callers *callers.Callers
}

// applicationClient is a caller with its connections. It stays with a node until it gets no answer there.
type applicationClient struct {
	http    *http.Client
	node    int
	waiting int // calls at this node that have no answer yet and were not given up
}

// startApplications starts callers: so many lockers, as many restarters, and some of the other kinds.
func startApplications(ctx context.Context, d *gatewaystandin.Deployment, lockers int, seed uint64) *applications {
	a := &applications{deployment: d, began: time.Now(), ctx: ctx, rng: newDraws(seed, 0xca11).Rand,
		clients: map[string]*applicationClient{}, timers: map[*time.Timer]struct{}{}}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers = callers.Start(a, a.rng, callers.Config{Lockers: lockers, Restarters: lockers,
		MaxWatcherPause: gatewaystandin.Bounds().WatchHistory / 4})
	return a
}

// Now implements callers.Environment.
func (a *applications) Now() time.Duration { return time.Since(a.began) }

// After implements callers.Environment.
func (a *applications) After(wait time.Duration, action func()) {
	if a.closed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.timers, timer)
		if !a.closed {
			action()
		}
	})
	a.timers[timer] = struct{}{}
}

// Call implements callers.Environment. A call without an answer is given up after its time. Its connection is closed then or, in half of the cases,
// left open for longer.
func (a *applications) Call(caller string, c coordination.Call, done func(*callhistory.Record)) {
	if a.closed {
		return
	}
	client, nodes := a.client(caller), a.deployment.Nodes
	switch {
	case client.waiting > 0: // the caller has ended since, and starts again elsewhere
		client.move((client.node + 1 + a.rng.IntN(len(nodes)-1)) % len(nodes))
	case a.rng.IntN(moveShare) == 0:
		client.move(a.rng.IntN(len(nodes)))
	case c.Operation == coordination.LockRelease && a.rng.IntN(2) == 0: // what a paused node reads late is most harmful here
		if paused := slices.IndexFunc(nodes, func(n *gatewaystandin.Node) bool { return n.Suspended() }); paused >= 0 {
			client.move(paused)
		}
	}
	node := client.node
	client.waiting++
	timeout := applicationTimeout + c.Timeout
	connectionTimeout := timeout
	if a.rng.IntN(2) == 0 {
		connectionTimeout = timeout + abandonedTimeout
	}
	r := &callhistory.Record{Caller: caller, Call: c, Sent: a.Now(), Ended: callhistory.Never}
	a.history = append(a.history, r)
	ended := false
	end := func(result coordination.Result, answered bool) { // mu is held
		if ended || a.closed {
			return
		}
		ended = true
		if client.node == node {
			client.waiting = max(0, client.waiting-1)
		}
		if answered && result.Status != coordination.StatusAmbiguous {
			r.Result, r.Ended = result, a.Now()
		} else {
			r.Result.Status = coordination.StatusAmbiguous
		}
		if client.node == node && (!answered || shouldMove(result.Status)) {
			client.move((node + 1) % len(nodes))
		}
		done(r)
	}
	a.After(timeout, func() { end(coordination.Result{}, false) })
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, connectionTimeout)
		defer cancel()
		result, answered := sendCall(ctx, client.http, nodes[node].Control, &c)
		a.mu.Lock()
		defer a.mu.Unlock()
		end(result, answered)
	})
}

// move has the caller turn to a node.
func (a *applicationClient) move(node int) { a.node, a.waiting = node, 0 }

// fillBacklogs sends reads to nodes that are paused, until the context ends. Nobody looks at the answers.
func (a *applications) fillBacklogs(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxBacklogReads}}
	defer client.CloseIdleConnections()
	var reads sync.WaitGroup
	defer reads.Wait()
	free := make(chan struct{}, maxBacklogReads)
	read := &coordination.Call{Operation: coordination.KeyRead, Name: callers.SharedNames()[3] + "0"}
	for ; ctx.Err() == nil; sleep(ctx, backlogInterval) {
		for _, node := range a.deployment.Nodes {
			if !node.Suspended() {
				continue
			}
			select {
			case free <- struct{}{}:
				reads.Go(func() {
					defer func() { <-free }()
					call, cancel := context.WithTimeout(ctx, abandonedTimeout)
					defer cancel()
					sendCall(call, client, node.Control, read)
				})
			default: // enough wait already
			}
		}
	}
}

// shouldMove reports whether a caller turns to another node after an answer.
func shouldMove(s coordination.Status) bool {
	return s == coordination.StatusUnavailable || s == coordination.StatusAmbiguous || s == coordination.StatusLimitReached
}

// client returns a caller's client. mu is held.
func (a *applications) client(caller string) *applicationClient {
	c := a.clients[caller]
	if c == nil {
		c = &applicationClient{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, node: a.rng.IntN(len(a.deployment.Nodes))}
		a.clients[caller] = c
	}
	return c
}

// end stops the callers, asks for all names once more, and checks the history. All nodes serve by then. On a machine whose times are not
// trusted the names may be answered later: what was not answered at first then rests on times.
func (a *applications) end(ctx context.Context, machine *machineWatch) (bad []history.Violation) {
	a.mu.Lock()
	a.callers.Stop()
	a.mu.Unlock()
	sleep(ctx, leaseExpiryTimeout)
	unanswered := a.audit(ctx)
	answeredLater := false
	for until := time.Now().Add(hangTimeout); len(unanswered) > 0 && !answeredLater && !machine.trusted() && time.Now().Before(until) && ctx.Err() == nil; {
		answeredLater = len(a.audit(ctx)) == 0
	}
	calls := a.stop()
	if ctx.Err() != nil {
		return nil
	}
	broken := callhistory.Check(calls, callhistory.Config{HistoryRetention: gatewaystandin.Bounds().WatchHistory})
	illegal, _ := callhistory.Linearizable(calls, linearizabilityTimeout)
	for _, v := range append(broken, illegal...) {
		bad = append(bad, history.Violation{Rule: ruleOfCall + string(v.Rule), Time: history.Now(), Who: "application", What: v.Text})
	}
	for _, text := range unanswered {
		bad = append(bad, history.Violation{Rule: ruleOfCall + string(callhistory.RuleLost), Time: history.Now(), Who: "application", What: text,
			Timed: answeredLater})
	}
	return bad
}

// audit asks for all names and returns the calls that were not answered.
func (a *applications) audit(ctx context.Context) []string {
	a.mu.Lock()
	before := len(a.callers.UnansweredAuditCalls())
	a.callers.Audit()
	a.mu.Unlock()
	sleep(ctx, auditTimeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.callers.UnansweredAuditCalls()[before:]
}

// stop ends all that the callers wait for, and returns their calls.
func (a *applications) stop() []*callhistory.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for timer := range a.timers {
		timer.Stop()
	}
	return a.history
}

// counts returns how many calls were sent, and how many of them were answered clearly.
func (a *applications) counts() (sent, definite int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.history {
		if r.IsDefinite() {
			definite++
		}
	}
	return len(a.history), definite
}

// releaseTimes returns, for each release that was answered, the time from its sending until another caller got the lock. Rivals and lockers that wait for
// a lock ask for it again and again.
func (a *applications) releaseTimes() (times []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	released := map[string]*callhistory.Record{}
	for _, r := range a.history {
		switch {
		case !r.Succeeded():
		case r.Call.Operation == coordination.LockRelease:
			released[r.Call.Name] = r
		case r.Call.Operation == coordination.LockAcquire:
			if release := released[r.Call.Name]; release != nil && release.Call.Holder != r.Call.Holder {
				times = append(times, r.Ended-release.Sent)
			}
			delete(released, r.Call.Name)
		}
	}
	return times
}

// close waits for the last connections. The run's context has ended.
func (a *applications) close() {
	a.tasks.Wait()
	for _, c := range a.clients {
		c.http.CloseIdleConnections()
	}
}

// sendCall sends a call to a node. It returns false if there is no answer that can be read.
func sendCall(ctx context.Context, client *http.Client, control string, c *coordination.Call) (result coordination.Result, ok bool) {
	method, path, body := callRequest(c)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, bytes.NewReader(body))
	if err != nil {
		return result, false
	}
	response, err := client.Do(request)
	if err != nil {
		return result, false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return result, false
	}
	return callResult(c, response.StatusCode, text)
}

// callRequest returns the request of a call, as api/control.yaml has it.
func callRequest(c *coordination.Call) (method, path string, body []byte) {
	name := url.PathEscape(c.Name)
	hold := fmt.Sprintf("%dms", c.TTL.Milliseconds())
	var message any = struct{}{}
	switch c.Operation {
	case coordination.LockAcquire:
		path, message = "/api/Locks.Begin/"+name, controlapi.LockBegin{Holder: c.Holder, Hold: hold}
	case coordination.LockRenew:
		path, message = "/api/Locks.Heartbeat/"+name, controlapi.LockHeartbeat{Holder: c.Holder, Fence: c.FencingToken, Hold: hold}
	case coordination.LockRelease:
		path, message = "/api/Locks.Finish/"+name, controlapi.LockFinish{Holder: c.Holder, Fence: c.FencingToken}
	case coordination.NumberNext:
		path = "/api/numbers/" + name
	case coordination.KeyPut:
		put := controlapi.KeyReplace{Value: c.Value}
		if c.Conditional {
			put.Topic = &c.ExpectedRevision
		}
		path, message = "/api/Cells.Replace/"+name, put
	case coordination.KeyRead:
		return http.MethodGet, "/api/Cells.Read/" + name, nil
	case coordination.KeyWatch:
		return http.MethodGet, fmt.Sprintf("/api/watch/%s?after=%d&wait_ms=%d", name, c.AfterRevision, c.Timeout.Milliseconds()), nil
	}
	body, _ = json.Marshal(message)
	return http.MethodPost, path, body
}

// callStatuses are the statuses that answers stand for. 409 depends on the call.
var callStatuses = map[int]coordination.Status{
	http.StatusOK:                 coordination.StatusOK,
	http.StatusPreconditionFailed: coordination.StatusConflict,
	http.StatusNotFound:           coordination.StatusNotFound,
	http.StatusGone:               coordination.StatusCompacted,
	http.StatusTooManyRequests:    coordination.StatusLimitReached,
	http.StatusServiceUnavailable: coordination.StatusUnavailable,
}

// callAnswer has the fields of all answers.
type callAnswer struct {
	Fence    uint64                `json:"fence"`
	Value    json.RawMessage       `json:"value"`
	Revision uint64                `json:"revision"`
	Events   []controlapi.KeyEvent `json:"events"`
}

// callResult reads an answer.
func callResult(c *coordination.Call, code int, text []byte) (result coordination.Result, ok bool) {
	result.Status, ok = callStatuses[code]
	switch {
	case code == http.StatusConflict && c.Operation == coordination.LockAcquire:
		return coordination.Result{Status: coordination.StatusLockHeld}, true
	case code == http.StatusConflict:
		return coordination.Result{Status: coordination.StatusLockLost}, true
	case !ok || result.Status != coordination.StatusOK && result.Status != coordination.StatusConflict:
		return result, ok
	}
	var answer callAnswer
	if json.Unmarshal(text, &answer) != nil {
		return result, false
	}
	result.FencingToken, result.Revision = answer.Fence, answer.Revision
	if len(answer.Value) > 0 {
		var into any = &result.Value
		if c.Operation == coordination.NumberNext {
			into = &result.Number
		}
		if json.Unmarshal(answer.Value, into) != nil {
			return result, false
		}
	}
	for _, e := range answer.Events {
		result.Events = append(result.Events, coordination.Event{Name: e.Name, Value: e.Value, Revision: e.Revision})
	}
	return result, true
}
