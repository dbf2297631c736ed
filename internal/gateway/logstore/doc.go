// Package logstore stores the durable state of a node's Raft replicas in one bbolt file. The file holds the log that replicates the
// configuration, and the logs of the coordination groups (package groups).
//
// # Terms
//
// A log is a replication.PersistentState. It consists of the member ID of the disk, the cluster ID, the term and the vote in the term, the
// commit index, a snapshot, and the entries after the snapshot. The head of a log is everything except the snapshot and the entries. The head,
// the snapshot and the entries of a log are stored in bbolt buckets that belong to this log only. A member ID identifies one disk as a member
// of Raft groups. A departure is the fact that a backend is draining or has deregistered (package registry). The departures are stored in a
// bucket of their own. The soft state is a value beside the logs that the node uses after a start. The soft state may be out of date or lost.
//
// # Guarantees
//
// Write is atomic over all logs that it names. When it returns nil, the transaction is synced and therefore durable. When it returns an
// error, none of the writes is on disk, and the caller may retry them. Write reads the heads back once. bbolt writes to the file but reads
// the file through a memory mapping, and on some disks the mapping does not show what was written.
//
// Each empty disk gets a random member ID, which is never reused. Open syncs the file and the file's directory entry before it returns the
// ID. If the disk is too full to create the file, the ID is only in memory, and the first Write that finds enough space creates the file.
//
// Open reads the whole file before it opens the file for writing. It returns a CorruptError for a file that is only partly written or is
// inconsistent. A panic in bbolt or a memory fault in the mapping never ends the process. Open waits up to one second for a lock on the file
// that another process holds.
//
// The file never shrinks. bbolt writes to free pages of the file before it grows the file. The size of the file is therefore at most about
// three times the largest total size of the snapshots and entries that the file ever held at once, rounded up to a multiple of 64 KiB. A file
// with a snapshot of 100 KB and some hundred entries of 1 KB stays below 1 MiB.
//
// # Versions
//
// Values are encoded with gob, which matches fields by name. The file stored.go declares all stored types. Other versions of the program read
// the stored values, so the field names of these types must not change. The file had another name in earlier versions: see FileName.
//
// # Non-goals
//
// The package makes no decisions. Package replication decides what is written and in which order. The package never chooses between two
// files that both hold a state and never repairs a corrupt file. Only Wipe removes a file that holds a state.
package logstore
