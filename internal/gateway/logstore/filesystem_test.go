package logstore

import (
	"os"
)

// faultyFilesystem is the operating system's with faults.
type faultyFilesystem struct {
	osFilesystem
	fail map[string]error // by step, such as "open"
}

// OpenFile opens a file, or fails with the error of the step "open".
func (f *faultyFilesystem) OpenFile(name string, flag int, mode os.FileMode) (*os.File, error) {
	if err := f.fail["open"]; err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	return f.osFilesystem.OpenFile(name, flag, mode)
}
