package logstore

import (
	"os"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// faultyFilesystem implements filesystem with the operating system's calls and injects faults into them.
type faultyFilesystem struct {
	osFilesystem
	failures map[string]error // error to return, by step such as "rename"
	crashAt  int              // number of the step, from 1, before which a crash is simulated; 0 means no crash
	steps    []string         // names of the steps that were reached, in order
	opened   []*os.File
}

// errCrash is the panic value that simulates a crash of the process.
var errCrash = errors.New("simulated crash of the process")

// recordStep records a step and returns the error that is injected into the step, or nil. recordStep panics with errCrash at the step
// crashAt.
func (f *faultyFilesystem) recordStep(name string) error {
	f.steps = append(f.steps, name)
	if len(f.steps) == f.crashAt {
		panic(errCrash)
	}
	return f.failures[name]
}

func (f *faultyFilesystem) OpenFile(name string, flag int, mode os.FileMode) (*os.File, error) {
	if err := f.failures["open"]; err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	file, err := f.osFilesystem.OpenFile(name, flag, mode)
	f.opened = append(f.opened, file)
	return file, err
}

func (f *faultyFilesystem) Sync(name string) error {
	stepName := "sync file"
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		stepName = "sync directory"
	}
	if err := f.recordStep(stepName); err != nil {
		return err
	}
	return f.osFilesystem.Sync(name)
}

func (f *faultyFilesystem) Rename(from, to string) error {
	if err := f.recordStep("rename"); err != nil {
		return err
	}
	return f.osFilesystem.Rename(from, to)
}

func (f *faultyFilesystem) Remove(name string) error {
	if err := f.recordStep("remove"); err != nil {
		return err
	}
	return f.osFilesystem.Remove(name)
}

// openAndCrash opens the file in a directory and simulates a crash of the process before the step crashAt. openAndCrash returns false if
// Open finished before that step.
func (f *faultyFilesystem) openAndCrash(t *testing.T, dir string) (crashed bool) {
	t.Helper()
	defer func() {
		if r := recover(); r != nil {
			must.Eq(t, error(errCrash), r.(error), must.Sprint(r))
			crashed = true
			f.releaseLocks()
		}
	}()
	s, _, err := openOnFilesystem(dir, f)
	must.NoError(t, err)
	must.NoError(t, s.Close())
	return false
}

// releaseLocks closes all opened files and releases their locks, as the kernel does when a process ends.
func (f *faultyFilesystem) releaseLocks() {
	for _, file := range f.opened {
		_ = unix.Flock(int(file.Fd()), unix.LOCK_UN)
		file.Close()
	}
}
