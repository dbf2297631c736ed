// Package experiments runs experiments: one, or a grid of them over many seeds, in parallel; it keeps results as lines of
// JSON and as a table, compares two sets pair by pair, and draws them.
package experiments

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sort"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"clovergap/internal/lab/emulator"
	"clovergap/internal/lab/spec"
	"clovergap/internal/tomlfile"
)

// Build names the program that makes the results.
var Build = sync.OnceValue(build)

func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, dirty := "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			rev = s.Value[:min(12, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				dirty = "+"
			}
		}
	}
	if rev != "" {
		return rev + dirty
	}
	if b, err := os.ReadFile(os.Args[0]); err == nil { // built without the repository's stamp: the program names itself
		return fmt.Sprintf("sha256-%x", sha256.Sum256(b))[:19]
	}
	return "unknown"
}

// Sweep is a grid of experiments.
type Sweep struct {
	Base  string           `toml:"base"`  // experiment file, beside the sweep's
	Seeds int              `toml:"seeds"` // from the base's seed on
	Marks bool             `toml:"marks"` // play both marks as well, for a place between them
	Grid  map[string][]any `toml:"grid"`  // key of the experiment to its values
	file  string
	text  []byte
}

// Job is one run of a sweep.
type Job struct {
	Point string
	Seed  uint64
	Spec  *spec.Spec
}

// LoadSweep reads a grid.
func LoadSweep(file string) (*Sweep, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &Sweep{Seeds: 1, file: file}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err = d.Decode(s); err != nil {
		return nil, tomlfile.Where(file, err)
	}
	if s.Base == "" || s.Seeds < 1 {
		return nil, &tomlfile.Error{File: file, What: "base must name an experiment, seeds must be 1 at the least"}
	}
	s.Base = filepath.Join(filepath.Dir(file), s.Base)
	if s.text, err = os.ReadFile(s.Base); err != nil {
		return nil, err
	}
	return s, nil
}

// Jobs lists the runs: points in order of their keys and values, seeds within.
func (s *Sweep) Jobs() ([]Job, error) {
	var keys []string
	for k := range s.Grid {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	points := []map[string]any{{}}
	for _, k := range keys {
		var next []map[string]any
		for _, p := range points {
			for _, v := range s.Grid[k] {
				n := map[string]any{k: v}
				for a, b := range p {
					n[a] = b
				}
				next = append(next, n)
			}
		}
		points = next
	}
	var jobs []Job
	for _, p := range points {
		x, err := s.at(p)
		if err != nil {
			return nil, err
		}
		name := make([]string, 0, len(keys))
		for _, k := range keys {
			name = append(name, fmt.Sprintf("%s=%v", k, p[k]))
		}
		for i := 0; i < s.Seeds; i++ {
			c := *x
			c.Seed += uint64(i)
			jobs = append(jobs, Job{strings.Join(name, " "), c.Seed, &c})
		}
	}
	return jobs, nil
}

// at puts a point's values into the base experiment, which is then read as strictly as any.
func (s *Sweep) at(p map[string]any) (*spec.Spec, error) {
	all := map[string]any{}
	if err := toml.Unmarshal(s.text, &all); err != nil {
		return nil, tomlfile.Where(s.Base, err)
	}
	for k, v := range p {
		at := all
		parts := strings.Split(k, ".")
		for _, part := range parts[:len(parts)-1] {
			next, ok := at[part].(map[string]any)
			if !ok {
				if at[part] != nil {
					return nil, &tomlfile.Error{File: s.file, Position: "grid." + k, What: "only keys of plain tables can be swept"}
				}
				next = map[string]any{}
				at[part] = next
			}
			at = next
		}
		at[parts[len(parts)-1]] = v
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return nil, err
	}
	x, err := spec.Parse(s.Base, text)
	if err != nil {
		return nil, fmt.Errorf("%s: grid point %v: %w", s.file, p, err)
	}
	return x, nil
}

// key names a run among a file's results.
func key(r *emulator.Result) string {
	return fmt.Sprintf("%s|%s|%d|%s", r.Name, r.Point, r.Seed, r.Policy)
}

// Read reads results, one a line. A last line that was cut off is left out, and told of.
func Read(file string) (all []*emulator.Result, cut bool, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 1<<20)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			r := &emulator.Result{}
			if bad := json.Unmarshal(line, r); bad != nil {
				if errors.Is(err, io.EOF) {
					return all, true, nil
				}
				return all, false, &tomlfile.Error{File: file, Position: fmt.Sprint(n), What: bad.Error()}
			}
			all = append(all, r)
		}
		if errors.Is(err, io.EOF) {
			return all, false, nil
		} else if err != nil {
			return all, false, err
		}
	}
}

// Append adds results to a file of lines; each line is written whole.
func Append(f *os.File, r *emulator.Result) error {
	b, err := json.Marshal(r)
	if err == nil {
		_, err = f.Write(append(b, '\n'))
	}
	return err
}

// Run plays a sweep's jobs on all cores. What the file holds already is not played again, so an interrupted sweep
// goes on where it stopped; the order in the file is that of the jobs' ends.
func (s *Sweep) Run(ctx context.Context, out string, progress func(done, all int, r *emulator.Result)) error {
	jobs, err := s.Jobs()
	if err != nil {
		return err
	}
	had := map[string]bool{}
	if old, cut, unread := Read(out); unread == nil {
		for _, r := range old {
			had[key(r)] = true
		}
		if cut {
			if err = rewrite(out, old); err != nil {
				return err
			}
		}
	} else if !errors.Is(unread, os.ErrNotExist) {
		return unread
	}
	f, err := os.OpenFile(out, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	var todo []Job
	for _, j := range jobs {
		if !had[key(&emulator.Result{Name: j.Spec.Name, Point: j.Point, Seed: j.Seed, Policy: j.Spec.Policy})] {
			todo = append(todo, j)
		}
	}
	feed := make(chan Job)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	done := len(jobs) - len(todo)
	for i := 0; i < runtime.NumCPU(); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range feed {
				r, err := One(j.Spec, s.Base, s.Marks)
				mu.Lock()
				if err == nil {
					r.Point = j.Point
					err = Append(f, r)
				}
				if done++; err != nil && failed == nil {
					failed = err
				} else if err == nil && progress != nil {
					progress(done, len(jobs), r)
				}
				mu.Unlock()
			}
		}()
	}
	for _, j := range todo {
		select {
		case feed <- j:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(feed)
	wg.Wait()
	if failed != nil {
		return failed
	}
	if ctx.Err() != nil {
		return fmt.Errorf("stopped after %d of %d runs; the same call goes on from there", done, len(jobs))
	}
	return nil
}

func rewrite(file string, all []*emulator.Result) error {
	f, err := os.Create(file + ".new")
	if err != nil {
		return err
	}
	for _, r := range all {
		if err := Append(f, r); err != nil {
			f.Close()
			return err
		}
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// Random plays random schedules on top of an experiment's own faults, on all cores, from its seed on. Each is told of, one
// at a time; an error of the teller ends it.
func Random(ctx context.Context, s *spec.Spec, n, most int, told func(done int, c *spec.Spec, r *emulator.Result) error) error {
	type one struct {
		c *spec.Spec
		r *emulator.Result
	}
	return Seeds(ctx, s.Seed, n, runtime.NumCPU(), func(seed uint64) (x one, err error) {
		x.c = s.Drawn(seed, most, true)
		x.r, err = One(x.c, s.Name, false)
		return x, err
	}, func(done int, x one) error { return told(done, x.c, x.r) })
}

// Seeds plays something for each of n seeds, some side by side, and tells of each as it ends. A play that is ended from outside
// is passed over. A failure of a play, or of the teller, lets what is under way end and is given.
func Seeds[R any](ctx context.Context, first uint64, n, jobs int, play func(seed uint64) (R, error), told func(done int, r R) error) error {
	feed := make(chan uint64)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	done := 0
	ends := func(seed uint64, r R, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil && ctx.Err() != nil {
			return
		}
		if done++; err == nil && failed == nil {
			err = told(done, r)
		}
		if err != nil && failed == nil {
			failed = fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	for range jobs {
		wg.Go(func() {
			for seed := range feed {
				r, err := play(seed)
				ends(seed, r, err)
			}
		})
	}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		select {
		case feed <- first + uint64(i):
		case <-ctx.Done():
		}
	}
	close(feed)
	wg.Wait()
	if failed == nil && ctx.Err() != nil {
		return fmt.Errorf("stopped after %d of %d schedules", done, n)
	}
	return failed
}

// One plays one experiment.
func One(s *spec.Spec, file string, marks bool) (r *emulator.Result, err error) {
	if marks {
		r, err = emulator.RunScored(s)
	} else {
		r, err = emulator.Run(s)
	}
	if r != nil {
		r.Build, r.File = Build(), filepath.Base(file)
	}
	return r, err
}

// columns of the table.
var columns = []string{"name", "point", "policy", "seed", "build", "file", "requests", "service", "score", "place", "high", "low",
	"worst_second", "p50_ms", "p99_ms", "late", "beyond", "declined", "voided", "handshakes", "messages", "rules_broken"}

// Table writes results as CSV, in order of name, point and seed.
func Table(w io.Writer, all []*emulator.Result) error {
	all = append([]*emulator.Result(nil), all...)
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.Name != b.Name {
			return a.Name < b.Name
		}
		if a.Point != b.Point {
			return a.Point < b.Point
		}
		return a.Seed < b.Seed
	})
	out := csv.NewWriter(w)
	out.Write(columns)
	f := func(x float64) string { return fmt.Sprintf("%.4f", x) }
	for _, r := range all {
		out.Write([]string{r.Name, r.Point, r.Policy, fmt.Sprint(r.Seed), r.Build, r.File, fmt.Sprint(r.Requests), f(r.Service),
			f(r.Score), f(r.Place), f(r.High), f(r.Low), f(r.Worst), f(r.P50), f(r.P99), fmt.Sprint(r.Late), fmt.Sprint(r.Beyond),
			fmt.Sprint(r.Rejected), fmt.Sprint(r.Failed), fmt.Sprint(r.Handshakes), fmt.Sprint(r.Messages), fmt.Sprint(r.RulesBroken)})
	}
	out.Flush()
	return out.Error()
}
