package transport

import "clovergap/internal/invariant"

// maxEndedChecks is the number of consecutive checks that must find the connection of a link ended before Check reports a
// violation. The checks before that may run while the writer of the link is still about to take the link down.
const maxEndedChecks = 5

// Check asserts that each link that is up uses a connection that has not ended. Otherwise the nodes of the link would wait for
// frames that never arrive. The node calls Check once a second.
func (m *Mesh[F]) Check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if _, isIncoming := m.incoming[l.conn]; !l.connected || l.conn == nil || isIncoming {
			l.endedChecks = 0
			continue
		}
		l.endedChecks++
		invariant.Assert(l.endedChecks != maxEndedChecks, "a link that is up uses a connection that has not ended")
	}
}
