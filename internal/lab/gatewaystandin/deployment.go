// Package gatewaystandin plays on loopback what the gateway speaks with, by its published protocol: backends that
// beat and leave, an operator, clients with keys. It starts real nodes as processes, each on an address of
// its own.
package gatewaystandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/settings"
	"clovergap/internal/history"
	"clovergap/internal/lab/loopback"
	"clovergap/internal/lab/standin"
)

// Config are how large a deployment is, and how it is told to behave.
type Config struct {
	Program           string // of gateway
	Nodes             int
	Disks             int    // the first so many nodes have one
	Base              string // first three octets of the nodes' addresses, with a dot; if empty, the deployment reserves a network
	Zones             []string
	BackendsPerZone   int // backends of each service in each zone
	Rate              float64
	Seed              uint64
	HeartbeatInterval time.Duration
	MaxLostDisks      int          // disks that may be lost at once
	Coordination      bool         // applications call for locks, numbers, keys and watches
	History           *history.Log // nil: none is kept
	Play              *Play        // nil: the small deployment
}

// Bounds are what the nodes are told; those of the rules that the rig checks are taken from here.
func Bounds() settings.Bounds { return settings.DefaultBounds() }

// ports of all nodes are alike.
type ports struct{ front, ready, control, inner int }

// Deployment is nodes with all they speak with.
type Deployment struct {
	Config   Config
	Nodes    []*Node
	Operator *Operator
	dir      string
	network  *loopback.Network // nil if Config.Base was given
	ports    ports
	seeds    []string
	control  *http.Client
	ctx      context.Context // of what beats
	stop     context.CancelFunc
	tasks    sync.WaitGroup

	mu           sync.Mutex
	registered   []*HeartbeatBackend // backends that beat
	all          []*HeartbeatBackend // those that are gone too
	incarnations int
	closed       bool
	flaws        map[string]Flaw // of versions, by generation
}

// Node is one node's process, in one life after another.
type Node struct {
	*standin.Process
	Index           int
	Zone, Host      string
	Front, Readying string
	Control         string
	Disk            string // its folder, empty without a disk
	deployment      *Deployment
}

// free finds ports that are free at all addresses.
func free(base string, nodes int) (ports, error) {
	for first := 7100; first < 30000; first += 50 {
		if all(base, nodes, first) {
			return ports{first, first + 1, first + 2, first + 10}, nil
		}
	}
	return ports{}, errors.New("no ports are free")
}

func all(base string, nodes, first int) bool {
	for d := 1; d <= nodes; d++ {
		for _, p := range []int{0, 1, 2, 10} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", base, d, first+p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// New lays the nodes' settings and starts the backends; Start starts the nodes.
func New(o Config) (t *Deployment, err error) {
	dir, err := os.MkdirTemp("", "clovergap-gateway-")
	if err != nil {
		return nil, err
	}
	t = &Deployment{Config: o, dir: dir, control: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4,
		IdleConnTimeout: 5 * time.Second,
		DialContext:     (&net.Dialer{Timeout: time.Second}).DialContext}}}
	t.ctx, t.stop = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			t.Close()
			t = nil
		}
	}()
	if t.Config.Base == "" {
		if t.network, err = loopback.Reserve(); err != nil {
			return t, err
		}
		t.Config.Base = t.network.Prefix()
	}
	if t.ports, err = free(t.Config.Base, o.Nodes); err != nil {
		return t, err
	}
	for i := range o.Nodes {
		host := fmt.Sprintf("%s%d", t.Config.Base, i+1)
		d := &Node{Index: i, Zone: o.Zones[i%len(o.Zones)], Host: host, deployment: t,
			Front: addr(host, t.ports.front), Readying: addr(host, t.ports.ready), Control: addr(host, t.ports.control)}
		if i < o.Disks {
			d.Disk = filepath.Join(dir, fmt.Sprintf("disk%d", i))
		}
		d.Process = standin.NewProcess(fmt.Sprintf("node-%d", i), o.History, d.prepare, d.appendLog, d.serves)
		t.Nodes = append(t.Nodes, d)
		if len(t.seeds) < 3 {
			t.seeds = append(t.seeds, d.Control)
		}
	}
	t.Operator = newOperator(t)
	for _, s := range t.play().services {
		for _, z := range o.Zones {
			for range o.BackendsPerZone {
				if _, err := t.Add(s.Name, z, 0); err != nil {
					return t, err
				}
			}
		}
	}
	return t, nil
}

func addr(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// Start starts all nodes at once and waits until their addresses answer.
func (d *Deployment) Start() error {
	errs := make(chan error, len(d.Nodes))
	for _, node := range d.Nodes {
		go func() { errs <- node.Again() }()
	}
	var bad error
	for range d.Nodes {
		if err := <-errs; err != nil {
			bad = err
		}
	}
	return bad
}

// Settings is the text of the node's settings file.
func (n *Node) Settings(first bool) string {
	t, b := n.deployment, Bounds()
	var s strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&s, format+"\n", args...) }
	line("node_name: %q\nrole: \"node\"\nserves: [\"edge\", \"control\"]", n.Name)
	line("ip: %q\nzone: %q\nregion: \"loopback\"", n.Host, n.Zone)
	line("zones:")
	for _, z := range t.Config.Zones {
		line("  %s: \"loopback\"", z)
	}
	line("bind: {front: %q, readiness: %q, control: %q}", n.Front, n.Readying, n.Control)
	line("inner_port_range: [%d, %d]\nseed_addrs:", t.ports.inner, t.ports.inner+15)
	for _, a := range t.seeds {
		line("  - %q", a)
	}
	line("first_boot: %v\ncounts_as_loss: %v", first, n.Disk != "")
	line("limits: {cpu_share: 1, cores: 1, memory_mb: 284, max_fds: 3000, link_mbps: 1000.0, disk_mb: 64}")
	if n.Disk != "" {
		line("data_dir: %q", n.Disk)
	}
	if t.Config.Coordination {
		line("contracts: [\"coord\"]")
	}
	line("beat_interval: \"%dms\"\ntolerates: {machines: %d, zones: 0, regions: 0}",
		t.Config.HeartbeatInterval.Milliseconds(), t.Config.MaxLostDisks)
	line("bounds: [\"drain=%dms\", \"apply_within=%dms\", \"in_touch=%dms\", \"grace=%dms\"]",
		b.BackendDrain.Milliseconds(),
		b.ApplyWithin.Milliseconds(), b.InTouch.Milliseconds(), b.ShutdownGrace.Milliseconds())
	return s.String()
}

// prepare lays the settings of the next life. Only the first start of all is one on empty disks.
func (n *Node) prepare(life int) (*exec.Cmd, error) {
	file := filepath.Join(n.deployment.dir, n.Name+".yaml")
	if err := os.WriteFile(file, []byte(n.Settings(life == 1)), 0o600); err != nil {
		return nil, err
	}
	if n.Disk != "" {
		if err := os.MkdirAll(n.Disk, 0o700); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(n.deployment.Config.Program, "serve")
	cmd.Env = append(os.Environ(), "GOTRACEBACK=single", settings.PathEnv+"="+file)
	return cmd, nil
}

// serves tells whether the node answers whether it is ready, be it no.
func (n *Node) serves(ctx context.Context) bool {
	_, ok := n.deployment.ready(ctx, n)
	return ok
}

// ready asks a node whether it is, as the platform does.
func (d *Deployment) ready(ctx context.Context, node *Node) (yes, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+node.Readying+"/api/ready", nil)
	r.Close = true
	a, err := d.control.Do(r)
	if err != nil {
		return false, false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK, true
}

// Wipe kills the node and empties its disk.
func (n *Node) Wipe() error {
	if n.Disk == "" {
		return errors.New("no disk to wipe")
	}
	return n.KillAnd(func() error {
		n.deployment.Config.History.Add(history.Event{Who: n.Name, Kind: Wiped})
		return os.RemoveAll(n.Disk)
	})
}

// Wiped is an event of a node that has lost its disk.
const Wiped history.Kind = "wiped"

// Terminates is an event of a node that is told to end.
const Terminates history.Kind = "term"

// Term tells the node to end, and kills it if it has not within a while.
func (n *Node) Term(patience time.Duration) {
	n.deployment.Config.History.Add(history.Event{Who: n.Name, Kind: Terminates})
	n.Process.Term(patience)
}

// RefuseWrites makes the node's disk refuse all writes, or accept them again. The node is in trouble while its disk refuses.
func (n *Node) RefuseWrites(on bool) error {
	kind := Eased
	if on {
		kind = Troubled
	}
	changed, err := n.Process.RefuseWrites(on)
	if changed {
		n.deployment.Config.History.Add(history.Event{Who: n.Name, Kind: kind})
	}
	return err
}

// Reload tells the node that its settings file may have changed.
func (n *Node) Reload() {
	n.deployment.Config.History.Add(history.Event{Who: n.Name, Kind: Reloads})
	n.Process.Reload()
}

// NodeStatus is what a node says of itself.
func (d *Deployment) NodeStatus(node *Node) string { return d.status(node, "/api/Node.Status") }

// Configure sends a complete configuration to the first node that accepts it.
func (d *Deployment) Configure(ctx context.Context, text string) bool {
	for _, node := range d.Nodes {
		status, _, err := d.post(ctx, node.Control, "/api/Config.Replace", []byte(text), time.Second)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// RolloutStatus is what a node says of roll-outs.
func (d *Deployment) RolloutStatus(node *Node) string { return d.status(node, "/api/Rollout.Status") }

func (d *Deployment) status(node *Node, path string) string {
	status, text, err := d.call(d.ctx, "GET", node.Control, path, nil, time.Second)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(status, " ", string(text))
}

// Log is the file of all that the node's lives wrote.
func (n *Node) Log() string { return filepath.Join(n.deployment.dir, n.Name+".log") }

// appendLog keeps the log, and tells its lines from a crash's last words.
func (n *Node) appendLog(text []byte) bool {
	if f, err := os.OpenFile(n.Log(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err == nil {
		f.Write(append(text[:len(text):len(text)], '\n'))
		f.Close()
	}
	return len(text) > 0 && text[0] == '{'
}

// Cores are the nodes with a disk.
func (d *Deployment) Cores() []*Node { return d.Nodes[:min(d.Config.Disks, len(d.Nodes))] }

// Serving lists the backends that beat.
func (d *Deployment) Serving() []*HeartbeatBackend {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*HeartbeatBackend(nil), d.registered...)
}

// All lists all backends that ever were.
func (d *Deployment) All() []*HeartbeatBackend {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*HeartbeatBackend(nil), d.all...)
}

// Close ends all: the nodes by their processes' numbers.
func (d *Deployment) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.stop()
	for _, node := range d.Nodes {
		node.Close()
	}
	d.tasks.Wait()
	for _, l := range d.All() {
		l.Close()
	}
	d.control.CloseIdleConnections()
	if d.network != nil {
		d.network.Release()
	}
	os.RemoveAll(d.dir)
}

// source draws from the deployment's seed, apart for each use.
func (d *Deployment) source(use uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Config.Seed, use)) }
