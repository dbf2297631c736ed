package coordination_test

import "clovergap/internal/gateway/coordination"

// simulationFaults returns the faults that TestSimulationDetectsFaults must detect, by description. Each fault is a safeguard that the testing
// knobs disable.
func simulationFaults() map[string]coordination.TestingKnobs {
	return map[string]coordination.TestingKnobs{
		"the next holder gets the previous fencing token":           {ReuseFencingToken: true},
		"an expired lease is renewed":                               {RenewExpiredLease: true},
		"a renewal shortens the lease":                              {RenewShortensLease: true},
		"a former leader keeps a log time that is ahead of the log": {KeepOwnLogTime: true},
		"a conditional put ignores the expected revision":           {IgnoreExpectedRevision: true},
		"a repeated put is compared with the expected revision":     {CompareRevisionFirst: true},
		"a repeated put is applied as a new one":                    {RepeatPuts: true},
		"a conflict returns the key group's revision":               {ConflictShowsGroupRevision: true},
		"a read does not confirm the leadership with a quorum":      {ReadWithoutQuorum: true},
		"a watch does not confirm the leadership with a quorum":     {WatchWithoutQuorum: true},
		"a watch returns only the last event":                       {LastEventOnly: true},
		"the history is too short":                                  {ShortHistory: true},
		"each leader counts numbers in its own memory":              {NextNumber: newInMemoryCounter()},
		"an ambiguous outcome is reported as unavailable":           {ReportAmbiguousAsUnavailable: true},
		"a snapshot lacks the digests of puts":                      {SnapshotWithoutPuts: true},
		"a snapshot lacks the last fencing token":                   {SnapshotWithoutFencingToken: true},
		"a snapshot lacks the events":                               {SnapshotWithoutHistory: true},
	}
}

// explorerFaults holds the faults that TestExplorerDetectsFaults must detect, by description. Each fault is a safeguard that the testing knobs
// disable. These faults cause violations only in rare orders of a few calls.
var explorerFaults = map[string]coordination.TestingKnobs{
	"any fencing token is accepted":                              {AcceptAnyFencingToken: true},
	"a stale release frees a lock that was reacquired":           {AcceptStaleRelease: true},
	"a late copy of an acquire takes a lock that was released":   {AcceptRetiredCall: true},
	"a late copy of a call is served after its deadline":         {IgnoreDeadlines: true},
	"a new leader's log time starts after the end of all leases": {SkipLeasesOnElection: true},
}

// newInMemoryCounter returns a function that counts the numbers of each name separately at each node. A restarted node starts again at 1.
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
