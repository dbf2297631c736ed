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
	Index     int
	Zone      string
	Addr      string
	Discovery *Link
	Counter   *Link
	Backends  map[string]*Link // by zone

	fleet              *Fleet
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
func (n *Node) write() error {
	f := n.fleet
	conf := map[string]any{"name": n.Name, "listen": n.Addr, "discovery": n.discovery, "seed": fmt.Sprintf("%016x", n.seed),
		"limits": map[string]any{"cores": f.opt.Cores, "memory_mb": n.memory, "sockets": n.sockets}, "peer_listen": n.peers,
		"peers": f.Relay.Peers(n.Index), "counter": n.counter, "known": json.RawMessage(n.known),
		"settings": Settings(f.Spec, n.Index, n.Index%len(f.Spec.Zones.Names))}
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.conf, text, 0o600)
}

// prepare lays the configuration of the next life, with a seed of its own each time.
func (n *Node) prepare(life int) (*exec.Cmd, error) {
	if !n.same {
		n.seed = n.fleet.Spec.Seed + uint64(n.Index) + uint64(life)<<32
	}
	n.same = false
	if err := n.write(); err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", n.conf}
	text := strings.NewReplacer("{name}", n.Name, "{dir}", n.fleet.dir).Replace(n.fleet.opt.Operator)
	if own := n.fleet.opt.Own; own != "" {
		text += fmt.Sprintf("\n[history]\nfile = %q\ntxns = true\n", filepath.Join(own, n.Name+".jsonl"))
	}
	if text != "" {
		file := filepath.Join(n.fleet.dir, n.Name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", file)
	}
	cmd := exec.Command(n.fleet.opt.Program, args...)
	cmd.Env = append(os.Environ(), "GOTRACEBACK=single")
	return cmd, nil
}

// parseLog takes counters from the log.
func (n *Node) parseLog(text []byte) bool {
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
			count, _ := strconv.Atoi(part[i+1:])
			counts[part[:i]] = count
		}
	}
	n.mu.Lock()
	n.last = counts
	n.mu.Unlock()
	select {
	case n.fresh <- struct{}{}:
	default:
	}
	return true
}

// serves asks /up.
func (n *Node) serves(ctx context.Context) bool {
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+n.Addr+"/up", nil)
	r.Close = true
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// Counters asks a front door for its counters by SIGUSR1.
func (n *Node) Counters(wait time.Duration) map[string]int {
	select {
	case <-n.fresh:
	default:
	}
	n.mu.Lock()
	sent := n.signal(syscall.SIGUSR1)
	n.mu.Unlock()
	if sent {
		select {
		case <-n.fresh:
		case <-time.After(wait):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

// Reconfigure rewrites the configuration and has the process read it again.
func (n *Node) Reconfigure(change func()) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	if err := n.write(); err != nil {
		return err
	}
	n.signal(syscall.SIGHUP)
	return nil
}

// Limits are those of the next lives; nought is the fleet's.
func (n *Node) Limits(memoryMB, sockets int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memory, n.sockets = n.fleet.opt.MemoryMB, n.fleet.opt.Sockets
	if memoryMB > 0 {
		n.memory = memoryMB
	}
	if sockets > 0 {
		n.sockets = sockets
	}
}

// SameSeed gives the next life the seed of this one, which the platform never does.
func (n *Node) SameSeed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.same = true
}

// MoveDiscovery gives the front door another address of its agent, as a new configuration does; the old one ends a
// while later.
func (n *Node) MoveDiscovery(old time.Duration) error {
	f := n.fleet
	f.mu.Lock()
	var was *proxy
	if f.proxies[n] != nil {
		was = f.proxies[n]["discovery"]
		delete(f.proxies[n], "discovery")
	}
	f.mu.Unlock()
	if was == nil {
		return errors.New("a fleet without links has one address of discovery")
	}
	at, err := f.via(n, "discovery", f.Agents[n.Index].Addr, n.Discovery)
	if err != nil {
		return err
	}
	f.Later(old, was.Close)
	f.mu.Lock()
	f.proxies[n][fmt.Sprint("discovery until ", at)] = was // closed with the fleet at the latest
	f.mu.Unlock()
	return n.Reconfigure(func() { n.discovery = at })
}

// Crashed names front doors that ended by themselves, with their last words.
func (f *Fleet) Crashed() (who []int) {
	for _, d := range f.Nodes {
		if _, bad := d.Crash(); bad {
			who = append(who, d.Index)
		}
	}
	return who
}
