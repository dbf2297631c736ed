// Package logstore keeps on disk what the replicas of a node must not forget, in one bbolt file: the configuration's log, and those of
// the coordination groups.
//
// # Terms
//
// A log is a replication.PersistentState: the disk's member ID, the cluster, the term with its vote, the commit index, a snapshot and
// the entries behind it. Each log has buckets of its own: its head (all but the snapshot and the entries), its snapshot and its entries.
// The soft state is a value beside the logs that is good to have after a start and may be old or lost.
//
// # Guarantees
//
// Write is atomic over all logs that it names, and durable when it returns nil: the transaction is synced. When it returns an error
// none of it is on disk, and it may be tried again. What was written is read back once: bbolt writes to the file and reads it through a
// mapping, and on some disks the two do not agree.
//
// A member ID is drawn at random for each empty disk and never comes back. The file is synced, name and all, before Open returns its ID.
// The one exception is a disk that is too full to make the file: the ID is in memory alone then, and the first Write that finds room
// makes the file.
//
// Open reads the whole file before it opens it for writing, and gives a CorruptError for one that is torn or does not hold together: a
// panic or a fault of the mapping never ends the process. A lock that another process holds is waited for a second.
//
// The file never shrinks. Each write goes to free pages first, so it holds at most about three times the largest snapshot plus the log
// that was ever held at once, rounded up to steps of 64 KiB: a state of 100 KB with some hundred entries of 1 KB stays below 1 MiB.
//
// # Versions
//
// Values are gob, which goes by the names of fields. The stored forms with these names are in stored.go and nowhere else; other versions
// read them, so they don't change. The file had another name in earlier versions: see FileName.
//
// # What it must not do
//
// It decides nothing: replication says what is written and in which order. It never chooses between two files that both hold a state,
// never repairs one that is corrupt, and removes one only by Wipe.
package logstore
