package transport

// handshake is the first value on a stream.
type handshake struct {
	from        string // address at which the sender accepts connections
	incarnation uint64 // differs between any two starts of the sender
	// Sequence number of the stream, which rises with each stream that the sender begins in this incarnation. 0 means that the
	// program of the sender does not number its streams.
	streamSeq  uint64
	offersLink bool // the sender also accepts frames on this connection, see OfferLinks
}

// streamOrder determines which of two streams of a node is the newer one. Within an incarnation, the newer stream has the higher
// sequence number of the sender. If the incarnations differ or a stream is not numbered, the newer stream is the one whose
// connection this node accepted or dialed later.
type streamOrder struct{ incarnation, seq, arrival uint64 }

// olderThan reports whether the stream of s began before that of other.
func (s streamOrder) olderThan(other streamOrder) bool {
	if s.incarnation == other.incarnation && s.seq > 0 && other.seq > 0 {
		return s.seq < other.seq
	}
	return s.arrival < other.arrival
}

// nextHandshake returns the handshake for the next stream that this node begins.
func (m *Mesh[F]) nextHandshake() handshake {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamSeq++
	return handshake{from: m.addr, incarnation: m.incarnation, offersLink: m.offersLinks, streamSeq: m.streamSeq}
}
