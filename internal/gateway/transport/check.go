package transport

import (
	"clovergap/internal/proxy/invariant"
)

// maxEndedChecks is how many checks in a row may find that the connection of a link has ended, while its writer is still on its way to say so.
const maxEndedChecks = 5

// Check looks whether every link that is up goes over a connection that has not ended: else whoever is linked waits for word that never
// comes. It is to be called each second.
func (w *Mesh[F]) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		if _, both := w.incoming[l.conn]; !l.connected || l.conn == nil || both {
			l.endedChecks = 0
			continue
		}
		l.endedChecks++
		invariant.That(l.endedChecks != maxEndedChecks, "a link that is up goes over a connection that has not ended")
	}
}
