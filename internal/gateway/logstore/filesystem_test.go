package logstore

import (
	"os"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// faultyFilesystem is the operating system's with faults.
type faultyFilesystem struct {
	osFilesystem
	fail    map[string]error // by step, such as "rename"
	crashAt int              // the process ends before this step, from 1; 0: it doesn't
	steps   []string         // that were reached
	opened  []*os.File
}

// errCrash ends the process that a test plays.
var errCrash = errors.New("the process ends")

func (f *faultyFilesystem) step(name string) error {
	f.steps = append(f.steps, name)
	if len(f.steps) == f.crashAt {
		panic(errCrash)
	}
	return f.fail[name]
}

func (f *faultyFilesystem) OpenFile(name string, flag int, mode os.FileMode) (*os.File, error) {
	if err := f.fail["open"]; err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	file, err := f.osFilesystem.OpenFile(name, flag, mode)
	f.opened = append(f.opened, file)
	return file, err
}

func (f *faultyFilesystem) Sync(name string) error {
	what := "sync file"
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		what = "sync folder"
	}
	if err := f.step(what); err != nil {
		return err
	}
	return f.osFilesystem.Sync(name)
}

func (f *faultyFilesystem) Rename(from, to string) error {
	if err := f.step("rename"); err != nil {
		return err
	}
	return f.osFilesystem.Rename(from, to)
}

func (f *faultyFilesystem) Remove(name string) error {
	if err := f.step("remove"); err != nil {
		return err
	}
	return f.osFilesystem.Remove(name)
}

// openAndCrash opens a folder's file in a process that ends at a step, as a killed one ends; false: it did not get there.
func (f *faultyFilesystem) openAndCrash(t *testing.T, dir string) (crashed bool) {
	t.Helper()
	defer func() {
		if r := recover(); r != nil {
			must.Eq(t, error(errCrash), r.(error), must.Sprint(r))
			crashed = true
			f.release()
		}
	}()
	s, _, err := open(dir, f)
	must.NoError(t, err)
	must.NoError(t, s.Close())
	return false
}

// release gives up the locks of a process that has ended.
func (f *faultyFilesystem) release() {
	for _, file := range f.opened {
		_ = unix.Flock(int(file.Fd()), unix.LOCK_UN)
		file.Close()
	}
}
