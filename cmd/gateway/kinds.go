package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// kind is why a call to a node was not done: a closed list.
type kind uint8

const (
	taken    kind = iota
	invalid       // the call itself is wrong
	conflict      // another version is current
	tooLarge      // more than a node takes
	unknown       // the node does not know this call
	busy          // this try was not taken, and it may be asked again
	unclear       // the node could not tell
	astray        // an answer that no node gives
	silent        // no answer came
)

// kinds words each kind, for people.
var kinds = [...]struct{ name, sentence string }{
	taken:    {"taken", "Done."},
	invalid:  {"invalid", "The node refuses it as invalid; nothing was changed."},
	conflict: {"conflict", "Another version is current; nothing was changed. Read it, change that, send again."},
	tooLarge: {"too_large", "It is larger than a node takes; nothing was changed."},
	unknown:  {"unknown", "It is not there, or the node does not know this call."},
	busy:     {"busy", "The nodes are busy. Try again later."},
	unclear:  {"unclear", "No node could settle it now."},
	astray:   {"astray", "No node answers like this: is it the control address of a gateway?"},
	silent:   {"silent", "No node answers."},
}

// maybe is added for a change that got no clear answer.
const maybe = "It may have been taken, or may still be: the same command again tells, and does no harm."

// byStatus is the table from HTTP status to kind; what it does not name, kindOf settles by its first digit.
var byStatus = map[int]kind{
	400: invalid, 422: invalid,
	409: conflict, 412: conflict,
	413: tooLarge,
	404: unknown, 405: unknown,
	408: busy, 429: busy,
}

func kindOf(status int) kind {
	if k, ok := byStatus[status]; ok {
		return k
	}
	switch status / 100 {
	case 2:
		return taken
	case 4:
		return invalid
	case 5:
		return unclear
	}
	return astray
}

// triesOf is after how many answers of a status the call is given up; 0: it goes on while there are tries.
func triesOf(status int) int {
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

// failure is a call that was not done.
type failure struct {
	kind   kind
	status int    // 0: no answer
	node   string // whom it was said by
	place  string // where in the body
	detail string
	tries  int
	doubt  bool // a change that may yet be in force
}

func (f *failure) Error() string {
	var b strings.Builder
	b.WriteString(kinds[f.kind].sentence)
	if f.doubt {
		b.WriteString(" " + maybe)
	}
	fmt.Fprintf(&b, " (%s", kinds[f.kind].name)
	if f.status != 0 {
		fmt.Fprintf(&b, ", status %d", f.status)
	}
	fmt.Fprintf(&b, ", %s, tries %d", f.node, f.tries)
	if f.place != "" {
		fmt.Fprintf(&b, ", at %s", plain(f.place))
	}
	if f.detail != "" {
		fmt.Fprintf(&b, ": %s", plain(f.detail))
	}
	return b.String() + ")"
}

// doubts tells whether a change may be in force after an answer of this kind, given whether that was so before.
// What is refused for good was not taken at an earlier try either: the same bytes would be answered as taken.
func (k kind) doubts(before bool) bool {
	switch k {
	case unclear, astray, silent:
		return true
	case invalid, conflict, tooLarge:
		return false
	}
	return before
}

// misuse is an error of whoever called the program.
type misuse struct{ error }

func wrongly(format string, args ...any) error { return misuse{errors.Errorf(format, args...)} }
