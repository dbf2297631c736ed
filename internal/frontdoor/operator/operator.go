// Package operator reads the operator file: what operators may switch on beside the platform's configuration.
// Everything in it is off, or as it was, where the file says nothing.
package operator

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"clovergap/internal/tomlfile"
)

// File is an operator file.
type File struct {
	Log     Log     `toml:"log" comment:"The log goes to standard error."`
	Leases  Leases  `toml:"leases" comment:"Work that one front door does for the whole fleet, or a few. Off here."`
	History History `toml:"history" comment:"What this front door did, one JSON object a line, for checkers and inquiries. Off without a file."`
}

// Leases says how tasks are shared out, and which there are.
type Leases struct {
	Enabled            bool    `toml:"on" comment:"take part: vote, and hold what is wanted below"`
	Length             string  `toml:"length" comment:"of a lease: a task goes on elsewhere at most this, and a little, after its holder is gone"`
	Longest            string  `toml:"longest" comment:"of any lease in the fleet, while the length changes; empty: the length"`
	Drift              float64 `toml:"drift" comment:"every clock's rate is within 1-drift and 1+drift of the true one: safety rests on it"`
	Margin             string  `toml:"margin" comment:"a holder stops this much before it must: longer than a step takes"`
	Retry              string  `toml:"retry" comment:"least time between two askings"`
	Voters             int     `toml:"voters" comment:"of each task: odd, 1 to 15"`
	MaxFramesPerSecond float64 `toml:"per_second" comment:"frames sent a second at most"`
	Fleets             []Fleet `toml:"fleets" comment:"front doors by generation of the configuration, the present one last; keep the one before until all have left it. Empty: the peers, generation 1"`
	Socket             string  `toml:"socket" comment:"Unix socket, for this user only, for clovergap leases and clovergap turn; empty: none"`
	Turns              int     `toml:"turns" comment:"front doors that may have their turn to restart at once; 0: no turns"`
	TurnsZone          int     `toml:"turns_hall" comment:"and of one zone; 0: no bound"`
	RollCall           string  `toml:"roll_call" comment:"file, shared by all, in which one front door notes each span who was heard; empty: none"`
	RollSpan           string  `toml:"roll_span" comment:"such a span"`

	length, longest, margin, retry, span time.Duration
}

// Fleet is who there is under one generation of the configuration.
type Fleet struct {
	Generation uint32 `toml:"generation"`
	Members    int    `toml:"members" comment:"front doors 0 to members-1"`
}

// Spans are the lease's length, the longest, the margin, the retry and the roll call's span.
func (l Leases) Spans() (length, longest, margin, retry, span time.Duration) {
	return l.length, l.longest, l.margin, l.retry, l.span
}

// parse takes the spans; what is wrong is named by its key.
func (l *Leases) parse() (key, what string) {
	for _, x := range []struct {
		key, text string
		to        *time.Duration
	}{{"length", l.Length, &l.length}, {"margin", l.Margin, &l.margin}, {"retry", l.Retry, &l.retry}, {"roll_span", l.RollSpan, &l.span}} {
		d, err := time.ParseDuration(x.text)
		if err != nil || d <= 0 {
			return x.key, fmt.Sprintf("must be a span over nought, such as 1s, not %q", x.text)
		}
		*x.to = d
	}
	if l.longest = l.length; l.Longest != "" {
		d, err := time.ParseDuration(l.Longest)
		if err != nil || d < l.length {
			return "longest", fmt.Sprintf("must be a span no shorter than the length, not %q", l.Longest)
		}
		l.longest = d
	}
	switch {
	case l.Turns < 0 || l.Turns > 64 || l.TurnsZone < 0 || l.TurnsZone > 64:
		return "turns", "must be 0 to 64"
	case l.MaxFramesPerSecond <= 0:
		return "per_second", "must be more than nought"
	}
	return "", ""
}

// History says where a history of what the front door did goes.
type History struct {
	File  string `toml:"file" comment:"added to; empty writes none"`
	Txns  bool   `toml:"txns" comment:"each submission and final answer as well, not only starts, ends and lists"`
	MaxMB int    `toml:"most_mb" comment:"no more is written to the file than this; what is left out is counted"`
}

// Log says how the log is written.
type Log struct {
	Level    string   `toml:"level" comment:"debug, info, warn or error"`
	Format   string   `toml:"format" comment:"json, one object a line, or console, for people"`
	Sampling Sampling `toml:"sampling" comment:"Bounds lines of one message; first = 0 writes them all."`
}

// Sampling bounds what is logged of one message in a while.
type Sampling struct {
	First int    `toml:"first" comment:"lines of a message written in each span"`
	Then  int    `toml:"then" comment:"of those after, each so many-th is written; 0 for none"`
	Every string `toml:"every" comment:"the span, such as 1s"`
	every time.Duration
}

// Span is the sampling's.
func (s Sampling) Span() time.Duration { return s.every }

// Default is what holds without a file.
func Default() File {
	f := File{Log: Log{Level: "info", Format: "json", Sampling: Sampling{Every: "1s", every: time.Second}}, History: History{MaxMB: 64},
		Leases: Leases{Length: "4s", Drift: 0.02, Margin: "200ms", Retry: "200ms", Voters: 5, MaxFramesPerSecond: 50, RollSpan: "1s"}}
	f.Leases.parse()
	return f
}

// Load reads a file; no name is no file.
func Load(path string) (File, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Default(), fmt.Errorf("operator file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads its text over the defaults. What is unknown or wrong is named by file, line and key.
func Parse(path string, text []byte) (File, error) {
	f := Default()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Default(), tomlfile.Where(path, err)
	}
	wrong := func(key, what string) (File, error) {
		return Default(), fmt.Errorf("%s:%d: %s: %s", path, lineNumber(text, key), key, what)
	}
	switch f.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return wrong("log.level", fmt.Sprintf("must be debug, info, warn or error, not %q", f.Log.Level))
	}
	if f.Log.Format != "json" && f.Log.Format != "console" {
		return wrong("log.format", fmt.Sprintf("must be json or console, not %q", f.Log.Format))
	}
	s := &f.Log.Sampling
	if s.First < 0 || s.Then < 0 {
		return wrong("log.sampling.first", "counts must not be below nought")
	}
	var err error
	if s.every, err = time.ParseDuration(s.Every); err != nil || s.every <= 0 {
		return wrong("log.sampling.every", fmt.Sprintf("must be a span over nought, such as 1s, not %q", s.Every))
	}
	if key, what := f.Leases.parse(); what != "" {
		return wrong("leases."+key, what)
	}
	if f.History.MaxMB < 1 || f.History.MaxMB > 1<<20 {
		return wrong("history.most_mb", fmt.Sprintf("must be 1 to %d, not %d", 1<<20, f.History.MaxMB))
	}
	return f, nil
}

// lineNumber finds a key's in the text: the last line that sets its last part within its table, or the table's head.
func lineNumber(text []byte, key string) int {
	parts := strings.Split(key, ".")
	table, last := strings.Join(parts[:len(parts)-1], "."), parts[len(parts)-1]
	in, found := "", 1
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			if in = strings.Trim(strings.SplitN(l, "#", 2)[0], "[] "); in == table {
				found = i + 1
			}
			continue
		}
		name := strings.TrimSpace(strings.SplitN(l, "=", 2)[0])
		if in == table && name == last || in != "" && in+"."+name == key || in == "" && name == key {
			return i + 1
		}
	}
	return found
}

// Text writes a file with all it may say and what it means.
func Text(f File) (string, error) {
	b, err := toml.Marshal(f)
	return string(b), err
}
