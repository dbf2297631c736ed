package eventloop

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A message came when its last byte was read. With more reads than are told apart, no message counts as younger than it is.
func TestArrivals(t *testing.T) {
	const readBytes = 10
	var a arrivals
	_, ok := a.since(1, 0)
	must.False(t, ok)
	requireSince := func(size, inRing int, atMost time.Duration) {
		t.Helper()
		since, ok := a.since(size, inRing)
		must.True(t, ok)
		must.LessEq(t, atMost, since)
	}
	const reads = 3 * maxArrivals
	for i := range reads {
		a.add(readBytes, (i+1)*readBytes, time.Duration(i))
	}
	must.Len(t, maxArrivals, a.reads)
	for i := range reads {
		requireSince((i+1)*readBytes, reads*readBytes, time.Duration(i))
	}
	since, _ := a.since(reads*readBytes, reads*readBytes)
	must.Eq(t, reads-1, since)
	since, _ = a.since(readBytes, readBytes) // all but the last read was dropped from the ring buffer
	must.Eq(t, reads-1, since)
	a.add(1, 1, reads)
	must.Len(t, 1, a.reads)
}
