package transport

import "clovergap/internal/invariant"

// maxEndedChecks is how many checks in a row may find that the connection of a link has ended, while the link's writer is still on its way
// to take it down.
const maxEndedChecks = 5

// Check asserts that every link that is up goes over a connection that has not ended: else who is linked waits for frames that never
// come. It is called each second.
func (m *Mesh[F]) Check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if _, framesComeIn := m.incoming[l.conn]; !l.connected || l.conn == nil || framesComeIn {
			l.endedChecks = 0
			continue
		}
		l.endedChecks++
		invariant.Assert(l.endedChecks != maxEndedChecks, "a link that is up goes over a connection that has not ended")
	}
}
