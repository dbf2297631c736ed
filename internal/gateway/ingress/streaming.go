package ingress

import (
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// maxPartBytes is about how many bytes of a streamed body are read at a time.
const maxPartBytes = 64 << 10

// Chunked transfer coding (RFC 9112, 7.1).
const (
	chunkSizeDigits      = 8
	chunkSizePlaceholder = "00000000\r\n" // stands before a chunk's data until its size is known
	lastChunk            = "0\r\n\r\n"
)

// More is called when more of a streamed request body has come, or its client is ready for more of the response.
func (h *Handler) More(c *downstream.Client) {
	if txn := c.Txn(); txn != 0 {
		h.gate.More(txn)
	}
}

// Flows tells whether a request's body is streamed.
func (h *Handler) Flows(who, txn slots.Ref) bool {
	c := h.server.ClientOf(who, txn)
	return c != nil && c.Flows()
}

// BodyConsumed tells whether some of a streamed body was forwarded: the request can't be sent again.
func (h *Handler) BodyConsumed(who, txn slots.Ref) bool {
	c := h.server.ClientOf(who, txn)
	return c != nil && c.Flows() && stateOf(c).bodySent
}

// Part adds what has come of such a body to b, in the request's own framing. complete: its end is among it. Not ok: the
// body can't be read on, or its client has left, and no more will come.
func (h *Handler) Part(b []byte, who, txn slots.Ref) (out []byte, complete, ok bool) {
	c := h.server.ClientOf(who, txn)
	if c == nil || c.IsClosed() || !c.Flows() {
		return b, false, false
	}
	state := stateOf(c)
	head, _ := c.Request()
	_, _, chunked := head.Framed()
	start := len(b)
	if chunked {
		b = append(b, chunkSizePlaceholder...)
	}
	dataStart, err := len(b), state.bodyErr
	for err == nil {
		b, complete, err = c.Part(b)
		if complete || len(b)-dataStart >= maxPartBytes || !c.Resume() {
			break
		}
	}
	if err != nil {
		state.bodyErr = err
		return b[:start], false, false
	}
	n := len(b) - dataStart
	state.bodySent = state.bodySent || n > 0 || complete
	if chunked {
		b = finishChunk(b, start, n)
		if complete {
			b = append(b, lastChunk...)
		}
	}
	return b, complete, !c.IsClosed()
}

// closeChunk writes the size of a chunk over the placeholder at start, before its n bytes of data. A chunk without data
// is taken out: it would be the last one.
func finishChunk(b []byte, start, n int) []byte {
	if n == 0 {
		return b[:start]
	}
	for i := start + chunkSizeDigits - 1; i >= start; i, n = i-1, n>>4 {
		b[i] = "0123456789abcdef"[n&15]
	}
	return append(b, "\r\n"...)
}

// Begin writes the head of a streamed response. false: the client has left, or speaks HTTP/1.0 and can't read chunks.
func (h *Handler) Begin(who, txn slots.Ref, o gate.Outcome) bool {
	c := h.server.ClientToAnswer(who, txn)
	if c == nil {
		return false
	}
	state := stateOf(c)
	head, _ := c.Request()
	if _, _, state.chunkedResponse = o.Answer.Framed(); state.chunkedResponse && head.IsHTTP10() {
		return false
	}
	c.Begin(func(b []byte, last bool) []byte { return appendHead(b, o.Answer, o.Bytes, false, last) })
	return !c.IsClosed()
}

// Writable is how many bytes of a streamed response its client is ready for; below 0: the client has left.
func (h *Handler) Writable(who, txn slots.Ref) int {
	c := h.server.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return -1
	}
	return max(c.Writable(), 0)
}

// Pass writes a part of it.
func (h *Handler) Pass(who, txn slots.Ref, part []byte) {
	c := h.server.ClientOf(who, txn)
	if c == nil {
		return
	}
	if stateOf(c).chunkedResponse {
		h.chunkBuffer = finishChunk(append(append(h.chunkBuffer[:0], chunkSizePlaceholder...), part...), 0, len(part))
		part = h.chunkBuffer
	}
	c.Pass(part)
}

// End ends it. One that is not complete is broken off, so that it does not look complete.
func (h *Handler) End(who, txn slots.Ref, complete bool) {
	c := h.server.ClientOf(who, txn)
	if c == nil {
		return
	}
	var last []byte
	if stateOf(c).chunkedResponse {
		last = []byte(lastChunk)
	}
	c.End(complete, last)
}
