package node

import (
	"fmt"
	"os"
	"strings"

	"github.com/phuslu/log"
	"go.uber.org/zap"
)

// part is a part of the deployment in the log: a fixed prefix for its short sentences.
type part string

const (
	nodePart     part = "door: "
	corePart     part = "core: "
	registryPart part = "board: "
	feedPart     part = "feed: "
	gatePart     part = "gate: "

	rolloutPart part = "rollout: "
	groupPart   part = "group: "
)

// newLog writes to standard error, a line an event.
func newLog(name string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000", Context: log.NewContext(nil).Str("door", name).Value(),
		Writer: &log.IOWriter{Writer: os.Stderr}}
}

// notes are the module's.
type notes struct{ h *Node }

// Info takes one.
func (n notes) Info(text string, _ ...zap.Field) { n.h.say(gatePart, "%s", text) }

func (h *Node) say(p part, format string, args ...any) {
	h.log.Info().Msg(string(p) + fmt.Sprintf(format, args...))
}

func (h *Node) warn(p part, format string, args ...any) {
	h.log.Warn().Msg(string(p) + fmt.Sprintf(format, args...))
}

// tellState logs what changed of what operators ask first: who is heard, and whether clients are wanted here.
func (h *Node) tellState() {
	h.saidAt = h.e.Now()
	if h.reach != h.said {
		h.said = h.reach
		h.say(nodePart, "hears %d of %d doors", h.reach, h.slots)
	}
	if why := strings.Join(h.unready(), ", "); why != h.notReady {
		if h.notReady = why; why == "" {
			h.say(nodePart, "is ready")
		} else {
			h.say(nodePart, "is not ready: %s", why)
		}
	}
}
