package eventloop

import (
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/shoenig/test/must"
)

// Guards against a process that never ends: a connection that is accepted while the engine is stopped was known to the poller too late to be
// closed, and Stop waited for it without end.
func TestStopWhileAConnectionIsAccepted(t *testing.T) {
	for name, accept := range map[string]func(*Link){"it is kept": func(*Link) {}, "it is closed at once": (*Link).Close} {
		e := New("127.0.0.1:0", 1024, 64<<10, 1<<20)
		e.OnAccept(accept)
		opened, proceed, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
		e.poll.OnOpen(func(c *nbio.Conn) { // the acceptor gets no processor after this call
			e.opened(c)
			if link, ok := c.Session().(*Link); ok && link.registration.Load() != 0 {
				close(opened)
				<-proceed
			}
		})
		must.NoError(t, e.Start())
		client, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		<-opened
		go func() {
			e.Stop()
			close(stopped)
		}()
		time.Sleep(100 * time.Millisecond) // as far as Stop gets meanwhile
		close(proceed)
		select {
		case <-stopped:
		case <-time.After(5 * time.Second):
			t.Errorf("%s: Stop does not return", name)
		}
		client.Close()
	}
}
