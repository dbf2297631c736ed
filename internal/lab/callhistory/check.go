package callhistory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
)

// Rule is the name of a rule, as the operators use it. The package comment defines each rule.
type Rule string

// The rules that Check applies.
const (
	RuleOne     Rule = "ONE"
	RuleOrder   Rule = "ORDER"
	RuleStale   Rule = "STALE"
	RuleMixed   Rule = "MIXED"
	RuleRefused Rule = "REFUSED"
	RuleLost    Rule = "LOST"
)

// Violation describes one case in which a history breaks a rule.
type Violation struct {
	Rule Rule
	Text string
}

// String returns the rule and the text of the violation.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// Config contains the limits that the rules refer to.
type Config struct {
	// HistoryRetention is the time for which a watch can resume from a revision that an earlier watch returned.
	HistoryRetention time.Duration
}

// Check checks a history against all rules and returns the violations. The records must be in the order in which the calls were sent.
func Check(history []*Record, config Config) []Violation {
	c := newChecker(history, config)
	c.checkLocks()
	c.checkNumbers()
	c.checkKeys()
	c.checkWatches()
	return c.violations
}

// checker checks one history and collects the violations.
type checker struct {
	config        Config
	recordsByName map[coordination.Operation]map[string][]*Record
	puts          map[string]*put // keyed by putIdentifier and filled by collectPuts
	violations    []Violation
}

// newChecker returns a checker for the history, with its records grouped by operation and name.
func newChecker(history []*Record, config Config) *checker {
	c := &checker{config: config, recordsByName: map[coordination.Operation]map[string][]*Record{}, puts: map[string]*put{}}
	for _, r := range history {
		byName := c.recordsByName[r.Call.Operation]
		if byName == nil {
			byName = map[string][]*Record{}
			c.recordsByName[r.Call.Operation] = byName
		}
		byName[r.Call.Name] = append(byName[r.Call.Name], r)
	}
	return c
}

// addViolation adds a violation of a rule.
func (c *checker) addViolation(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// checkNumbers checks that the numbers of each counter increase. This check is part of the operators' rule ORDER (see the package comment).
func (c *checker) checkNumbers() {
	byName := c.recordsByName[coordination.NumberNext]
	for _, name := range sortedKeys(byName) {
		c.checkIncreasing("number of "+name, succeededRecords(byName[name]), func(r *Record) uint64 { return r.Result.Number })
	}
}

// checkIncreasing checks that all calls returned different values. It also checks that the value of each call is higher than the values
// of all calls that ended before this call was sent. The function value returns the number or revision to compare.
func (c *checker) checkIncreasing(subject string, records []*Record, value func(*Record) uint64) {
	firstByValue := map[uint64]*Record{}
	for _, r := range records {
		if previous := firstByValue[value(r)]; previous != nil {
			c.addViolation(RuleOrder, "%s: two calls returned the value %d: %v and %v", subject, value(r), previous, r)
		}
		firstByValue[value(r)] = r
	}
	byEnd := slices.Clone(records)
	slices.SortFunc(byEnd, func(a, b *Record) int { return int(min(max(a.Ended-b.Ended, -1), 1)) })
	bySending := slices.Clone(records)
	slices.SortFunc(bySending, func(a, b *Record) int { return int(min(max(a.Sent-b.Sent, -1), 1)) })
	next, highest := 0, (*Record)(nil)
	for _, r := range bySending {
		for ; next < len(byEnd) && byEnd[next].endedBefore(r); next++ {
			if highest == nil || value(byEnd[next]) > value(highest) {
				highest = byEnd[next]
			}
		}
		if highest != nil && value(r) <= value(highest) {
			c.addViolation(RuleOrder, "%s: the value of call %v is not higher than the value of an earlier call: %v", subject, r, highest)
		}
	}
}

// succeededRecords returns the records of calls that succeeded.
func succeededRecords(records []*Record) (list []*Record) {
	for _, r := range records {
		if r.Succeeded() {
			list = append(list, r)
		}
	}
	return list
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
