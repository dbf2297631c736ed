package house

import (
	"fmt"
	"os"

	"github.com/phuslu/log"
)

// part is a part of the house in the log: a fixed prefix for its short sentences.
type part string

const (
	doorPart  part = "door: "
	corePart  part = "core: "
	boardPart part = "board: "
	callPart  part = "call: "
	feedPart  part = "feed: "
	gatePart  part = "gate: "
)

// newLog writes to standard error, a line an event.
func newLog(name string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000", Context: log.NewContext(nil).Str("door", name).Value(),
		Writer: &log.IOWriter{Writer: os.Stderr}}
}

func (h *House) say(p part, format string, args ...any) {
	h.log.Info().Msg(string(p) + fmt.Sprintf(format, args...))
}

func (h *House) warn(p part, format string, args ...any) {
	h.log.Warn().Msg(string(p) + fmt.Sprintf(format, args...))
}
