package transport

// handshake is the first value on a stream.
type handshake struct {
	from        string // where the sender takes frames
	incarnation uint64 // differs between two starts of the sender
	streamSeq   uint64 // grows with each stream that the sender begins in its incarnation; 0: a program that sends none
	offersLink  bool   // the sender takes frames on this connection as well, see OfferLinks
}

// stream tells which of a node's streams is the newer one: within an incarnation by what the node says, else by the order in which
// their connections came.
type stream struct{ incarnation, seq, arrival uint64 }

func (s stream) before(other stream) bool {
	if s.incarnation == other.incarnation && s.seq > 0 && other.seq > 0 {
		return s.seq < other.seq
	}
	return s.arrival < other.arrival
}

// nextHandshake is the first value of the next stream that this node begins.
func (m *Mesh[F]) nextHandshake() handshake {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamSeq++
	return handshake{from: m.addr, incarnation: m.incarnation, offersLink: m.offersLinks, streamSeq: m.streamSeq}
}
