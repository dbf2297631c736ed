package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// failureKind is why a call to a node failed: a closed list.
type failureKind uint8

const (
	succeeded  failureKind = iota
	invalid                // the call itself is wrong
	conflict               // another version is current
	tooLarge               // more than a node accepts
	notFound               // the node does not know this call
	overloaded             // this attempt was rejected, and the call may be retried
	ambiguous              // the node does not know whether it was done
	malformed              // a response that no node gives
	noResponse             // no response came
)

// failureTexts give the name and a sentence for each kind.
var failureTexts = [...]struct{ name, sentence string }{
	succeeded:  {"ok", "Done."},
	invalid:    {"invalid", "The node rejects it as invalid; nothing was changed."},
	conflict:   {"conflict", "Another version is current; nothing was changed. Read it, edit that, submit it again."},
	tooLarge:   {"too_large", "It is larger than a node accepts; nothing was changed."},
	notFound:   {"not_found", "There is no such thing, or the node does not know this call."},
	overloaded: {"overloaded", "The nodes are overloaded. Retry later."},
	ambiguous:  {"ambiguous", "No node could confirm it now."},
	malformed:  {"unexpected_response", "No node responds like this: is it the control address of a gateway?"},
	noResponse: {"no_response", "No node responds."},
}

// mayHaveBeenApplied is added to a change whose outcome is not known.
const mayHaveBeenApplied = "It may have been applied, or may still be: repeat the same command, which is idempotent, to find out."

// byStatus is the table from HTTP status to kind; failureKindOf decides on others by their first digit.
var byStatus = map[int]failureKind{
	400: invalid, 422: invalid,
	409: conflict, 412: conflict,
	413: tooLarge,
	404: notFound, 405: notFound,
	408: overloaded, 429: overloaded,
}

func failureKindOf(status int) failureKind {
	if k, ok := byStatus[status]; ok {
		return k
	}
	switch status / 100 {
	case 2:
		return succeeded
	case 4:
		return invalid
	case 5:
		return ambiguous
	}
	return malformed
}

// maxRejections is after how many responses with statuses like this the call fails; 0: only after all attempts.
func maxRejections(status int) int {
	switch {
	case status == 408 || status == 429:
		return 0
	case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
		return 1
	case status/100 == 4:
		return 3 // another node may know the call
	}
	return 0
}

// callError is a call that failed.
type callError struct {
	kind      failureKind
	status    int    // 0: no response
	node      string // that answered, or was tried
	path      string // of the field that is wrong
	detail    string
	attempts  int
	ambiguous bool // a change that may have been applied
}

// Error says what became of the call, and after it, in brackets, the details.
func (c *callError) Error() string {
	var b strings.Builder
	b.WriteString(failureTexts[c.kind].sentence)
	if c.ambiguous {
		b.WriteString(" " + mayHaveBeenApplied)
	}
	fmt.Fprintf(&b, " (%s", failureTexts[c.kind].name)
	if c.status != 0 {
		fmt.Fprintf(&b, ", status %d", c.status)
	}
	fmt.Fprintf(&b, ", %s, attempts %d", c.node, c.attempts)
	if c.path != "" {
		fmt.Fprintf(&b, ", at %s", printable(c.path))
	}
	if c.detail != "" {
		fmt.Fprintf(&b, ": %s", printable(c.detail))
	}
	return b.String() + ")"
}

// mayBeApplied tells whether a change may be in force after an answer of this kind, given whether that was so before.
// What is rejected for good was not accepted by an earlier attempt either: the same bytes would be answered as accepted.
func (f failureKind) mayBeApplied(before bool) bool {
	switch f {
	case ambiguous, malformed, noResponse:
		return true
	case invalid, conflict, tooLarge:
		return false
	}
	return before
}

// usageError is an error in the command line.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error { return usageError{errors.Errorf(format, args...)} }
