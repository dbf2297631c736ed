package standin

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// RefuseWrites makes the disk refuse each write of the process, as a full disk does, or accept writes again. The disk refuses as long as any
// caller wants it to, also in later incarnations. RefuseWrites reports whether this call was the first to refuse or the last to accept.
//
// The process gets a limit of 0 bytes for the size of files that it writes. Pipes and sockets have no such limit.
func (p *Process) RefuseWrites(on bool) (changed bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.writeRefusals++
		changed = p.writeRefusals == 1
	} else {
		p.writeRefusals--
		changed = p.writeRefusals == 0
	}
	if changed && p.isRunning() {
		err = p.applyWriteRefusal()
	}
	return changed, err
}

// applyWriteRefusal sets the limit on the size of files that the running process writes. The caller holds the lock. A process that ends
// meanwhile has no limit to set.
func (p *Process) applyWriteRefusal() error {
	pid := p.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return ignoreEnded(fmt.Errorf("read the limit on file sizes of %s: %w", p.Name, err), err)
	}
	limit.Cur = limit.Max
	if p.writeRefusals > 0 {
		limit.Cur = 0
	}
	err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
	return ignoreEnded(fmt.Errorf("set the limit on file sizes of %s: %w", p.Name, err), err)
}

// ignoreEnded returns described, or nil if the call succeeded or if its process no longer exists.
func ignoreEnded(described, err error) error {
	if err == nil || errors.Is(err, unix.ESRCH) {
		return nil
	}
	return described
}
