package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/lesismal/nbio/logging"
	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/control/loadbalancer"
	"clovergap/internal/failpoint"
	"clovergap/internal/frontdoor/config"
	"clovergap/internal/frontdoor/discovery"
	"clovergap/internal/frontdoor/lease"
	"clovergap/internal/frontdoor/leasing"
	"clovergap/internal/frontdoor/logs"
	"clovergap/internal/frontdoor/operator"
	"clovergap/internal/history"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/peers"
	"clovergap/internal/proxy/upstream"
)

// Life of a front door that is told to end: clients still come for a while, then connections close between
// txns, then new ones are refused: a front that has not noticed would else send txns up to the last moment.
// What is held is answered by its expiry.
const (
	comingFor = 500 * time.Millisecond
	quietFor  = 800 * time.Millisecond
	endMost   = 3500 * time.Millisecond
	lookEvery = 20 * time.Millisecond
)

// front is one front door with its stages.
type front struct {
	e        *eventloop.Engine
	gate     *gate.Gate
	intake   *downstream.Server
	dispatch *upstream.Dispatch
	peers    *peers.Peers
	watch    *discovery.Watch // of the list that counts
	next     *discovery.Watch // at the address that a new configuration names, until it answers
	conf     *config.Config
	log      *zap.Logger
	past     *past // nil: no history is wanted
	leases   *leasing.Host
}

// clock gives the gate the engine's time; the module's next due time is an entry among all others.
type clock struct {
	*eventloop.Engine
	due eventloop.Alarm
}

func (c *clock) Wake(at time.Duration, nr uint32) { c.At(at, c.due, nr) }

// quiet is for a site without peers.
type quiet struct{}

func (quiet) SendDatagram(control.GatewayID, []byte) {}

func serve(path, oper string) error {
	o, err := operator.Load(oper)
	if err != nil {
		return err
	}
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	log, flush := logs.New(o.Log, c.Name)
	defer flush()
	logging.SetLogger(pollerLog{log.Sugar()})
	limits(c)
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	past, err := record(o.History, c.Name)
	if err != nil {
		return err
	}
	defer past.close()
	failpoint.Listen(os.Stdin) // in debug builds
	f, err := build(c, log, past, o.Leases)
	if err != nil {
		return err
	}
	if f.leases != nil && o.Leases.Socket != "" {
		s, err := leasing.Serve(f.e, f.leases, o.Leases.Socket)
		if err != nil {
			return err
		}
		defer s.Close()
	}
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			f.tell("counters")
			continue
		case syscall.SIGHUP:
			f.reload(path)
			continue
		}
		f.end()
		f.tell("ended")
		return nil
	}
	return nil
}

// limits fits the runtime to what the configuration grants. One core is one processor of the runtime: with the
// timer and datagrams on the poller's set nothing else waits for long (0.6, 0.5, 0.5 s of CPU on a calm day with two,
// 0.6, 0.4, 0.4 s with one).
func limits(c *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 5)
	debug.SetGCPercent(400)
}

// clientShare of the descriptors are clients' at most, since each txn may need one to a backend as well. ringShare of
// the memory holds what comes in; what one connection has under way for certain is small.
const clientShare, ringShare = 2, 4

// build puts the stages together and starts them.
func build(c *config.Config, log *zap.Logger, past *past, o operator.Leases) (*front, error) {
	f := &front{conf: c, log: log, past: past, e: eventloop.New(c.Listen, c.Sockets, http1.MaxRaw, c.MemoryMB<<20/ringShare)}
	node, err := loadbalancer.New(c.Seed, c.Settings, f.e.Now())
	if err != nil {
		return nil, err
	}
	known, err := discovery.Read(c.Known, c.Zones, f.e.AtUnix)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	k := &clock{Engine: f.e}
	f.gate = gate.New(node, k, min(c.MostHeld, c.Sockets), f.e.Count, log)
	k.due = f.gate
	clients := max(1, f.e.FreeConnections()/clientShare)
	f.dispatch = upstream.New(f.e, f.gate, upstream.Config{Dialect: upstream.NewReports(c.Fields), IdleTimeout: c.ConnIdle,
		DialTimeout: c.DialLimit}, func() bool { return f.intake.Evict() })
	f.intake = downstream.New(f.e, clients, downstream.Bounds{}, func() bool { return f.dispatch.Evict(nil) })
	downstream.NewTxns(f.intake, f.gate, txnTerms(c))
	var tell gate.DatagramSender = quiet{}
	if len(c.Peers) > 0 {
		if f.peers, err = peers.New(f.e, c.PeerListen, c.Peers, c.Me, f.heard); err != nil {
			return nil, err
		}
		tell = f.peers
	}
	f.gate.SetTransport(f.dispatch, tell)
	if past != nil && past.txns {
		f.gate.SetWatcher(past)
	}
	f.e.OnAccept(f.intake.Accept)
	f.e.OnTurnEnd(f.gate.RunDecisions)
	if o.On {
		if f.peers == nil {
			return nil, errors.New("leases.on: the configuration names no peers")
		}
		zone := ""
		if n, wrong := strconv.Atoi(c.Settings["zone"]); wrong == nil && n >= 0 && n < len(c.Zones) {
			zone = c.Zones[n]
		}
		if f.leases, err = leasing.New(f.e, o, c.Me, len(c.Peers), uint32(c.Seed)^uint32(c.Seed>>32), c.Name, zone, f.peers.SendDatagram, log, past.add); err != nil {
			return nil, err
		}
		f.peers.Frames(lease.Mark, f.leases.Heard)
		f.e.OnTurnEnd(func() { f.gate.RunDecisions(); f.leases.Pull() })
	}
	f.e.OnOutOfDescriptors(func() {
		if !f.dispatch.Evict(nil) {
			f.intake.Evict()
		}
	})
	f.e.Turn(func() { f.listed(known) })
	failpoint.At(failpoint.BeforeReady)
	if err = f.e.Start(); err != nil {
		return nil, err
	}
	if f.peers != nil {
		f.e.Turn(func() { err = f.peers.Start() })
		if err != nil {
			return nil, err
		}
	}
	f.e.Turn(func() {
		f.watch = discovery.NewWatch(f.e, c.Discovery, c.Wait, c.Zones, f.listed, log)
		f.watch.Start()
	})
	past.add(history.Event{Kind: history.Up})
	log.Info("serves", zap.String("listen", c.Listen), zap.Bool("debug", invariant.Debug))
	return f, nil
}

// heard takes a peer's message to the module.
func (f *front) heard(from control.GatewayID, payload []byte) {
	if f.leases != nil {
		f.leases.Seen(from)
	}
	f.gate.DatagramReceived(from, payload)
}

// reload reads the configuration again, under load. A file that can't be read or is wrong changes nothing. What can
// move while txns are held moves, the rest is named and waits for a restart.
func (f *front) reload(path string) {
	failpoint.At(failpoint.BeforeReload)
	c, err := config.Load(path)
	if err == nil {
		_, err = usable(c)
	}
	if err == nil && (c.Me != f.conf.Me || len(c.Peers) != len(f.conf.Peers)) {
		err = errors.New("another front door's, or another number of them")
	}
	if err != nil {
		f.e.Turn(func() { f.e.Count.Add(counters.ReloadsBad) })
		f.log.Error("configuration not taken, the old one stands", zap.Error(err))
		return
	}
	f.e.Turn(func() {
		f.e.Count.Add(counters.Reloads)
		f.move(c)
		if f.peers != nil {
			f.peers.SetPeers(c.Peers, c.Me)
		}
	})
	f.log.Info("configuration taken", zap.String("discovery", c.Discovery),
		zap.Strings("waits for a restart", f.conf.Fixed(c)))
}

// move watches discovery at another address as well. The old watch goes on until the new one has told a whole list: an
// address where nobody answers costs no change of the list.
func (f *front) move(c *config.Config) {
	addr := c.Discovery
	if f.next != nil && f.next.Addr() == addr {
		return
	}
	if f.next != nil {
		f.next.Stop()
		f.next = nil
	}
	if addr == f.watch.Addr() {
		return
	}
	var w *discovery.Watch
	w = discovery.NewWatch(f.e, addr, c.Wait, c.Zones, func(l discovery.List) {
		if w == f.next {
			f.watch.Stop()
			f.watch, f.next = w, nil
		}
		f.listed(l)
	}, f.log)
	f.next = w
	w.Start()
}

// usable tells what is wrong with a configuration that reads well, and which backends it knows.
func usable(c *config.Config) (discovery.List, error) {
	if _, err := loadbalancer.New(c.Seed, c.Settings, 0); err != nil {
		return discovery.List{}, err
	}
	known, err := discovery.Read(c.Known, c.Zones, func(time.Time) time.Duration { return 0 })
	if err != nil {
		return known, fmt.Errorf("known: %w", err)
	}
	return known, nil
}

// listed takes a list to those who go by it.
func (f *front) listed(l discovery.List) {
	failpoint.At(failpoint.BeforeList)
	f.past.listed(l)
	list := make([]control.Endpoint, 0, len(l.Entries))
	listed := map[control.BackendID]bool{}
	for _, e := range l.Entries {
		list = append(list, e.Endpoint)
		listed[e.ID] = true
		f.dispatch.SetBackend(e.ID, e.Addr, e.Started, e.State == control.Ready)
	}
	if l.Whole {
		f.dispatch.SetBackends(listed)
	}
	f.gate.EndpointsChanged(l.Whole, list)
}

// end goes on for a moment, then closes connections between txns, and ends when all that was taken is answered.
func (f *front) end() {
	f.log.Info("ends")
	began := time.Now()
	time.Sleep(comingFor)
	for over := false; !over && time.Since(began) < endMost; time.Sleep(lookEvery) {
		f.e.Turn(func() {
			f.intake.Drain()
			if time.Since(began) > quietFor {
				f.e.StopListening()
				over = f.gate.InFlight() == 0 && f.intake.Clients() == 0
			}
		})
	}
}

// tell prints the counters.
func (f *front) tell(title string) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f.e.Turn(func() {
		f.log.Info(title, zap.Uint64("allocations", m.Mallocs), zap.String("counters", f.e.Count.Text()), zap.Uint64("must holds broken", invariant.Broken()),
			zap.Int("txns held", f.gate.InFlight()), zap.Int("clients", f.intake.Clients()),
			zap.Int("connections", f.e.Open()), zap.Int("backends", f.dispatch.Backends()))
	})
}

// pollerLog takes the poller's own lines into the log.
type pollerLog struct{ *zap.SugaredLogger }

func (p pollerLog) Debug(string, ...any)         {}
func (p pollerLog) Info(string, ...any)          {}
func (p pollerLog) Warn(format string, v ...any) { p.Warnf(format, v...) }
func (p pollerLog) Error(format string, v ...any) {
	if !strings.Contains(format, "Accept failed") { // counted, and told without end by the acceptor
		p.Errorf(format, v...)
	}
}

// txnTerms is what the configuration says of the txns that clients may send.
func txnTerms(c *config.Config) downstream.TxnConfig {
	terms := downstream.TxnConfig{Plans: c.Plans, Gateways: max(len(c.Peers), 1), MaxUnits: c.MostUnits}
	for _, p := range c.Products {
		terms.Products = append(terms.Products, downstream.Product{Name: p.Name, Keyed: p.Keyed, Safe: p.Safe})
	}
	return terms
}
