package transport

// wireHandshake is the gob encoding of a handshake. gob identifies fields by name, and programs of other versions read these
// fields. A field therefore keeps its name here, whatever it is called elsewhere in the code.
type wireHandshake struct {
	From string
	Life uint64 // incarnation
	Both bool   // offersLink
	Nr   uint64 // streamSeq
}

// wire converts a handshake to its encoded form.
func (h handshake) wire() wireHandshake {
	return wireHandshake{From: h.from, Life: h.incarnation, Both: h.offersLink, Nr: h.streamSeq}
}

// handshake converts a received handshake to its internal form.
func (w wireHandshake) handshake() handshake {
	return handshake{from: w.From, incarnation: w.Life, offersLink: w.Both, streamSeq: w.Nr}
}
