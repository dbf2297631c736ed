package ingress

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// Complete sends a client the response of a backend, which is complete.
func (h *Handler) Complete(who, txn slots.Ref, o gate.Outcome) {
	if c := h.server.ClientToAnswer(who, txn); c != nil {
		head, message := c.Request()
		isHEAD := string(head.Method(message)) == "HEAD"
		c.Answer(func(b []byte, last bool) []byte {
			return append(appendHead(b, o.Answer, o.Bytes, isHEAD, last), o.Body...)
		})
	}
}

// Reject answers that a request has not run and never will: 429 where the customer's quota is used up, else 503. after
// is the Retry-After; 0: none.
func (h *Handler) Reject(who, txn slots.Ref, retryAfter time.Duration, reason control.Reason) {
	status := 503
	if reason == control.ReasonNoUnits {
		status = 429
	}
	h.answerStatus(who, txn, status, retryAfter)
}

// Fail answers that a request failed and may have run: 504 where its time is over, else 502.
func (h *Handler) Fail(who, txn slots.Ref, reason control.Reason) {
	status := 502
	if c := h.server.ClientOf(who, txn); reason == control.ReasonNoTime || c != nil && stateOf(c).expiry <= h.clock.Now() {
		status = 504
	}
	h.answerStatus(who, txn, status, 0)
}

// finish answers without a body. Where the request's own body was wrong, that is the client's fault and goes first.
func (h *Handler) answerStatus(who, txn slots.Ref, status int, retryAfter time.Duration) {
	c := h.server.ClientToAnswer(who, txn)
	switch state := stateOf(c); {
	case c == nil:
	case state.bodyErr != nil:
		c.RejectUnreadable(state.bodyErr)
	default:
		id := []byte(h.server.ID(who, txn))
		c.Answer(func(b []byte, last bool) []byte {
			return answer.StatusOnly(b, status, "X-Attempt-Id", id, retryAfter, last)
		})
	}
}
