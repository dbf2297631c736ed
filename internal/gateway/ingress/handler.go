// Package ingress is what the gateway's clients and backends say, each in HTTP/1.1: requests in, told apart
// by host, path and key, answers out, and in between what a backend is handed and what its answer means.
package ingress

import (
	"bytes"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
	"clovergap/internal/proxy/upstream"
)

// Admission is what the configuration says of a request.
type Admission struct {
	Product    control.ProductID
	Customer   control.CustomerID
	Tenant     string // told to the backend; "": none
	Priority   int    // of its tenant, 0 is highest: it goes before the route's
	Metered    bool   // it draws on the customer's quota
	AtMostOnce bool   // it may run at most once
	Deadline   time.Duration
}

// Rejection is why a request is not admitted.
type Rejection int

// Why a request goes to no service.
const (
	NotRejected          Rejection = iota
	NoRoute                        // no route of that host begins that path
	InvalidKey                     // the route needs a key, and this is none that is known
	ConfigurationPending           // a configuration that is not here yet might allow it
)

// Catalog is what a node knows of configurations and backends. All of it is called in a turn, and must not
// block.
type Catalog interface {
	// Admit looks a request up. host is in lower case and without a port, path without the query; key is nil
	// without one.
	Admit(host, path, key []byte) (Admission, Rejection)
	// BackendName is the id that a backend goes by; "" if it is not known any more: then nothing is sent to it.
	BackendName(at control.BackendID) string
	// BackendReplaced: at a backend's address another one has answered.
	BackendReplaced(at control.BackendID)
}

// Clock is the turn's time, and how long bytes may have lain unread.
type Clock interface {
	Now() time.Duration
	InputDelay() time.Duration
}

// Handler is the form of the gateway's requests, and the gate's front for them.
type Handler struct {
	server      *downstream.Server
	clock       Clock
	gate        Gate
	catalog     Catalog
	hostBuffer  []byte // the present request's, put into lower case
	chunkBuffer []byte
	userBuffer  []byte // scratch, see User
}

// requestState is what is known of the request that a connection has.
type requestState struct {
	Admission
	expiry          time.Duration
	bodySent        bool  // some of a body that is passed on as it comes has gone
	bodyErr         error // with what came of that body
	chunkedResponse bool  // its answer goes out in chunks
}

// Gate takes requests, and hears of clients that leave and of what has come or gone of a long body.
type Gate interface {
	downstream.Gate
	More(txn slots.Ref)
}

func stateOf(c *downstream.Client) *requestState {
	if c == nil {
		return nil
	}
	return c.Note.(*requestState)
}

// Bounds of what has no other.
const (
	maxAttemptIDBytes   = 128
	maxClientDeadline   = time.Hour
	retryAfterUnready   = 300 * time.Millisecond // advice of a node that does not know yet, or holds as many as it may
	responseReadTimeout = 10 * time.Second       // an answer
	bodyTimeoutFactor   = 10                     // a body may take so many times as long as a head
)

// BodyBufferBytes is how many bytes of a body a node holds; what is longer is passed on as it comes, up to the
// limits.
const BodyBufferBytes = 256 << 10

// Bounds of backends' answers, and the life of their idle connections where they don't tell.
const (
	maxResponseHeadBytes = 16 << 10
	maxResponseBodyBytes = 64 << 20
	defaultIdleTimeout   = 4 * time.Second
)

// UpstreamConfig gives what submissions go by.
func UpstreamConfig(lookups Catalog, dial time.Duration) upstream.Terms {
	return upstream.Terms{Dialect: NewDialect(lookups), Idle: defaultIdleTimeout, Dial: dial, Head: maxResponseHeadBytes, Body: maxResponseBodyBytes,
		Buffer: BodyBufferBytes}
}

// New makes the form for an intake.
func New(in *downstream.Server, clock Clock, g Gate, lookups Catalog) *Handler {
	f := &Handler{server: in, clock: clock, gate: g, catalog: lookups}
	in.Serves(f)
	return f
}

// Limits are the configuration's word on what clients may send, and how long they may take. Nought: the
// usual.
type Limits struct {
	MaxHeadBytes, MaxBodyBytes int // bytes
	HeadTimeout, IdleTimeout   time.Duration
}

// Bounds gives an intake's bounds that follow from such limits.
func Bounds(l Limits) downstream.Bounds {
	return downstream.Bounds{Head: l.MaxHeadBytes, Body: l.MaxBodyBytes, Buffer: BodyBufferBytes, HeadIn: l.HeadTimeout, WholeIn: bodyTimeoutFactor * l.HeadTimeout,
		ReadIn: responseReadTimeout, Idle: l.IdleTimeout}
}

// Take admits a request, or refuses it right here.
func (h *Handler) Take(c *downstream.Client) {
	r, b := c.Request()
	// Bytes behind a message that no message begins with show that its length was wrong.
	if rest := c.Rest(); len(rest) > 0 && !http1.MayStart(rest) {
		c.Doubtful(http1.ErrFraming)
		return
	}
	target := r.Target(b)
	id, ids := r.Get(b, "x-attempt-id")
	host, hosts := r.Get(b, "host")
	key, keyed, keys := h.apiKey(r, b)
	wait, ok := h.clientDeadline(r, b)
	switch {
	case target[0] != '/':
		c.Reject(400, counters.BadRequest, "a path is needed")
		return
	case hosts || len(host) == 0:
		c.Reject(400, counters.BadRequest, "host: one is needed")
		return
	case ids || len(id) == 0 || len(id) > maxAttemptIDBytes:
		c.Reject(400, counters.BadID, "x-attempt-id: one is needed")
		return
	case keys:
		c.Reject(400, counters.BadRequest, "authorization: more than one")
		return
	case !ok:
		c.Reject(400, counters.BadRequest, "x-deadline-ms: one number of milliseconds")
		return
	}
	if !keyed {
		key = nil
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	a, why := h.catalog.Admit(h.canonicalHost(host), path, key)
	switch why {
	case NoRoute:
		h.reject(c, id, 404, counters.NoSuchPath, 0)
		return
	case InvalidKey:
		h.reject(c, id, 401, counters.NoSuchKey, 0)
		return
	case ConfigurationPending:
		h.reject(c, id, 503, counters.UnknownYet, retryAfterUnready)
		return
	}
	v, _ := c.Note.(*requestState)
	if v == nil {
		v = &requestState{}
		c.Note = v
	}
	if *v = (requestState{Admission: a}); wait == 0 || a.Deadline > 0 && a.Deadline < wait {
		wait = a.Deadline
	}
	// The client counts from when it sent. After a standstill the request may have lain unread for all of it.
	v.expiry = h.clock.Now() + max(wait-h.clock.InputDelay(), 0)
	x := control.Txn{Customer: a.Customer, Product: a.Product, Plan: control.PlanID(a.Priority), Expiry: v.expiry, SetWidth: 1}
	if a.Metered {
		x.Units = 1
	}
	ref, ok := h.gate.Take(x, h, c.Who())
	if !ok {
		h.reject(c, id, 503, counters.Declined, retryAfterUnready)
		return
	}
	c.Hold(ref, string(id))
}

// apiKey reads a key: `Token KEY`. What else a client may say of itself is no key.
func (h *Handler) apiKey(r *http1.Reader, b []byte) (key []byte, ok, many bool) {
	v, many := r.Get(b, "authorization")
	const form = "token "
	if len(v) <= len(form) || !http1.Same(v[:len(form)], form) {
		return nil, false, many
	}
	return bytes.TrimLeft(v[len(form):], " "), true, many
}

// User names whoever a request is of, for a share of users, and its tenant: the client's mark together with its key, where
// it has one, else the key; nil where there is neither. It is good until the next call.
func (h *Handler) User(who, txn slots.Ref) (user []byte, tenant string) {
	c := h.server.Waits(who, txn)
	if c == nil || c.IsClosed() {
		return nil, ""
	}
	r, b := c.Request()
	key, _, _ := h.apiKey(r, b)
	mark, many := r.Get(b, "x-client-mark")
	if h.userBuffer = append(h.userBuffer[:0], key...); len(mark) > 0 && !many {
		h.userBuffer = append(append(h.userBuffer, 0), mark...)
	}
	return h.userBuffer, stateOf(c).Tenant
}

// clientDeadline reads how long the client waits; 0: it does not say.
func (h *Handler) clientDeadline(r *http1.Reader, b []byte) (time.Duration, bool) {
	v, many := r.Get(b, "x-deadline-ms")
	if v == nil {
		return 0, true
	}
	whole, _, _ := bytes.Cut(v, []byte("."))
	n, ok := http1.Number(whole, int(maxClientDeadline/time.Millisecond))
	return max(time.Duration(n)*time.Millisecond, 1), ok && !many
}

// canonicalHost gives a host in lower case, without its port.
func (h *Handler) canonicalHost(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	for i, c := range host {
		if c >= 'A' && c <= 'Z' {
			h.hostBuffer = append(append(h.hostBuffer[:0], host[:i]...), bytes.ToLower(host[i:])...)
			return h.hostBuffer
		}
	}
	return host
}

// reject answers without a body what goes no further.
func (h *Handler) reject(c *downstream.Client, id []byte, status int, why counters.ID, after time.Duration) {
	h.server.Count(why)
	c.Answer(func(b []byte, last bool) []byte { return answer.Refuse(b, status, "X-Attempt-Id", id, after, last) })
}

// Left is told when the client of a request has gone away.
func (h *Handler) Left(txn slots.Ref) { h.gate.Left(txn) }

// ID names a request by its client's id, while the client waits.
func (h *Handler) ID(who, txn slots.Ref) string { return h.server.ID(who, txn) }

// Once tells whether a request may run at most once; one whose client has gone goes nowhere any more.
func (h *Handler) Once(who, txn slots.Ref) bool {
	c := h.server.Waits(who, txn)
	return c == nil || stateOf(c).AtMostOnce
}

// Settle passes a backend's answer on.
func (h *Handler) Settle(who, txn slots.Ref, o gate.Outcome) {
	if c := h.server.Holds(who, txn); c != nil {
		r, m := c.Request()
		head := string(r.Method(m)) == "HEAD"
		c.Answer(func(b []byte, last bool) []byte {
			return append(appendHead(b, o.Answer, o.Bytes, head, last), o.Body...)
		})
	}
}

// Decline says that a request has not run and never will, and when it is best to come again.
func (h *Handler) Decline(who, txn slots.Ref, after time.Duration, why control.Reason) {
	status := 503
	if why == control.ReasonNoUnits {
		status = 429
	}
	h.finish(who, txn, status, after)
}

// Void makes no such promise.
func (h *Handler) Void(who, txn slots.Ref, why control.Reason) {
	status := 502
	if c := h.server.Waits(who, txn); why == control.ReasonNoTime || c != nil && stateOf(c).expiry <= h.clock.Now() {
		status = 504
	}
	h.finish(who, txn, status, 0)
}

func (h *Handler) finish(who, txn slots.Ref, status int, after time.Duration) {
	c := h.server.Holds(who, txn)
	switch v := stateOf(c); {
	case c == nil:
	case v.bodyErr != nil:
		c.Doubtful(v.bodyErr)
	default:
		id := []byte(h.server.ID(who, txn))
		c.Answer(func(b []byte, last bool) []byte { return answer.Refuse(b, status, "X-Attempt-Id", id, after, last) })
	}
}
