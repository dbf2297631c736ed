package logstore

import (
	"fmt"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/replication"
)

// Errors of what a file holds.
var (
	// ErrBucketMissing says that a log has some of its buckets, and not all.
	ErrBucketMissing = errors.New("a bucket is missing")
	// ErrForeignDisk says that a group's log was written under another member ID than the configuration's.
	ErrForeignDisk = errors.New("written by another disk")
	// ErrReadBack says that a transaction was committed, and the mapping does not show it.
	ErrReadBack = errors.New("what was written is not what is read")
)

// FileError is an operation on a store's file, or on its folder, that failed.
type FileError struct {
	Operation string // what was being done, such as "open" or "write"
	Path      string
	Err       error
}

// Error names the operation and the file.
func (f *FileError) Error() string {
	return fmt.Sprintf("log store: %s %s: %v", f.Operation, f.Path, f.Err)
}

// Unwrap gives the cause.
func (f *FileError) Unwrap() error { return f.Err }

// fileError says what failed and with which file; nil for no error.
func fileError(op, path string, err error) error {
	if err == nil {
		return nil
	}
	return &FileError{Operation: op, Path: path, Err: err}
}

// CorruptError is a file that is torn or does not hold together. The disk is to be taken for lost then: see Wipe.
type CorruptError struct {
	Path string
	Err  error
}

// Error names the file and what is wrong with it.
func (c *CorruptError) Error() string {
	return fmt.Sprintf("log store %s is corrupt: %v", c.Path, c.Err)
}

// Unwrap gives the cause.
func (c *CorruptError) Unwrap() error { return c.Err }

// ConflictError is a folder with two files, of the present name and of the former one, that both hold a state. Which of them is the
// newer can't be told for sure, and a disk that goes on from the older one has forgotten what it voted for and acknowledged. An operator
// is to remove one of them; nothing was touched.
type ConflictError struct {
	Current FileSummary // under FileName
	Former  FileSummary // under the name of earlier versions
}

// FileSummary is what an operator needs to know of one of two files.
type FileSummary struct {
	Path   string
	ID     replication.MemberID
	Term   uint64
	Commit uint64 // of the configuration's log
	Err    error  // why it can't be read, nil if it can
}

// Error names both files and what tells them apart.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("log store: two files hold a state, remove the older one: %v; %v", c.Current, c.Former)
}

// String words a summary for an error.
func (f FileSummary) String() string {
	if f.Err != nil {
		return fmt.Sprintf("%s (%v)", f.Path, f.Err)
	}
	return fmt.Sprintf("%s (member %x, term %d, commit index %d)", f.Path, uint64(f.ID), f.Term, f.Commit)
}

// LogError is an operation on one log of a file that failed.
type LogError struct {
	Operation string // what was being done, such as "read snapshot"
	Log       replication.LogID
	Bucket    string
	Err       error
}

// Error names the operation, the log and the bucket.
func (l *LogError) Error() string {
	return fmt.Sprintf("%s of log %d in bucket %q: %v", l.Operation, l.Log, l.Bucket, l.Err)
}

// Unwrap gives the cause.
func (l *LogError) Unwrap() error { return l.Err }

// logError says what failed and with which log.
func logError(op string, log replication.LogID, bucket []byte, err error) error {
	return &LogError{Operation: op, Log: log, Bucket: string(bucket), Err: err}
}

// isDiskFull tells whether an error says that the disk takes no more bytes.
func isDiskFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
