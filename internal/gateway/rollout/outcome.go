package rollout

import (
	"fmt"
	"math"
	"time"
)

// Kind is the kind of a request.
type Kind uint8

// The kinds of requests. A read may be executed more than once. A write must be executed at most once.
const (
	Read Kind = iota
	Write
)

// Cause says why a request's first attempt failed. The zero value Success means that the attempt did not fail.
type Cause uint8

// The causes, with their names in FailureCriteria. A 4xx response is a regular response of the service and counts as Success.
const (
	Success     Cause = iota
	ServerError       // "5xx": a response with a 5xx status
	NoResponse        // "none": a time-out, a reset connection or a failed connection attempt
	// "wrong": a response that does not come from the service, such as a 2xx response without a seal. The seal is the response header
	// x-backend-seal, by which a backend proves that the response is complete and its own.
	InvalidResponse
	Rejected // "full": rejected by the backend before it processed the request
	causeCount
)

var causeNames = [causeCount]string{"", "5xx", "none", "wrong", "full"}

// Outcome is the result of a request's first attempt. Later attempts are not compared, because a later attempt occurs only after the first
// attempt failed. Attempts that the node itself ended are not compared either.
type Outcome struct {
	Side Side
	Kind Kind
	// Route is a number that this node assigns to the route. Latencies are estimated for each route.
	Route     uint32
	Tenant    uint32 // number of the tenant, the same at every node
	Backend   uint64 // number of the backend, the same at every node and never 0
	Cause     Cause
	Latency   time.Duration // time from sending the request to the complete response
	WarmingUp bool          // the backend is in slow start, so its latency is not compared
}

// LatencyBuckets is the number of latency buckets of a Tally. The upper bound of bucket i is 2^(i/2) milliseconds. The last bucket has
// no upper bound.
const LatencyBuckets = 26

// Tally counts the outcomes of one kind of request on one side.
type Tally struct {
	Outcomes  uint32
	ByCause   [causeCount]uint32     // indexed by Cause
	Latencies [LatencyBuckets]uint32 // successful responses of backends that are not warming up
}

// Counts holds the tallies of one step, by Side and Kind.
type Counts [2][2]Tally

// Add adds the counts of other to c.
func (c *Counts) Add(other *Counts) {
	for side := range c {
		for kind := range c[side] {
			c[side][kind].add(&other[side][kind])
		}
	}
}

// add adds the counts of other to t.
func (t *Tally) add(other *Tally) {
	t.Outcomes += other.Outcomes
	for i := range t.ByCause {
		t.ByCause[i] += other.ByCause[i]
	}
	for i := range t.Latencies {
		t.Latencies[i] += other.Latencies[i]
	}
}

// record counts one outcome by its cause.
func (t *Tally) record(cause Cause) {
	t.Outcomes++
	t.ByCause[cause]++
}

// recordLatency increments the latency bucket to which a response with the given latency belongs.
func (t *Tally) recordLatency(latency time.Duration) {
	bucket := int(math.Ceil(2 * math.Log2(latency.Seconds()*1000)))
	t.Latencies[min(max(bucket, 0), LatencyBuckets-1)]++
}

// LatencyQuantile returns an upper bound of the latency of a fraction of the responses. The fraction is between 0 and 1. LatencyQuantile
// returns 0 if there are no responses.
func (t *Tally) LatencyQuantile(fraction float64) time.Duration {
	total := uint32(0)
	for _, n := range t.Latencies {
		total += n
	}
	remaining := fraction * float64(total)
	for i, n := range t.Latencies {
		if remaining -= float64(n); n > 0 && remaining <= 0 {
			return time.Duration(math.Pow(2, float64(i)/2) * float64(time.Millisecond))
		}
	}
	return 0
}

// failureCount returns the number of outcomes with the cause ServerError, NoResponse or InvalidResponse. It does not depend on the
// FailureCriteria.
func (t *Tally) failureCount() uint32 {
	return t.ByCause[ServerError] + t.ByCause[NoResponse] + t.ByCause[InvalidResponse]
}

// describe returns a summary of the counts as text for the history of a roll-out.
func (c *Counts) describe() string {
	text := ""
	for kind, name := range []string{"reads", "writes"} {
		canary, baseline := &c[Canary][kind], &c[Baseline][kind]
		if canary.Outcomes == 0 {
			continue
		}
		text += fmt.Sprintf("%s: new %d of %d failed, old %d of %d; p90 latency new %v, old %v. ", name, canary.failureCount(), canary.Outcomes,
			baseline.failureCount(), baseline.Outcomes, canary.LatencyQuantile(0.9).Round(time.Millisecond), baseline.LatencyQuantile(0.9).Round(time.Millisecond))
	}
	return text[:max(len(text)-1, 0)]
}
