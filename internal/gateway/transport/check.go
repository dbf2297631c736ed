package transport

import (
	"clovergap/internal/proxy/invariant"
)

// overMost is how many checks in a row may find that the connection of a link has ended, while its writer is still on its way to say so.
const overMost = 5

// Check looks whether every link that is up goes over a connection that has not ended: else whoever is linked waits for word that never
// comes. It is to be called each second.
func (w *Mesh[F]) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		if _, both := w.incoming[l.conn]; !l.up || l.conn == nil || both {
			l.over = 0
			continue
		}
		l.over++
		invariant.That(l.over != overMost, "a link that is up goes over a connection that has not ended")
	}
}
