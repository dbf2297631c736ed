package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Node is one front door's process, in one life after another.
type Node struct {
	*Process
	Nr        int
	Zone      string
	Addr      string
	Discovery *Way
	Counter   *Way
	Backends  map[string]*Way // by zone

	f                  *Fleet
	conf               string // file
	peers              string
	discovery, counter string // addresses as it is told them
	known              []byte
	memory, sockets    int
	seed               uint64
	same               bool // the next life has this one's seed

	last  map[string]int // counters, as last told
	fresh chan struct{}
}

// write lays the configuration.
func (d *Node) write() error {
	f := d.f
	conf := map[string]any{"name": d.Name, "listen": d.Addr, "discovery": d.discovery, "seed": fmt.Sprintf("%016x", d.seed),
		"limits": map[string]any{"cores": f.opt.Cores, "memory_mb": d.memory, "sockets": d.sockets}, "peer_listen": d.peers,
		"peers": f.Relay.Peers(d.Nr), "counter": d.counter, "known": json.RawMessage(d.known),
		"settings": Settings(f.Spec, d.Nr, d.Nr%len(f.Spec.Zones.Names))}
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.conf, text, 0o600)
}

// prepare lays the configuration of the next life, with a seed of its own each time.
func (d *Node) prepare(life int) (*exec.Cmd, error) {
	if !d.same {
		d.seed = d.f.Spec.Seed + uint64(d.Nr) + uint64(life)<<32
	}
	d.same = false
	if err := d.write(); err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", d.conf}
	text := strings.NewReplacer("{name}", d.Name, "{dir}", d.f.dir).Replace(d.f.opt.Operator)
	if own := d.f.opt.Own; own != "" {
		text += fmt.Sprintf("\n[history]\nfile = %q\ntxns = true\n", filepath.Join(own, d.Name+".jsonl"))
	}
	if text != "" {
		file := filepath.Join(d.f.dir, d.Name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", file)
	}
	cmd := exec.Command(d.f.opt.Program, args...)
	cmd.Env = append(os.Environ(), "GOTRACEBACK=single")
	return cmd, nil
}

// line takes counters from the log.
func (d *Node) line(text []byte) bool {
	var l struct {
		Counters    string `json:"counters"`
		Allocations int    `json:"allocations"`
		MustHold    int    `json:"must holds broken"`
	}
	if json.Unmarshal(text, &l) != nil {
		return false
	}
	if l.Counters == "" {
		return true
	}
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
	return true
}

// serves asks /up.
func (d *Node) serves(ctx context.Context) bool {
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Addr+"/up", nil)
	r.Close = true
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Counters asks a front door for its counters by SIGUSR1.
func (d *Node) Counters(wait time.Duration) map[string]int {
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

// Settle rewrites the configuration and has the process read it again.
func (d *Node) Settle(change func()) error {
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
func (d *Node) Limits(memoryMB, sockets int) {
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
func (d *Node) SameSeed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.same = true
}

// MoveDiscovery gives the front door another address of its agent, as a new configuration does; the old one ends a
// while later.
func (d *Node) MoveDiscovery(old time.Duration) error {
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

// Crashed names front doors that ended by themselves, with their last words.
func (f *Fleet) Crashed() (who []int) {
	for _, d := range f.Nodes {
		if _, bad := d.Crash(); bad {
			who = append(who, d.Nr)
		}
	}
	return who
}
