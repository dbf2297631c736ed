// Package mutants removes the program's defences one at a time and sees whether the laboratory finds it: a table of
// changes, each played by the experiments that should notice.
package mutants

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"clovergap/internal/tomlfile"
)

// Change is one in a file: old must stand there exactly once.
type Change struct {
	File        string `toml:"file"`
	Original    string `toml:"old"`
	Replacement string `toml:"new"`
}

// Mutant is a defence taken away.
type Mutant struct {
	Name        string   `toml:"name"`
	File        string   `toml:"file"`
	Original    string   `toml:"old"`
	Replacement string   `toml:"new"`
	Also        []Change `toml:"also"`
	Play        []string `toml:"play"`
}

// Changes are all of a mutant's.
func (m *Mutant) Changes() []Change {
	return append([]Change{{m.File, m.Original, m.Replacement}}, m.Also...)
}

// Table is a file of them.
type Table struct {
	Mutant []Mutant `toml:"mutant"`
}

// plays are what may find a mutant.
var plays = []string{"emulator", "processes", "leases", "simulation", "hard", "departures"}

// simulatedPlays are the plays of the gateway in simulated time.
var simulatedPlays = []string{"simulation", "hard", "departures"}

// Load reads a table.
func Load(file string) (*Table, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	t := &Table{}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(t); err != nil {
		return nil, tomlfile.Where(file, err)
	}
	names := map[string]bool{}
	for i, m := range t.Mutant {
		wrong := func(what string) error {
			return &tomlfile.Error{File: file, What: fmt.Sprintf("mutant[%d] %q: %s", i, m.Name, what)}
		}
		switch {
		case m.Name == "" || names[m.Name]:
			return nil, wrong("needs a name of its own")
		case len(m.Play) == 0:
			return nil, wrong("plays nothing that could find it")
		}
		for _, p := range m.Play {
			if f := strings.Fields(p); len(f) != 2 || !slices.Contains(plays, f[0]) {
				return nil, wrong(fmt.Sprintf("play: %q is neither \"emulator FILE\", \"processes FILE\", \"leases MODEL\", \"simulation NODESxDISKS\", \"hard NODESxDISKS\" nor \"departures NODESxDISKS\"", p))
			}
		}
		for _, c := range m.Changes() {
			if c.File == "" || c.Original == "" || c.Original == c.Replacement {
				return nil, wrong("needs a file, what stands there, and something else in its place")
			}
		}
		names[m.Name] = true
	}
	return t, nil
}

// Fits tells whether all changes of a mutant fit a source tree.
func (m *Mutant) Fits(root string) error {
	for _, c := range m.Changes() {
		text, err := os.ReadFile(filepath.Join(root, c.File))
		if err != nil {
			return fmt.Errorf("mutant %q: %w", m.Name, err)
		}
		if n := strings.Count(string(text), c.Original); n != 1 {
			return fmt.Errorf("mutant %q: %s holds its old text %d times, not once", m.Name, c.File, n)
		}
	}
	return nil
}

// Result is how one was found, or was not.
type Result struct {
	Mutant     *Mutant
	Experiment string // the experiment; empty: not found
	Seeds      int    // until it was
	Rule       string // that it broke
	Took       time.Duration
}

// Options are how they are played.
type Options struct {
	Root      string // source tree
	Emulated  int    // seeds in the emulator at most
	Processes int    // seeds on real processes at most
	For       time.Duration
	Jobs      int
}

// copyTree copies what a build needs.
func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(from, path)
		if d.IsDir() {
			if strings.HasPrefix(d.Name(), ".") && rel != "." || rel == "bin" || rel == "journal" || rel == "docs" || rel == "found" || rel == "logs" {
				return fs.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		if ext := filepath.Ext(rel); ext != ".go" && ext != ".toml" && ext != ".mod" && ext != ".sum" || !d.Type().IsRegular() {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), text, 0o644)
	})
}

var (
	brokeEmulated  = regexp.MustCompile(`(?m)^seed (\d+) BROKE \d+: ([^:]+):`)
	brokeLeases    = regexp.MustCompile(`(?m)^.*BROKE (\d+): ([^:]+):`)
	brokeProcesses = regexp.MustCompile(`(?m)^\S+ seed (\d+): .*BROKE \d+: ([^:]+):`)
)

// Run builds a mutant in a folder of its own and plays it until it is found.
func Run(ctx context.Context, m *Mutant, o Options) (f Result, err error) {
	f.Mutant = m
	began := time.Now()
	defer func() { f.Took = time.Since(began) }()
	if err = m.Fits(o.Root); err != nil {
		return f, err
	}
	dir, err := os.MkdirTemp("", "clovergap-mutant-")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(o.Root, dir); err != nil {
		return f, err
	}
	for _, c := range m.Changes() {
		file := filepath.Join(dir, c.File)
		text, err := os.ReadFile(file)
		if err != nil {
			return f, err
		}
		if err := os.WriteFile(file, []byte(strings.Replace(string(text), c.Original, c.Replacement, 1)), 0o644); err != nil {
			return f, err
		}
	}
	run := func(name string, args ...string) (string, error) {
		cmd := exec.CommandContext(ctx, name, args...)
		cmd.Dir = dir
		cmd.Cancel = func() error { return cmd.Process.Signal(os.Interrupt) } // it ends its own processes
		cmd.WaitDelay = 20 * time.Second
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	if out, err := run("go", "build", "-o", "bin/", "./cmd/lab", "./cmd/clovergap"); err != nil {
		return f, fmt.Errorf("mutant %q does not build: %w: %s", m.Name, err, out)
	}
	for _, play := range m.Play {
		kind, file, _ := strings.Cut(play, " ")
		args := []string{"run", "lab/" + file, "--random", strconv.Itoa(o.Emulated), "--keep", "found"}
		find := brokeEmulated
		if kind == "processes" {
			find = brokeProcesses
			args = []string{"chaos", "lab/" + file, "--seeds", strconv.Itoa(o.Processes), "--for", o.For.String(), "--faults", "8", "--jobs", strconv.Itoa(o.Jobs),
				"--keep", "found"}
		}
		if args = append(args, "--first-broken"); kind == "leases" {
			find, args = brokeLeases, []string{"leases", "--model", file, "--walks", strconv.Itoa(100 * o.Emulated), "--states", "1"}
		}
		if slices.Contains(simulatedPlays, kind) {
			nodes, disks, _ := strings.Cut(file, "x")
			args = []string{"simulate", "--nodes", nodes, "--disks", disks, "--seeds", strconv.Itoa(o.Emulated), "--jobs", strconv.Itoa(o.Jobs), "--first-broken",
				fmt.Sprintf("--hard=%v", kind == "hard"), fmt.Sprintf("--departures=%v", kind == "departures")}
		}
		out, err := run("bin/lab", args...)
		if ctx.Err() != nil {
			return f, ctx.Err()
		}
		hit := find.FindStringSubmatch(out)
		if hit == nil {
			if err != nil && !strings.Contains(out, "ended before it was up") {
				return f, fmt.Errorf("mutant %q, %s: %w: %s", m.Name, play, err, out[max(0, len(out)-500):])
			}
			continue
		}
		seed, _ := strconv.Atoi(hit[1])
		f.Experiment, f.Seeds, f.Rule = play, seed, strings.TrimSpace(hit[2])
		return f, nil
	}
	return f, nil
}

// Row is a line of the table in docs/lab.md.
func (r Result) Row() string {
	by, seeds := r.Experiment, strconv.Itoa(r.Seeds)
	if by == "" {
		by, seeds = "**not found**", "-"
	}
	return fmt.Sprintf("| %s | `%s` | %s | %s | %s |", r.Mutant.Name, r.Mutant.File, by, seeds, r.Rule)
}
