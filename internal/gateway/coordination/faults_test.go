package coordination_test

import "clovergap/internal/gateway/coordination"

// faultsOfDays are the defences, taken away one at a time, that TestDaysNoticeFaults must notice.
func faultsOfDays() map[string]coordination.TestingKnobs {
	return map[string]coordination.TestingKnobs{
		"the next holder gets the same fence":   {ReuseFencingToken: true},
		"a heartbeat counts after the time":     {RenewExpiredLease: true},
		"a shorter hold shortens the time":      {RenewShortensLease: true},
		"a leader keeps a clock of its own":     {KeepOwnLogTime: true},
		"a put counts whatever the revision":    {IgnoreExpectedRevision: true},
		"a repeated put is compared first":      {CompareRevisionFirst: true},
		"a repeated put is a new one":           {RepeatPuts: true},
		"a conflict names the group's revision": {ConflictShowsGroupRevision: true},
		"a read asks no majority":               {ReadWithoutQuorum: true},
		"a watch asks no majority":              {WatchWithoutQuorum: true},
		"a watch gives the last event alone":    {LastEventOnly: true},
		"the history is too short":              {ShortHistory: true},
		"numbers are counted in memory":         {NextNumber: countInMemory()},
		"an unclear end is told as refused":     {ReportAmbiguousAsUnavailable: true},
		"a snapshot lacks the puts":             {SnapshotWithoutPuts: true},
		"a snapshot lacks the fence":            {SnapshotWithoutFencingToken: true},
		"a snapshot lacks the history":          {SnapshotWithoutHistory: true},
	}
}

// faultsOfOrders are those that TestExploreNoticesFaults must notice: they show in rare orders of a few calls.
var faultsOfOrders = map[string]coordination.TestingKnobs{
	"any fence counts":                             {AcceptAnyFencingToken: true},
	"a late finish frees a lock asked for again":   {AcceptStaleRelease: true},
	"a late copy takes a lock that was given back": {AcceptRetiredCall: true},
	"a copy counts however late":                   {IgnoreDeadlines: true},
	"a new leader forgets holds":                   {SkipLeasesOnElection: true},
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
