package downstream

import (
	"bytes"
	"strconv"
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// Gate takes txns, and is notified of clients that leave.
type Gate interface {
	Take(x control.Txn, front gate.Front, who slots.Ref) (slots.Ref, bool)
	Left(txn slots.Ref)
}

// Txns handles the front door's requests, whose headers say all about them: product, plan, customer and quota. It is a gate.Front.
type Txns struct {
	*Server
	gate     Gate
	products map[string]control.ProductID
	kinds    []Product
	plans    map[string]control.PlanID
	gateways int
	maxUnits float64 // of a txn, at the most
}

// TxnConfig is what txns are checked against.
type TxnConfig struct {
	Products []Product
	Plans    []string
	Gateways int     // number of gateways that share the quotas
	MaxUnits float64 // of a txn
}

// Product is a kind of txn.
type Product struct {
	Name  string
	Keyed bool // carries a key
	Safe  bool // may run again
}

// NewTxns makes the handler of a server, for a gate.
func NewTxns(in *Server, g Gate, terms TxnConfig) *Txns {
	f := &Txns{Server: in, gate: g, products: map[string]control.ProductID{}, plans: map[string]control.PlanID{},
		gateways: terms.Gateways, maxUnits: terms.MaxUnits}
	for i, p := range terms.Products {
		f.products[p.Name] = control.ProductID(i)
		f.kinds = append(f.kinds, p)
	}
	for i, p := range terms.Plans {
		f.plans[p] = control.PlanID(i)
	}
	in.SetHandler(f)
	return f
}

// Left implements Handler.
func (t *Txns) Left(txn slots.Ref) { t.gate.Left(txn) }

// Take implements Handler: it makes a txn of a request, or answers it at once.
func (t *Txns) Take(c *Client) {
	r, b := c.Request()
	method, target := r.Method(b), r.Target(b)
	path, _, _ := bytes.Cut(target, []byte("?"))
	switch {
	case string(path) == "/up":
		if string(method) != "GET" {
			c.Reject(405, counters.NoSuchMethod, "GET only")
			return
		}
		t.engine.Count.Add(counters.Ups)
		c.Answer(answer.Up)
		return
	case string(path) != "/api":
		c.Reject(404, counters.NoSuchPath, "no such path")
		return
	case string(method) != "GET" && string(method) != "POST":
		c.Reject(405, counters.NoSuchMethod, "GET or POST")
		return
	}
	// If what follows can't begin a request, the length of this one was wrong: what went to a backend would not be what the
	// client meant.
	if rest := c.Rest(); len(rest) > 0 && !http1.MayBegin(rest) {
		c.RejectUnreadable(http1.ErrFraming)
		return
	}
	x, why, line := t.parseTxn(c, r, b)
	if line != "" {
		c.Reject(400, why, line)
		return
	}
	id, _ := r.Get(b, "req-id")
	if !c.Claim(string(id)) {
		c.Reject(400, counters.BadID, "req-id: of a request that is still open")
		return
	}
	ref, ok := t.gate.Take(x, t, c.Who())
	if !ok {
		c.Answer(func(b []byte, last bool) []byte { return answer.Reject(b, 0, last) })
		return
	}
	c.AwaitAnswer(ref, c.id)
}

// Complete implements gate.Front: the answer of a backend.
func (t *Txns) Complete(who, txn slots.Ref, o gate.Outcome) {
	if c := t.ClientToAnswer(who, txn); c != nil {
		kind, _ := o.Answer.Get(o.Bytes, "content-type")
		c.Answer(func(b []byte, last bool) []byte { return answer.Success(b, o.Body, kind, last) })
	}
}

// Reject implements gate.Front: 429, a retry is harmless.
func (t *Txns) Reject(who, txn slots.Ref, after time.Duration, _ control.Reason) {
	if c := t.ClientToAnswer(who, txn); c != nil {
		c.Answer(func(b []byte, last bool) []byte { return answer.Reject(b, after, last) })
	}
}

// Fail implements gate.Front: 502, the request may have had effect.
func (t *Txns) Fail(who, txn slots.Ref, _ control.Reason) {
	if c := t.ClientToAnswer(who, txn); c != nil {
		c.Answer(answer.Fail)
	}
}

// parseTxn makes a txn of a request's headers, or returns a line that says what is wrong with them and the counter of that.
func (t *Txns) parseTxn(c *Client, r *http1.Reader, b []byte) (x control.Txn, why counters.ID, line string) {
	one := func(name string) []byte {
		v, many := r.Get(b, name)
		if (many || len(v) == 0) && line == "" {
			line = name + ": one is needed"
		}
		return v
	}
	why = counters.BadRequest
	if id := one("req-id"); len(id) > 64 {
		line = "req-id: too long"
	}
	kind, plan, wait := one("req-kind"), one("x-plan"), one("req-deadline")
	cookie, quota := one("cookie"), one("x-quota")
	if line != "" {
		return x, why, line
	}
	timeout, ok := parseDeadline(wait)
	if !ok {
		return x, why, "req-deadline: a number and m or u"
	}
	// The client counts from when it sent. A request that lay unread while this process was paused or slow, taken as new, would be
	// answered past its expiry.
	inputDelay := c.InputDelay()
	x.Expiry = t.engine.Now() + max(timeout-inputDelay, 0)
	if x.Customer, ok = parseCustomer(cookie); !ok {
		return x, why, "cookie: key is 16 hexadecimal digits below 2^33"
	}
	if x.Product, ok = t.products[string(kind)]; !ok {
		return x, counters.BadProduct, "req-kind: unknown"
	}
	if t.kinds[x.Product].Keyed {
		if one("idempotency-key"); line != "" { // without it a retry can't be told from a new request
			return x, why, line
		}
	}
	if !t.methodAllowed(x.Product, r, b) {
		return x, why, "req-kind: not by this method"
	}
	if x.Plan, ok = t.plans[string(plan)]; !ok {
		return x, counters.BadPlan, "x-plan: unknown"
	}
	if !t.parseQuota(&x, quota) {
		return x, counters.BadQuota, "x-quota: units, spread and first"
	}
	if x.Retry, ok = parseRetry(r, b); !ok {
		return x, why, "req-retry: 1"
	}
	return x, why, ""
}

// methodAllowed tells whether a request has the method of its product: what backends would reject takes no units, and counts
// against no backend.
func (t *Txns) methodAllowed(product control.ProductID, r *http1.Reader, b []byte) bool {
	get := string(r.Method(b)) == "GET"
	return get == t.kinds[product].Safe && !(get && len(r.Body(b)) > 0)
}

// parseRetry reads whether the client sends the request again: 1 or 0, or the header is missing.
func parseRetry(r *http1.Reader, b []byte) (retry, ok bool) {
	v, _ := r.Get(b, "req-retry")
	retry = string(v) == "1"
	return retry, retry || len(v) == 0 || string(v) == "0"
}

// parseDeadline reads a number followed by its unit, m (ms) or u (µs); it is capped at an hour.
func parseDeadline(v []byte) (time.Duration, bool) {
	unit := time.Duration(0)
	switch v[len(v)-1] {
	case 'm':
		unit = time.Millisecond
	case 'u':
		unit = time.Microsecond
	}
	n, ok := http1.Number(v[:len(v)-1], int(time.Hour/time.Microsecond))
	return min(time.Duration(n)*unit, time.Hour), ok && unit > 0 && n > 0
}

// parseCustomer reads the cookie's key, which names the customer.
func parseCustomer(cookie []byte) (control.CustomerID, bool) {
	found, id := false, 0
	for len(cookie) > 0 {
		var one []byte
		one, cookie, _ = bytes.Cut(cookie, []byte(";"))
		key, ok := bytes.CutPrefix(bytes.TrimSpace(one), []byte("key="))
		if !ok {
			continue
		}
		if found || len(key) != 16 {
			return 0, false
		}
		for _, digit := range key {
			d, ok := http1.Digit(digit)
			if !ok || id >= 1<<33 {
				return 0, false
			}
			id = id<<4 | d
		}
		found = true
	}
	return control.CustomerID(id), found && id < 1<<33
}

// parseQuota reads a txn's units, and the set of gateways that its customer may use.
func (t *Txns) parseQuota(x *control.Txn, v []byte) bool {
	seen := 0
	for len(v) > 0 {
		var one []byte
		one, v, _ = bytes.Cut(v, []byte(","))
		name, figure, ok := bytes.Cut(bytes.TrimSpace(one), []byte("="))
		if !ok {
			return false
		}
		switch string(name) {
		case "units":
			u, err := strconv.ParseFloat(string(figure), 64)
			if err != nil || !(u > 0 && u <= t.maxUnits) || seen&1 != 0 {
				return false
			}
			x.Units = u
			seen |= 1
		case "spread", "first":
			n, ok := http1.Number(figure, t.gateways)
			if !ok {
				return false
			}
			if string(name) == "spread" && n >= 1 && seen&2 == 0 {
				x.SetWidth = n
				seen |= 2
			} else if string(name) == "first" && n < t.gateways && seen&4 == 0 {
				x.SetFirst = control.GatewayID(n)
				seen |= 4
			} else {
				return false
			}
		}
	}
	return seen == 7
}

// AppendTo implements gate.Front: method, target, body, ID and key go to the backend as they came.
func (t *Txns) AppendTo(b []byte, who, txn slots.Ref, _ control.BackendID, wait time.Duration) []byte {
	c := t.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return b
	}
	r, m := c.Request()
	b = append(append(b, r.Method(m)...), ' ')
	b = append(append(b, r.Target(m)...), " HTTP/1.1\r\n"...)
	host, _ := r.Get(m, "host")
	b = http1.AppendHeader(b, "Host", host)
	id, _ := r.Get(m, "req-id")
	b = http1.AppendHeader(b, "Req-Id", id)
	if kind, _ := r.Get(m, "req-kind"); len(kind) > 0 {
		b = http1.AppendHeader(b, "Req-Kind", kind)
	}
	if key, _ := r.Get(m, "idempotency-key"); len(key) > 0 {
		b = http1.AppendHeader(b, "Idempotency-Key", key)
	}
	if form, _ := r.Get(m, "content-type"); len(form) > 0 {
		b = http1.AppendHeader(b, "Content-Type", form)
	}
	b = append(b, "Req-Deadline: "...)
	b = strconv.AppendInt(b, max(int64(wait/time.Microsecond), 1), 10)
	b = append(b, "u\r\n"...)
	body := r.Body(m)
	if len(body) > 0 || string(r.Method(m)) == "POST" {
		b = http1.AppendNumber(b, "Content-Length", len(body))
	}
	return append(append(b, "\r\n"...), body...)
}
