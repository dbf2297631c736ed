// Package logs makes the structured log, and names its fields once.
package logs

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"clovergap/internal/frontdoor/operator"
)

// Gateway names the front door; every line carries it.
func Gateway(name string) zap.Field { return zap.String("front_door", name) }

// Txn names a txn by its client's id.
func Txn(id string) zap.Field { return zap.String("txn", id) }

// Backend names a backend.
func Backend(id uint64) zap.Field { return zap.Uint64("backend", id) }

// New makes the log of a front door, by way of a buffer: a reader that stalls holds up no txn.
func New(o operator.Log, name string) (*zap.Logger, func()) {
	out := &zapcore.BufferedWriteSyncer{WS: zapcore.Lock(os.Stderr), FlushInterval: time.Second}
	return zap.New(core(o, out)).With(Gateway(name)), func() { out.Stop() }
}

// core writes to somewhere as the operator file says.
func core(o operator.Log, to zapcore.WriteSyncer) zapcore.Core {
	level, err := zapcore.ParseLevel(o.Level)
	if err != nil {
		level = zapcore.InfoLevel // the file was checked: this is for none at all
	}
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if o.Format == "console" {
		c := zap.NewDevelopmentEncoderConfig()
		c.EncodeLevel = zapcore.CapitalLevelEncoder
		enc = zapcore.NewConsoleEncoder(c)
	}
	k := zapcore.NewCore(enc, to, level)
	if s := o.Sampling; s.First > 0 {
		k = zapcore.NewSamplerWithOptions(k, s.Span(), s.First, s.Then)
	}
	return k
}
