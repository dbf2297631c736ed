package coordination_test

import "clovergap/internal/gateway/coordination"

// simulationFaults returns the safeguards whose absence TestSimulationDetectsFaults must detect. Each is disabled on its own.
func simulationFaults() map[string]coordination.TestingKnobs {
	return map[string]coordination.TestingKnobs{
		"the next holder gets the previous fencing token": {ReuseFencingToken: true},
		"an expired lease is renewed":                     {RenewExpiredLease: true},
		"a renewal shortens the lease":                    {RenewShortensLease: true},
		"a former leader keeps its own log time":          {KeepOwnLogTime: true},
		"a put ignores the expected revision":             {IgnoreExpectedRevision: true},
		"a repeated put is compared like a new one":       {CompareRevisionFirst: true},
		"a repeated put is applied as a new one":          {RepeatPuts: true},
		"a conflict returns the key group's revision":     {ConflictShowsGroupRevision: true},
		"a read does not ask a quorum":                    {ReadWithoutQuorum: true},
		"a watch does not ask a quorum":                   {WatchWithoutQuorum: true},
		"a watch returns only the last event":             {LastEventOnly: true},
		"the history is too short":                        {ShortHistory: true},
		"numbers are counted in memory":                   {NextNumber: newInMemoryCounter()},
		"an ambiguous outcome is reported as unavailable": {ReportAmbiguousAsUnavailable: true},
		"a snapshot lacks the puts":                       {SnapshotWithoutPuts: true},
		"a snapshot lacks the fencing token":              {SnapshotWithoutFencingToken: true},
		"a snapshot lacks the history":                    {SnapshotWithoutHistory: true},
	}
}

// explorerFaults are the safeguards whose absence TestExplorerDetectsFaults must detect. Their absence shows only in rare orders of a few
// calls.
var explorerFaults = map[string]coordination.TestingKnobs{
	"any fencing token is accepted":                    {AcceptAnyFencingToken: true},
	"a stale release frees a lock that was reacquired": {AcceptStaleRelease: true},
	"a late copy takes a lock that was released":       {AcceptRetiredCall: true},
	"a late copy is served after its deadline":         {IgnoreDeadlines: true},
	"a new leader starts after the end of all leases":  {SkipLeasesOnElection: true},
}

// newInMemoryCounter returns a function that counts numbers separately at each node. A restarted node starts again at 1.
func newInMemoryCounter() func(incarnation uint64, name string) uint64 {
	type counter struct {
		incarnation uint64
		name        string
	}
	last := map[counter]uint64{}
	return func(incarnation uint64, name string) uint64 {
		c := counter{incarnation, name}
		last[c]++
		return last[c]
	}
}
