package node

import "time"

// livenessMaxDelay is how long a liveness report waits for a message of the log: two of a leader's heartbeats.
const livenessMaxDelay = 300 * time.Millisecond

// livenessReports decides how liveness reports go from a member to other nodes with a disk, by address: with a message of the log, or with a
// heartbeat of their own.
type livenessReports map[string]livenessState

// livenessState is that of one receiver.
type livenessState struct {
	piggybacks   bool          // its program sends and takes reports with messages of the log
	pendingSince time.Duration // since when a report waits for a message; 0: none does
}

// deferReport makes a report pending for the next message of the log. True: no heartbeat is needed now.
func (l livenessReports) deferReport(addr string, now time.Duration) bool {
	state := l[addr]
	state.pendingSince = now
	l[addr] = state
	return state.piggybacks
}

// cancel takes a pending report back: a heartbeat brings it.
func (l livenessReports) cancel(addr string) {
	state := l[addr]
	state.pendingSince = 0
	l[addr] = state
}

// take reports whether a report was pending. It goes with the message that is about to be sent.
func (l livenessReports) take(addr string) bool {
	pending := l[addr].pendingSince > 0
	if pending {
		l.cancel(addr)
	}
	return pending
}

// received notes that a node's program piggybacks.
func (l livenessReports) received(from string) {
	state := l[from]
	state.piggybacks = true
	l[from] = state
}

// takeOverdue reports whether a report waited for a message of the log in vain. The next ones go with heartbeats, until the node
// piggybacks again.
func (l livenessReports) takeOverdue(addr string, now time.Duration) bool {
	state := l[addr]
	overdue := state.piggybacks && state.pendingSince > 0 && now-state.pendingSince >= livenessMaxDelay
	if overdue {
		l.reset(addr)
	}
	return overdue
}

// reset forgets what is known of a node's program: it may run another one.
func (l livenessReports) reset(addr string) { delete(l, addr) }
