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

// Admission holds the settings that the configuration assigns to a request.
type Admission struct {
	Product  control.ProductID
	Customer control.CustomerID
	Tenant   string // name that is sent to the backend; empty for none
	// Priority is the priority of the tenant; 0 is the highest. The tenant's priority overrides the route's.
	Priority   int
	Metered    bool          // the request consumes units of the customer's quota
	AtMostOnce bool          // the request is not idempotent and may run at most once
	Deadline   time.Duration // maximum time until the response; 0 if only the client's deadline applies
}

// Rejection is the reason why a request is not admitted.
type Rejection int

// The reasons why a request is not sent to a backend, with the status of the response.
const (
	NotRejected          Rejection = iota
	NoRoute                        // 404: no route of the host is a prefix of the path
	InvalidKey                     // 401: the route requires a key, and the request's key is missing or unknown
	ConfigurationPending           // 503: a newer configuration, not yet received, might admit the request
)

// Catalog gives access to a node's configuration and backends. The methods are called in a turn of the event loop and
// must not block.
type Catalog interface {
	// Admit returns the settings for a request, or the reason for a rejection. host is in lower case and has no port.
	// path has no query. key is nil if the request has no API key.
	Admit(host, path, key []byte) (Admission, Rejection)
	// BackendName returns the external ID of a backend, or "" if the backend is no longer known. No request is sent to an
	// unknown backend.
	BackendName(at control.BackendID) string
	// BackendReplaced is called when a different backend answered at the address of the backend at.
	BackendReplaced(at control.BackendID)
}

// Clock gives the time of the event loop. Now returns the time of the present turn, which is one iteration of the loop.
type Clock interface{ Now() time.Duration }

// Gate accepts requests. The gate is notified of clients that disconnect and of the progress of streamed bodies.
type Gate interface {
	downstream.Gate
	More(txn slots.Ref)
}

// Handler admits clients' requests and passes them to the gate. Handler implements gate.Streamer, by which the gate reads
// requests and sends responses.
type Handler struct {
	server  *downstream.Server
	clock   Clock
	gate    Gate
	catalog Catalog

	// Scratch buffers save an allocation for each request. The content of a buffer is valid until the next use.
	hostBuffer  []byte // result of canonicalHost
	chunkBuffer []byte // chunk that Pass writes
	userBuffer  []byte // result of User
}

// requestState is the state of the request in flight on a client's connection.
type requestState struct {
	Admission
	expiry          time.Duration // time at which the deadline of the request passes, on the clock of the event loop
	bodySent        bool          // a part of a streamed body was forwarded
	bodyErr         error         // error in the framing of a streamed body; nil for none
	chunkedResponse bool          // the response is sent with chunked transfer coding
}

// New returns a Handler for the requests of server, and registers the Handler with server.
func New(server *downstream.Server, clock Clock, gate Gate, catalog Catalog) *Handler {
	h := &Handler{server: server, clock: clock, gate: gate, catalog: catalog}
	server.SetHandler(h)
	return h
}

// Take admits or rejects a request. Take is called when the request is complete, or when the head is complete if the body
// is streamed.
func (h *Handler) Take(c *downstream.Client) {
	// If the bytes after the request can't be the start of another request, the declared length of the request was wrong.
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

// startRequest sets the connection's state for an admitted request, and returns the transaction for the gate. deadline is
// the deadline that the client sent; 0 means that the client sent none.
func (h *Handler) startRequest(c *downstream.Client, a Admission, deadline time.Duration) control.Txn {
	if deadline == 0 || a.Deadline > 0 && a.Deadline < deadline {
		deadline = a.Deadline
	}
	state, _ := c.UserData.(*requestState)
	if state == nil {
		state = &requestState{}
		c.UserData = state
	}
	// The client's deadline starts when the client sends the request, so the time for which the request may have waited
	// unread is subtracted. InputDelay comes first, because it advances the clock.
	inputDelay := c.InputDelay()
	expiry := h.clock.Now() + max(deadline-inputDelay, 0)
	*state = requestState{Admission: a, expiry: expiry}
	txn := control.Txn{Customer: a.Customer, Product: a.Product, Plan: control.PlanID(a.Priority), Expiry: expiry, SetWidth: 1}
	if a.Metered {
		txn.Units = 1
	}
	return txn
}

// rejectNotAdmitted answers a request that the catalog did not admit.
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

// reject increments counter and sends a response without a body. retryAfter is the value of the Retry-After header; 0
// means no header.
func (h *Handler) reject(c *downstream.Client, id []byte, status int, counter counters.ID, retryAfter time.Duration) {
	h.server.Count(counter)
	c.Answer(func(b []byte, last bool) []byte {
		return answer.StatusOnly(b, status, "X-Attempt-Id", id, retryAfter, last)
	})
}

// User returns an identifier of the user who sent a request, and the user's tenant. A rollout selects a share of the users
// by this identifier. The identifier is the API key, followed by a zero byte and the X-Client-Mark header if the request
// has one such header. The identifier is empty if the request has neither, or if the client has disconnected. The
// identifier is valid until the next call.
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

// Left notifies the gate that the client of a request has disconnected. txn identifies the request.
func (h *Handler) Left(txn slots.Ref) { h.gate.Left(txn) }

// ID returns the X-Attempt-Id of a request while the request's client waits for the response.
func (h *Handler) ID(who, txn slots.Ref) string { return h.server.ID(who, txn) }

// Once reports whether a request may run at most once. Once returns true if the client is gone, because the request is
// then no longer sent to any backend.
func (h *Handler) Once(who, txn slots.Ref) bool {
	c := h.server.ClientOf(who, txn)
	return c == nil || stateOf(c).AtMostOnce
}

// stateOf returns the state of the request on a connection, or nil if c is nil.
func stateOf(c *downstream.Client) *requestState {
	if c == nil {
		return nil
	}
	return c.UserData.(*requestState)
}
