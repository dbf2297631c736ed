package logstore

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// FileName is the file's in the folder that Open is given.
//
// Earlier versions called it formerFileName. Open uses a file that it finds under that name and renames it, once it has been read whole
// and is locked: the file is synced, renamed, and the folder synced. A crash between any two of these leaves one file under one of the
// names, with all that was ever acknowledged. Where a step fails, as on a full disk, the store goes on with the name that the file has,
// and the next Open tries again; RenameError tells.
//
// Two files, of both names, come about where an earlier version ran in the folder in between. One that holds no state does not count;
// one file under both names, or two with the same bytes, count as one. Otherwise Open refuses with a ConflictError.
const FileName = "replicas.db"

// formerFileName is what versions up to that of 2 December 2026 (dd5a45a) call the file.
const formerFileName = "promptbook.db"

// find reads the folder's file, whichever of its names it has, and sets the store's path: that of the present name where there is no
// state.
func (s *Store) find() (contents, error) {
	current, former := filepath.Join(s.dir, FileName), filepath.Join(s.dir, formerFileName)
	s.path = current
	if s.twoNames = sameFile(current, former); s.twoNames {
		return readFile(current)
	}
	ofCurrent, currentErr := readFile(current)
	ofFormer, formerErr := readFile(former)
	for _, err := range []error{currentErr, formerErr} {
		if err != nil && !errors.As(err, new(*CorruptError)) {
			return contents{}, err
		}
	}
	switch {
	case formerErr == nil && ofFormer.empty():
		return ofCurrent, currentErr
	case currentErr == nil && ofCurrent.empty():
		s.path = former
		return ofFormer, formerErr
	case sameBytes(current, former):
		s.path = former // it takes the other one's place
		return ofFormer, formerErr
	}
	return contents{}, &ConflictError{Current: summarize(current, &ofCurrent, currentErr),
		Former: summarize(former, &ofFormer, formerErr)}
}

func summarize(path string, c *contents, err error) FileSummary {
	return FileSummary{Path: path, ID: c.configuration.ID, Term: c.configuration.Term, Commit: c.configuration.Commit, Err: err}
}

// sameFile tells whether two names are of one file, as a filesystem may leave them that lost power during a rename.
func sameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// sameBytes tells whether two files hold the same.
func sameBytes(a, b string) bool {
	bytesA, errA := os.ReadFile(a)
	bytesB, errB := os.ReadFile(b)
	return errA == nil && errB == nil && bytes.Equal(bytesA, bytesB)
}

// adoptName leaves the open file with its present name alone. It is locked meanwhile: no other process uses it under either.
func (s *Store) adoptName() error {
	current, former := filepath.Join(s.dir, FileName), filepath.Join(s.dir, formerFileName)
	switch {
	case s.path == former:
		if err := s.filesystem.Sync(former); err != nil {
			return fileError("sync", former, err)
		}
		if err := s.filesystem.Rename(former, current); err != nil {
			return fileError("rename", former, err)
		}
		// Without the sync of the folder a loss of power may bring the former name back: it is the same file, and found by it.
		s.path = current
	case s.twoNames:
		if err := s.filesystem.Remove(former); err != nil {
			return fileError("remove", former, err)
		}
	default:
		return nil
	}
	return fileError("sync", s.dir, s.filesystem.Sync(s.dir))
}
