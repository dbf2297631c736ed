// Package ledger is a file that many processes add to, a line a step, each step under the number of a lease's grant. It
// is the resource that refuses a stale act: a number lower than the last one that was taken for its task, or a span that
// has been closed already, adds nothing. A process that dies while it writes leaves a broken last line, which the next
// one cuts off.
package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Step is a step.
type Step struct {
	Task   string `json:"task"`
	Number uint64 `json:"number"`
	Writer string `json:"by"`
	Span   int64  `json:"span"`
	What   any    `json:"what,omitempty"`
}

// ErrStale: a newer holder has taken a step. ErrClosed: the span is closed already.
var (
	ErrStale  = errors.New("a newer holder has taken a step")
	ErrClosed = errors.New("the span is closed already")
)

// maxTail is how much of the file's end is read to find the last step of a task; lines are far shorter.
const maxTail = 64 << 10

// Add takes a step: one process at a time looks at the last and writes the next.
func Add(file string, l Step) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	if err = unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil { // let go by Close, or with the process
		return err
	}
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	from := max(0, size-maxTail)
	tail := make([]byte, size-from)
	if _, unread := f.ReadAt(tail, from); unread != nil && !errors.Is(unread, io.EOF) {
		return unread
	}
	whole := bytes.LastIndexByte(tail, '\n') + 1
	if whole < len(tail) { // a writer died here
		if err = f.Truncate(from + int64(whole)); err != nil {
			return err
		}
	}
	for lines := bytes.Split(tail[:whole], []byte{'\n'}); len(lines) > 0; lines = lines[:len(lines)-1] {
		var was Step
		if json.Unmarshal(lines[len(lines)-1], &was) != nil || was.Task != l.Task {
			continue
		}
		if l.Number < was.Number {
			return fmt.Errorf("%w: number %d by %s, not %d", ErrStale, was.Number, was.Writer, l.Number)
		}
		if l.Span <= was.Span {
			return fmt.Errorf("%w: %d, by %s", ErrClosed, was.Span, was.Writer)
		}
		break
	}
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(append(b, '\n'), from+int64(whole)); err != nil {
		return err
	}
	return f.Sync()
}

// Read gives all steps; a broken last line is left out.
func Read(file string) (all []Step, err error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b = b[:bytes.LastIndexByte(b, '\n')+1]
	for i, l := range bytes.Split(bytes.TrimSuffix(b, []byte{'\n'}), []byte{'\n'}) {
		if len(l) == 0 {
			continue
		}
		var x Step
		if err := json.Unmarshal(l, &x); err != nil {
			return all, fmt.Errorf("%s:%d: %w", file, i+1, err)
		}
		all = append(all, x)
	}
	return all, nil
}
