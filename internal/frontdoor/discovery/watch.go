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
	graceShare  = 0.4
	dialTimeout = time.Second
	minRetry    = 50 * time.Millisecond // doubled after each failure in a row
	maxRetry    = 400 * time.Millisecond
)

// Watch asks discovery without end: for the whole list first, then for what has changed since.
type Watch struct {
	engine      *eventloop.Engine
	addr        string
	pollTimeout time.Duration // for something new
	zones       []string
	onList      func(List)
	log         *zap.Logger
	link        *eventloop.Link
	reader      http1.Reader
	rev         uint64
	synced      bool   // a list has come since the start
	call        uint32 // number of the present call; a due time of an earlier one is passed over
	failures    int
}

// NewWatch makes one; listed is told of each answer.
func NewWatch(e *eventloop.Engine, addr string, wait time.Duration, zones []string, listed func(List),
	log *zap.Logger) *Watch {
	return &Watch{engine: e, addr: addr, pollTimeout: wait, zones: zones, onList: listed, log: log, reader: http1.Responses()}
}

// Start begins to watch.
func (w *Watch) Start() { w.dial() }

// Stop ends it; nothing is told of any more.
func (w *Watch) Stop() {
	w.call++
	if w.link != nil {
		w.link.Close()
		w.link = nil
	}
}

// Addr is where it asks.
func (w *Watch) Addr() string { return w.addr }

func (w *Watch) dial() {
	w.call++
	w.reader.Reset()
	w.link = w.engine.Dial(w.addr, dialTimeout, w.connected)
	w.link.SetOwner(w)
	w.engine.At(w.engine.Now()+dialTimeout, w, w.call)
}

func (w *Watch) connected(ok bool) {
	if !ok {
		w.retry()
		return
	}
	w.poll()
}

// poll sends the next call, at once after the last answer: then the watch goes on without a gap. After a failure the
// whole list is asked for: what the lost answer told may not be told again, and it comes without waiting.
func (w *Watch) poll() {
	w.call++
	b, limit := []byte("GET /discovery/hosts"), time.Duration(graceShare*float64(w.pollTimeout))
	if w.synced && w.failures == 0 {
		limit += w.pollTimeout
		b = append(b, "?after="...)
		b = strconv.AppendUint(b, w.rev, 10)
		b = append(b, "&wait_ms="...)
		b = strconv.AppendInt(b, int64(w.pollTimeout/time.Millisecond), 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: discovery\r\n\r\n"...)
	w.engine.At(w.engine.Now()+limit, w, w.call)
	w.link.Send(b)
}

// Live reports whether a due time is still the present call's.
func (w *Watch) Live(call uint32) bool { return call == w.call }

// Due is called when a call was not answered in time, or it is time to try again.
func (w *Watch) Due(call uint32) {
	if call != w.call {
		return
	}
	if w.link != nil {
		w.link.Close()
		w.retry()
		return
	}
	w.dial()
}

// retry tries later; the last list stands.
func (w *Watch) retry() {
	w.link = nil
	w.call++
	w.engine.Count.Add(counters.WatchesLost)
	w.engine.At(w.engine.Now()+min(minRetry<<min(w.failures, 10), maxRetry), w, w.call)
	w.failures++
}

// Sent and Closed are the connection's.
func (w *Watch) Sent() {}

// Closed is called when the agent ended the connection.
func (w *Watch) Closed() { w.retry() }

// Data reads an answer.
func (w *Watch) Data() {
	for w.link != nil && w.link.Input.Len() > 0 {
		b := w.link.Input.Linear()
		size, whole, err := w.reader.Read(b)
		if !whole && err == nil && w.link.Input.Available() > 0 {
			return
		}
		if err != nil || !whole || w.reader.Status() != 200 {
			w.rejectList("an answer that can't be read")
			return
		}
		list, err := Parse(w.reader.Body(b), w.zones, w.engine.AtUnix)
		if err != nil {
			w.rejectList(err.Error())
			return
		}
		closes := w.reader.Closes
		w.link.Input.Drop(size)
		w.reader.Reset()
		w.failures = 0
		w.rev, w.synced = list.Rev, true
		w.engine.Count.Add(counters.ListsTaken)
		w.onList(list)
		if closes {
			w.link.Close()
			w.link = nil
			w.dial()
			return
		}
		w.poll()
	}
}

// rejectList: the last list stands.
func (w *Watch) rejectList(why string) {
	w.engine.Count.Add(counters.ListsBad)
	w.log.Warn("discovery", zap.String("bad", why))
	w.link.Close()
	w.retry()
}
