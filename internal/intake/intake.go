// Package intake takes clients' connections, reads their txns and writes their answers.
package intake

import (
	"time"

	"clovergap/control"
	"clovergap/internal/answer"
	"clovergap/internal/config"
	"clovergap/internal/counters"
	"clovergap/internal/gate"
	"clovergap/internal/http1"
	"clovergap/internal/link"
	"clovergap/internal/slots"
)

// Gate takes txns and hears of clients that leave.
type Gate interface {
	Take(x control.Txn, front gate.Front, who slots.Ref) (slots.Ref, bool)
	Left(txn slots.Ref)
}

// Intake is the client side of a front door.
type Intake struct {
	e        *link.Engine
	gate     Gate
	clients  *slots.Table[client]
	products map[string]control.ProductID
	keyed    []bool // by product: it carries a key
	plans    map[string]control.PlanID
	gateways int
	most     int // clients at a time
	makeRoom func() bool
	draining bool
	scratch  []byte
}

// New makes one that holds at most so many clients. makeRoom gives back a descriptor that another stage does
// not need.
func New(e *link.Engine, g Gate, products []config.Product, plans []string, gateways, most int, makeRoom func() bool) *Intake {
	in := &Intake{e: e, gate: g, clients: slots.New[client](most), products: map[string]control.ProductID{},
		plans: map[string]control.PlanID{}, gateways: gateways, most: most, makeRoom: makeRoom}
	for i, p := range products {
		in.products[p.Name] = control.ProductID(i)
		in.keyed = append(in.keyed, p.Keyed)
	}
	for i, p := range plans {
		in.plans[p] = control.PlanID(i)
	}
	return in
}

// Accept takes a new connection. When as many as may be are open, the one idle longest goes.
func (in *Intake) Accept(l *link.Link) {
	in.e.Count.Add(counters.ClientsOpened)
	if in.clients.Held() >= in.most && !in.Evict() || in.e.Room() < 0 && !in.makeRoom() && !in.Evict() {
		l.CloseSoon()
		in.e.Count.Add(counters.ClientsRefused)
		return
	}
	ref, c, ok := in.clients.Add()
	if !ok {
		l.CloseSoon()
		in.e.Count.Add(counters.ClientsRefused)
		return
	}
	*c = client{in: in, l: l, me: ref, r: http1.Requests(), idleAt: in.e.Now()}
	l.Own(c)
}

// Evict closes the client that has been idle longest.
func (in *Intake) Evict() bool {
	var oldest *client
	in.clients.Each(func(_ slots.Ref, c *client) {
		if c.idle() && (oldest == nil || c.idleAt < oldest.idleAt) && c.l.Clean() {
			oldest = c
		}
	})
	if oldest == nil {
		return false
	}
	in.e.Count.Add(counters.ClientsEvicted)
	oldest.close()
	return true
}

// Drain closes connections between txns from now on; what has been taken is answered.
func (in *Intake) Drain() {
	in.draining = true
	in.clients.Each(func(_ slots.Ref, c *client) {
		if c.idle() && c.l.Clean() {
			c.close()
		}
	})
}

// Clients counts connections.
func (in *Intake) Clients() int { return in.clients.Held() }

// client is one connection of a client; it has one txn at a time.
type client struct {
	in      *Intake
	me      slots.Ref
	l       *link.Link
	r       http1.Reader
	txn     slots.Ref // 0: none is held
	busy    bool
	size    int // bytes of the present message
	last    bool
	idleAt  time.Duration
	nr      uint32 // of the message
	reading bool
	stuck   bool   // a due time watches
	seen    uint32 // the message that it watches
}

// stuckAfter ends a connection whose next message has begun and does not become whole, or whose answer is not
// read: it would keep its memory and its descriptor for good.
const stuckAfter = 10 * time.Second

// watch asks to look at a message, or an answer, that is not whole yet.
func (c *client) watch() {
	if !c.stuck {
		c.stuck, c.seen = true, c.nr
		c.in.e.At(c.in.e.Now()+stuckAfter, c.in, uint32(c.me))
	}
}

// Live and Due are the engine's: a connection that was watched.
func (in *Intake) Live(who uint32) bool { return in.clients.Get(slots.Ref(who)) != nil }

// Due: a message that was not whole has had its time.
func (in *Intake) Due(who uint32) {
	c := in.clients.Get(slots.Ref(who))
	if c == nil {
		return
	}
	c.stuck = false
	if c.busy || c.idle() {
		return
	}
	if c.nr == c.seen {
		in.e.Count.Add(counters.ClientsStuck)
		c.close()
		return
	}
	c.watch()
}

// idle: between txns, with nothing of the next read yet. Where the connection is to be closed, Clean asks the
// socket as well: a txn that waits there unread would be lost with it.
func (c *client) idle() bool { return !c.busy && c.l.In.Len() == 0 && c.l.Unwritten() == 0 }

func (c *client) close() {
	c.l.Close()
	c.drop()
}

func (c *client) drop() {
	if c.in.clients.Get(c.me) == c {
		c.in.e.Count.Add(counters.ClientsClosed)
		c.in.clients.Drop(c.me)
	}
}

// Closed: the client has gone away.
func (c *client) Closed() {
	txn := c.txn
	c.txn = 0
	c.drop()
	if txn != 0 {
		c.in.gate.Left(txn)
	}
}

// Sent: an answer is written.
func (c *client) Sent() {
	c.Data() // what has waited behind an answer
}

// Data reads on while no txn is held: a client has one at a time, in order.
func (c *client) Data() {
	if c.reading {
		return // the loop below goes on by itself
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.busy && !c.l.IsClosed() && c.l.In.Len() > 0 {
		if c.l.Unwritten() > 0 { // one answer at a time
			c.watch()
			return
		}
		size, whole, err := c.r.Read(c.l.In.Linear())
		if err != nil {
			c.doubtful(err)
			return
		}
		if !whole {
			if c.l.In.Room() == 0 {
				c.doubtful(http1.ErrBody)
			}
			c.watch()
			return
		}
		c.busy, c.size, c.last = true, size, c.r.Closes || c.in.draining
		c.take()
	}
}

// doubtful rejects a message whose end can't be told, and with it all that follows.
func (c *client) doubtful(err error) {
	c.last = true
	switch err {
	case http1.ErrHead:
		c.reject(431, counters.HeadTooLarge, "head too large")
	case http1.ErrBody:
		c.reject(413, counters.TooLarge, "body too large")
	case http1.ErrFraming:
		c.reject(400, counters.BadFraming, "doubtful framing")
	default:
		c.reject(400, counters.BadRequest, "malformed request")
	}
}

// reject answers what never becomes a txn.
func (c *client) reject(status int, why counters.ID, line string) {
	c.in.e.Count.Add(why)
	c.finish(answer.Bad(c.in.scratch[:0], status, line, c.last))
}

// finish writes an answer and makes ready for the next message.
func (c *client) finish(b []byte) {
	c.in.scratch = b
	c.txn, c.busy = 0, false
	if c.l.IsClosed() {
		c.in.e.Count.Add(counters.Unheard)
		return
	}
	c.l.In.Drop(min(c.size, c.l.In.Len()))
	c.r.Reset()
	c.size, c.idleAt, c.nr = 0, c.in.e.Now(), c.nr+1
	c.l.Send(b)
	if c.last && !c.l.IsClosed() {
		c.l.CloseSent()
		c.drop()
		return
	}
	if c.l.Unwritten() > 0 {
		c.watch()
	}
	c.l.Resume()
	c.Data()
}

// holds finds the client that waits for a txn.
func (in *Intake) holds(who, txn slots.Ref) *client {
	c := in.clients.Get(who)
	if c == nil || c.txn != txn {
		in.e.Count.Add(counters.Unheard)
		return nil
	}
	c.last = c.last || in.draining
	return c
}

// Settle, Decline and Void give the one answer to a txn.
func (in *Intake) Settle(who, txn slots.Ref, body, kind []byte) {
	if c := in.holds(who, txn); c != nil {
		c.finish(answer.Settle(in.scratch[:0], body, kind, c.last))
	}
}

func (in *Intake) Decline(who, txn slots.Ref, after time.Duration) {
	if c := in.holds(who, txn); c != nil {
		c.finish(answer.Decline(in.scratch[:0], after, c.last))
	}
}

func (in *Intake) Void(who, txn slots.Ref) {
	if c := in.holds(who, txn); c != nil {
		c.finish(answer.Void(in.scratch[:0], c.last))
	}
}
