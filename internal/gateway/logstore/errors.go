package logstore

import (
	"fmt"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/replication"
)

// Causes of errors that concern the content of a file.
var (
	// ErrBucketMissing reports that a log has some of its buckets but not all.
	ErrBucketMissing = errors.New("bucket is missing")
	// ErrForeignDisk reports that a group's log was written under another member ID than the configuration's log.
	ErrForeignDisk = errors.New("log was written under another member ID")
	// ErrReadBack reports that a transaction was committed but the memory mapping does not show the written data.
	ErrReadBack = errors.New("data that was read back differs from the data that was written")
)

// FileError reports an operation that failed on the file of a store or on the file's directory.
type FileError struct {
	Operation string // for example "open" or "write"
	Path      string
	Err       error
}

// Error returns a message with the operation, the path and the cause.
func (f *FileError) Error() string {
	return fmt.Sprintf("log store: %s %s: %v", f.Operation, f.Path, f.Err)
}

// Unwrap returns the error of the failed operation.
func (f *FileError) Unwrap() error { return f.Err }

// wrapFileError returns a FileError that wraps err. wrapFileError returns nil if err is nil.
func wrapFileError(operation, path string, err error) error {
	if err == nil {
		return nil
	}
	return &FileError{Operation: operation, Path: path, Err: err}
}

// CorruptError reports a file that is only partly written or is inconsistent. The caller must treat the disk as lost. The caller may call Wipe
// to start with an empty disk.
type CorruptError struct {
	Path string
	Err  error
}

// Error returns a message with the path and the cause.
func (c *CorruptError) Error() string {
	return fmt.Sprintf("log store %s is corrupt: %v", c.Path, c.Err)
}

// Unwrap returns the error that occurred when the file was read.
func (c *CorruptError) Unwrap() error { return c.Err }

// ConflictError reports that a directory holds two files with a state, one under FileName and one under the name of earlier versions. Open
// cannot determine reliably which file is newer. A node that continued from the older file would lack votes and acknowledged entries. An
// operator must remove one of the files. Open has changed neither file.
type ConflictError struct {
	Current FileSummary // the file named FileName
	Former  FileSummary // the file with the name of earlier versions
}

// FileSummary describes one of two conflicting files for an operator.
type FileSummary struct {
	Path   string
	ID     replication.MemberID
	Term   uint64
	Commit uint64 // commit index of the configuration's log
	Err    error  // why the file cannot be read, or nil if it can
}

// Error returns a message with both files and the data that distinguishes them.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("log store: two files hold a state; an operator must remove the older file: %v; %v", c.Current, c.Former)
}

// String returns the path with either the read error or the member ID, the term and the commit index.
func (f FileSummary) String() string {
	if f.Err != nil {
		return fmt.Sprintf("%s (cannot be read: %v)", f.Path, f.Err)
	}
	return fmt.Sprintf("%s (member ID %x, term %d, commit index %d)", f.Path, uint64(f.ID), f.Term, f.Commit)
}

// LogError reports an operation that failed on one log of a file.
type LogError struct {
	Operation string // for example "read snapshot"
	Log       replication.LogID
	Bucket    string
	Err       error
}

// Error returns a message with the operation, the log, the bucket and the cause.
func (l *LogError) Error() string {
	return fmt.Sprintf("%s: log=%d, bucket=%q: %v", l.Operation, l.Log, l.Bucket, l.Err)
}

// Unwrap returns the error of the failed operation.
func (l *LogError) Unwrap() error { return l.Err }

// newLogError returns a LogError for an operation on a bucket of a log.
func newLogError(operation string, log replication.LogID, bucket []byte, err error) error {
	return &LogError{Operation: operation, Log: log, Bucket: string(bucket), Err: err}
}

// isDiskFull reports whether err means that the disk has no space left or that the disk quota is exceeded.
func isDiskFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
