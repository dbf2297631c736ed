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
	kinds    []config.Product
	plans    map[string]control.PlanID
	open     map[string]slots.Ref // ids of txns that are held, and by which client
	gateways int
	units    float64 // of a txn, at most
	most     int     // clients at a time
	makeRoom func() bool
	draining bool
	scratch  []byte
}

// New makes one that holds at most so many clients. makeRoom gives back a descriptor that another stage does
// not need.
func New(e *link.Engine, g Gate, c *config.Config, most int, makeRoom func() bool) *Intake {
	in := &Intake{e: e, gate: g, clients: slots.New[client](most), products: map[string]control.ProductID{},
		plans: map[string]control.PlanID{}, open: map[string]slots.Ref{}, gateways: max(len(c.Peers), 1),
		units: c.MostUnits, most: most, makeRoom: makeRoom}
	for i, p := range c.Products {
		in.products[p.Name] = control.ProductID(i)
		in.kinds = append(in.kinds, p)
	}
	for i, p := range c.Plans {
		in.plans[p] = control.PlanID(i)
	}
	e.At(e.Now()+sweepEvery, in, 0)
	return in
}

// Accept takes a new connection. When as many as may be are open, one that does nothing goes.
func (in *Intake) Accept(l *link.Link) {
	in.e.Count.Add(counters.ClientsOpened)
	if in.clients.Held() >= in.most && !in.Evict() || in.e.Room() < 0 && !in.Evict() && !in.makeRoom() {
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
	*c = client{in: in, l: l, me: ref, r: http1.Requests(), since: in.e.Now()}
	l.Own(c)
}

// crowded: more connections are open than idle ones are worth. Answers then end theirs: clients that ask once and stay
// would else fill the house, and what the usual ones may hold, until they are let go.
func (in *Intake) crowded() bool { return 2*in.clients.Held() > in.most }

// Evict closes the connection that is worth least: one that never brought a whole message and had a moment for it,
// before the one idle longest. One that has a txn, or may have one unread, stays.
func (in *Intake) Evict() bool {
	var least *client
	strange := func(c *client) bool { return c.nr == 0 && in.e.Now()-c.since > moment }
	in.clients.Each(func(_ slots.Ref, c *client) {
		if c.busy || !strange(c) && !c.idle() {
			return
		}
		if least != nil && (strange(least) && !strange(c) || strange(least) == strange(c) && least.since <= c.since) {
			return
		}
		if c.l.In.Len() > 0 || c.l.Clean() {
			least = c
		}
	})
	if least == nil {
		return false
	}
	in.e.Count.Add(counters.ClientsEvicted)
	least.close()
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
	since   time.Duration // connected, or the last answer, or the first bytes of a message
	nr      uint32        // of the message
	begun   bool          // some of the present message has come
	reading bool
	id      string // of the txn that is held
}

// Bounds on clients that do nothing. They meet whatever keeps a descriptor and memory for nothing: silent ones, heads
// and bodies that do not end, answers that are not read, clients that asked once and stay. A usual client that is
// slower than these loses nothing but its connection.
const (
	sweepEvery = 250 * time.Millisecond
	moment     = 100 * time.Millisecond // a client that connects has something to say by then
	wholeIn    = 2 * time.Second        // a message, from its first byte, or from the connection's start
	readIn     = 5 * time.Second        // an answer
	idleMost   = 5 * time.Second        // between messages
)

// Live and Due are the engine's: it is time to look at all clients.
func (in *Intake) Live(uint32) bool { return true }

// Due closes connections that have had their time.
func (in *Intake) Due(uint32) {
	in.e.At(in.e.Now()+sweepEvery, in, 0)
	in.clients.Each(func(_ slots.Ref, c *client) {
		most := wholeIn
		switch {
		case c.busy:
			return
		case c.l.Unwritten() > 0:
			most = readIn
		case !c.begun && c.nr > 0:
			most = idleMost
		}
		if in.e.Now()-c.since < most || !c.begun && c.l.Unwritten() == 0 && !c.l.Clean() {
			return
		}
		if c.idle() {
			in.e.Count.Add(counters.ClientsIdle)
		} else {
			in.e.Count.Add(counters.ClientsStuck)
		}
		c.close()
	})
}

// idle: between txns, with nothing of the next read yet. Where the connection is to be closed, Clean asks the
// socket as well: a txn that waits there unread would be lost with it.
func (c *client) idle() bool { return !c.busy && c.l.In.Len() == 0 && c.l.Unwritten() == 0 }

func (c *client) close() {
	c.l.Close()
	c.drop()
}

func (c *client) drop() {
	c.release()
	if c.in.clients.Get(c.me) == c {
		c.in.e.Count.Add(counters.ClientsClosed)
		c.in.clients.Drop(c.me)
	}
}

// release gives a txn's id free.
func (c *client) release() {
	if c.id != "" {
		delete(c.in.open, c.id)
		c.id = ""
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
			return
		}
		if !c.begun {
			c.begun, c.since = true, c.in.e.Now()
		}
		size, whole, err := c.r.Read(c.l.In.Linear())
		if err != nil {
			c.doubtful(err)
			return
		}
		if !whole {
			if c.l.In.Room() == 0 {
				c.doubtful(http1.ErrBody)
			} else if c.l.Full() {
				c.last = true
				c.reject(503, counters.NoMemory, "no memory for it now")
			}
			return
		}
		c.busy, c.size, c.last = true, size, c.r.Closes || c.in.draining || c.in.crowded()
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
	c.release()
	c.txn, c.busy, c.begun = 0, false, false
	if c.l.IsClosed() {
		c.in.e.Count.Add(counters.Unheard)
		return
	}
	c.l.In.Drop(min(c.size, c.l.In.Len()))
	c.r.Reset()
	c.size, c.since, c.nr = 0, c.in.e.Now(), c.nr+1
	c.l.Send(b)
	if c.last && !c.l.IsClosed() {
		c.l.CloseSent()
		c.drop()
		return
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
	c.last = c.last || in.draining || in.crowded()
	return c
}

// ID names a txn by its client's id, while the client waits.
func (in *Intake) ID(who, txn slots.Ref) string {
	if c := in.clients.Get(who); c != nil && c.txn == txn {
		return c.id
	}
	return ""
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
