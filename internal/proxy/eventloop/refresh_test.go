package eventloop

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The clock of a turn stands, until it is brought up to the time: what is read from a socket in a turn may have been sent after the
// turn began, and a time that is promised to its sender must not count from before.
func TestRefresh(t *testing.T) {
	e := New("", 100, 64<<10, 1<<20)
	e.Turn(func() {
		began := e.Now()
		must.Eq(t, began, e.Now())
		for e.Now() == began {
			e.Refresh()
		}
		must.Greater(t, began, e.Now())
	})
}
