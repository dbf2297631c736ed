package quorumcontact

import "time"

// maxObservationGap is the time between two observations above which this process is assumed to have been stalled.
const maxObservationGap = time.Second

// StalenessBounds are the bounds that a StalenessWatch checks.
type StalenessBounds struct {
	InTouch     time.Duration // time after which a member whose links to a majority are up must be up to date
	ApplyWithin time.Duration // maximum contact age of such a member
}

// StalenessWatch checks the invariant that connects links with contact: a member whose links to a majority of the members have been up for InTouch has a
// contact age below ApplyWithin. A member for which this does not hold routes by an old configuration although the network carries packets in both
// directions, for example because a connection to it delivers nothing. Two other faults violate the invariant as well: a network that carries packets in one
// direction only, until the kernel ends the member's connections, and disks of a majority that hang.
type StalenessWatch struct {
	observedAt     time.Duration // time of the last observation
	connectedSince time.Duration // since when links to a majority have been up without a break; only valid if connected
	connected      bool
	stale          bool // the last observation violated the invariant
}

// Observe evaluates the invariant now. connected reports whether this member's links to a majority are up. Observe returns true if a violation
// begins.
func (s *StalenessWatch) Observe(now time.Duration, connected bool, contactAge time.Duration, bounds StalenessBounds) bool {
	wasStalled := now-s.observedAt > maxObservationGap
	s.observedAt = now
	if connected && (!s.connected || wasStalled) {
		s.connectedSince = now
	}
	s.connected = connected
	wasStale := s.stale
	s.stale = connected && now-s.connectedSince >= bounds.InTouch && contactAge >= bounds.ApplyWithin
	return s.stale && !wasStale
}
