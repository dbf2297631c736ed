package main

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxSaved is how much processor time a process that did not use its share may use at once.
const maxSaved = time.Millisecond

// cpuShare keeps a machine's process to its share of a core (`cpu_share`): the process is stopped while it is ahead of its share, for a few
// milliseconds at a time. Other stops go through it too.
type cpuShare struct {
	machine *machine
	share   float64
	mu      sync.Mutex
	frozen  bool // by freeze
	spent   bool
}

// keepShare begins to keep a machine's process to a share of a core.
func keepShare(m *machine, share float64) *cpuShare {
	s := &cpuShare{machine: m, share: share}
	go s.run()
	return s
}

func (s *cpuShare) run() {
	at, used, saved := time.Now(), cpuTime(s.machine), maxSaved
	for {
		time.Sleep(100 * time.Microsecond)
		now, usedNow := time.Now(), cpuTime(s.machine)
		saved = min(saved+time.Duration(s.share*float64(now.Sub(at)))-(usedNow-used), maxSaved)
		at, used = now, usedNow
		s.set(&s.spent, saved < 0)
	}
}

// set sets a reason for which the process stands still, and stops or continues the process.
func (s *cpuShare) set(reason *bool, to bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.frozen || s.spent
	*reason = to
	switch after := s.frozen || s.spent; {
	case after && !before:
		s.machine.signal(syscall.SIGSTOP)
	case before && !after:
		s.machine.signal(syscall.SIGCONT)
	}
}

// freeze has the machine stand still until thaw.
func (s *cpuShare) freeze() { s.set(&s.frozen, true) }

func (s *cpuShare) thaw() { s.set(&s.frozen, false) }

// cpuTime is the processor time that a machine's process has used.
func cpuTime(m *machine) time.Duration {
	const scheduled = 2 // of a clock's number: the time for which the process was on a processor
	var t unix.Timespec
	if unix.ClockGettime(int32(^m.process.Process.Pid<<3|scheduled), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
