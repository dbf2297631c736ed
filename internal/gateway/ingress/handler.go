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
	Product  control.ProductID
	Customer control.CustomerID
	Tenant   string // told to the backend; "": none
	Rank     int    // of its tenant, 0 is highest: it goes before the route's
	Metered  bool   // it draws on the customer's quota
	Once     bool   // it may run at most once
	Deadline time.Duration
}

// Refusal is why a request is not admitted.
type Refusal int

// Why a request goes to no service.
const (
	None       Refusal = iota
	NoRoute            // no route of that host begins that path
	NoKey              // the route needs a key, and this is none that is known
	UnknownYet         // a configuration that is not here yet might allow it
)

// Lookups is what a node knows of configurations and backends. All of it is called in a turn, and must not
// block.
type Lookups interface {
	// Admit looks a request up. host is in lower case and without a port, path without the query; key is nil
	// without one.
	Admit(host, path, key []byte) (Admission, Refusal)
	// BackendName is the id that a backend goes by; "" if it is not known any more: then nothing is sent to it.
	BackendName(at control.BackendID) string
	// Gone: at a backend's address another one has answered.
	Gone(at control.BackendID)
}

// Clock is the turn's time, and how long bytes may have lain unread.
type Clock interface {
	Now() time.Duration
	InputDelay() time.Duration
}

// Handler is the form of the gateway's requests, and the gate's front for them.
type Handler struct {
	in      *downstream.Server
	clock   Clock
	gate    Gate
	lookups Lookups
	host    []byte // the present request's, put into lower case
	part    []byte
	user    []byte // scratch, see User
}

// visit is what is known of the request that a connection has.
type visit struct {
	Admission
	expiry time.Duration
	spent  bool  // some of a body that is passed on as it comes has gone
	wrong  error // with what came of that body
	chunks bool  // its answer goes out in chunks
}

// Gate takes requests, and hears of clients that leave and of what has come or gone of a long body.
type Gate interface {
	downstream.Gate
	More(txn slots.Ref)
}

func visitOf(c *downstream.Client) *visit {
	if c == nil {
		return nil
	}
	return c.UserData.(*visit)
}

// Bounds of what has no other.
const (
	mostID     = 128
	mostWait   = time.Hour
	soon       = 300 * time.Millisecond // advice of a node that does not know yet, or holds as many as it may
	readIn     = 10 * time.Second       // an answer
	wholeTimes = 10                     // a body may take so many times as long as a head
)

// Buffer is how many bytes of a body a node holds; what is longer is passed on as it comes, up to the
// limits.
const Buffer = 256 << 10

// Bounds of backends' answers, and the life of their idle connections where they don't tell.
const (
	answerHead = 16 << 10
	answerBody = 64 << 20
	idleUsual  = 4 * time.Second
)

// Terms gives what submissions go by.
func Terms(lookups Lookups, dial time.Duration) upstream.Config {
	return upstream.Config{Dialect: NewDialect(lookups), IdleTimeout: idleUsual, DialTimeout: dial, Head: answerHead, Body: answerBody,
		Buffer: Buffer}
}

// New makes the form for an intake.
func New(in *downstream.Server, clock Clock, g Gate, lookups Lookups) *Handler {
	f := &Handler{in: in, clock: clock, gate: g, lookups: lookups}
	in.SetHandler(f)
	return f
}

// Limits are the configuration's word on what clients may send, and how long they may take. Nought: the
// usual.
type Limits struct {
	Head, Body   int // bytes
	HeadIn, Idle time.Duration
}

// Bounds gives an intake's bounds that follow from such limits.
func Bounds(l Limits) downstream.Bounds {
	return downstream.Bounds{Head: l.Head, Body: l.Body, Buffer: Buffer, HeadTimeout: l.HeadIn, MessageTimeout: wholeTimes * l.HeadIn,
		AnswerTimeout: readIn, IdleTimeout: l.Idle}
}

// Take admits a request, or refuses it right here.
func (h *Handler) Take(c *downstream.Client) {
	r, b := c.Request()
	// Bytes behind a message that no message begins with show that its length was wrong.
	if rest := c.Rest(); len(rest) > 0 && !http1.MayStart(rest) {
		c.RejectUnreadable(http1.ErrFraming)
		return
	}
	target := r.Target(b)
	id, ids := r.Get(b, "x-attempt-id")
	host, hosts := r.Get(b, "host")
	key, keyed, keys := h.key(r, b)
	wait, ok := h.wait(r, b)
	switch {
	case target[0] != '/':
		c.Reject(400, counters.BadRequest, "a path is needed")
		return
	case hosts || len(host) == 0:
		c.Reject(400, counters.BadRequest, "host: one is needed")
		return
	case ids || len(id) == 0 || len(id) > mostID:
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
	a, why := h.lookups.Admit(h.plain(host), path, key)
	switch why {
	case NoRoute:
		h.refuse(c, id, 404, counters.NoSuchPath, 0)
		return
	case NoKey:
		h.refuse(c, id, 401, counters.NoSuchKey, 0)
		return
	case UnknownYet:
		h.refuse(c, id, 503, counters.UnknownYet, soon)
		return
	}
	v, _ := c.UserData.(*visit)
	if v == nil {
		v = &visit{}
		c.UserData = v
	}
	if *v = (visit{Admission: a}); wait == 0 || a.Deadline > 0 && a.Deadline < wait {
		wait = a.Deadline
	}
	// The client counts from when it sent. After a standstill the request may have lain unread for all of it.
	v.expiry = h.clock.Now() + max(wait-h.clock.InputDelay(), 0)
	x := control.Txn{Customer: a.Customer, Product: a.Product, Plan: control.PlanID(a.Rank), Expiry: v.expiry, SetWidth: 1}
	if a.Metered {
		x.Units = 1
	}
	ref, ok := h.gate.Take(x, h, c.Who())
	if !ok {
		h.refuse(c, id, 503, counters.Rejected, soon)
		return
	}
	c.AwaitAnswer(ref, string(id))
}

// key reads a key: `Token KEY`. What else a client may say of itself is no key.
func (h *Handler) key(r *http1.Reader, b []byte) (key []byte, ok, many bool) {
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
	c := h.in.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return nil, ""
	}
	r, b := c.Request()
	key, _, _ := h.key(r, b)
	mark, many := r.Get(b, "x-client-mark")
	if h.user = append(h.user[:0], key...); len(mark) > 0 && !many {
		h.user = append(append(h.user, 0), mark...)
	}
	return h.user, visitOf(c).Tenant
}

// wait reads how long the client waits; 0: it does not say.
func (h *Handler) wait(r *http1.Reader, b []byte) (time.Duration, bool) {
	v, many := r.Get(b, "x-deadline-ms")
	if v == nil {
		return 0, true
	}
	whole, _, _ := bytes.Cut(v, []byte("."))
	n, ok := http1.Number(whole, int(mostWait/time.Millisecond))
	return max(time.Duration(n)*time.Millisecond, 1), ok && !many
}

// plain gives a host in lower case, without its port.
func (h *Handler) plain(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 && bytes.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	for i, c := range host {
		if c >= 'A' && c <= 'Z' {
			h.host = append(append(h.host[:0], host[:i]...), bytes.ToLower(host[i:])...)
			return h.host
		}
	}
	return host
}

// refuse answers without a body what goes no further.
func (h *Handler) refuse(c *downstream.Client, id []byte, status int, why counters.ID, after time.Duration) {
	h.in.Count(why)
	c.Answer(func(b []byte, last bool) []byte { return answer.StatusOnly(b, status, "X-Attempt-Id", id, after, last) })
}

// Left is told when the client of a request has gone away.
func (h *Handler) Left(txn slots.Ref) { h.gate.Left(txn) }

// ID names a request by its client's id, while the client waits.
func (h *Handler) ID(who, txn slots.Ref) string { return h.in.ID(who, txn) }

// Once tells whether a request may run at most once; one whose client has gone goes nowhere any more.
func (h *Handler) Once(who, txn slots.Ref) bool {
	c := h.in.ClientOf(who, txn)
	return c == nil || visitOf(c).Once
}

// Complete passes a backend's answer on.
func (h *Handler) Complete(who, txn slots.Ref, o gate.Outcome) {
	if c := h.in.ClientToAnswer(who, txn); c != nil {
		r, m := c.Request()
		head := string(r.Method(m)) == "HEAD"
		c.Answer(func(b []byte, last bool) []byte {
			return append(appendHead(b, o.Answer, o.Bytes, head, last), o.Body...)
		})
	}
}

// Reject says that a request has not run and never will, and when it is best to come again.
func (h *Handler) Reject(who, txn slots.Ref, after time.Duration, why control.Reason) {
	status := 503
	if why == control.ReasonNoUnits {
		status = 429
	}
	h.end(who, txn, status, after)
}

// Fail makes no such promise.
func (h *Handler) Fail(who, txn slots.Ref, why control.Reason) {
	status := 502
	if c := h.in.ClientOf(who, txn); why == control.ReasonNoTime || c != nil && visitOf(c).expiry <= h.clock.Now() {
		status = 504
	}
	h.end(who, txn, status, 0)
}

func (h *Handler) end(who, txn slots.Ref, status int, after time.Duration) {
	c := h.in.ClientToAnswer(who, txn)
	switch v := visitOf(c); {
	case c == nil:
	case v.wrong != nil:
		c.RejectUnreadable(v.wrong)
	default:
		id := []byte(h.in.ID(who, txn))
		c.Answer(func(b []byte, last bool) []byte { return answer.StatusOnly(b, status, "X-Attempt-Id", id, after, last) })
	}
}
