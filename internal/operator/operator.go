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
	History History `toml:"history" comment:"What this front door did, one JSON object a line, for checkers and inquiries. Off without a file."`
}

// History says where a history of what the front door did goes.
type History struct {
	File   string `toml:"file" comment:"added to; empty writes none"`
	Txns   bool   `toml:"txns" comment:"each submission and final answer as well, not only starts, ends and lists"`
	MostMB int    `toml:"most_mb" comment:"no more is written to the file than this; what is left out is counted"`
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
	return File{Log: Log{Level: "info", Format: "json", Sampling: Sampling{Every: "1s", every: time.Second}}, History: History{MostMB: 64}}
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
		return Default(), fmt.Errorf("%s:%d: %s: %s", path, line(text, key), key, what)
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
	if f.History.MostMB < 1 || f.History.MostMB > 1<<20 {
		return wrong("history.most_mb", fmt.Sprintf("must be 1 to %d, not %d", 1<<20, f.History.MostMB))
	}
	return f, nil
}

// line finds a key's in the text: the last line that sets its last part within its table, or the table's head.
func line(text []byte, key string) int {
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
