package standin

import (
	"fmt"
	"maps"
	"slices"
)

// hostCondition is a simulated fault of the path from a process to a host, or of the host's machine.
type hostCondition int

const (
	blocked        hostCondition = iota // nothing that the process sends gets to the host
	poweredOff                          // the same, and ends of the host's connections stay hidden
	unacknowledged                      // acknowledgements of the host do not come
	hostConditions                      // number of conditions
)

// hostCommands are the commands of a debug build that begin and end a condition (package failpoint).
var hostCommands = [hostConditions]struct{ begin, end string }{{"cut", "mend"}, {"dark", "light"}, {"unacked", "acked"}}

// BlockHost begins or ends a condition in which nothing that a debug build sends gets to a host. The condition lasts until each caller has ended it.
func (p *Process) BlockHost(host string, begin bool) { p.setHostCondition(blocked, host, begin) }

// PowerOffHost begins or ends a condition in which a debug build takes a host for a machine without power: nothing gets there, and the ends of its
// connections stay hidden. The condition lasts until each caller has ended it.
func (p *Process) PowerOffHost(host string, begin bool) { p.setHostCondition(poweredOff, host, begin) }

// LoseAcknowledgements begins or ends a condition in which a debug build gets no acknowledgements of a host. Connections to the host that outlast it deliver
// nothing until their next retransmission. The condition lasts until each caller has ended it.
func (p *Process) LoseAcknowledgements(host string, begin bool) {
	p.setHostCondition(unacknowledged, host, begin)
}

// setHostCondition counts the callers that want a condition, and tells the process when there is a first one and when none is left.
func (p *Process) setHostCondition(condition hostCondition, host string, begin bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conditions[condition] == nil {
		p.conditions[condition] = map[string]int{}
	}
	callers := p.conditions[condition]
	if begin {
		if callers[host]++; callers[host] == 1 {
			p.sendCommand("%s %s\n", hostCommands[condition].begin, host)
		}
		return
	}
	if callers[host]--; callers[host] <= 0 {
		delete(callers, host)
		p.sendCommand("%s %s\n", hostCommands[condition].end, host)
	}
}

// sendHostConditions tells a process that has just started which conditions last. The caller holds p.mu.
func (p *Process) sendHostConditions() {
	for condition, callers := range p.conditions {
		for _, host := range slices.Sorted(maps.Keys(callers)) {
			p.sendCommand("%s %s\n", hostCommands[condition].begin, host)
		}
	}
}

// sendCommand sends a command to the process if it runs. The caller holds p.mu.
func (p *Process) sendCommand(format string, args ...any) {
	if p.stdin != nil && p.ended == nil {
		fmt.Fprintf(p.stdin, format, args...) // one that ends now needs none
	}
}
