package coordination

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/groups"
)

// LogTime returns the log time that the service, as leader of a group, would stamp on an entry now.
func (s *Service) LogTime(id groups.ID) time.Duration { return s.currentLogTime(id) }

// BecomeLeaderAt makes the service the leader of a group and sets the current log time of the group. The explorer calls BecomeLeaderAt to
// start from any state.
func (s *Service) BecomeLeaderAt(id groups.ID, logTime time.Duration) {
	g := &s.hosted[id]
	g.isLeader = true
	g.anchorLogTime = logTime
	g.anchoredAt = s.host.Now()
}

// FormatLocks returns a text with all locks, their holders, fencing tokens and lease expiries.
func (s *State) FormatLocks() string {
	text := ""
	for name, l := range s.locks {
		text += fmt.Sprint(name, l.holder, l.fencingToken, l.expiresAt, ";")
	}
	return text
}
