package callhistory

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/coordination"
)

// Never is the end of a call that got no definite answer: it may take effect at any time.
const Never = time.Duration(1<<63 - 1)

// Record is a call as its caller saw it. Times are of one clock for all callers.
type Record struct {
	Caller string
	Call   coordination.Call
	Sent   time.Duration
	Ended  time.Duration // Never without a definite answer
	Result coordination.Result
}

// IsDefinite reports whether the call got an answer that says what became of it.
func (r *Record) IsDefinite() bool {
	return r.Ended != Never && r.Result.Status != coordination.StatusAmbiguous
}

// Succeeded reports whether the call was done.
func (r *Record) Succeeded() bool { return r.IsDefinite() && r.Result.Status == coordination.StatusOK }

// endedBefore reports whether the call had ended when another one was sent.
func (r *Record) endedBefore(other *Record) bool { return r.Ended != Never && r.Ended < other.Sent }

// String describes the call in a violation's text.
func (r *Record) String() string {
	return fmt.Sprintf("%s: %v of %s, sent at %v, ended at %v: %v fence %d number %d revision %d", r.Caller, r.Call.Operation,
		r.Call.Name, r.Sent, r.Ended, r.Result.Status, r.Result.FencingToken, r.Result.Number, r.Result.Revision)
}
