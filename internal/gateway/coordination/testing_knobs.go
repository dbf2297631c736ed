package coordination

// TestingKnobs holds switches that each disable one safeguard. Tests set one switch and check that the resulting violation is detected. All
// switches are off in production, because only tests set Config.TestingKnobs.
type TestingKnobs struct {
	// Locks.
	ReuseFencingToken     bool // the next holder of a lock gets the previous holder's fencing token
	AcceptAnyFencingToken bool // renew and release accept any fencing token
	RenewExpiredLease     bool // a renewal extends a lease that has expired
	RenewShortensLease    bool // a renewal with a shorter TTL shortens the lease
	AcceptStaleRelease    bool // a late release frees a lock that its holder has acquired again
	AcceptRetiredCall     bool // a late copy of an acquire takes a lock that was released

	// Time and forwarding.
	IgnoreDeadlines              bool // a forwarded call is served however late it arrives
	SkipLeasesOnElection         bool // a new leader's log time starts after the end of all leases
	KeepOwnLogTime               bool // a former leader's log time advances by its own clock, whatever later leaders have stamped
	ReportAmbiguousAsUnavailable bool // a call that may have taken effect ends with StatusUnavailable

	// Keys.
	IgnoreExpectedRevision     bool // a conditional put succeeds whatever the key's revision
	CompareRevisionFirst       bool // a repeated put is compared with the expected revision like a new one
	RepeatPuts                 bool // a repeated put is applied again as a new one
	ConflictShowsGroupRevision bool // a conflict returns the revision of the key group instead of the key's revision

	// Reads.
	ReadWithoutQuorum  bool // a read does not confirm the leadership
	WatchWithoutQuorum bool // a watch without events does not confirm the leadership
	LastEventOnly      bool // a watch returns only the newest event
	ShortHistory       bool // the history is compacted too early

	// Snapshots.
	SnapshotWithoutPuts         bool // a snapshot lacks the digests of puts
	SnapshotWithoutFencingToken bool // a snapshot lacks the last fencing token
	SnapshotWithoutHistory      bool // a snapshot lacks the events, but its compacted revision is not raised accordingly

	// NextNumber replaces the log as the source of numbers, unless it is nil. incarnation is the incarnation of the leader's process.
	NextNumber func(incarnation uint64, name string) uint64
}
