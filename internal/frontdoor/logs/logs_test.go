package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"clovergap/internal/frontdoor/operator"
)

func TestLinesAsTheFileSays(t *testing.T) {
	write := func(o operator.Log) string {
		var b bytes.Buffer
		l := zap.New(core(o, zapcore.AddSync(&b))).With(Gateway("n3"))
		for i := 0; i < 20; i++ {
			l.Info("again", Backend(7))
		}
		l.Debug("low", Txn("a1"))
		l.Warn("high")
		return b.String()
	}
	d := operator.Default().Log
	text := write(d)
	var line map[string]any
	if err := json.Unmarshal([]byte(strings.SplitN(text, "\n", 2)[0]), &line); err != nil || line["front_door"] != "n3" || line["backend"] != 7.0 {
		t.Errorf("%v %v", line, err)
	}
	if n := strings.Count(text, "\n"); n != 21 || strings.Contains(text, "low") {
		t.Errorf("%d lines", n)
	}
	f, err := operator.Parse("x", []byte("[log]\nlevel = \"debug\"\nformat = \"console\"\n[log.sampling]\nfirst = 2\nthen = 9\nevery = \"1h\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	text = write(f.Log)
	if n := strings.Count(text, "again"); n != 4 || !strings.Contains(text, "DEBUG") || strings.Count(text, "n3") != 6 {
		t.Errorf("%d: %s", n, text)
	}
}
