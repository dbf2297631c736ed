package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"clovergap/internal/failpoint"
	"clovergap/internal/history"
)

// Process is a program of the fleet, in one life after another. It must not outlive the one who started it.
type Process struct {
	Name string

	log      *history.Log
	prepare  func(life int) (*exec.Cmd, error) // lays what the next life reads, and says how it is started
	parseLog func(text []byte) bool            // takes a line of its log; false: words beside the log
	serves   func(ctx context.Context) bool    // asks it

	start         sync.Mutex
	mu            sync.Mutex
	cmd           *exec.Cmd
	stdin         io.WriteCloser
	meant         bool // its end is ours
	exit          chan struct{}
	ended         error
	incarnation   int
	suspensions   int // reasons to stand still
	orders        map[failpoint.Name]time.Duration
	conditions    [hostConditions]map[string]int // callers that want a condition, by host; they outlast an incarnation
	writeRefusals int                            // reasons why the disk refuses writes, likewise
	stderrTail    []string                       // last lines that are no JSON: what a crash says
	gone          time.Time
}

// NewProcess makes one that Again starts. prepare lays what the next life reads; line takes a line of its
// log and tells whether it was one; serves asks it whether it serves.
func NewProcess(name string, log *history.Log, prepare func(life int) (*exec.Cmd, error),
	line func([]byte) bool,
	serves func(context.Context) bool) *Process {
	return &Process{Name: name, log: log, prepare: prepare, parseLog: line, serves: serves}
}

// stderrTailLength of what a process says beside its log.
const stderrTailLength = 12

// launch starts the process, again if need be.
func (p *Process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation++
	cmd, err := p.prepare(p.incarnation)
	if err != nil {
		return err
	}
	// It must not outlive the rig, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.cmd, p.stdin, p.exit, p.meant, p.suspensions, p.gone = cmd, in, make(chan struct{}), false, 0, time.Time{}
	p.ended, p.orders, p.stderrTail = nil, map[failpoint.Name]time.Duration{}, nil
	p.sendHostConditions()
	go p.read(out, cmd, p.exit)
	if p.writeRefusals > 0 {
		return p.applyWriteRefusal()
	}
	return nil
}

// read takes points that were reached and last words from the log.
func (p *Process) read(out io.Reader, cmd *exec.Cmd, exit chan struct{}) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var l failpoint.Reached
		switch {
		case !p.parseLog(in.Bytes()):
			p.mu.Lock()
			p.stderrTail = append(p.stderrTail, in.Text())
			p.stderrTail = p.stderrTail[max(0, len(p.stderrTail)-stderrTailLength):]
			p.mu.Unlock()
		case json.Unmarshal(in.Bytes(), &l) == nil && l.Action == "stop":
			go p.reached(cmd, l.Point)
		}
	}
	err, how := cmd.Wait(), ""
	if err == nil {
		err, how = errors.New("it ended with 0"), history.CleanExit
	}
	p.mu.Lock()
	p.ended, p.gone = err, time.Now()
	p.record(history.Down, how)
	p.mu.Unlock()
	close(exit)
}

// record adds to the history; the lock is held.
func (p *Process) record(k history.Kind, what string) {
	p.log.Add(history.Event{Who: p.Name, Incarnation: p.incarnation, Kind: k, What: what})
}

// signal reaches the process if it runs; the lock is held.
func (p *Process) signal(s os.Signal) bool {
	return p.isRunning() && p.cmd.Process.Signal(s) == nil
}

// isRunning tells whether the process was started and has not been seen to end; the lock is held.
func (p *Process) isRunning() bool { return p.cmd != nil && p.ended == nil }

// Pid is the process's number; nought if it never ran.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// CPU is the processor time the process has used.
func (p *Process) CPU() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("an odd /proc stat")
	}
	u, _ := strconv.Atoi(fields[11])
	s, _ := strconv.Atoi(fields[12])
	return time.Duration(u+s) * 10 * time.Millisecond, nil
}

// Memory is the most that the process held, in MB.
func (p *Process) Memory() float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "VmHWM:") {
			kb, _ := strconv.Atoi(strings.Fields(l)[1])
			return float64(kb) / 1024
		}
	}
	return 0
}

// ready waits until the process serves.
func (p *Process) ready(most time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	p.mu.Lock()
	exit, life := p.exit, p.incarnation
	p.mu.Unlock()
	for {
		if p.serves(ctx) {
			p.mu.Lock()
			if p.incarnation == life && p.ended == nil {
				p.record(history.Up, "")
			}
			p.mu.Unlock()
			return nil
		}
		select {
		case <-exit:
			if p.Meant() {
				return nil // killed in its start, as a fault may
			}
			return fmt.Errorf("%s ended before it was up: %s %s", p.Name, fmt.Sprint(p.ended), strings.Join(p.stderrTail, "; "))
		case <-ctx.Done():
			return fmt.Errorf("%s was not up within %s", p.Name, most)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Meant tells whether the process's end was asked for.
func (p *Process) Meant() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meant
}

// Kill ends the process at once; Again starts it anew.
func (p *Process) Kill() { p.end(syscall.SIGKILL, time.Second) }

// KillAnd ends the process and does something before it may start again.
func (p *Process) KillAnd(do func() error) error {
	p.Kill() // who waits for it to serve gives up
	p.start.Lock()
	defer p.start.Unlock()
	p.Kill()
	return do()
}

// Reload tells it by SIGHUP that what it reads at its start may have changed.
func (p *Process) Reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGHUP)
}

// Term tells it to end, and kills it if it has not within a while.
func (p *Process) Term(patience time.Duration) { p.end(syscall.SIGTERM, patience) }

func (p *Process) end(s syscall.Signal, patience time.Duration) {
	p.mu.Lock()
	p.meant = true
	exit := p.exit
	if s == syscall.SIGKILL && p.isRunning() {
		// Recorded before the signal: a client may see its connection end before the rig goes on, and one that waits for its disk is seen to
		// end much later.
		p.record(history.Down, "")
	}
	running := p.signal(s)
	p.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exit:
	case <-time.After(patience):
		p.mu.Lock()
		p.signal(syscall.SIGKILL)
		p.mu.Unlock()
		<-exit
	}
}

// Again starts a process that has ended and waits until it is up.
func (p *Process) Again() error {
	p.start.Lock() // two faults may heal at once
	defer p.start.Unlock()
	if p.Up() {
		return nil
	}
	if err := p.launch(); err != nil {
		return err
	}
	return p.ready(30 * time.Second)
}

// Suspend lets the process stand still, or go on; while any reason holds it, it stands.
func (p *Process) Suspend(still bool, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if still {
		if p.suspensions++; p.suspensions == 1 && p.signal(syscall.SIGSTOP) {
			p.record(history.Paused, why)
		}
		return
	}
	if p.suspensions > 0 {
		if p.suspensions--; p.suspensions == 0 && p.signal(syscall.SIGCONT) {
			p.record(history.Resumed, why)
		}
	}
}

// Suspended reports whether a reason holds the process.
func (p *Process) Suspended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspensions > 0
}

// SlowPeriod is how finely a slowed process's time is cut up, unless a fault says otherwise.
const SlowPeriod = 20 * time.Millisecond

// Slow gives the process a share of a core until the context ends: it stands still for the rest of each
// period.
func (p *Process) Slow(ctx context.Context, share float64, period time.Duration) {
	run := time.Duration(share * float64(period))
	for ctx.Err() == nil {
		p.pulse(true)
		time.Sleep(period - run)
		p.pulse(false)
		time.Sleep(run)
	}
}

// pulse is a hold too short for the history.
func (p *Process) pulse(still bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspensions > 0 {
		return
	}
	if still {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// Order tells a debug build to stand still for a while, or to end, when it reaches a point for so many-th
// time.
func (p *Process) Order(does string, at failpoint.Name, nth int, hold time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil || p.stdin == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	p.orders[at] = hold
	if does == "exit" {
		p.meant = true
	}
	_, err := fmt.Fprintf(p.stdin, "%s %s %d\n", does, at, nth)
	return err
}

// reached: the process stands still at a point, by its own doing. It goes on after the time that was
// ordered.
func (p *Process) reached(cmd *exec.Cmd, at failpoint.Name) {
	state := func() byte {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		if i := strings.LastIndexByte(string(b), ')'); i > 0 && len(b) > i+2 {
			return b[i+2]
		}
		return 0
	}
	for i := 0; i < 1000 && state() != 'T' && state() != 0; i++ {
		time.Sleep(time.Millisecond)
	}
	p.mu.Lock()
	hold := p.orders[at]
	if p.cmd != cmd {
		p.mu.Unlock()
		return
	}
	p.suspensions++
	p.record(history.Paused, string(at))
	exit := p.exit
	p.mu.Unlock()
	wake := time.NewTimer(hold)
	defer wake.Stop()
	select {
	case <-exit:
	case <-wake.C:
		p.Suspend(false, string(at))
	}
}

// Up tells whether the process runs.
func (p *Process) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.ended == nil
}

// Down tells for how long it has not run; nought if it runs.
func (p *Process) Down() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return time.Hour // not started yet
	}
	if p.ended == nil {
		return 0
	}
	return time.Since(p.gone)
}

// Crash gives the last words of a process that ended by itself.
func (p *Process) Crash() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil || p.meant {
		return "", false
	}
	return fmt.Sprint(p.ended, ": ", strings.Join(p.stderrTail, "; ")), true
}

// Close ends the process for good and waits for it.
func (p *Process) Close() {
	p.mu.Lock()
	p.meant = true
	exit := p.exit
	if p.cmd != nil {
		p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	if exit != nil {
		<-exit
	}
}
