package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"clovergap/internal/history"
	"clovergap/internal/points"
)

// Door is one front door's process, in one life after another.
type Door struct {
	Nr         int
	Name, Hall string
	Addr       string
	Discovery  *Way
	Counter    *Way
	Backends   map[string]*Way // by hall

	f                  *Fleet
	conf               string // file
	peers              string
	discovery, counter string // addresses as it is told them
	known              []byte
	memory, sockets    int
	seed               uint64
	same               bool // the next life has this one's seed

	start  sync.Mutex
	mu     sync.Mutex
	cmd    *exec.Cmd
	in     io.WriteCloser
	last   map[string]int // counters, as last told
	fresh  chan struct{}
	meant  bool // its end is ours
	exit   chan struct{}
	ended  error
	life   int
	holds  int // reasons to stand still
	orders map[points.Name]time.Duration
	said   []string // last lines that are no JSON: what a crash says
	gone   time.Time
}

// linesKept of what a process says beside its log.
const linesKept = 12

// write lays the configuration.
func (d *Door) write() error {
	f := d.f
	conf := map[string]any{"name": d.Name, "listen": d.Addr, "discovery": d.discovery, "seed": fmt.Sprintf("%016x", d.seed),
		"limits": map[string]any{"cores": f.opt.Cores, "memory_mb": d.memory, "sockets": d.sockets}, "peer_listen": d.peers,
		"peers": f.Relay.Peers(d.Nr), "counter": d.counter, "known": json.RawMessage(d.known),
		"settings": Settings(f.Spec, d.Nr, d.Nr%len(f.Spec.Halls.Names))}
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.conf, text, 0o600)
}

// launch starts the process, again if need be, with a seed of its own each time.
func (d *Door) launch() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.life++; !d.same {
		d.seed = d.f.Spec.Seed + uint64(d.Nr) + uint64(d.life)<<32
	}
	d.same = false
	if err := d.write(); err != nil {
		return err
	}
	args := []string{"serve", "--config", d.conf}
	text := strings.NewReplacer("{name}", d.Name, "{dir}", d.f.dir).Replace(d.f.opt.Operator)
	if own := d.f.opt.Own; own != "" {
		text += fmt.Sprintf("\n[history]\nfile = %q\ntxns = true\n", filepath.Join(own, d.Name+".jsonl"))
	}
	if text != "" {
		file := filepath.Join(d.f.dir, d.Name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		args = append(args, "--operator", file)
	}
	cmd := exec.Command(d.f.opt.Program, args...)
	cmd.Env = append(os.Environ(), "GOTRACEBACK=single")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the rig, however that ends
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("front door %d: %w", d.Nr, err)
	}
	d.cmd, d.in, d.exit, d.meant, d.holds, d.gone = cmd, in, make(chan struct{}), false, 0, time.Time{}
	d.ended, d.orders, d.said = nil, map[points.Name]time.Duration{}, nil
	if d.fresh == nil {
		d.fresh = make(chan struct{}, 1)
	}
	go d.read(out, cmd, d.exit)
	return nil
}

// read takes counters, points that were reached and last words from the log.
func (d *Door) read(out io.Reader, cmd *exec.Cmd, exit chan struct{}) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var l struct {
			points.Reached
			Counters    string `json:"counters"`
			Allocations int    `json:"allocations"`
			MustHold    int    `json:"must holds broken"`
		}
		switch err := json.Unmarshal(in.Bytes(), &l); {
		case err != nil:
			d.mu.Lock()
			d.said = append(d.said, in.Text())
			d.said = d.said[max(0, len(d.said)-linesKept):]
			d.mu.Unlock()
		case l.Does == "stop":
			go d.reached(cmd, l.Point)
		case l.Counters != "":
			counts := map[string]int{"allocations": l.Allocations, "must holds broken": l.MustHold}
			for _, part := range strings.Split(l.Counters, ", ") {
				if i := strings.LastIndexByte(part, ' '); i > 0 {
					n, _ := strconv.Atoi(part[i+1:])
					counts[part[:i]] = n
				}
			}
			d.mu.Lock()
			d.last = counts
			d.mu.Unlock()
			select {
			case d.fresh <- struct{}{}:
			default:
			}
		}
	}
	err, how := cmd.Wait(), ""
	if err == nil {
		err, how = errors.New("it ended with 0"), history.InOrder
	}
	d.mu.Lock()
	d.ended, d.gone = err, time.Now()
	d.note(history.Down, how)
	d.mu.Unlock()
	close(exit)
}

// note adds to the history; the lock is held.
func (d *Door) note(k history.Kind, what string) {
	d.f.opt.History.Add(history.Event{Who: d.Name, Life: d.life, Kind: k, What: what})
}

// signal reaches the process if it runs; the lock is held.
func (d *Door) signal(s os.Signal) bool {
	return d.cmd != nil && d.ended == nil && d.cmd.Process.Signal(s) == nil
}

// Counters asks a front door for its counters by SIGUSR1.
func (d *Door) Counters(wait time.Duration) map[string]int {
	select {
	case <-d.fresh:
	default:
	}
	d.mu.Lock()
	sent := d.signal(syscall.SIGUSR1)
	d.mu.Unlock()
	if sent {
		select {
		case <-d.fresh:
		case <-time.After(wait):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// Pid is the process's number; nought if it never ran.
func (d *Door) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// CPU is the processor time the process has used.
func (d *Door) CPU() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Pid()))
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
func (d *Door) Memory() float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.Pid()))
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "VmHWM:") {
			kb, _ := strconv.Atoi(strings.Fields(l)[1])
			return float64(kb) / 1024
		}
	}
	return 0
}

// ready waits until the front door answers /up.
func (d *Door) ready(most time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	d.mu.Lock()
	exit, life := d.exit, d.life
	d.mu.Unlock()
	for {
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Addr+"/up", nil)
		r.Close = true
		if a, err := http.DefaultClient.Do(r); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				d.mu.Lock()
				if d.life == life && d.ended == nil {
					d.note(history.Up, "")
				}
				d.mu.Unlock()
				return nil
			}
		}
		select {
		case <-exit:
			if d.Meant() {
				return nil // killed in its start, as a fault may
			}
			return fmt.Errorf("front door %d ended before it was up: %v %s", d.Nr, d.ended, strings.Join(d.said, "; "))
		case <-ctx.Done():
			return fmt.Errorf("front door %d was not up within %s", d.Nr, most)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Meant tells whether the process's end was asked for.
func (d *Door) Meant() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meant
}

// Kill ends the process at once; Again starts it anew.
func (d *Door) Kill() { d.end(syscall.SIGKILL, time.Second) }

// Term tells it to end, and kills it if it has not within a while.
func (d *Door) Term(patience time.Duration) { d.end(syscall.SIGTERM, patience) }

func (d *Door) end(s syscall.Signal, patience time.Duration) {
	d.mu.Lock()
	d.meant = true
	exit := d.exit
	running := d.signal(s)
	d.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exit:
	case <-time.After(patience):
		d.mu.Lock()
		d.signal(syscall.SIGKILL)
		d.mu.Unlock()
		<-exit
	}
}

// Again starts a front door that has ended and waits until it is up.
func (d *Door) Again() error {
	d.start.Lock() // two faults may heal at once
	defer d.start.Unlock()
	if d.Up() {
		return nil
	}
	if err := d.launch(); err != nil {
		return err
	}
	return d.ready(30 * time.Second)
}

// Hold lets the process stand still, or go on; while any reason holds it, it stands.
func (d *Door) Hold(still bool, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if still {
		if d.holds++; d.holds == 1 && d.signal(syscall.SIGSTOP) {
			d.note(history.Stopped, why)
		}
		return
	}
	if d.holds > 0 {
		if d.holds--; d.holds == 0 && d.signal(syscall.SIGCONT) {
			d.note(history.Goes, why)
		}
	}
}

// slowPeriod is how finely a slowed process's time is cut up.
const slowPeriod = 20 * time.Millisecond

// Slow gives the process a share of a core until the context ends: it stands still for the rest of each short period.
func (d *Door) Slow(ctx context.Context, share float64) {
	run := time.Duration(share * float64(slowPeriod))
	for ctx.Err() == nil {
		d.pulse(true)
		time.Sleep(slowPeriod - run)
		d.pulse(false)
		time.Sleep(run)
	}
}

// pulse is a hold too short for the history.
func (d *Door) pulse(still bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holds > 0 {
		return
	}
	if still {
		d.signal(syscall.SIGSTOP)
	} else {
		d.signal(syscall.SIGCONT)
	}
}

// Order tells a debug build to stand still for a while, or to end, when it reaches a point for so many-th time.
func (d *Door) Order(does string, at points.Name, nth int, hold time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended != nil || d.in == nil {
		return fmt.Errorf("front door %d does not run", d.Nr)
	}
	d.orders[at] = hold
	if does == "exit" {
		d.meant = true
	}
	_, err := fmt.Fprintf(d.in, "%s %s %d\n", does, at, nth)
	return err
}

// reached: the process stands still at a point, by its own doing. It goes on after the time that was ordered.
func (d *Door) reached(cmd *exec.Cmd, at points.Name) {
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
	d.mu.Lock()
	hold := d.orders[at]
	if d.cmd != cmd {
		d.mu.Unlock()
		return
	}
	d.holds++
	d.note(history.Stopped, string(at))
	exit := d.exit
	d.mu.Unlock()
	wake := time.NewTimer(hold)
	defer wake.Stop()
	select {
	case <-exit:
	case <-wake.C:
		d.Hold(false, string(at))
	}
}

// Settle rewrites the configuration and has the process read it again.
func (d *Door) Settle(change func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	if err := d.write(); err != nil {
		return err
	}
	d.signal(syscall.SIGHUP)
	return nil
}

// Limits are those of the next lives; nought is the fleet's.
func (d *Door) Limits(memoryMB, sockets int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory, d.sockets = d.f.opt.MemoryMB, d.f.opt.Sockets
	if memoryMB > 0 {
		d.memory = memoryMB
	}
	if sockets > 0 {
		d.sockets = sockets
	}
}

// SameSeed gives the next life the seed of this one, which the platform never does.
func (d *Door) SameSeed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.same = true
}

// MoveDiscovery gives the front door another address of its agent, as a new configuration does; the old one ends a
// while later.
func (d *Door) MoveDiscovery(old time.Duration) error {
	f := d.f
	f.mu.Lock()
	var was *proxy
	if f.proxies[d] != nil {
		was = f.proxies[d]["discovery"]
		delete(f.proxies[d], "discovery")
	}
	f.mu.Unlock()
	if was == nil {
		return errors.New("a fleet without links has one address of discovery")
	}
	at, err := f.via(d, "discovery", f.Agents[d.Nr].Addr, d.Discovery)
	if err != nil {
		return err
	}
	f.Later(old, was.Close)
	f.mu.Lock()
	f.proxies[d][fmt.Sprint("discovery until ", at)] = was // closed with the fleet at the latest
	f.mu.Unlock()
	return d.Settle(func() { d.discovery = at })
}

// Up tells whether the process runs.
func (d *Door) Up() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd != nil && d.ended == nil
}

// Down tells for how long it has not run; nought if it runs.
func (d *Door) Down() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return time.Hour // not started yet
	}
	if d.ended == nil {
		return 0
	}
	return time.Since(d.gone)
}

// Crashed names front doors that ended by themselves, with their last words.
func (f *Fleet) Crashed() (who []int) {
	for _, d := range f.Doors {
		if _, bad := d.Crash(); bad {
			who = append(who, d.Nr)
		}
	}
	return who
}

// Crash gives the last words of a front door that ended by itself.
func (d *Door) Crash() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended == nil || d.meant {
		return "", false
	}
	return fmt.Sprint(d.ended, ": ", strings.Join(d.said, "; ")), true
}

// close ends the process for good and waits for it.
func (d *Door) close() {
	d.mu.Lock()
	d.meant = true
	exit := d.exit
	if d.cmd != nil {
		d.cmd.Process.Kill()
	}
	d.mu.Unlock()
	if exit != nil {
		<-exit
	}
}
