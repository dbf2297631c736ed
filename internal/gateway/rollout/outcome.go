package rollout

import (
	"fmt"
	"math"
	"time"
)

// Kind of request.
type Kind uint8

// Reads may run more than once, writes at most once.
const (
	Read Kind = iota
	Write
)

// Cause is how a first attempt ended.
type Cause uint8

// The causes, with their names in FailureCriteria. A 4xx is the service's own answer and a Success.
const (
	Success         Cause = iota
	ServerError           // "5xx": an answer of 5xx
	NoResponse            // "none": time-out, reset, no connection
	InvalidResponse       // "wrong": an answer that is not ours, such as bytes without a seal
	Rejected              // "full": rejected by a backend that has not looked at it
	causeCount
)

var causeNames = [causeCount]string{"", "5xx", "none", "wrong", "full"}

// Outcome is the end of a request's first attempt. Later attempts are not compared: they go only where the first one failed. Nor
// is what the node itself ended.
type Outcome struct {
	Side      Side
	Kind      Kind
	Route     uint32 // by a number of this node's: each has its own usual latency
	Tenant    uint32 // the same at every node
	Backend   uint64 // the same at every node, not 0
	Cause     Cause
	Latency   time.Duration // from its sending to the complete answer
	WarmingUp bool          // the backend is in slow start: its latency says nothing
}

// LatencyBuckets are those of a Tally: bucket i ends at 2^(i/2) milliseconds, the last one nowhere.
const LatencyBuckets = 26

// Tally counts the outcomes of one side, of one kind of request.
type Tally struct {
	Outcomes  uint32
	ByCause   [causeCount]uint32     // by Cause
	Latencies [LatencyBuckets]uint32 // answers of backends that are not warming up
}

// Counts are of one step, by Side and Kind.
type Counts [2][2]Tally

// Add sums.
func (c *Counts) Add(other *Counts) {
	for side := range c {
		for kind := range c[side] {
			c[side][kind].add(&other[side][kind])
		}
	}
}

func (t *Tally) add(other *Tally) {
	t.Outcomes += other.Outcomes
	for i := range t.ByCause {
		t.ByCause[i] += other.ByCause[i]
	}
	for i := range t.Latencies {
		t.Latencies[i] += other.Latencies[i]
	}
}

// record counts one outcome.
func (t *Tally) record(cause Cause) {
	t.Outcomes++
	t.ByCause[cause]++
}

// recordLatency counts an answer by its latency.
func (t *Tally) recordLatency(latency time.Duration) {
	bucket := int(math.Ceil(2 * math.Log2(latency.Seconds()*1000)))
	t.Latencies[min(max(bucket, 0), LatencyBuckets-1)]++
}

// Quantile is the upper bound of the latency that a part of the answers (0 to 1) had; 0 without any.
func (t *Tally) Quantile(part float64) time.Duration {
	total := uint32(0)
	for _, n := range t.Latencies {
		total += n
	}
	left := part * float64(total)
	for i, n := range t.Latencies {
		if left -= float64(n); n > 0 && left <= 0 {
			return time.Duration(math.Pow(2, float64(i)/2) * float64(time.Millisecond))
		}
	}
	return 0
}

// failures are the outcomes that are the version's fault, whatever the criteria.
func (t *Tally) failures() uint32 {
	return t.ByCause[ServerError] + t.ByCause[NoResponse] + t.ByCause[InvalidResponse]
}

// describe gives the counts in words, for the history of a roll-out.
func (c *Counts) describe() string {
	text := ""
	for kind, name := range []string{"reads", "writes"} {
		canary, baseline := &c[Canary][kind], &c[Baseline][kind]
		if canary.Outcomes == 0 {
			continue
		}
		text += fmt.Sprintf("%s: new %d of %d failed, old %d of %d; nine in ten within %v, %v. ", name, canary.failures(), canary.Outcomes,
			baseline.failures(), baseline.Outcomes, canary.Quantile(0.9).Round(time.Millisecond), baseline.Quantile(0.9).Round(time.Millisecond))
	}
	return text[:max(len(text)-1, 0)]
}
