package coordination

// TestingKnobs each remove one defence, so that tests can show that they notice its absence. All are off in production: nothing but
// tests sets Config.TestingKnobs.
type TestingKnobs struct {
	// Locks.
	ReuseFencingToken     bool // the next holder of a lock gets the fencing token of the one before
	AcceptAnyFencingToken bool // renew and release count whatever their fencing token
	RenewExpiredLease     bool // a renew after the lease's end extends it
	RenewShortensLease    bool // a renew with a shorter TTL shortens the lease
	AcceptStaleRelease    bool // a late release frees a lock that its holder acquired again
	AcceptRetiredCall     bool // a late copy of an acquire takes a lock that was released

	// Time and forwarding.
	IgnoreDeadlines              bool // a forwarded call counts however late it is
	SkipLeasesOnElection         bool // a new leader's log time begins beyond all leases
	KeepOwnLogTime               bool // a former leader's log time goes on, whatever other leaders stamped since
	ReportAmbiguousAsUnavailable bool // a call that may have taken effect ends as one that had none

	// Keys.
	IgnoreExpectedRevision     bool // a conditional put counts whatever the key's revision
	CompareRevisionFirst       bool // a repeated put is compared like a new one
	RepeatPuts                 bool // a repeated put is a new one
	ConflictShowsGroupRevision bool // a conflict shows the key group's revision

	// Reads.
	ReadWithoutQuorum  bool // a read does not confirm the leadership
	WatchWithoutQuorum bool // nor does a watch without events
	LastEventOnly      bool // a watch gives the newest event alone
	ShortHistory       bool // the history is compacted too early

	// Snapshots.
	SnapshotWithoutPuts         bool // lacks the digests of puts
	SnapshotWithoutFencingToken bool // lacks the last fencing token
	SnapshotWithoutHistory      bool // lacks the events, without a compacted revision that says so

	// NextNumber, if set, gives numbers in place of the log. incarnation is the node's.
	NextNumber func(incarnation uint64, name string) uint64
}
