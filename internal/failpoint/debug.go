//go:build debug

package failpoint

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// On tells whether this build has the places.
const On = true

// action is what is to be done at a place, once, when it is reached for so many-th time from now.
type action struct {
	name      string
	remaining int
}

var (
	armed          atomic.Int64 // orders that wait: none costs one load
	mu             sync.Mutex
	pending        = map[Name]*action{}
	partitioned    = map[string]bool{}         // hosts that nothing said here gets to
	poweredOff     = map[string]bool{}         // hosts without power: no end of theirs is told
	unacknowledged = map[string]interruption{} // hosts whose acknowledgements did not come here for a time
	affectedHosts  atomic.Int64                // how many of the three: none costs one load
	writeLine      = func(line []byte) { os.Stderr.Write(line) }
	actions        = map[string]func(){
		"stop": pauseProcess,
		"exit": func() { syscall.Kill(os.Getpid(), syscall.SIGKILL) },
	}
)

// pauseProcess lets the whole process stand still until SIGCONT. The signal goes to this very thread: sent to the process, another
// thread may take it, and this one runs on for a moment, past the place.
func pauseProcess() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGSTOP)
}

// At is put where a place is.
func At(n Name) {
	if armed.Load() == 0 {
		return
	}
	mu.Lock()
	o := pending[n]
	if o == nil {
		mu.Unlock()
		return
	}
	if o.remaining--; o.remaining > 0 {
		mu.Unlock()
		return
	}
	delete(pending, n)
	armed.Add(-1)
	line, _ := json.Marshal(Reached{n, o.name})
	writeLine(append(line, '\n'))
	mu.Unlock()
	actions[o.name]()
}

// Partitioned tells whether nothing that is sent from here gets to an address: host, or host and port.
func Partitioned(to string) bool { return affected(to, partitioned, poweredOff) }

// PoweredOff tells whether the machine at an address has no power: its connections end without a word.
func PoweredOff(at string) bool { return affected(at, poweredOff) }

// affected tells whether an address's host is in one of some lists.
func affected(address string, lists ...map[string]bool) bool {
	if affectedHosts.Load() == 0 {
		return false
	}
	host := hostOf(address)
	mu.Lock()
	defer mu.Unlock()
	for _, list := range lists {
		if list[host] {
			return true
		}
	}
	return false
}

// hostOf returns the host of an address, which is a host, or a host and port.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// interruption is a time in which no acknowledgements came from a host. A zero end means that it lasts.
type interruption struct{ begin, end time.Time }

// ResumesAt returns when a connection to an address, open since a time, delivers again what is written to it now. The zero time means at once.
func ResumesAt(to string, openSince time.Time) time.Time {
	if affectedHosts.Load() == 0 {
		return time.Time{}
	}
	mu.Lock()
	last := unacknowledged[hostOf(to)]
	mu.Unlock()
	if !openSince.Before(last.end) {
		return time.Time{}
	}
	firstUnacknowledged := last.begin
	if openSince.After(firstUnacknowledged) {
		firstUnacknowledged = openSince
	}
	return firstUnacknowledged.Add(NextRetransmission(0, last.end.Sub(firstUnacknowledged)))
}

// loseAcknowledgements begins an interruption. If the kernel has not repeated what went unacknowledged in the one before, that one goes on.
func loseAcknowledgements(host string) {
	last, now := unacknowledged[host], time.Now()
	if last.begin.Add(NextRetransmission(0, last.end.Sub(last.begin))).Before(now) {
		last.begin = now
	}
	unacknowledged[host] = interruption{begin: last.begin}
}

// restoreAcknowledgements ends an interruption, if one lasts.
func restoreAcknowledgements(host string) {
	if last, known := unacknowledged[host]; known && last.end.IsZero() {
		unacknowledged[host] = interruption{last.begin, time.Now()}
	}
}

// hostCommands are the orders that name a host.
var hostCommands = map[string]func(host string){
	"cut":     func(host string) { partitioned[host] = true },
	"mend":    func(host string) { delete(partitioned, host) },
	"dark":    func(host string) { poweredOff[host] = true },
	"light":   func(host string) { delete(poweredOff, host) },
	"unacked": loseAcknowledgements,
	"acked":   restoreAcknowledgements,
}

// Listen takes orders, a line each: "stop gate.before-submit 3" stands still at the third time from now, "exit" ends
// the process there; "cut 127.1.2.3" loses what is sent to that host from now on, until "mend 127.1.2.3"; "dark 127.1.2.3" does so
// and hides the ends of its connections, until "light 127.1.2.3"; "unacked 127.1.2.3" loses the acknowledgements of that host, until
// "acked 127.1.2.3": connections then wait for the next retransmission. What is wrong is told in one line and changes nothing.
func Listen(in io.Reader) {
	go func() {
		for lines := bufio.NewScanner(in); lines.Scan(); {
			if err := apply(lines.Text()); err != nil {
				line, _ := json.Marshal(map[string]string{"point": "", "error": err.Error()})
				writeLine(append(line, '\n'))
			}
		}
	}()
}

func apply(line string) error {
	f := strings.Fields(line)
	if len(f) == 2 && hostCommands[f[0]] != nil {
		mu.Lock()
		defer mu.Unlock()
		hostCommands[f[0]](f[1])
		affectedHosts.Store(int64(len(partitioned) + len(poweredOff) + len(unacknowledged)))
		return nil
	}
	if len(f) < 2 || len(f) > 3 || actions[f[0]] == nil {
		return fmt.Errorf("%q is no order: want stop or exit, a point, and the count if not 1; or cut, mend, dark, light, unacked or acked and a host", line)
	}
	nth := 1
	if len(f) == 3 {
		if _, err := fmt.Sscan(f[2], &nth); err != nil || nth < 1 {
			return fmt.Errorf("%q: the count must be a number from 1", line)
		}
	}
	if !Known(Name(f[1])) {
		return fmt.Errorf("%q: no such point", line)
	}
	mu.Lock()
	defer mu.Unlock()
	if pending[Name(f[1])] == nil {
		armed.Add(1)
	}
	pending[Name(f[1])] = &action{f[0], nth}
	return nil
}
