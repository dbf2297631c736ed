// Package replication is a replicated log in the manner of Raft: the members of a cluster, each a node with a disk, agree on one
// order of entries, and every member applies them in that order.
//
// The package is a deterministic core. It does no I/O, reads no clock, starts no goroutine and draws no randomness of its own:
// time, messages, completed writes and a seed are arguments, and the same inputs give the same outputs. A host (package node)
// owns a Replica and calls it from one goroutine.
//
// # Inputs and outputs
//
// Inputs are methods of Replica: Step (a message came), Tick (time passed), Synced (a write is on disk), Propose, Read, Compact,
// ReconcileMembers, TransferLeadership. After each of them the host calls Next until it has nothing more. Next hands out an
// Action, a closed set of types: Send, Write, Commit, Restore, Outcome, Wake. It corresponds to the Ready of etcd's raft, one
// step at a time, so that the order of messages and writes is part of the contract.
//
// A host must do the following, and may rely on the guarantees only if it does:
//
//   - write each Write atomically, in the order of Seq, and call Synced once it is synced. The package itself delays what a member
//     acknowledges to others until then; the host may send every message at once.
//   - pass Tick the present time before anything that happened meanwhile, also after the process was suspended.
//   - give the PersistentState that results from all synced writes to New after a restart, and a new MemberID to an empty disk.
//   - treat Data, State and Members as immutable: they are shared with messages and writes that are still under way.
//
// # Terms
//
//	term                 a period with at most one leader; terms only rise
//	vote                 a member's promise to follow one candidate in a term; on disk before it is sent
//	pre-vote             the question whether others have lost the leader too, before the term is raised
//	append               the leader's message with entries, or without any as a heartbeat
//	match index          up to which index a member's synced log is known to equal the leader's
//	commit index         up to which index entries are known to be on the disks of a majority
//	snapshot             the host's state up to an index, which replaces the log up to there
//	trailing log         compacted entries that are still in memory, for members that lack only a little
//	joint configuration  two member lists of which both majorities are needed, while the newer one is not committed
//	learner              a node that receives the log and does not count; it becomes a member once it has caught up
//	leadership transfer  the leader asks a member that has all entries to start an election at once (TimeoutNow)
//	read sequence        the number of a broadcast of heartbeats which confirms that a leader still leads (Raft's ReadIndex)
//	quorum contact       how long ago a majority was in contact with the leader: how stale this member's state can be
//	cluster ID           identifies one bootstrap of one log; messages of another cluster are ignored
//	bootstrap            writing the first member list on empty disks, as term 1 and index 1
//
// # Guarantees
//
//   - Log matching: two members that have an entry of the same index and term have the same entries up to there.
//   - Leader completeness: an entry that was committed is in the log of every later leader.
//   - At most one Outcome for each proposal and read. OutcomeCommitted means the entry was committed at Index;
//     OutcomeNotLeader, OutcomeNoLeader and OutcomeBusy mean that it was not taken and never will be; OutcomeUnknown means that
//     it may have been, or may still be, committed.
//   - A read that ends with OutcomeCommitted sees everything that was acknowledged before it was requested.
//   - Safety depends only on disks. Time decides only when an election starts, what is retransmitted, and which members the
//     leader considers lost.
//
// # Where it differs from Raft, and why
//
//   - A vote does not depend on the candidate's log. It carries the voter's last position, and the candidate fetches the newest
//     log among a majority before it leads, as in Viewstamped Replication. So any member can
//     lead, also one that lags. Where that log is too large for one message its owner starts an election itself.
//   - A candidate syncs its own vote before it asks for others: a member whose disk hangs does not disturb the cluster.
//   - Two candidates of one term would each need another time-out. The one with the lower ID starts the next term at once.
//   - A member is a disk, not a node: an empty disk draws a new ID, so that a lost disk's votes and acknowledgements can't be
//     mistaken for those of the empty one that replaces it.
//   - A joint configuration is one entry. The new list takes effect when it is appended, with the majorities of both lists, and
//     by itself once it is committed. So one change replaces a member by another, without a longer or shorter list in between.
//   - The leader changes the member list itself, by which disks its host reaches (ReconcileMembers).
//   - An acknowledgement of a read sequence needs no disk, so reads are not slowed by writes.
//   - Snapshots and large entries go in acknowledged chunks, at most Config.MaxInflightBytes at a time, so that heartbeats are
//     not stuck behind them; a transfer continues under a new leader or connection where it stopped.
//   - There are no leader leases. QuorumContact is how stale a host's state may be; no read or write depends on it.
//
// # Compatibility
//
// Nodes of two versions talk to each other while a new one is rolled out. The names and types that gob sends are in wire.go; the
// coordination groups' messages are in the compact form of codec.go. The names on disk are in package logstore.
package replication
