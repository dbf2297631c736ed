// Package callhistory checks histories of the applications' calls against the operators' rules on locks, numbers, keys and watches:
// ONE, ORDER, STALE, MIXED, REFUSED and LOST. A history is what callers saw, by one clock; nothing of the system's inside is in it.
package callhistory

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/coordination"
)

// Never is when a call ended that got no clear answer: it may take effect at any time.
const Never = time.Duration(1<<63 - 1)

// Record is a call as its caller saw it.
type Record struct {
	Caller string
	Call   coordination.Call
	Sent   time.Duration
	Ended  time.Duration // Never without a clear answer
	Answer coordination.Answer
}

// Clear tells whether the call got an answer that says what became of it.
func (r *Record) Clear() bool { return r.Ended != Never && r.Answer.Status != coordination.Unclear }

// Good tells whether it was done.
func (r *Record) Good() bool { return r.Clear() && r.Answer.Status == coordination.OK }

// before tells whether a call had ended when another was sent.
func (r *Record) before(x *Record) bool { return r.Ended != Never && r.Ended < x.Sent }

func (r *Record) String() string {
	return fmt.Sprintf("%s: %v of %s, sent at %v, ended at %v: %v fence %d number %d revision %d", r.Caller, r.Call.Operation,
		r.Call.Name, r.Sent, r.Ended, r.Answer.Status, r.Answer.Fence, r.Answer.Number, r.Answer.Revision)
}

// Rule is one of the operators' rules.
type Rule string

// The rules.
const (
	One     Rule = "ONE"
	Order   Rule = "ORDER"
	Stale   Rule = "STALE"
	Mixed   Rule = "MIXED"
	Refused Rule = "REFUSED"
	Lost    Rule = "LOST"
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	Text string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// Terms are the bounds that rules name.
type Terms struct {
	History time.Duration // a watch may resume from what it was given so long ago
}

// Check checks a history against all rules, in the order of the calls' sending.
func Check(all []*Record, t Terms) (broken []Violation) {
	c := newChecker(all, t)
	c.locks()
	c.numbers()
	c.keys()
	c.watches()
	return c.broken
}

// checker gathers what it finds.
type checker struct {
	terms  Terms
	byName map[coordination.Operation]map[string][]*Record
	puts   map[string]*put // by key and value
	broken []Violation
}

func newChecker(all []*Record, t Terms) *checker {
	c := &checker{terms: t, byName: map[coordination.Operation]map[string][]*Record{}, puts: map[string]*put{}}
	for _, r := range all {
		names := c.byName[r.Call.Operation]
		if names == nil {
			names = map[string][]*Record{}
			c.byName[r.Call.Operation] = names
		}
		names[r.Call.Name] = append(names[r.Call.Name], r)
	}
	return c
}

func (c *checker) breaks(rule Rule, format string, args ...any) {
	c.broken = append(c.broken, Violation{rule, fmt.Sprintf(format, args...)})
}
