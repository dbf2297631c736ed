package discovery

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/http1"
)

// overdue is the share of a watch's wait that is added until its silence counts as a lost watch, and all that a call
// without a wait gets. The agent is on this machine and answers at once, so that waits are short: where answers get lost,
// a drain is told little later than it would have been. Covers connections that are silent, cut off or answer what can't
// be read, however often.
const (
	overdue    = 0.4
	dialLimit  = time.Second
	againFirst = 50 * time.Millisecond // doubled after each failure in a row
	againMost  = 400 * time.Millisecond
)

// Watch asks discovery without end: for the whole list first, then for what has changed since.
type Watch struct {
	e      *eventloop.Engine
	addr   string
	wait   time.Duration // for something new
	zones  []string
	listed func(List)
	log    *zap.Logger
	l      *eventloop.Link
	r      http1.Reader
	rev    uint64
	known  bool   // a list has come since the start
	call   uint32 // number of the present call; a due time of an earlier one is passed over
	fails  int
}

// NewWatch makes one; listed is told of each answer.
func NewWatch(e *eventloop.Engine, addr string, wait time.Duration, zones []string, listed func(List),
	log *zap.Logger) *Watch {
	return &Watch{e: e, addr: addr, wait: wait, zones: zones, listed: listed, log: log, r: http1.Responses()}
}

// Start begins to watch.
func (w *Watch) Start() { w.dial() }

// Stop ends it; nothing is told of any more.
func (w *Watch) Stop() {
	w.call++
	if w.l != nil {
		w.l.Close()
		w.l = nil
	}
}

// Addr is where it asks.
func (w *Watch) Addr() string { return w.addr }

func (w *Watch) dial() {
	w.call++
	w.r.Reset()
	w.l = w.e.Dial(w.addr, dialLimit, w.up)
	w.l.SetOwner(w)
	w.e.At(w.e.Now()+dialLimit, w, w.call)
}

func (w *Watch) up(ok bool) {
	if !ok {
		w.again()
		return
	}
	w.ask()
}

// ask sends the next call, at once after the last answer: then the watch goes on without a gap. After a failure the
// whole list is asked for: what the lost answer told may not be told again, and it comes without waiting.
func (w *Watch) ask() {
	w.call++
	b, limit := []byte("GET /discovery/hosts"), time.Duration(overdue*float64(w.wait))
	if w.known && w.fails == 0 {
		limit += w.wait
		b = append(b, "?after="...)
		b = strconv.AppendUint(b, w.rev, 10)
		b = append(b, "&wait_ms="...)
		b = strconv.AppendInt(b, int64(w.wait/time.Millisecond), 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: discovery\r\n\r\n"...)
	w.e.At(w.e.Now()+limit, w, w.call)
	w.l.Send(b)
}

// Live reports whether a due time is still the present call's.
func (w *Watch) Live(call uint32) bool { return call == w.call }

// Due is called when a call was not answered in time, or it is time to try again.
func (w *Watch) Due(call uint32) {
	if call != w.call {
		return
	}
	if w.l != nil {
		w.l.Close()
		w.again()
		return
	}
	w.dial()
}

// again tries later; the last list stands.
func (w *Watch) again() {
	w.l = nil
	w.call++
	w.e.Count.Add(counters.WatchesLost)
	w.e.At(w.e.Now()+min(againFirst<<min(w.fails, 10), againMost), w, w.call)
	w.fails++
}

// Sent and Closed are the connection's.
func (w *Watch) Sent() {}

// Closed is called when the agent ended the connection.
func (w *Watch) Closed() { w.again() }

// Data reads an answer.
func (w *Watch) Data() {
	for w.l != nil && w.l.Input.Len() > 0 {
		b := w.l.Input.Linear()
		size, whole, err := w.r.Read(b)
		if !whole && err == nil && w.l.Input.Available() > 0 {
			return
		}
		if err != nil || !whole || w.r.Status() != 200 {
			w.bad("an answer that can't be read")
			return
		}
		list, err := Read(w.r.Body(b), w.zones, w.e.AtUnix)
		if err != nil {
			w.bad(err.Error())
			return
		}
		closes := w.r.Closes
		w.l.Input.Drop(size)
		w.r.Reset()
		w.fails = 0
		w.rev, w.known = list.Rev, true
		w.e.Count.Add(counters.ListsTaken)
		w.listed(list)
		if closes {
			w.l.Close()
			w.l = nil
			w.dial()
			return
		}
		w.ask()
	}
}

// bad: the last list stands.
func (w *Watch) bad(why string) {
	w.e.Count.Add(counters.ListsBad)
	w.log.Warn("discovery", zap.String("bad", why))
	w.l.Close()
	w.again()
}
