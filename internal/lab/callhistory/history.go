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
	Result coordination.Result
}

// IsDefinite tells whether the call got an answer that says what became of it.
func (r *Record) IsDefinite() bool {
	return r.Ended != Never && r.Result.Status != coordination.StatusAmbiguous
}

// Succeeded tells whether it was done.
func (r *Record) Succeeded() bool { return r.IsDefinite() && r.Result.Status == coordination.StatusOK }

// endedBefore tells whether a call had ended when another was sent.
func (r *Record) endedBefore(x *Record) bool { return r.Ended != Never && r.Ended < x.Sent }

func (r *Record) String() string {
	return fmt.Sprintf("%s: %v of %s, sent at %v, ended at %v: %v fence %d number %d revision %d", r.Caller, r.Call.Operation,
		r.Call.Name, r.Sent, r.Ended, r.Result.Status, r.Result.FencingToken, r.Result.Number, r.Result.Revision)
}

// Rule is one of the operators' rules.
type Rule string

// The rules.
const (
	RuleOne     Rule = "ONE"
	RuleOrder   Rule = "ORDER"
	RuleStale   Rule = "STALE"
	RuleMixed   Rule = "MIXED"
	RuleRefused Rule = "REFUSED"
	RuleLost    Rule = "LOST"
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	Text string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// Config are the bounds that rules name.
type Config struct {
	HistoryRetention time.Duration // a watch may resume from what it was given so long ago
}

// Check checks a history against all rules, in the order of the calls' sending.
func Check(all []*Record, t Config) (broken []Violation) {
	c := newChecker(all, t)
	c.checkLocks()
	c.checkNumbers()
	c.checkKeys()
	c.checkWatches()
	return c.violations
}

// checker gathers what it finds.
type checker struct {
	config        Config
	recordsByName map[coordination.Operation]map[string][]*Record
	puts          map[string]*put // by key and value
	violations    []Violation
}

func newChecker(all []*Record, t Config) *checker {
	c := &checker{config: t, recordsByName: map[coordination.Operation]map[string][]*Record{}, puts: map[string]*put{}}
	for _, r := range all {
		names := c.recordsByName[r.Call.Operation]
		if names == nil {
			names = map[string][]*Record{}
			c.recordsByName[r.Call.Operation] = names
		}
		names[r.Call.Name] = append(names[r.Call.Name], r)
	}
	return c
}

func (c *checker) report(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}
