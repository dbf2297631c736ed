package eventloop

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// testPause is how long the process is paused: as in node_freeze, but shorter.
	testPause = 500 * time.Millisecond
	// testReadTime is how long the owner of a connection takes for its input: a slow process reads its backlog for longer than any alarm was late.
	testReadTime = 3 * time.Millisecond
)

// delayRecorder is an Owner that records how long its input waited, as its link says and at least.
type delayRecorder struct {
	link      *Link
	writtenAt *time.Time // when the other side had written; the input came before
	recorded  chan<- recordedDelay
}

type recordedDelay struct{ told, atLeast time.Duration }

func (d *delayRecorder) Data() {
	atLeast := time.Since(*d.writtenAt)
	d.recorded <- recordedDelay{d.link.InputDelay(1), atLeast}
	d.link.Input.Drop(d.link.Input.Len())
	spin(testReadTime)
}
func (*delayRecorder) Sent()   {}
func (*delayRecorder) Closed() {}

// spin uses the processor for a time.
func spin(length time.Duration) {
	for began := time.Now(); time.Since(began) < length; {
	}
}

// Guards against old input that counts as fresh (review/4): a process reads for longer what came during a pause than its alarms were late. That holds for
// connections that were open before the pause, and for those that still wait to be accepted.
func TestInputDelayCoversTheWholeBacklog(t *testing.T) {
	const connections = 40 // half of them open before the pause
	e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
	var writtenAt time.Time
	recorded := make(chan recordedDelay, 2*connections)
	var open sync.WaitGroup
	open.Add(connections / 2)
	accepted := 0
	e.OnAccept(func(l *Link) {
		l.SetOwner(&delayRecorder{l, &writtenAt, recorded})
		if accepted++; accepted <= connections/2 {
			open.Done()
		}
	})
	must.NoError(t, e.Start())
	defer e.Stop()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	var peers []net.Conn
	for range connections / 2 {
		peers = append(peers, dial())
	}
	open.Wait()
	e.Turn(func() { // no other turn begins before this one has ended, as if the process were paused
		for range connections / 2 {
			peers = append(peers, dial())
		}
		for _, c := range peers {
			_, err := c.Write([]byte("x"))
			must.NoError(t, err)
		}
		writtenAt = time.Now()
		spin(testPause)
	})
	for range connections {
		delay := <-recorded
		must.GreaterEq(t, testPause, delay.atLeast)
		must.GreaterEq(t, delay.atLeast, delay.told+MaxUnknownDelay, must.Sprint("the backlog is read for longer than the window"))
	}
	awaitFreshInput(t, e, peers[0], &writtenAt, recorded)
}

// awaitFreshInput sends until input counts as fresh: soon after the backlog was read, unless this machine is slow all the time.
func awaitFreshInput(t *testing.T, e *Engine, peer net.Conn, writtenAt *time.Time, recorded <-chan recordedDelay) {
	for end := time.Now().Add(time.Minute); ; {
		e.Turn(func() {
			_, err := peer.Write([]byte("x"))
			must.NoError(t, err)
			*writtenAt = time.Now()
		})
		if delay := <-recorded; delay.told == 0 {
			return
		}
		must.True(t, time.Now().Before(end), must.Sprint("input counts as old all the time"))
	}
}

// Guards against input that a pause within a turn makes old: it came after the turn had begun.
func TestInputDelayCountsAPauseWithinATurn(t *testing.T) {
	e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
	var writtenAt time.Time
	recorded, accepted := make(chan recordedDelay, 2), make(chan *Link, 1)
	e.OnAccept(func(l *Link) {
		l.SetOwner(&delayRecorder{l, &writtenAt, recorded})
		accepted <- l
	})
	must.NoError(t, e.Start())
	defer e.Stop()
	c, err := net.Dial("tcp", e.Addr())
	must.NoError(t, err)
	defer c.Close()
	l := <-accepted
	e.Turn(func() {
		_, err := c.Write([]byte("x"))
		must.NoError(t, err)
		writtenAt = time.Now()
		spin(testPause)
		l.read() // as if the poller had begun the turn before the input came
	})
	delay := <-recorded
	must.GreaterEq(t, testPause, delay.atLeast)
	must.GreaterEq(t, delay.atLeast, delay.told+MaxUnknownDelay)
}
