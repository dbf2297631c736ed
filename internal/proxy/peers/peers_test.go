package peers

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
)

// start starts a socket on a loopback address with a free port.
func start(t *testing.T, received func(control.GatewayID, []byte)) (*eventloop.Engine, *Peers) {
	e := eventloop.New("", 256, 64<<10, 1<<20)
	must.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	p, err := New(e, "127.0.0.1:0", nil, 0, received)
	must.NoError(t, err)
	e.Turn(func() { must.NoError(t, p.Start()) })
	return e, p
}

// Guards against a grant of the quota that is used after it has expired: a datagram that a paused process reads late counts as lost, also if the
// process reads for longer what came during the pause. One that is read in time is taken.
func TestDatagramThatLayUnreadIsDropped(t *testing.T) {
	const pause, datagrams, readTime = 600 * time.Millisecond, 30, 3 * time.Millisecond
	taken := make(chan string, 2*datagrams)
	receiver, in := start(t, func(_ control.GatewayID, payload []byte) {
		taken <- string(payload)
		for began := time.Now(); time.Since(began) < readTime; {
		}
	})
	sender, out := start(t, func(control.GatewayID, []byte) {})
	addrs := []netip.AddrPort{in.Addr(), out.Addr()}
	in.SetPeers(addrs, 0)
	out.SetPeers(addrs, 1)
	receiver.Turn(func() {
		for range datagrams {
			sender.Turn(func() { out.SendDatagram(0, []byte("late")) })
		}
		for began := time.Now(); time.Since(began) < pause; {
		}
	})
	for end, payload := time.Now().Add(time.Minute), ""; payload != "fresh"; {
		must.True(t, time.Now().Before(end), must.Sprint("no datagram is taken"))
		sender.Turn(func() { out.SendDatagram(0, []byte("fresh")) })
		select {
		case payload = <-taken:
			must.Eq(t, "fresh", payload)
		case <-time.After(100 * time.Millisecond): // this machine is slow; send again
		}
	}
	receiver.Turn(func() { must.GreaterEq(t, datagrams, receiver.Count[counters.DatagramsLate]) })
}
