package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A member that loses the lead again soon after its penalty has twice the last one, up to a bound; one that was calm for long begins anew.
// A loss within the penalty changes nothing.
func TestLeadPenalties(t *testing.T) {
	l := newLeadBalancer()
	now := time.Duration(0)
	for _, want := range []time.Duration{minLeadPenalty, 2 * minLeadPenalty, 4 * minLeadPenalty, 8 * minLeadPenalty, maxLeadPenalty, maxLeadPenalty} {
		l.penalize(7, now)
		l.penalize(7, now+want/2)
		must.True(t, l.penalized(7, now+want-1))
		must.False(t, l.penalized(7, now+want))
		must.False(t, l.penalized(8, now))
		now += want
	}
	now += maxLeadPenalty + 1
	l.penalize(7, now)
	must.False(t, l.penalized(7, now+minLeadPenalty))
}

// All disks may be as slow: each leadership transfer for a stalled disk doubles the time that a write may take, up to a bound, until it was calm
// for stallResetAfter.
func TestStallTimeout(t *testing.T) {
	l := newLeadBalancer()
	now := time.Minute
	for _, want := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond,
		4800 * time.Millisecond, 9600 * time.Millisecond, maxStallTimeout, maxStallTimeout} {
		must.False(t, l.isStalled(want, now))
		must.True(t, l.isStalled(want+1, now))
		l.handedOver(now)
		now += time.Second
	}
	must.False(t, l.isStalled(maxStallTimeout, now))
	now += stallResetAfter
	must.True(t, l.isStalled(minStallTimeout+1, now))
}
