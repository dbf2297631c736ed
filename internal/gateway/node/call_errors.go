package node

import (
	"fmt"

	"clovergap/internal/gateway/replication"
)

// Statuses of control calls: those of HTTP, as their callers get them. See controlapi.StatusAmbiguous for one more.
const (
	statusOK          = 200
	statusInvalid     = 400 // the change is wrong, whatever is current
	statusConflict    = 412 // another version is current
	statusTooLarge    = 413
	statusUnavailable = 503 // no result here; another node may have one
)

// callError is why a control call has no result. The set is closed. Its text is the body of the reply: callers read it, and nodes, those of
// other versions too, know the kind by it.
type callError string

const (
	errTooManyCalls callError = "too many calls wait"
	errNoQuorum     callError = "no majority is in contact here, another node may know more"
	errCallTimeout  callError = "no clear answer in time"
)

// errOutcomeUnknown is of a change that may have been taken, or may still be.
var errOutcomeUnknown = callError(replication.OutcomeUnknown.String())

// Error is the text of a reply's body.
func (c callError) Error() string { return string(c) }

func (c callError) body() []byte { return []byte(c) }

// is reports whether a reply's body carries this error.
func (c callError) is(body []byte) bool { return string(body) == string(c) }

// sizeError is that a configuration is larger than the control API or the leader's disk can bear.
type sizeError struct {
	size, limit int // bytes
}

// Error says what fits.
func (s *sizeError) Error() string {
	return fmt.Sprintf("configuration of %d bytes, at most %d fit", s.size, s.limit)
}
