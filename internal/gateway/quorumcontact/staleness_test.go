package quorumcontact

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A violation is counted once, at InTouch after the links came up at the earliest. A break or a stall of the process begins anew.
func TestStalenessWatch(t *testing.T) {
	const step = 100 * time.Millisecond
	bounds := StalenessBounds{InTouch: 3 * time.Second, ApplyWithin: 2 * time.Second}
	var w StalenessWatch
	now := time.Minute
	violations := func(during time.Duration, connected bool, contactAge time.Duration) (n int) {
		for end := now + during; now < end; now += step {
			if w.Observe(now, connected, contactAge, bounds) {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, violations(time.Minute, true, bounds.ApplyWithin-1))
	must.Eq(t, 1, violations(time.Minute, true, bounds.ApplyWithin))
	must.Eq(t, 0, violations(step, true, 0))
	must.Eq(t, 1, violations(step, true, UnknownAge), must.Sprint("a second violation"))
	must.Eq(t, 0, violations(step, false, UnknownAge))
	must.Eq(t, 0, violations(bounds.InTouch, true, UnknownAge))
	must.Eq(t, 1, violations(step, true, UnknownAge))
	now += maxObservationGap
	must.Eq(t, 0, violations(bounds.InTouch, true, UnknownAge), must.Sprint("after a stall"))
	must.Eq(t, 1, violations(step, true, UnknownAge))
}
