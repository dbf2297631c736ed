package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/loopback"
	"clovergap/internal/lab/spec"
)

// Settings puts an experiment into the platform's words, as a front door's configuration holds them.
func Settings(s *spec.Spec, me, zone int) map[string]any {
	us := func(d spec.Span) int64 { return d.D().Microseconds() }
	effects := map[string]string{"inquiry-like": "idempotent", "referenced": "deduplicated", "once-only": "at_most_once"}
	scopes := map[string]string{"all": "all", "zone": "zone", "pod": "cell"}
	var classes, plans []map[string]any
	for _, p := range s.Products {
		classes = append(classes, map[string]any{"name": p.Name, "effect": effects[p.Effect], "dedupScope": scopes[p.Scope], "objective": us(p.SLA),
			"giveUp": us(p.Expiry), "window": us(p.Window), "worth": p.Value, "lateWorth": p.LateValue, "stream": false})
	}
	for _, p := range s.Plans {
		plans = append(plans, map[string]any{"name": p.Name, "refill": p.Rate, "peakUnits": p.Burst, "valueFactor": p.Price, "beyondEarns": p.OverValue,
			"excessCost": p.OverCost, "atOnce": p.OpenCap, "ceilingRate": p.Ceiling * p.Rate, "hardBurst": p.Ceiling * p.Burst})
	}
	return map[string]any{"balancers": s.Nodes.Count, "me": me, "zone": zone, "dcs": s.Zones.Names,
		"report": map[string]any{"how": "answers", "fields": []string{"concurrent"}},
		"ceilings": map[string]any{"peers": true, "mayProbe": false, "cancel": s.Limits.Cancel, "retryAfter": s.Limits.Advice,
			"maxRetryAfter": us(s.Limits.LongestAdvice), "maxAttempts": s.Limits.Submissions, "connIdle": us(s.Backends.ConnIdle),
			"dialTimeout": us(s.Backends.DialLimit), "mostHeld": 5000},
		"extra": map[string]any{"mostUnits": 1, "mailPerS": s.Peers.PerSec},
		"rules": map[string]any{"cold": us(s.Rules.WarmBy), "coldFrom": s.Rules.ColdFrom, "fall": us(s.Rules.FallWindow),
			"fallMultiple": s.Rules.FallMultiple},
		"requestClasses": classes, "plans": plans}
}

// Fleet is front doors with all they speak with.
type Fleet struct {
	Spec     *spec.Spec
	Nodes    []*Node
	Backends []*Backend // those in service
	Agents   []*Agent   // one a front door
	Counter  *Counter
	Relay    *Relay // between the front doors
	opt      Options
	dir      string
	network  *loopback.Network // of the front doors
	traces   *traces
	once     map[string]bool
	work     func(string) time.Duration
	mu       sync.Mutex
	all      []*Backend // those that were replaced too
	proxies  map[*Node]map[string]*proxy
	timers   []*time.Timer
	closed   bool
}

// Options are how a fleet is started.
type Options struct {
	Program  string
	Cores    float64
	MemoryMB int
	Sockets  int
	Links    bool         // a proxy on each front door's way to all others, so that faults can hit it
	History  *history.Log // nil: none is kept
	Own      string       // folder for the front doors' own histories; none if empty
	Late     map[int]bool // front doors that are not started yet
	Operator string       // operator file's text, with {name} for the front door's and {dir} for the fleet's folder
}

// free finds ports that are free now.
func free(at string, n int, network string) ([]string, error) {
	var out []string
	var closers []io.Closer
	defer func() {
		for _, c := range closers {
			c.Close()
		}
	}()
	for i := 0; i < n; i++ {
		if network == "udp" {
			c, err := net.ListenPacket("udp4", at+":0")
			if err != nil {
				return nil, err
			}
			out, closers = append(out, c.LocalAddr().String()), append(closers, c)
			continue
		}
		l, err := net.Listen("tcp4", at+":0")
		if err != nil {
			return nil, err
		}
		out, closers = append(out, l.Addr().String()), append(closers, l)
	}
	return out, nil
}

// Start lays the stand-ins and starts the front doors by a program's serve command.
func Start(s *spec.Spec, program string, cores float64, memoryMB, sockets int) (*Fleet, error) {
	return With(s, Options{Program: program, Cores: cores, MemoryMB: memoryMB, Sockets: sockets})
}

// readyMost is how long front doors may take until they are ready.
const readyMost = 30 * time.Second

// With does so as the options say.
func With(s *spec.Spec, o Options) (f *Fleet, err error) {
	dir, err := os.MkdirTemp("", "clovergap-lab-")
	if err != nil {
		return nil, err
	}
	f = &Fleet{Spec: s, opt: o, dir: dir, once: map[string]bool{}, proxies: map[*Node]map[string]*proxy{}}
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	if o.Links {
		f.traces = &traces{}
	}
	if err := f.layBackends(); err != nil {
		return f, err
	}
	if err := f.layNodes(); err != nil {
		return f, err
	}
	return f, f.startNodes()
}

// layBackends starts the backends.
func (f *Fleet) layBackends() error {
	s := f.Spec
	f.work = f.works()
	for _, p := range s.Products {
		f.once[p.Name] = p.Effect == "once-only"
	}
	for i := range s.Backends.Count {
		if _, err := f.add(s.Zones.Names[i%len(s.Zones.Names)], i%s.Backends.Pods, time.Time{}); err != nil {
			return err
		}
	}
	return nil
}

// layNodes makes the front doors, without starting any, and what stands between them and the rest.
func (f *Fleet) layNodes() (err error) {
	if f.network, err = loopback.Reserve(); err != nil {
		return err
	}
	s, at := f.Spec, f.network.Host(1) // no other run takes a port there while a front door is down
	listen, err := free(at, s.Nodes.Count, "tcp")
	if err != nil {
		return err
	}
	peers, err := free(at, s.Nodes.Count, "udp")
	if err != nil {
		return err
	}
	if f.Counter, err = NewCounter(s.Seed); err != nil {
		return err
	}
	if f.Relay, err = NewRelay(peers, s.Seed); err != nil {
		return err
	}
	for i := range s.Nodes.Count {
		if err := f.layNode(i, listen[i], peers[i]); err != nil {
			return err
		}
	}
	return nil
}

// layNode makes one front door with its discovery agent and the ways to what it calls.
func (f *Fleet) layNode(number int, listen, peers string) error {
	name, zones := fmt.Sprintf("n%d", number), f.Spec.Zones.Names
	d := &Node{Index: number, fresh: make(chan struct{}, 1), Zone: zones[number%len(zones)], Addr: listen, peers: peers, fleet: f,
		conf: filepath.Join(f.dir, name+".json"), Discovery: newWay(), Counter: newWay(), Backends: map[string]*Link{},
		memory: f.opt.MemoryMB, sockets: f.opt.Sockets}
	for _, zone := range zones {
		d.Backends[zone] = newWay()
	}
	d.Process = NewProcess(name, f.opt.History, d.prepare, d.parseLog, d.serves)
	f.Nodes = append(f.Nodes, d)
	a, err := NewAgent()
	if err != nil {
		return err
	}
	a.node, a.log = d.Name, f.opt.History
	if f.opt.Links {
		a.way, a.seen = d.Discovery, f.traces
	}
	f.Agents = append(f.Agents, a)
	if d.counter, err = f.via(d, "counter", f.Counter.Addr, d.Counter); err != nil {
		return err
	}
	if d.discovery, err = f.via(d, "discovery", a.Addr, d.Discovery); err != nil {
		return err
	}
	for _, b := range f.Backends {
		if err := f.notify(d, b, "Ready"); err != nil {
			return err
		}
	}
	d.known = a.Snapshot()
	return nil
}

// startNodes starts all front doors but those that come late, and waits until they are ready.
func (f *Fleet) startNodes() error {
	for _, d := range f.Nodes {
		if !f.opt.Late[d.Index] {
			if err := d.launch(); err != nil {
				return err
			}
		}
	}
	for _, d := range f.Nodes {
		if !f.opt.Late[d.Index] {
			if err := d.ready(readyMost); err != nil {
				return err
			}
		}
	}
	return nil
}

// add starts a backend; a zero time is long ago.
func (f *Fleet) add(zone string, pod int, boot time.Time) (*Backend, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.all)
	b, err := NewBackend(fmt.Sprintf("s-%d", n+1), zone, pod, f.Spec.Backends.Slots, f.Spec.Backends.Queue, f.Spec.Seed+uint64(n), f.work)
	if err != nil {
		return nil, err
	}
	b.Once, b.Boot, b.log, b.traces = f.once, boot, f.opt.History, f.traces
	if !boot.IsZero() {
		b.started = history.Now()
	}
	if rate := f.Spec.Backends.ErrorRate; f.opt.Links && rate > 0 {
		b.Bring(func(m *Mode) { m.Fail = rate })
	}
	f.Backends, f.all = append(f.Backends, b), append(f.all, b)
	return b, nil
}

// via gives the address at which a front door finds something: its own, or that of a proxy before it.
func (f *Fleet) via(d *Node, what, addr string, w *Link) (string, error) {
	if !f.opt.Links {
		return addr, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return "", errors.New("the fleet is closed")
	}
	if f.proxies[d] == nil {
		f.proxies[d] = map[string]*proxy{}
	}
	if p := f.proxies[d][what]; p != nil {
		return p.listener.Addr().String(), nil
	}
	p, err := newProxy(addr, w, f.traces)
	if err != nil {
		return "", err
	}
	f.proxies[d][what] = p
	return p.listener.Addr().String(), nil
}

// notify brings one front door's agent news of a backend.
func (f *Fleet) notify(d *Node, b *Backend, state string) error {
	at, err := f.via(d, b.ID, b.Addr, d.Backends[b.Zone])
	if err != nil {
		return err
	}
	f.Agents[d.Index].notifyAt(b, at, state)
	return nil
}

// NotifyAll brings all agents news of a backend.
func (f *Fleet) NotifyAll(b *Backend, state string) {
	for _, d := range f.Nodes {
		f.notify(d, b, state)
	}
}

// Replace ends a backend's process and starts one of a new id in its place, cold, after a while; discovery tells of
// either late.
func (f *Fleet) Replace(b *Backend, gone time.Duration, told func() time.Duration) {
	b.Set(Mode{Down: true})
	f.remove(b)
	f.Later(told(), func() { f.NotifyAll(b, "Gone") })
	f.Later(gone, func() {
		n, err := f.add(b.Zone, b.Pod, time.Now())
		if err == nil {
			f.Later(told(), func() { f.NotifyAll(n, "Ready") })
		}
	})
}

// Replaced lets a backend that drains go on for a while before it ends; a new one takes its place at once.
func (f *Fleet) Replaced(b *Backend, goes time.Duration, told func() time.Duration) {
	b.Bring(func(m *Mode) { m.Full = 1 }) // it takes nothing new, and turns away what comes
	n, err := f.add(b.Zone, b.Pod, time.Now())
	if err == nil {
		f.Later(told(), func() { f.NotifyAll(n, "Ready") })
	}
	f.Later(goes, func() {
		f.remove(b)
		b.Set(Mode{Down: true})
		f.Later(told(), func() { f.NotifyAll(b, "Gone") })
	})
}

func (f *Fleet) remove(b *Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.Backends {
		if x == b {
			f.Backends = append(f.Backends[:i:i], f.Backends[i+1:]...)
			return
		}
	}
}

// Serving lists the backends in service.
func (f *Fleet) Serving() []*Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Backend(nil), f.Backends...)
}

// Dir is the fleet's own folder: it goes with it.
func (f *Fleet) Dir() string { return f.dir }

// All lists all backends that ever were.
func (f *Fleet) All() []*Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Backend(nil), f.all...)
}

// Later does something after a while, unless the fleet is closed by then.
func (f *Fleet) Later(after time.Duration, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.timers = append(f.timers, time.AfterFunc(after, do))
	}
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

// Close ends all.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for _, t := range f.timers {
		t.Stop()
	}
	var proxies []*proxy
	for _, all := range f.proxies {
		for _, p := range all {
			proxies = append(proxies, p)
		}
	}
	backends := f.all
	f.mu.Unlock()
	for _, d := range f.Nodes {
		d.Close()
	}
	for _, p := range proxies {
		p.Close()
	}
	for _, b := range backends {
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
	if f.network != nil {
		f.network.Release()
	}
	os.RemoveAll(f.dir)
}

// Bounce kills a front door and starts it again after a while.
func (f *Fleet) Bounce(d *Node, down time.Duration) error {
	d.Kill()
	time.Sleep(down)
	return d.Again()
}

// Ready counts the backends that take connections.
func (f *Fleet) Ready() (n int) {
	for _, b := range f.Serving() {
		if !b.mode.Load().Down {
			n++
		}
	}
	return n
}

// Lose takes down a zone's backends; discovery tells it after a while.
func (f *Fleet) Lose(zone string, told time.Duration) {
	var lost []*Backend
	for _, b := range f.Serving() {
		if b.Zone == zone {
			b.Set(Mode{Down: true})
			lost = append(lost, b)
		}
	}
	f.Later(told, func() {
		for _, b := range lost {
			if b.mode.Load().Down {
				f.NotifyAll(b, "Gone")
			}
		}
	})
}

// Heal ends what backends do wrong; those that were down start anew, cold.
func (f *Fleet) Heal() {
	now := time.Now()
	for _, b := range f.Serving() {
		was := b.mode.Load().Down
		b.Set(Mode{})
		if was {
			b.Boot, b.started = now, history.Now()
			f.NotifyAll(b, "Ready")
		}
	}
}
