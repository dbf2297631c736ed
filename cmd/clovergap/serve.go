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
	acceptPeriod = 500 * time.Millisecond
	drainPeriod  = 800 * time.Millisecond
	maxShutdown  = 3500 * time.Millisecond
	shutdownPoll = 20 * time.Millisecond
)

// front is one front door with its stages.
type front struct {
	engine        *eventloop.Engine
	gate          *gate.Gate
	intake        *downstream.Server
	dispatch      *upstream.Dispatch
	peers         *peers.Peers
	discovery     *discovery.Watch // of the list that counts
	nextDiscovery *discovery.Watch // at the address that a new configuration names, until it answers
	conf          *config.Config
	log           *zap.Logger
	history       *processHistory // nil: no history is wanted
	leases        *leasing.Host
}

// clock gives the gate the engine's time; the module's next due time is an entry among all others.
type clock struct {
	*eventloop.Engine
	alarm eventloop.Alarm
}

func (c *clock) Wake(at time.Duration, nr uint32) { c.At(at, c.alarm, nr) }

// noDatagrams is for a site without peers.
type noDatagrams struct{}

func (noDatagrams) SendDatagram(control.GatewayID, []byte) {}

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
	setRuntimeLimits(c)
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	past, err := openHistory(o.History, c.Name)
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
		s, err := leasing.Serve(f.engine, f.leases, o.Leases.Socket)
		if err != nil {
			return err
		}
		defer s.Close()
	}
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			f.logCounters("counters")
			continue
		case syscall.SIGHUP:
			f.reload(path)
			continue
		}
		f.shutdown()
		f.logCounters("ended")
		return nil
	}
	return nil
}

// setRuntimeLimits fits the runtime to what the configuration grants. One core is one processor of the runtime: with the
// timer and datagrams on the poller's set nothing else waits for long (0.6, 0.5, 0.5 s of CPU on a calm day with two,
// 0.6, 0.4, 0.4 s with one).
func setRuntimeLimits(c *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 5)
	debug.SetGCPercent(400)
}

// clientShare of the descriptors are clients' at most, since each txn may need one to a backend as well. ringShare of
// the memory holds what comes in; what one connection has under way for certain is small.
const clientShare, ringShare = 2, 4

// build puts the stages together and starts them.
func build(c *config.Config, log *zap.Logger, past *processHistory, o operator.Leases) (*front, error) {
	f := &front{conf: c, log: log, history: past, engine: eventloop.New(c.Listen, c.Sockets, http1.MaxRaw, c.MemoryMB<<20/ringShare)}
	node, err := loadbalancer.New(c.Seed, c.Settings, f.engine.Now())
	if err != nil {
		return nil, err
	}
	known, err := discovery.Parse(c.KnownBackends, c.Zones, f.engine.AtUnix)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	k := &clock{Engine: f.engine}
	f.gate = gate.New(node, k, min(c.MaxInFlight, c.Sockets), f.engine.Count, log)
	k.alarm = f.gate
	clients := max(1, f.engine.FreeConnections()/clientShare)
	f.dispatch = upstream.New(f.engine, f.gate, upstreamConfig(c), func() bool { return f.intake.Evict() })
	f.intake = downstream.New(f.engine, clients, downstream.Bounds{}, func() bool { return f.dispatch.Evict(nil) })
	downstream.NewTxns(f.intake, f.gate, txnConfig(c))
	var tell gate.DatagramSender = noDatagrams{}
	if len(c.Peers) > 0 {
		if f.peers, err = peers.New(f.engine, c.PeerListen, c.Peers, c.GatewayIndex, f.receiveDatagram); err != nil {
			return nil, err
		}
		tell = f.peers
	}
	f.gate.SetTransport(f.dispatch, tell)
	if past != nil && past.txns {
		f.gate.SetWatcher(past)
	}
	f.engine.OnAccept(f.intake.Accept)
	f.engine.OnTurnEnd(f.gate.RunDecisions)
	if o.Enabled {
		if f.peers == nil {
			return nil, errors.New("leases.on: the configuration names no peers")
		}
		zone := ""
		if n, wrong := strconv.Atoi(c.Settings["zone"]); wrong == nil && n >= 0 && n < len(c.Zones) {
			zone = c.Zones[n]
		}
		if f.leases, err = leasing.New(f.engine, o, c.GatewayIndex, len(c.Peers), uint32(c.Seed)^uint32(c.Seed>>32), c.Name, zone, f.peers.SendDatagram, log, past.add); err != nil {
			return nil, err
		}
		f.peers.Frames(lease.FrameType, f.leases.Receive)
		f.engine.OnTurnEnd(func() { f.gate.RunDecisions(); f.leases.RunDecisions() })
	}
	f.engine.OnOutOfDescriptors(func() {
		if !f.dispatch.Evict(nil) {
			f.intake.Evict()
		}
	})
	f.engine.Turn(func() { f.applyList(known) })
	failpoint.At(failpoint.BeforeReady)
	if err = f.engine.Start(); err != nil {
		return nil, err
	}
	if f.peers != nil {
		f.engine.Turn(func() { err = f.peers.Start() })
		if err != nil {
			return nil, err
		}
	}
	f.engine.Turn(func() {
		f.discovery = discovery.NewWatch(f.engine, c.Discovery, c.WatchTimeout, c.Zones, f.applyList, log)
		f.discovery.Start()
	})
	past.add(history.Event{Kind: history.Up})
	log.Info("serves", zap.String("listen", c.Listen), zap.Bool("debug", invariant.Debug))
	return f, nil
}

// receiveDatagram takes a peer's message to the module.
func (f *front) receiveDatagram(from control.GatewayID, payload []byte) {
	if f.leases != nil {
		f.leases.PeerSeen(from)
	}
	f.gate.DatagramReceived(from, payload)
}

// reload reads the configuration again, under load. A file that can't be read or is wrong changes nothing. What can
// move while txns are held moves, the rest is named and waits for a restart.
func (f *front) reload(path string) {
	failpoint.At(failpoint.BeforeReload)
	c, err := config.Load(path)
	if err == nil {
		_, err = validate(c)
	}
	if err == nil && (c.GatewayIndex != f.conf.GatewayIndex || len(c.Peers) != len(f.conf.Peers)) {
		err = errors.New("another front door's, or another number of them")
	}
	if err != nil {
		f.engine.Turn(func() { f.engine.Count.Add(counters.ReloadsBad) })
		f.log.Error("configuration not taken, the old one stands", zap.Error(err))
		return
	}
	f.engine.Turn(func() {
		f.engine.Count.Add(counters.Reloads)
		f.moveWatch(c)
		if f.peers != nil {
			f.peers.SetPeers(c.Peers, c.GatewayIndex)
		}
	})
	f.log.Info("configuration taken", zap.String("discovery", c.Discovery),
		zap.Strings("waits for a restart", f.conf.RestartOnlyChanges(c)))
}

// moveWatch watches discovery at another address as well. The old watch goes on until the new one has told a whole list: an
// address where nobody answers costs no change of the list.
func (f *front) moveWatch(c *config.Config) {
	addr := c.Discovery
	if f.nextDiscovery != nil && f.nextDiscovery.Addr() == addr {
		return
	}
	if f.nextDiscovery != nil {
		f.nextDiscovery.Stop()
		f.nextDiscovery = nil
	}
	if addr == f.discovery.Addr() {
		return
	}
	var w *discovery.Watch
	w = discovery.NewWatch(f.engine, addr, c.WatchTimeout, c.Zones, func(l discovery.List) {
		if w == f.nextDiscovery {
			f.discovery.Stop()
			f.discovery, f.nextDiscovery = w, nil
		}
		f.applyList(l)
	}, f.log)
	f.nextDiscovery = w
	w.Start()
}

// validate tells what is wrong with a configuration that reads well, and which backends it knows.
func validate(c *config.Config) (discovery.List, error) {
	if _, err := loadbalancer.New(c.Seed, c.Settings, 0); err != nil {
		return discovery.List{}, err
	}
	known, err := discovery.Parse(c.KnownBackends, c.Zones, func(time.Time) time.Duration { return 0 })
	if err != nil {
		return known, fmt.Errorf("known: %w", err)
	}
	return known, nil
}

// applyList takes a list to those who go by it.
func (f *front) applyList(l discovery.List) {
	failpoint.At(failpoint.BeforeList)
	f.history.addBackends(l)
	list := make([]control.Endpoint, 0, len(l.Entries))
	listed := map[control.BackendID]bool{}
	for _, e := range l.Entries {
		list = append(list, e.Endpoint)
		listed[e.ID] = true
		f.dispatch.SetBackend(e.ID, e.Addr, e.Started, e.State == control.Ready)
	}
	if l.Complete {
		f.dispatch.SetBackends(listed)
	}
	f.gate.EndpointsChanged(l.Complete, list)
}

// shutdown goes on for a moment, then closes connections between txns, and ends when all that was taken is answered.
func (f *front) shutdown() {
	f.log.Info("ends")
	began := time.Now()
	time.Sleep(acceptPeriod)
	for over := false; !over && time.Since(began) < maxShutdown; time.Sleep(shutdownPoll) {
		f.engine.Turn(func() {
			f.intake.Drain()
			if time.Since(began) > drainPeriod {
				f.engine.StopListening()
				over = f.gate.InFlight() == 0 && f.intake.Clients() == 0
			}
		})
	}
}

// logCounters prints the counters.
func (f *front) logCounters(title string) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f.engine.Turn(func() {
		f.log.Info(title, zap.Uint64("allocations", m.Mallocs), zap.String("counters", f.engine.Count.Text()), zap.Uint64("must holds broken", invariant.Violations()),
			zap.Int("txns held", f.gate.InFlight()), zap.Int("clients", f.intake.Clients()),
			zap.Int("connections", f.engine.Open()), zap.Int("backends", f.dispatch.Backends()))
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

// upstreamConfig returns what the configuration says of the connections to backends.
func upstreamConfig(c *config.Config) upstream.Config {
	return upstream.Config{Dialect: upstream.NewReports(c.LoadFields), IdleTimeout: c.IdleTimeout, DialTimeout: c.DialTimeout}
}

// txnConfig is what the configuration says of the txns that clients may send.
func txnConfig(c *config.Config) downstream.TxnConfig {
	terms := downstream.TxnConfig{Plans: c.Plans, Gateways: max(len(c.Peers), 1), MaxUnits: c.MaxUnits}
	for _, p := range c.Products {
		terms.Products = append(terms.Products, downstream.Product{Name: p.Name, Keyed: p.Keyed, Safe: p.Safe})
	}
	return terms
}
