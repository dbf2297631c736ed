// Package logstore stores the durable state of a node's replicas in one bbolt file. The file holds the configuration's log and the logs of
// the coordination groups.
//
// # Terms
//
// A log is a replication.PersistentState: the disk's member ID, the cluster ID, the term with its vote, the commit index, a snapshot and
// the entries after the snapshot. Each log has its own buckets for its head (everything except the snapshot and the entries), its snapshot
// and its entries. The soft state is a value beside the logs. It is useful after a start, but it may be out of date or lost.
//
// # Guarantees
//
// Write is atomic over all logs that it names. When it returns nil, the transaction is synced and therefore durable. When it returns an
// error, none of the writes is on disk, and the caller may retry them. Write reads the heads back once, because bbolt writes to the file but
// reads it through a memory mapping, and on some disks the two disagree.
//
// Each empty disk gets a random member ID, which is never reused. Open syncs the file and its directory entry before it returns the ID. The
// one exception is a disk that is too full to create the file. The ID is then only in memory, and the first Write that finds room creates
// the file.
//
// Open reads the whole file before it opens the file for writing. It returns a CorruptError for a file that is torn or inconsistent. A panic
// in bbolt or a memory fault in the mapping never ends the process. Open waits up to one second for a lock that another process holds.
//
// The file never shrinks. Each write goes to free pages first. The file therefore takes at most about three times the largest sum of
// snapshot and log that it ever held at once, rounded up to steps of 64 KiB. A state of 100 KB with some hundred entries of 1 KB stays
// below 1 MiB.
//
// # Versions
//
// Values are encoded with gob, which matches fields by name. The stored types with these names are only in stored.go. Other versions read
// them, so the names do not change. The file had another name in earlier versions: see FileName.
//
// # Non-goals
//
// The package makes no decisions. Package replication decides what is written and in which order. The package never chooses between two
// files that both hold a state and never repairs a corrupt file. It removes a file that holds a state only in Wipe.
package logstore
