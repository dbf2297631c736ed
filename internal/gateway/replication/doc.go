// Package replication implements a replicated log that is based on Raft. The members of a cluster, each a node with a disk, agree
// on one order of log entries, and every member applies the entries in this order.
//
// The package is a deterministic core. It does no I/O, does not read a clock, starts no goroutines and has no random source of
// its own. Time, messages, completed writes and a seed are passed as arguments. The same inputs give the same outputs. A host
// (package node) owns a Replica and calls it from one goroutine.
//
// # Inputs and outputs
//
// The inputs are methods of Replica: Step (a message arrived), Tick (time passed), ReportSynced (a write is on disk),
// ReportUnreachable (a connection broke), Propose, Read, Compact, ReconcileMembers and TransferLeadership. After each input the
// host calls Next until it returns false. Next returns an Action, which is one of the types Send, Write, Commit, Restore, Outcome
// and Wake. An Action corresponds to a part of Ready in etcd's raft library. Actions are returned one by one, so that the order
// of messages and writes is part of the contract.
//
// The guarantees below hold only if the host fulfills these obligations:
//
//   - The host writes each Write atomically, in the order of Seq, and calls ReportSynced once the write is synced. The host may
//     send each message at once, because the package delays every message that depends on a write until the write is synced.
//   - The host calls Tick with the current time before it passes on later events, also after the process was suspended.
//   - After a restart, the host passes the PersistentState that results from all synced writes to New. For an empty disk it draws
//     a new MemberID.
//   - The host does not change Data, State and Members, because messages and pending writes share them.
//
// # Terms
//
//	term                 a period with at most one leader; terms never decrease
//	vote                 a member's promise to follow one candidate in a term; on disk before it is sent
//	pre-vote             asks whether other members have lost the leader too, before the term is increased
//	append               the leader's message with entries, or without entries as a heartbeat
//	match index          index up to which a member's synced log is known to equal the leader's log
//	commit index         index up to which entries are known to be on the disks of a majority
//	snapshot             the host's state up to an index, which replaces the log up to that index
//	trailing log         compacted entries that stay in memory for members that lack only a few entries
//	joint configuration  an uncommitted member list together with the previous one; decisions need majorities of both
//	learner              a node that receives the log without a vote; it becomes a member once it has caught up
//	leadership transfer  the leader asks a member that has all entries to start an election at once (TimeoutNow)
//	read sequence        number of a round of heartbeats. It is confirmed once a majority has acknowledged it. The leader then knows
//	                     that it led when the round started, and answers the reads that came before (ReadIndex in Raft).
//	quorum contact       the last time when a majority is known to have followed the leader; its age bounds the staleness
//	blob                 data that is too large for one message and is sent in chunks: a snapshot's state or an entry's data
//	draining             state of a node that has announced its shutdown
//	coordination group   a part of the cluster's data that has its own leader and its own log, beside the configuration log
//	lost member          a member that the host does not reach, that missed several heartbeats, or that is draining
//	cluster ID           identifies one bootstrap of one log; messages with another cluster ID are ignored
//	bootstrap            the write of the first member list to empty disks, as term 1 and index 1
//
// # Guarantees
//
//   - Log matching: if two members have an entry with the same index and term, their logs are equal up to this entry.
//   - Leader completeness: a committed entry is in the log of every later leader.
//   - Each proposal and each read has at most one Outcome. OutcomeCommitted means that the proposed entry is committed at Index.
//     OutcomeNotLeader, OutcomeNoLeader and OutcomeBusy mean that the request was not accepted and will never take effect.
//     OutcomeUnknown means that the entry may have been committed, or may still be committed.
//   - A read with OutcomeCommitted sees everything that was acknowledged before the read was requested.
//   - Safety depends only on disks. Time only determines when an election starts, when data is retransmitted, and which members
//     the leader considers lost.
//
// # Differences from Raft
//
//   - A vote does not depend on the candidate's log. It contains the voter's last log position. Before the candidate leads, it
//     fetches the newest log of a majority, as in Viewstamped Replication. So any member can become leader, even with a log that
//     lags behind. If the newest log is too large for one message, its owner starts an election itself.
//   - A candidate syncs its own vote before it requests other votes. So a member with a hanging disk does not disturb the cluster.
//   - Two candidates in one term would each wait for another election timeout. Instead, the candidate with the lower ID starts the
//     next term at once.
//   - A member is a disk and not a node. An empty disk draws a new ID, so that votes and acknowledgements of a lost disk are not
//     attributed to the empty disk that replaces it.
//   - A joint configuration is a single entry. The new list takes effect when the entry is appended, together with the previous
//     list. Once the entry is committed, only the new list is in effect. So one change replaces a member by another, without a
//     longer or shorter list in between.
//   - The leader changes the member list itself, depending on which disks its host reaches (ReconcileMembers).
//   - The acknowledgement of a read sequence needs no disk write, so writes do not slow down reads.
//   - Snapshots and large entries are sent in acknowledged chunks, with at most Config.MaxInflightBytes in flight, so that
//     they do not block heartbeats. A new leader or a new connection continues a transfer where it stopped.
//   - There are no leader leases. QuorumContact tells how stale the host's state may be. No read or write depends on it.
//
// # Compatibility
//
// During a roll-out, nodes of the old and of the new software version exchange messages. The names and types that gob sends are in
// wire.go. The messages of the coordination groups use the compact form of codec.go. The names on disk are in package logstore.
package replication
