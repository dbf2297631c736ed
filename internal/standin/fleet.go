package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"clovergap/internal/spec"
)

// Settings puts an experiment into the platform's words, as a front door's configuration holds them.
func Settings(s *spec.Spec, me, hall int) map[string]any {
	us := func(d spec.Span) int64 { return d.D().Microseconds() }
	effects := map[string]string{"inquiry-like": "idempotent", "referenced": "deduplicated", "once-only": "at_most_once"}
	scopes := map[string]string{"all": "all", "hall": "zone", "pod": "cell"}
	var classes, plans []map[string]any
	for _, p := range s.Products {
		classes = append(classes, map[string]any{"name": p.Name, "effect": effects[p.Effect], "dedupScope": scopes[p.Scope], "objective": us(p.SLA),
			"giveUp": us(p.Expiry), "window": us(p.Window), "worth": p.Value, "lateWorth": p.LateValue, "stream": false})
	}
	for _, p := range s.Plans {
		plans = append(plans, map[string]any{"name": p.Name, "refill": p.Rate, "peakUnits": p.Burst, "valueFactor": p.Price, "beyondEarns": p.OverValue,
			"excessCost": p.OverCost, "atOnce": p.OpenCap, "ceilingRate": p.Ceiling * p.Rate, "hardBurst": p.Ceiling * p.Burst})
	}
	return map[string]any{"balancers": s.Doors.Count, "me": me, "zone": hall, "dcs": s.Halls.Names,
		"report": map[string]any{"how": "answers", "fields": []string{"concurrent"}},
		"ceilings": map[string]any{"peers": true, "mayProbe": false, "cancel": s.Limits.Cancel, "retryAfter": s.Limits.Advice,
			"maxRetryAfter": us(s.Limits.LongestAdvice), "maxAttempts": s.Limits.Submissions, "connIdle": us(s.Backends.ConnIdle),
			"dialTimeout": us(s.Backends.DialLimit), "mostHeld": 5000},
		"extra": map[string]any{"mostUnits": 1, "mailPerS": s.Peers.PerSec},
		"rules": map[string]any{"cold": us(s.Rules.WarmBy), "coldFrom": s.Rules.ColdFrom, "fall": us(s.Rules.FallWindow),
			"fallMultiple": s.Rules.FallMultiple},
		"requestClasses": classes, "plans": plans}
}

// Door is one front door's process.
type Door struct {
	Nr     int
	Addr   string
	conf   string
	cmd    *exec.Cmd
	mu     sync.Mutex
	last   map[string]int // counters, as last told
	fresh  chan struct{}
	killed bool
	exit   chan error
}

// Fleet is front doors with all they speak with.
type Fleet struct {
	Spec     *spec.Spec
	Doors    []*Door
	Backends []*Backend
	Agents   []*Agent // one a front door
	Counter  *Counter
	Relay    *Relay // between the front doors
	program  string
	dir      string
}

// free finds ports that are free now.
func free(n int, network string) ([]string, error) {
	var out []string
	var closers []io.Closer
	defer func() {
		for _, c := range closers {
			c.Close()
		}
	}()
	for i := 0; i < n; i++ {
		if network == "udp" {
			c, err := net.ListenPacket("udp4", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			out, closers = append(out, c.LocalAddr().String()), append(closers, c)
			continue
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		out, closers = append(out, l.Addr().String()), append(closers, l)
	}
	return out, nil
}

// Start lays the stand-ins and starts the front doors by a program's serve command.
func Start(s *spec.Spec, program string, cores float64, memoryMB, sockets int) (f *Fleet, err error) {
	dir, err := os.MkdirTemp("", "clovergap-lab-")
	if err != nil {
		return nil, err
	}
	f = &Fleet{Spec: s, program: program, dir: dir}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	work, once := f.works(), map[string]bool{}
	for _, p := range s.Products {
		once[p.Name] = p.Effect == "once-only"
	}
	for i := 0; i < s.Backends.Count; i++ {
		b, err := NewBackend(fmt.Sprintf("s-%d", i+1), s.Halls.Names[i%len(s.Halls.Names)], i%s.Backends.Pods, s.Backends.Slots,
			s.Backends.Queue, s.Seed+uint64(i), work)
		if err != nil {
			return f, err
		}
		b.Once = once
		f.Backends = append(f.Backends, b)
	}
	listen, err := free(s.Doors.Count, "tcp")
	if err != nil {
		return f, err
	}
	peers, err := free(s.Doors.Count, "udp")
	if err != nil {
		return f, err
	}
	if f.Counter, err = NewCounter(s.Seed); err != nil {
		return f, err
	}
	if f.Relay, err = NewRelay(peers, s.Seed); err != nil {
		return f, err
	}
	for i := 0; i < s.Doors.Count; i++ {
		a, err := NewAgent()
		if err != nil {
			return f, err
		}
		f.Agents = append(f.Agents, a)
		for _, b := range f.Backends {
			a.Tell(b, "Ready", time.Time{})
		}
		conf := map[string]any{"name": fmt.Sprintf("n%d", i), "listen": listen[i], "discovery": a.Addr, "seed": fmt.Sprintf("%016x", s.Seed+uint64(i)),
			"limits": map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets}, "peer_listen": peers[i], "peers": f.Relay.Peers(i), "counter": f.Counter.Addr,
			"known": json.RawMessage(a.Whole()), "settings": Settings(s, i, i%len(s.Halls.Names))}
		text, err := json.MarshalIndent(conf, "", " ")
		if err != nil {
			return f, err
		}
		d := &Door{Nr: i, Addr: listen[i], conf: filepath.Join(dir, fmt.Sprintf("n%d.json", i))}
		if err := os.WriteFile(d.conf, text, 0o600); err != nil {
			return f, err
		}
		f.Doors = append(f.Doors, d)
		if err := f.Launch(d); err != nil {
			return f, err
		}
	}
	for _, d := range f.Doors {
		if err := d.ready(20 * time.Second); err != nil {
			return f, err
		}
	}
	return f, nil
}

// works gives each product's work time; exponential about its mean.
func (f *Fleet) works() func(string) time.Duration {
	mean := map[string]time.Duration{}
	for _, p := range f.Spec.Products {
		mean[p.Name] = p.Work.D()
	}
	src := newSource(f.Spec.Seed)
	return func(kind string) time.Duration { return time.Duration(float64(mean[kind]) * src.exp()) }
}

// Launch starts a front door's process, again if need be.
func (f *Fleet) Launch(d *Door) error {
	d.cmd = exec.Command(f.program, "serve", "--config", d.conf)
	d.cmd.Env = append(os.Environ(), "GOTRACEBACK=single")
	out, err := d.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("front door %d: %w", d.Nr, err)
	}
	d.exit, d.fresh, d.killed = make(chan error, 1), make(chan struct{}, 1), false
	go d.read(out, d.cmd, d.exit)
	return nil
}

// read takes the counters from the log.
func (d *Door) read(out io.Reader, cmd *exec.Cmd, exit chan error) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var l struct {
			Counters    string `json:"counters"`
			Allocations int    `json:"allocations"`
		}
		if json.Unmarshal(in.Bytes(), &l) != nil || l.Counters == "" {
			continue
		}
		counts := map[string]int{"allocations": l.Allocations}
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
	exit <- cmd.Wait()
}

// Counters asks a front door for its counters by SIGUSR1.
func (d *Door) Counters(wait time.Duration) map[string]int {
	select {
	case <-d.fresh:
	default:
	}
	if d.cmd.Process.Signal(syscall.SIGUSR1) == nil {
		select {
		case <-d.fresh:
		case <-time.After(wait):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// CPU is the processor time the process has used, Memory what it holds, in MB.
func (d *Door) CPU() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
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

// Memory is what the process holds, in MB.
func (d *Door) Memory() float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
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
	for {
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Addr+"/up", nil)
		r.Close = true
		if a, err := http.DefaultClient.Do(r); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-d.exit:
			return fmt.Errorf("front door %d ended before it was up: %v", d.Nr, err)
		case <-ctx.Done():
			return fmt.Errorf("front door %d was not up within %s", d.Nr, most)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Kill ends a front door's process at once; Again starts it anew.
func (d *Door) Kill() {
	d.killed = true
	d.cmd.Process.Kill()
}

// Again starts a killed front door and waits until it is up.
func (f *Fleet) Again(d *Door) error {
	if err := f.Launch(d); err != nil {
		return err
	}
	return d.ready(20 * time.Second)
}

// Crashed names front doors that ended by themselves.
func (f *Fleet) Crashed() (who []int) {
	for _, d := range f.Doors {
		select {
		case err := <-d.exit:
			d.exit <- err
			if !d.killed {
				who = append(who, d.Nr)
			}
		default:
		}
	}
	return who
}

// Close ends all.
func (f *Fleet) Close() {
	for _, d := range f.Doors {
		if d.cmd != nil && d.cmd.Process != nil {
			d.killed = true
			d.cmd.Process.Kill()
			if d.exit != nil {
				<-d.exit
			}
		}
	}
	for _, b := range f.Backends {
		b.Close()
	}
	for _, a := range f.Agents {
		a.Close()
	}
	if f.Counter != nil {
		f.Counter.Close()
	}
	if f.Relay != nil {
		f.Relay.Close()
	}
	os.RemoveAll(f.dir)
}

// Up tells whether a front door's process runs.
func (d *Door) Up() bool {
	select {
	case err := <-d.exit:
		d.exit <- err
		return false
	default:
		return true
	}
}

// Bounce kills a front door and starts it again after a while.
func (f *Fleet) Bounce(d *Door, down time.Duration) error {
	d.Kill()
	time.Sleep(down)
	return f.Again(d)
}

// Ready counts the backends that take connections.
func (f *Fleet) Ready() (n int) {
	for _, b := range f.Backends {
		if !b.mode.Load().Down {
			n++
		}
	}
	return n
}

// Lose takes down a hall's backends; discovery tells it after a while.
func (f *Fleet) Lose(hall string, told time.Duration) {
	var lost []*Backend
	for _, b := range f.Backends {
		if b.Hall == hall {
			b.Set(Mode{Down: true})
			lost = append(lost, b)
		}
	}
	time.AfterFunc(told, func() {
		for _, a := range f.Agents {
			for _, b := range lost {
				if b.mode.Load().Down {
					a.Tell(b, "Gone", time.Time{})
				}
			}
		}
	})
}

// Heal ends what backends do wrong; those that were down start anew, cold.
func (f *Fleet) Heal() {
	now := time.Now()
	for _, b := range f.Backends {
		was := b.mode.Load().Down
		b.Set(Mode{})
		if was {
			for _, a := range f.Agents {
				a.Tell(b, "Ready", now)
			}
		}
	}
}
