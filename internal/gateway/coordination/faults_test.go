package coordination_test

import "clovergap/internal/gateway/coordination"

// faultsOfDays are the defences, removed one at a time, whose absence TestDaysNoticeFaults must notice.
func faultsOfDays() map[string]coordination.TestingKnobs {
	return map[string]coordination.TestingKnobs{
		"the next holder gets the same fencing token": {ReuseFencingToken: true},
		"an expired lease is renewed":                 {RenewExpiredLease: true},
		"a renewal shortens the lease":                {RenewShortensLease: true},
		"a former leader keeps its own log time":      {KeepOwnLogTime: true},
		"a put ignores the expected revision":         {IgnoreExpectedRevision: true},
		"a repeated put is compared like a new one":   {CompareRevisionFirst: true},
		"a repeated put is a new one":                 {RepeatPuts: true},
		"a conflict shows the key group's revision":   {ConflictShowsGroupRevision: true},
		"a read asks no quorum":                       {ReadWithoutQuorum: true},
		"a watch asks no quorum":                      {WatchWithoutQuorum: true},
		"a watch gives the last event alone":          {LastEventOnly: true},
		"the history is too short":                    {ShortHistory: true},
		"numbers are counted in memory":               {NextNumber: countInMemory()},
		"an ambiguous end is reported as unavailable": {ReportAmbiguousAsUnavailable: true},
		"a snapshot lacks the puts":                   {SnapshotWithoutPuts: true},
		"a snapshot lacks the fencing token":          {SnapshotWithoutFencingToken: true},
		"a snapshot lacks the history":                {SnapshotWithoutHistory: true},
	}
}

// faultsOfOrders are those whose absence TestExploreNoticesFaults must notice: they show in rare orders of a few calls.
var faultsOfOrders = map[string]coordination.TestingKnobs{
	"any fencing token counts":                         {AcceptAnyFencingToken: true},
	"a stale release frees a lock that was reacquired": {AcceptStaleRelease: true},
	"a late copy takes a lock that was released":       {AcceptRetiredCall: true},
	"a copy counts after its deadline":                 {IgnoreDeadlines: true},
	"a new leader skips all leases":                    {SkipLeasesOnElection: true},
}

// countInMemory counts numbers at each node by itself; a restarted node begins anew.
func countInMemory() func(incarnation uint64, name string) uint64 {
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
