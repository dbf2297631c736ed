package ingress

import (
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// maxPartBytes is the approximate number of bytes of a streamed body that one call of Part reads. A call may read more,
// because the check follows the read.
const maxPartBytes = 64 << 10

// Chunked transfer coding (RFC 9112, 7.1).
const (
	chunkSizeDigits      = 8
	chunkSizePlaceholder = "00000000\r\n" // reserves the space of a chunk's size line
	lastChunk            = "0\r\n\r\n"
)

// More notifies the gate that more of a streamed request body has arrived, or that the client can accept more of the
// response.
func (h *Handler) More(c *downstream.Client) {
	if txn := c.Txn(); txn != 0 {
		h.gate.More(txn)
	}
}

// Flows reports whether the body of a request is streamed.
func (h *Handler) Flows(who, txn slots.Ref) bool {
	c := h.server.ClientOf(who, txn)
	return c != nil && c.Flows()
}

// BodyConsumed reports whether a part of a streamed body was forwarded. Such a request can't be sent again.
func (h *Handler) BodyConsumed(who, txn slots.Ref) bool {
	c := h.server.ClientOf(who, txn)
	return c != nil && c.Flows() && stateOf(c).bodySent
}

// Part appends the received data of a streamed body to b, in the framing of the client's request. complete means that b
// contains the end of the body. ok is false if the framing is invalid or the client has disconnected; no more data follows.
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

// finishChunk replaces the placeholder at start by the size n of the chunk, and appends the line end after the n bytes of
// data. If n is 0, finishChunk removes the placeholder, because an empty chunk would mark the end of the body.
func finishChunk(b []byte, start, n int) []byte {
	if n == 0 {
		return b[:start]
	}
	for i := start + chunkSizeDigits - 1; i >= start; i, n = i-1, n>>4 {
		b[i] = "0123456789abcdef"[n&15]
	}
	return append(b, "\r\n"...)
}

// Begin writes the head of a streamed response. Begin returns false if the client has disconnected, or if the response is
// chunked and the client uses HTTP/1.0, which has no chunked coding.
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

// Writable returns how many bytes of a streamed response may be written now, or -1 if the client has disconnected.
func (h *Handler) Writable(who, txn slots.Ref) int {
	c := h.server.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return -1
	}
	return max(c.Writable(), 0)
}

// Pass writes a part of the body of a streamed response to the client.
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

// End finishes a streamed response. If the response is not complete, End closes the connection so that the client can
// detect the truncation.
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
