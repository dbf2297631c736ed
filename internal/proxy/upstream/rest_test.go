package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/proxy/eventloop"
)

// Guards against a surplus answer that is taken for the next request's: a connection is not used again until it has been idle for
// Config.MinIdle, and for 10 ms where Config does not set it. The boundary is tested within one turn, in which the engine's clock stands still.
func TestConnectionRestsAfterAnAnswer(t *testing.T) {
	e := eventloop.New("", 1024, 64<<10, 1<<30)
	must.NoError(t, e.Start())
	defer e.Stop()
	s := newScenario(t, e, idDialect{}, 0, 1)
	txn := s.take()
	s.begins()
	s.apply('a', txn)
	for !s.isQuiet() {
		s.read()
	}
	e.Turn(func() {
		d := s.dispatch
		d.config.MinIdle = New(e, s.gate, Config{Dialect: idDialect{}}, nil).config.MinIdle
		must.Eq(t, 10*time.Millisecond, d.config.MinIdle)
		b := d.backends[1]
		must.Len(t, 1, b.idle)
		c := b.idle[0]
		for _, test := range []struct {
			idle       time.Duration
			regardless bool
			used       bool
		}{
			{idle: 0},
			{idle: d.config.MinIdle - 1},
			{idle: 0, regardless: true, used: true},
			{idle: d.config.MinIdle, used: true},
		} {
			b.idle = []*conn{c}
			c.idleAt = e.Now() - test.idle
			got := d.reuse(b, test.regardless, "another request")
			must.Eq(t, test.used, got == c, must.Sprint("idle for ", test.idle))
			must.Len(t, map[bool]int{true: 0, false: 1}[test.used], b.idle, must.Sprint("idle for ", test.idle))
		}
	})
}
