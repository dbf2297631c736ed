package transport

import (
	"clovergap/internal/invariant"
)

// maxEndedChecks is how many checks in a row may find that the connection of a link has ended, while its writer is still on its way to say so.
const maxEndedChecks = 5

// Check looks whether every link that is up goes over a connection that has not ended: else whoever is linked waits for word that never
// comes. It is to be called each second.
func (m *Mesh[F]) Check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if _, both := m.incoming[l.conn]; !l.connected || l.conn == nil || both {
			l.endedChecks = 0
			continue
		}
		l.endedChecks++
		invariant.That(l.endedChecks != maxEndedChecks, "a link that is up goes over a connection that has not ended")
	}
}
