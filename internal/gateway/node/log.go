package node

import (
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/phuslu/log"
	"go.uber.org/zap"
)

// Log lines are JSON objects on standard error, one an event: time, level, node, part, fields, message. A message is constant, so
// that it can be searched for; what varies is in the fields. A thing has one name in all lines, and log_test.go has the list:
//
//	part                  the part of the node that the line is about: a logPart
//	term, index           of the replicated log, the configuration's or a group's
//	version               of the configuration
//	member, members       of the replicated log: an ID; how many there are
//	leader, peer          the address of another node among nodes
//	slot, slots           a node's number in the order of slots; how many there are
//	group                 of coordination, from 0
//	service, rollout      a service's name; the number of its roll-out
//	status                of a control call, as in HTTP
//	client                the address of a client
//	unwritten             bytes that were not written to a connection
//	stale_ms              how old contact with a majority is
//	not_logged            events of the same kind since the last line, which have no line
//	reason, reasons       why, in words
//	error                 what went wrong

// logPart names a part of a node: the field "part" of each line.
type logPart string

const (
	nodePart     logPart = "node"     // the process, its links and its readiness
	corePart     logPart = "core"     // the configuration's replicated log, and the disk
	registryPart logPart = "registry" // the backends
	streamPart   logPart = "stream"   // the log stream to nodes without a disk, both ends
	gatePart     logPart = "gate"     // requests
	rolloutPart  logPart = "rollout"
	groupPart    logPart = "group"  // coordination
	pollerPart   logPart = "poller" // the library that polls sockets
)

// newLogger writes to standard error, a line an event. Times are of the day, in the machine's zone.
func newLogger(name string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000", Context: log.NewContext(nil).Str("node", name).Value(),
		Writer: &log.IOWriter{Writer: os.Stderr}}
}

// logInfo begins a line on what happened in a part. The caller adds fields and ends it with Msg.
func (n *Node) logInfo(p logPart) *log.Entry { return n.log.Info().Str("part", string(p)) }

// logWarn begins a line on what went wrong in a part. The caller adds fields and ends it with Msg.
func (n *Node) logWarn(p logPart) *log.Entry { return n.log.Warn().Str("part", string(p)) }

// gateLog takes the control module's lines into the node's log.
type gateLog struct{ node *Node }

// Info logs a line of the control module.
func (g gateLog) Info(message string, fields ...zap.Field) {
	line := g.node.logInfo(gatePart)
	for _, f := range fields { // figures, see gate.Log
		line.Float64(f.Key, math.Float64frombits(uint64(f.Integer)))
	}
	line.Msg(message)
}

// pollerLog takes the lines of the library that polls sockets into the process's log. It may be called outside of a node's turns.
type pollerLog struct{ log *log.Logger }

// setPollerLog is once a process: the library has one logger for all its engines.
var setPollerLog sync.Once

func logPoller(l *log.Logger) {
	setPollerLog.Do(func() { logging.SetLogger(pollerLog{l}) })
}

// Debug drops the library's own diagnostics.
func (pollerLog) Debug(string, ...any) {}

// Info logs the library's start and end.
func (p pollerLog) Info(format string, args ...any) { p.write(p.log.Info(), format, args) }

// Warn logs what the library warns of.
func (p pollerLog) Warn(format string, args ...any) { p.write(p.log.Warn(), format, args) }

// Error logs what failed in the library.
func (p pollerLog) Error(format string, args ...any) { p.write(p.log.Error(), format, args) }

func (pollerLog) write(e *log.Entry, format string, args []any) {
	e.Str("part", string(pollerPart)).Str("detail", strings.TrimSpace(fmt.Sprintf(format, args...))).Msg("poller reported")
}

// unreadLogInterval is the least time between two lines on clients that do not read.
const unreadLogInterval = time.Second

// unreadLog is what was logged of clients that do not read.
type unreadLog struct {
	nextAt    time.Duration
	notLogged int
}

// logUnread logs that a client was cut off because it did not read what it was sent, at most once each unreadLogInterval.
func (n *Node) logUnread(client net.Addr, unwritten int) {
	last, now := &n.unreadLog, n.loop.Now()
	if now < last.nextAt {
		last.notLogged++
		return
	}
	n.logWarn(nodePart).Stringer("client", client).Int("unwritten", unwritten).Int("not_logged", last.notLogged).
		Msg("client cut off, it does not read")
	last.nextAt, last.notLogged = now+unreadLogInterval, 0
}

// stateLogInterval is how often changes of state are looked for.
const stateLogInterval = time.Second

// loggedState is what was last logged of what operators ask first: which nodes are reachable, and whether clients are wanted here.
type loggedState struct {
	checkedAt time.Duration
	reachable int
	unmet     []string // addresses of nodes that a link leads to and that have sent no hello
	notReady  []string // reasons
}

// logStateChanges logs what has changed of it, and checks the links, each stateLogInterval.
func (n *Node) logStateChanges() {
	last := &n.logged
	if n.loop.Now()-last.checkedAt < stateLogInterval {
		return
	}
	last.checkedAt = n.loop.Now()
	n.links.Check()
	if links := n.roster.LinkReport(); n.reachable != last.reachable || !slices.Equal(links.WithoutHello, last.unmet) {
		last.reachable, last.unmet = n.reachable, links.WithoutHello
		n.logInfo(nodePart).Int("reachable", n.reachable).Int("slots", n.slotCount).Int("links_up", links.Connected).
			Int("links_wanted", links.Wanted).Strs("links_without_hello", links.WithoutHello).Msg("reachable nodes changed")
	}
	reasons := n.unreadyReasons()
	if slices.Equal(reasons, last.notReady) {
		return
	}
	last.notReady = reasons
	if len(reasons) == 0 {
		n.logInfo(nodePart).Msg("ready")
	} else {
		n.logInfo(nodePart).Strs("reasons", reasons).Msg("not ready")
	}
}
