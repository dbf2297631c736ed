package ingress

import (
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// Bodies beyond Buffer pass through as they come: a part at a time, and no more than the other side takes.
// The rest waits in the sender's socket.

// partMost is about what one part holds.
const partMost = 64 << 10

// mark is room for a chunk's length before it.
const mark = "00000000\r\n"

// More is called when more of a request's body has come, or its client is ready for more of the answer.
func (h *Handler) More(c *downstream.Client) {
	if txn := c.Txn(); txn != 0 {
		h.gate.More(txn)
	}
}

// Flows tells whether a request's body is passed on as it comes.
func (h *Handler) Flows(who, txn slots.Ref) bool {
	c := h.in.ClientOf(who, txn)
	return c != nil && c.Flows()
}

// BodyConsumed tells whether some of it has gone.
func (h *Handler) BodyConsumed(who, txn slots.Ref) bool {
	c := h.in.ClientOf(who, txn)
	return c != nil && c.Flows() && visitOf(c).spent
}

// Part adds what has come of such a body, as it goes on.
func (h *Handler) Part(b []byte, who, txn slots.Ref) (out []byte, whole, ok bool) {
	c := h.in.ClientOf(who, txn)
	if c == nil || c.IsClosed() || !c.Flows() {
		return b, false, false
	}
	v := visitOf(c)
	r, _ := c.Request()
	_, _, chunked := r.Framed()
	from := len(b)
	if chunked {
		b = append(b, mark...)
	}
	begin, err := len(b), v.wrong
	for err == nil {
		b, whole, err = c.Part(b)
		if whole || len(b)-begin >= partMost || !c.Resume() {
			break
		}
	}
	if err != nil {
		v.wrong = err
		return b[:from], false, false
	}
	n := len(b) - begin
	v.spent = v.spent || n > 0 || whole
	if chunked {
		b = chunk(b, from, n)
		if whole {
			b = append(b, "0\r\n\r\n"...)
		}
	}
	return b, whole, !c.IsClosed()
}

// chunk fills the mark in that stands before the last n bytes; nothing makes no chunk, which would be the
// last.
func chunk(b []byte, from, n int) []byte {
	if n == 0 {
		return b[:from]
	}
	for i := from + 7; i >= from; i, n = i-1, n>>4 {
		b[i] = "0123456789abcdef"[n&15]
	}
	return append(b, "\r\n"...)
}

// Begin passes the head of a long answer on.
func (h *Handler) Begin(who, txn slots.Ref, o gate.Outcome) bool {
	c := h.in.ClientToAnswer(who, txn)
	if c == nil {
		return false
	}
	v := visitOf(c)
	r, _ := c.Request()
	if _, _, v.chunks = o.Answer.Framed(); v.chunks && r.IsHTTP10() {
		return false
	}
	c.Begin(func(b []byte, last bool) []byte { return appendHead(b, o.Answer, o.Bytes, false, last) })
	return !c.IsClosed()
}

// Writable is how many bytes of such an answer its client is ready for.
func (h *Handler) Writable(who, txn slots.Ref) int {
	c := h.in.ClientOf(who, txn)
	if c == nil || c.IsClosed() {
		return -1
	}
	return max(c.Writable(), 0)
}

// Pass passes a part of it on.
func (h *Handler) Pass(who, txn slots.Ref, part []byte) {
	c := h.in.ClientOf(who, txn)
	if c == nil {
		return
	}
	if visitOf(c).chunks {
		h.part = chunk(append(append(h.part[:0], mark...), part...), 0, len(part))
		part = h.part
	}
	c.Pass(part)
}

// End ends it, or breaks off what is not whole.
func (h *Handler) End(who, txn slots.Ref, whole bool) {
	c := h.in.ClientOf(who, txn)
	if c == nil {
		return
	}
	var last []byte
	if visitOf(c).chunks {
		last = []byte("0\r\n\r\n")
	}
	c.End(whole, last)
}
