package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// failureKind is why a call to a node was not done: a closed list.
type failureKind uint8

const (
	succeeded  failureKind = iota
	invalid                // the call itself is wrong
	conflict               // another version is current
	tooLarge               // more than a node takes
	notFound               // the node does not know this call
	overloaded             // this try was not taken, and it may be asked again
	ambiguous              // the node could not tell
	malformed              // an answer that no node gives
	noResponse             // no answer came
)

// failureTexts words each kind, for people.
var failureTexts = [...]struct{ name, sentence string }{
	succeeded:  {"taken", "Done."},
	invalid:    {"invalid", "The node refuses it as invalid; nothing was changed."},
	conflict:   {"conflict", "Another version is current; nothing was changed. Read it, change that, send again."},
	tooLarge:   {"too_large", "It is larger than a node takes; nothing was changed."},
	notFound:   {"unknown", "It is not there, or the node does not know this call."},
	overloaded: {"busy", "The nodes are busy. Try again later."},
	ambiguous:  {"unclear", "No node could settle it now."},
	malformed:  {"astray", "No node answers like this: is it the control address of a gateway?"},
	noResponse: {"silent", "No node answers."},
}

// mayHaveBeenApplied is added for a change that got no clear answer.
const mayHaveBeenApplied = "It may have been taken, or may still be: the same command again tells, and does no harm."

// byStatus is the table from HTTP status to kind; what it does not name, failureKindOf settles by its first digit.
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

// maxRejections is after how many answers of a status the call is given up; 0: it goes on while there are tries.
func maxRejections(status int) int {
	switch {
	case status == 408 || status == 429:
		return 0
	case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
		return 1
	case status/100 == 4:
		return 3
	}
	return 0
}

// callError is a call that was not done.
type callError struct {
	kind      failureKind
	status    int    // 0: no answer
	node      string // whom it was said by
	path      string // where in the body
	detail    string
	attempts  int
	ambiguous bool // a change that may yet be in force
}

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
	fmt.Fprintf(&b, ", %s, tries %d", c.node, c.attempts)
	if c.path != "" {
		fmt.Fprintf(&b, ", at %s", printable(c.path))
	}
	if c.detail != "" {
		fmt.Fprintf(&b, ": %s", printable(c.detail))
	}
	return b.String() + ")"
}

// leavesAmbiguous tells whether a change may be in force after an answer of this kind, given whether that was so before.
// What is refused for good was not taken at an earlier try either: the same bytes would be answered as taken.
func (f failureKind) leavesAmbiguous(before bool) bool {
	switch f {
	case ambiguous, malformed, noResponse:
		return true
	case invalid, conflict, tooLarge:
		return false
	}
	return before
}

// usageError is an error of whoever called the program.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error { return usageError{errors.Errorf(format, args...)} }
