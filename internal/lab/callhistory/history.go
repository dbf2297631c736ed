package callhistory

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/coordination"
)

// Never is the end time of a call that got no definite answer. Such a call may take effect at any time after it was sent.
const Never = time.Duration(1<<63 - 1)

// Record is a call and its answer as the caller saw them. The times of all callers come from one clock.
type Record struct {
	Caller string
	Call   coordination.Call
	Sent   time.Duration // time at which the caller sent the call
	Ended  time.Duration // time at which the caller got the answer; Never if the call got no definite answer
	Result coordination.Result
}

// IsDefinite reports whether the call got an answer that states its outcome.
func (r *Record) IsDefinite() bool {
	return r.Ended != Never && r.Result.Status != coordination.StatusAmbiguous
}

// Succeeded reports whether the call got a definite answer with the status OK.
func (r *Record) Succeeded() bool { return r.IsDefinite() && r.Result.Status == coordination.StatusOK }

// endedBefore reports whether the call ended before the call other was sent.
func (r *Record) endedBefore(other *Record) bool { return r.Ended != Never && r.Ended < other.Sent }

// String returns a description of the call and its answer for the text of a violation.
func (r *Record) String() string {
	return fmt.Sprintf("caller %s: %v of %s, sent at %v, ended at %v: status %v, fencing token %d, number %d, revision %d", r.Caller, r.Call.Operation,
		r.Call.Name, r.Sent, r.Ended, r.Result.Status, r.Result.FencingToken, r.Result.Number, r.Result.Revision)
}
