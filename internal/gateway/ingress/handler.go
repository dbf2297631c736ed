package ingress

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// Admission is what the configuration says of a request.
type Admission struct {
	Product    control.ProductID
	Customer   control.CustomerID
	Tenant     string // sent to the backend; "": none
	Priority   int    // of its tenant, 0 is highest: it goes before the route's
	Metered    bool   // it draws on the customer's quota
	AtMostOnce bool   // it may run at most once: not idempotent
	Deadline   time.Duration
}

// Rejection is why a request is not admitted.
type Rejection int

// Why a request goes to no backend.
const (
	NotRejected          Rejection = iota
	NoRoute                        // 404: no route of that host begins that path
	InvalidKey                     // 401: the route needs a key, and this one is not known
	ConfigurationPending           // 503: a configuration that has not come here yet might allow it
)

// Catalog is what a node knows of configurations and backends. Its methods are called in a turn, and must not
// block.
type Catalog interface {
	// Admit looks a request up. host is in lower case and without a port, path without the query; key is nil
	// without one.
	Admit(host, path, key []byte) (Admission, Rejection)
	// BackendName is the id that a backend goes by; "" if it is not known any more: then nothing is sent to it.
	BackendName(at control.BackendID) string
	// BackendReplaced is called when another backend answered at this one's address.
	BackendReplaced(at control.BackendID)
}

// Clock is the turn's time, and how long bytes may have lain unread.
type Clock interface {
	Now() time.Duration
	InputDelay() time.Duration
}

// Gate takes requests, and is notified of clients that leave and of progress of a streamed body.
type Gate interface {
	downstream.Gate
	More(txn slots.Ref)
}

// Handler admits clients' requests and is the gate's front for them.
type Handler struct {
	server  *downstream.Server
	clock   Clock
	gate    Gate
	catalog Catalog

	// Scratch buffers, each valid until its next use: they spare an allocation a request.
	hostBuffer  []byte // see canonicalHost
	chunkBuffer []byte // see Pass
	userBuffer  []byte // see User
}

// requestState is what is known of the request in flight on a client's connection.
type requestState struct {
	Admission
	expiry          time.Duration // in the turn's time
	bodySent        bool          // some of a streamed body was forwarded
	bodyErr         error         // why a streamed body can't be read on
	chunkedResponse bool          // the response goes out in chunks
}

// New makes the handler of a server's requests, and registers it there.
func New(server *downstream.Server, clock Clock, gate Gate, catalog Catalog) *Handler {
	h := &Handler{server: server, clock: clock, gate: gate, catalog: catalog}
	server.SetHandler(h)
	return h
}

// Take admits a request, or rejects it. It is called once the request is complete, or its head is where the body is
// streamed.
func (h *Handler) Take(c *downstream.Client) {
	// Bytes behind a message that no message begins with show that its length was wrong.
	if rest := c.Rest(); len(rest) > 0 && !http1.MayStart(rest) {
		c.RejectUnreadable(http1.ErrFraming)
		return
	}
	r, problem := parseRequest(c)
	if problem.text != "" {
		c.Reject(400, problem.counter, problem.text)
		return
	}
	admission, why := h.catalog.Admit(h.canonicalHost(r.host), r.path, r.key)
	if why != NotRejected {
		h.rejectNotAdmitted(c, r.id, why)
		return
	}
	txn := h.startRequest(c, admission, r.deadline)
	ref, ok := h.gate.Take(txn, h, c.Who())
	if !ok {
		h.reject(c, r.id, 503, counters.Rejected, retryAfterUnready)
		return
	}
	c.AwaitAnswer(ref, string(r.id))
}

// begin sets the connection's state for an admitted request, and gives the transaction that the gate decides on.
// deadline is the client's; 0: it gave none.
func (h *Handler) startRequest(c *downstream.Client, a Admission, deadline time.Duration) control.Txn {
	if deadline == 0 || a.Deadline > 0 && a.Deadline < deadline {
		deadline = a.Deadline
	}
	state, _ := c.UserData.(*requestState)
	if state == nil {
		state = &requestState{}
		c.UserData = state
	}
	// The client counts from when it sent. After a standstill the request may have lain unread for all of it.
	expiry := h.clock.Now() + max(deadline-h.clock.InputDelay(), 0)
	*state = requestState{Admission: a, expiry: expiry}
	txn := control.Txn{Customer: a.Customer, Product: a.Product, Plan: control.PlanID(a.Priority), Expiry: expiry, SetWidth: 1}
	if a.Metered {
		txn.Units = 1
	}
	return txn
}

// rejectFor answers a request that the catalog does not admit.
func (h *Handler) rejectNotAdmitted(c *downstream.Client, id []byte, reason Rejection) {
	switch reason {
	case NoRoute:
		h.reject(c, id, 404, counters.NoSuchPath, 0)
	case InvalidKey:
		h.reject(c, id, 401, counters.NoSuchKey, 0)
	case ConfigurationPending:
		h.reject(c, id, 503, counters.UnknownYet, retryAfterUnready)
	}
}

// reject answers without a body. after is the Retry-After; 0: none.
func (h *Handler) reject(c *downstream.Client, id []byte, status int, counter counters.ID, retryAfter time.Duration) {
	h.server.Count(counter)
	c.Answer(func(b []byte, last bool) []byte {
		return answer.StatusOnly(b, status, "X-Attempt-Id", id, retryAfter, last)
	})
}

// User names the user that a request comes from, for a roll-out's share of users, and its tenant: the client's mark together
// with its key, where it has one, else the key; nil where there is neither. It is valid until the next call.
func (h *Handler) User(who, txn slots.Ref) (user []byte, tenant string) {
	c := h.server.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return nil, ""
	}
	head, message := c.Request()
	key, _ := apiKey(head, message)
	clientMark, repeated := head.Get(message, "x-client-mark")
	if h.userBuffer = append(h.userBuffer[:0], key...); len(clientMark) > 0 && !repeated {
		h.userBuffer = append(append(h.userBuffer, 0), clientMark...)
	}
	return h.userBuffer, stateOf(c).Tenant
}

// Left is called when the client of a request has left.
func (h *Handler) Left(txn slots.Ref) { h.gate.Left(txn) }

// ID is a request's X-Attempt-Id, while its client waits.
func (h *Handler) ID(who, txn slots.Ref) string { return h.server.ID(who, txn) }

// Once tells whether a request may run at most once. It is true once the client has left: nothing is sent then any more.
func (h *Handler) Once(who, txn slots.Ref) bool {
	c := h.server.ClientOf(who, txn)
	return c == nil || stateOf(c).AtMostOnce
}

// stateOf is the state of a connection's request; nil without a connection.
func stateOf(c *downstream.Client) *requestState {
	if c == nil {
		return nil
	}
	return c.UserData.(*requestState)
}
