package coordination

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/groups"
)

// LogTime is the log time with which a leader would stamp an entry.
func (s *Service) LogTime(id groups.ID) time.Duration { return s.logTime(id) }

// BecomeLeaderAt lets the explorer begin anywhere: the service leads a group and goes on at that log time.
func (s *Service) BecomeLeaderAt(id groups.ID, logTime time.Duration) {
	g := &s.hosted[id]
	g.isLeader = true
	g.anchorLogTime = logTime
	g.anchoredAt = s.host.Now()
}

// HeldLocks describes the locks, with their holders and leases.
func (s *State) HeldLocks() string {
	text := ""
	for name, l := range s.locks {
		text += fmt.Sprint(name, l.holder, l.fencingToken, l.expiresAt, ";")
	}
	return text
}
