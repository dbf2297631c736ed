package architecture

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	root   = "../.."
	module = "clovergap/"
)

// part is a row of docs/architecture.md: packages by prefix, and the parts that they may import besides their own.
type part struct {
	prefixes, imports []string
}

// readParts reads the table of parts.
func readParts(t *testing.T, page string) map[string]part {
	t.Helper()
	_, table, found := strings.Cut(page, "| part | packages | may import |\n")
	must.True(t, found)
	quoted := regexp.MustCompile("`([^`]+)`")
	all := map[string]part{}
	for _, line := range strings.Split(table, "\n")[1:] {
		cells := strings.Split(line, "|")
		if len(cells) != 5 {
			break
		}
		var p part
		for _, q := range quoted.FindAllStringSubmatch(cells[2], -1) {
			p.prefixes = append(p.prefixes, q[1])
		}
		for _, name := range strings.Split(cells[3], ",") {
			if name = strings.TrimSpace(name); name != "" {
				p.imports = append(p.imports, name)
			}
		}
		all[strings.TrimSpace(cells[1])] = p
	}
	return all
}

// partOf gives the part with the longest prefix that fits a package, "" if there is none.
func partOf(parts map[string]part, pkg string) (name string) {
	longest := 0
	for n, p := range parts {
		for _, prefix := range p.prefixes {
			if (pkg == prefix || strings.HasPrefix(pkg, prefix+"/")) && len(prefix) > longest {
				name, longest = n, len(prefix)
			}
		}
	}
	return name
}

// circle gives parts that import each other in a circle, nil if there are none.
func circle(parts map[string]part) []string {
	var way []string
	done := map[string]bool{}
	var visit func(name string) []string
	visit = func(name string) []string {
		if at := slices.Index(way, name); at >= 0 {
			return append(slices.Clone(way[at:]), name)
		}
		if done[name] {
			return nil
		}
		way = append(way, name)
		for _, next := range parts[name].imports {
			if found := visit(next); found != nil {
				return found
			}
		}
		way, done[name] = way[:len(way)-1], true
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if found := visit(name); found != nil {
			return found
		}
	}
	return nil
}

// wrongArrows tells which imports the table doesn't allow; imports are by package.
func wrongArrows(parts map[string]part, imports map[string][]string) (wrong []string) {
	for _, pkg := range slices.Sorted(maps.Keys(imports)) {
		from := partOf(parts, pkg)
		if from == "" {
			wrong = append(wrong, pkg+" belongs to no part")
			continue
		}
		for _, imported := range imports[pkg] {
			to := partOf(parts, imported)
			if from != to && !slices.Contains(parts[from].imports, to) {
				wrong = append(wrong, fmt.Sprintf("%s (%s) imports %s (%s)", pkg, from, imported, to))
			}
			if to == "laboratory" && from == "programs" && pkg != "cmd/lab" {
				wrong = append(wrong, pkg+" has the laboratory linked into it: "+imported)
			}
		}
	}
	return wrong
}

// source is a file of the program, tests apart.
type source struct {
	pkg  string // its folder, from the repository's root
	file *ast.File
}

// sources reads all files, of each build.
func sources(t *testing.T) (all []source) {
	t.Helper()
	for _, folder := range []string{"cmd", "control", "internal"} {
		must.NoError(t, filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			pkg, err := filepath.Rel(root, filepath.Dir(path))
			all = append(all, source{filepath.ToSlash(pkg), file})
			return err
		}))
	}
	must.Greater(t, 100, len(all))
	return all
}

// importsOf gives what a file imports.
func importsOf(file *ast.File) (all []string) {
	for _, i := range file.Imports {
		all = append(all, strings.Trim(i.Path.Value, `"`))
	}
	return all
}

func partsOfPage(t *testing.T) map[string]part {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	must.NoError(t, err)
	parts := readParts(t, string(page))
	must.MapLen(t, 9, parts)
	return parts
}

// Guards against imports that turn a part's way round: then neither could be changed or tried without the other.
func TestImportsFollowTheArchitecture(t *testing.T) {
	parts := partsOfPage(t)
	must.Nil(t, circle(parts))
	imports := map[string][]string{}
	for _, s := range sources(t) {
		if imports[s.pkg] == nil {
			imports[s.pkg] = []string{} // so that its part is asked for, whatever it imports
		}
		for _, path := range importsOf(s.file) {
			if own, found := strings.CutPrefix(path, module); found {
				imports[s.pkg] = append(imports[s.pkg], own)
			}
		}
	}
	must.SliceEmpty(t, wrongArrows(parts, imports))
}

// Guards against a test that would pass whatever is imported: planted arrows and circles are found.
func TestPlantedArrowsAreFound(t *testing.T) {
	parts := partsOfPage(t)
	for _, planted := range []struct{ pkg, imported, want string }{
		{"internal/gateway/routing", "internal/gateway/node", "internal/gateway/routing (decisions) imports internal/gateway/node (node)"},
		{"internal/gateway/balancer", "internal/proxy/upstream", "internal/gateway/balancer (decisions) imports internal/proxy/upstream (proxy)"},
		{"internal/proxy/downstream", "internal/frontdoor/config", "internal/proxy/downstream (proxy) imports internal/frontdoor/config (frontdoor)"},
		{"internal/invariant", "internal/proxy/gate", "internal/invariant (foundations) imports internal/proxy/gate (proxy)"},
		{"internal/frontdoor/config", "internal/gateway/settings", "internal/frontdoor/config (frontdoor) imports internal/gateway/settings (adapters)"},
		{"cmd/gateway", "internal/lab/standin", "cmd/gateway has the laboratory linked into it: internal/lab/standin"},
		{"internals/x", "control", "internals/x belongs to no part"},
	} {
		must.Eq(t, []string{planted.want}, wrongArrows(parts, map[string][]string{planted.pkg: {planted.imported}}))
	}
	must.SliceEmpty(t, wrongArrows(parts, map[string][]string{"cmd/lab": {"internal/lab/standin"}}))

	back := maps.Clone(parts)
	back["policy"] = part{parts["policy"].prefixes, []string{"foundations", "proxy"}}
	must.Eq(t, []string{"policy", "proxy", "policy"}, circle(back))
}

// impure are packages by which a decision would reach out of its arguments.
var impure = []string{"os", "os/", "net", "net/", "syscall", "golang.org/x/sys/", "bufio", "log", "log/", "github.com/phuslu/log"}

// clock are functions of package time that tell the time, wait for it or wake at it.
var clock = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// reachesOut tells what of a file does I/O or reads a clock.
func reachesOut(file *ast.File) (found []string) {
	for _, path := range importsOf(file) {
		if slices.ContainsFunc(impure, func(p string) bool { return path == p || strings.HasSuffix(p, "/") && strings.HasPrefix(path, p) }) {
			found = append(found, path)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, named := s.X.(*ast.Ident); named && x.Name == "time" && slices.Contains(clock, s.Sel.Name) {
				found = append(found, "time."+s.Sel.Name)
			}
		}
		return true
	})
	return found
}

// Guards against a decision that rests on what it wasn't given: simulated days would not be replayed alike.
func TestDecisionsDoNoIO(t *testing.T) {
	parts := partsOfPage(t)
	for _, s := range sources(t) {
		if name := partOf(parts, s.pkg); name == "decisions" || name == "policy" {
			must.SliceEmpty(t, reachesOut(s.file), must.Sprint(s.pkg))
		}
	}
	planted := "package p\nimport (\"net/http\"; \"time\")\nvar x = time.Now\nfunc f(c http.Client) { time.Sleep(1) }"
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", planted, 0)
	must.NoError(t, err)
	must.Eq(t, []string{"net/http", "time.Now", "time.Sleep"}, reachesOut(file))
}
