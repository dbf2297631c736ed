package node

import (
	"fmt"
	"os"
	"strings"

	"github.com/phuslu/log"
	"go.uber.org/zap"
)

// part is a part of a node in the log: a fixed prefix of its messages.
type part string

const (
	nodePart     part = "node: "
	corePart     part = "core: "
	registryPart part = "registry: "
	streamPart   part = "feed: "
	gatePart     part = "gate: "
	rolloutPart  part = "rollout: "
	groupPart    part = "group: "
)

// newLogger writes to standard error, a line an event.
func newLogger(name string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000", Context: log.NewContext(nil).Str("node", name).Value(),
		Writer: &log.IOWriter{Writer: os.Stderr}}
}

// gateLog take what the control module logs.
type gateLog struct{ node *Node }

// Info logs a message of the control module.
func (g gateLog) Info(text string, _ ...zap.Field) { g.node.say(gatePart, "%s", text) }

// say logs what happened in a part.
func (n *Node) say(p part, format string, args ...any) {
	n.log.Info().Msg(string(p) + fmt.Sprintf(format, args...))
}

// warn logs what went wrong in a part.
func (n *Node) warn(p part, format string, args ...any) {
	n.log.Warn().Msg(string(p) + fmt.Sprintf(format, args...))
}

// logStateChanges logs what changed of what operators ask first: who is heard, and whether clients are wanted here.
func (n *Node) logStateChanges() {
	n.stateLoggedAt = n.loop.Now()
	n.links.Check()
	links := n.roster.Links()
	unmet := strings.Join(links.WithoutHello, ", ")
	if n.reachable != n.loggedReachable || unmet != n.loggedUnmet {
		n.loggedReachable, n.loggedUnmet = n.reachable, unmet
		n.say(nodePart, "hears %d of %d nodes; %d of %d links are up%s", n.reachable, n.slotCount, links.Connected, links.Wanted, unmetSuffix(unmet))
	}
	if why := strings.Join(n.unreadyReasons(), ", "); why != n.loggedUnready {
		if n.loggedUnready = why; why == "" {
			n.say(nodePart, "is ready")
		} else {
			n.say(nodePart, "is not ready: %s", why)
		}
	}
}

// unmetSuffix tells of nodes that a link leads to and that have said no hello.
func unmetSuffix(unmet string) string {
	if unmet == "" {
		return ""
	}
	return ", without a hello of " + unmet
}
