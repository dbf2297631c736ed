package callhistory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
)

// Rule is the operators' name of a rule; the package comment says what each means.
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

// String is the rule and the text.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// Config has the bounds that the rules name.
type Config struct {
	HistoryRetention time.Duration // for which a watch may resume from a revision that it was given
}

// Check checks a history against all rules. The records are in the order in which they were sent.
func Check(history []*Record, config Config) []Violation {
	c := newChecker(history, config)
	c.checkLocks()
	c.checkNumbers()
	c.checkKeys()
	c.checkWatches()
	return c.violations
}

// checker collects violations.
type checker struct {
	config        Config
	recordsByName map[coordination.Operation]map[string][]*Record
	puts          map[string]*put // by putKey; see collectPuts
	violations    []Violation
}

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

func (c *checker) report(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// checkNumbers checks ORDER of numbers.
func (c *checker) checkNumbers() {
	byName := c.recordsByName[coordination.NumberNext]
	for _, name := range sortedNames(byName) {
		c.checkIncreasing("number of "+name, succeeded(byName[name]), func(r *Record) uint64 { return r.Result.Number })
	}
}

// checkIncreasing checks that the values that calls were given differ, and that each is above all that were given before the call was sent.
func (c *checker) checkIncreasing(subject string, records []*Record, value func(*Record) uint64) {
	firstByValue := map[uint64]*Record{}
	for _, r := range records {
		if previous := firstByValue[value(r)]; previous != nil {
			c.report(RuleOrder, "%s: %d was given twice: %v and %v", subject, value(r), previous, r)
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
			c.report(RuleOrder, "%s: %v is not above what was given before it was sent: %v", subject, r, highest)
		}
	}
}

func succeeded(records []*Record) (list []*Record) {
	for _, r := range records {
		if r.Succeeded() {
			list = append(list, r)
		}
	}
	return list
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
