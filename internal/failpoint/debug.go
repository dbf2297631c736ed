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

	"golang.org/x/sys/unix"
)

// On tells whether this build has the places.
const On = true

// order is what is to be done at a place, once, when it is reached for so many-th time from now.
type order struct {
	does string
	left int
}

var (
	armed  atomic.Int64 // orders that wait: none costs one load
	mu     sync.Mutex
	orders = map[Name]*order{}
	parted = map[string]bool{} // hosts that nothing said here gets to
	dark   = map[string]bool{} // hosts without power: no end of theirs is told
	cuts   atomic.Int64        // how many of both: none costs one load
	say    = func(line []byte) { os.Stderr.Write(line) }
	does   = map[string]func(){
		"stop": stop,
		"exit": func() { syscall.Kill(os.Getpid(), syscall.SIGKILL) },
	}
)

// stop lets the whole process stand still until SIGCONT. The signal goes to this very thread: sent to the process, another
// thread may take it, and this one runs on for a moment, past the place.
func stop() {
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
	o := orders[n]
	if o == nil {
		mu.Unlock()
		return
	}
	if o.left--; o.left > 0 {
		mu.Unlock()
		return
	}
	delete(orders, n)
	armed.Add(-1)
	line, _ := json.Marshal(Reached{n, o.does})
	say(append(line, '\n'))
	mu.Unlock()
	does[o.does]()
}

// Cut tells whether nothing that is sent from here gets to an address: host, or host and port.
func Cut(to string) bool { return struck(to, parted, dark) }

// Dark tells whether the machine at an address has no power: its connections end without a word.
func Dark(at string) bool { return struck(at, dark) }

// struck tells whether an address's host is in one of some lists.
func struck(address string, lists ...map[string]bool) bool {
	if cuts.Load() == 0 {
		return false
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	mu.Lock()
	defer mu.Unlock()
	for _, list := range lists {
		if list[address] {
			return true
		}
	}
	return false
}

// hosts are the orders that name a host, with what they change and to what.
var hosts = map[string]struct {
	of map[string]bool
	to bool
}{"cut": {parted, true}, "mend": {parted, false}, "dark": {dark, true}, "light": {dark, false}}

// Listen takes orders, a line each: "stop gate.before-submit 3" stands still at the third time from now, "exit" ends
// the process there; "cut 127.1.2.3" loses what is sent to that host from now on, until "mend 127.1.2.3"; "dark 127.1.2.3" does so
// and hides the ends of its connections, until "light 127.1.2.3". What is wrong is told in one line and changes nothing.
func Listen(in io.Reader) {
	go func() {
		for lines := bufio.NewScanner(in); lines.Scan(); {
			if err := take(lines.Text()); err != nil {
				line, _ := json.Marshal(map[string]string{"point": "", "error": err.Error()})
				say(append(line, '\n'))
			}
		}
	}()
}

func take(line string) error {
	f := strings.Fields(line)
	if len(f) == 2 && hosts[f[0]].of != nil {
		mu.Lock()
		defer mu.Unlock()
		if h := hosts[f[0]]; h.to {
			h.of[f[1]] = true
		} else {
			delete(h.of, f[1])
		}
		cuts.Store(int64(len(parted) + len(dark)))
		return nil
	}
	if len(f) < 2 || len(f) > 3 || does[f[0]] == nil {
		return fmt.Errorf("%q is no order: want stop or exit, a point, and the count if not 1; or cut, mend, dark or light and a host", line)
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
	if orders[Name(f[1])] == nil {
		armed.Add(1)
	}
	orders[Name(f[1])] = &order{f[0], nth}
	return nil
}
