package transport

// wireHandshake is a handshake as gob sends it. gob goes by the names of fields: programs of other versions read these, so that a
// field keeps its name here whatever it is called in the code.
type wireHandshake struct {
	From string
	Life uint64 // incarnation
	Both bool   // offersLink
	Nr   uint64 // streamSeq
}

// wire gives a handshake as it is sent.
func (h handshake) wire() wireHandshake {
	return wireHandshake{From: h.from, Life: h.incarnation, Both: h.offersLink, Nr: h.streamSeq}
}

// handshake gives one that was sent.
func (w wireHandshake) handshake() handshake {
	return handshake{from: w.From, incarnation: w.Life, offersLink: w.Both, streamSeq: w.Nr}
}
