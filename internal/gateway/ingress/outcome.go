package ingress

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// Complete sends the complete response of a backend to the client.
func (h *Handler) Complete(who, txn slots.Ref, o gate.Outcome) {
	if c := h.server.ClientToAnswer(who, txn); c != nil {
		head, message := c.Request()
		isHEAD := string(head.Method(message)) == "HEAD"
		c.Answer(func(b []byte, last bool) []byte {
			return append(appendHead(b, o.Answer, o.Bytes, isHEAD, last), o.Body...)
		})
	}
}

// Reject answers a request that has not run and never will. The status is 429 if the customer's quota is exhausted, else
// 503. retryAfter is the value of the Retry-After header; 0 means no header.
func (h *Handler) Reject(who, txn slots.Ref, retryAfter time.Duration, reason control.Reason) {
	status := 503
	if reason == control.ReasonNoUnits {
		status = 429
	}
	h.answerStatus(who, txn, status, retryAfter)
}

// Fail answers a request that failed and may have run. The status is 504 if the deadline has passed, else 502.
func (h *Handler) Fail(who, txn slots.Ref, reason control.Reason) {
	status := 502
	if c := h.server.ClientOf(who, txn); reason == control.ReasonNoTime || c != nil && stateOf(c).expiry <= h.clock.Now() {
		status = 504
	}
	h.answerStatus(who, txn, status, 0)
}

// answerStatus sends a response without a body. If the framing of the request's body was invalid, the response reports
// that error instead of status, because the client caused the failure.
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
