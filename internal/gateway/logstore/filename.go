package logstore

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// FileName is the name of the store's file in the directory that is passed to Open.
//
// Earlier versions use the name formerFileName. Open also accepts a file with the former name. Open reads the whole file, locks the file, syncs
// the file, renames it and syncs the directory. A crash between any two of these steps leaves one file under one of the names. The file holds
// everything that was ever acknowledged. If a step fails, for example on a full disk, the store uses the file under the name that the file has
// at that time. RenameError then returns the cause, and the next Open tries the rename again.
//
// There may be two files, one under each name, if an earlier version ran in the directory after a rename. Open ignores a file that holds no
// state. If both names are links to one file, or if both files have the same bytes, Open keeps only the present name. In all other cases Open
// returns a ConflictError.
const FileName = "replicas.db"

// formerFileName is the name of the file in versions up to commit dd5a45a of 2 December 2026.
const formerFileName = "promptbook.db"

// locateAndReadFile returns the content of the file under its present or former name and sets s.path to the path of the file. If there is no
// state, s.path has the present name. The comment of FileName tells when it returns a ConflictError.
func (s *Store) locateAndReadFile() (contents, error) {
	current, former := filepath.Join(s.dir, FileName), filepath.Join(s.dir, formerFileName)
	s.path = current
	if s.hasBothNames = isSameFile(current, former); s.hasBothNames {
		return readFile(current)
	}
	currentContents, currentErr := readFile(current)
	formerContents, formerErr := readFile(former)
	for _, err := range []error{currentErr, formerErr} {
		if err != nil && !errors.As(err, new(*CorruptError)) {
			return contents{}, err
		}
	}
	switch {
	case formerErr == nil && formerContents.isEmpty():
		return currentContents, currentErr
	case currentErr == nil && currentContents.isEmpty():
		s.path = former
		return formerContents, formerErr
	case haveSameBytes(current, former):
		s.path = former // replaceFormerName renames this file over the identical file
		return formerContents, formerErr
	}
	return contents{}, &ConflictError{Current: newFileSummary(current, &currentContents, currentErr),
		Former: newFileSummary(former, &formerContents, formerErr)}
}

// newFileSummary returns the summary of a file for a ConflictError.
func newFileSummary(path string, c *contents, err error) FileSummary {
	return FileSummary{Path: path, ID: c.configuration.ID, Term: c.configuration.Term, Commit: c.configuration.Commit, Err: err}
}

// isSameFile reports whether two paths name the same file. After a power loss during a rename, a filesystem may have the file under both names.
func isSameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// haveSameBytes reports whether two files have the same content. haveSameBytes returns false if one of them cannot be read.
func haveSameBytes(a, b string) bool {
	bytesA, errA := os.ReadFile(a)
	bytesB, errB := os.ReadFile(b)
	return errA == nil && errB == nil && bytes.Equal(bytesA, bytesB)
}

// replaceFormerName renames the open file to its present name, or removes the former name if the file has both names. The file is locked
// meanwhile, so no other process uses the file under either name.
func (s *Store) replaceFormerName() error {
	current, former := filepath.Join(s.dir, FileName), filepath.Join(s.dir, formerFileName)
	switch {
	case s.path == former:
		if err := s.filesystem.Sync(former); err != nil {
			return wrapFileError("sync", former, err)
		}
		if err := s.filesystem.Rename(former, current); err != nil {
			return wrapFileError("rename", former, err)
		}
		// A power loss before the directory is synced may undo the rename. The next Open then finds the same file under the former name.
		s.path = current
	case s.hasBothNames:
		if err := s.filesystem.Remove(former); err != nil {
			return wrapFileError("remove", former, err)
		}
	default:
		return nil
	}
	return wrapFileError("sync", s.dir, s.filesystem.Sync(s.dir))
}
