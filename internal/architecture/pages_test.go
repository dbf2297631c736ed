package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// checkedPages are the pages whose paths and identifiers in backquotes must exist.
var checkedPages = []string{"docs/architecture.md", "docs/glossary.md"}

// pagesWithFiles are the pages whose Go files in backquotes must exist. Pages that record what was found at a time are left as they are.
var pagesWithFiles = []string{"CONTRIBUTING.md", "README.md", "docs/CAPACITY.md", "docs/coordination.md", "docs/coordination-calls.md", "docs/gateway.md",
	"docs/leases.md", "docs/on-call.md", "docs/operating.md", "docs/outliers.md", "docs/rollouts.md", "docs/simulation.md", "docs/state.md"}

var (
	backquoted = regexp.MustCompile("`([^`]+)`")
	goName     = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$`)
	pathName   = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)*/?$`)
	fileEnding = regexp.MustCompile(`\.(go|md|toml|yaml|txt|mod|sum|proto)$`)
)

// tree is what the repository has to be named by a page.
type tree struct {
	paths    map[string]bool            // tracked files and their folders, from the root
	packages map[string]map[string]bool // declared names by package folder; a field or method as Type.Name
	imported map[string]bool            // import paths, those of other modules and of the standard library too
}

// readTree reads all tracked files, tests too.
func readTree(t *testing.T) *tree {
	t.Helper()
	r := &tree{paths: map[string]bool{}, packages: map[string]map[string]bool{}, imported: map[string]bool{}}
	for _, name := range tracked(t) {
		if _, err := os.Stat(filepath.Join(root, name)); err != nil {
			continue // moved, and not committed yet
		}
		for p := name; p != "."; p = path.Dir(p) {
			r.paths[p] = true
		}
		if !strings.HasSuffix(name, ".go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, name), nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		r.addFile(path.Dir(name), file)
	}
	return r
}

// addFile adds what a file declares and imports.
func (t *tree) addFile(folder string, file *ast.File) {
	names := t.packages[folder]
	if names == nil {
		names = map[string]bool{}
		t.packages[folder] = names
	}
	for _, imported := range importsOf(file) {
		t.imported[imported] = true
	}
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			names[strings.TrimPrefix(receiverType(d)+"."+d.Name.Name, ".")] = true
		case *ast.GenDecl:
			for _, s := range d.Specs {
				addSpec(names, s)
			}
		}
	}
}

// receiverType is the name of the type whose method this is, "" of a function.
func receiverType(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	return typeName(d.Recv.List[0].Type)
}

// typeName is the name of a type without pointer, parameters and package.
func typeName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.Ident:
		return e.Name
	}
	return ""
}

func addSpec(names map[string]bool, s ast.Spec) {
	switch s := s.(type) {
	case *ast.ValueSpec:
		for _, n := range s.Names {
			names[n.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name] = true
		var members *ast.FieldList
		switch t := s.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		default:
			return
		}
		for _, f := range members.List {
			for _, n := range f.Names {
				names[s.Name.Name+"."+n.Name] = true
			}
			if len(f.Names) == 0 {
				names[s.Name.Name+"."+typeName(f.Type)] = true
			}
		}
	}
}

// has tells whether what a page names is there. Paths are from the root or from one of the folders below; a file alone may lie
// anywhere. Identifiers are a declared name, or one after its package or type.
func (t *tree) has(name string) bool {
	name = strings.TrimSuffix(name, "/")
	for _, folder := range []string{"", "internal", "internal/gateway", "internal/proxy", "internal/frontdoor", "internal/lab"} {
		if t.paths[path.Join(folder, name)] {
			return true
		}
	}
	if t.imported[name] {
		return true
	}
	if fileEnding.MatchString(name) {
		return !strings.Contains(name, "/") && t.anyFile(name)
	}
	return goName.MatchString(name) && t.declares(name)
}

func (t *tree) anyFile(base string) bool {
	for p := range t.paths {
		if path.Base(p) == base {
			return true
		}
	}
	return false
}

// declares tells whether a name, Type.Member, package.Name or package.Type.Member is declared.
func (t *tree) declares(name string) bool {
	first, rest, qualified := strings.Cut(name, ".")
	for folder, names := range t.packages {
		if names[name] || qualified && path.Base(folder) == first && names[rest] {
			return true
		}
	}
	return false
}

// missing gives what a page names in backquotes and isn't there. What has a blank in it, or is no name of a path or of Go, is a
// command, a message or a sign and isn't looked for.
func (t *tree) missing(page string) (all []string) {
	for _, m := range backquoted.FindAllStringSubmatch(page, -1) {
		name := strings.TrimSuffix(m[1], "()")
		if (pathName.MatchString(name) || goName.MatchString(name)) && !t.has(name) && !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

// Guards against pages that name what was renamed or moved: who is on call would look for it in vain.
func TestPagesNameWhatExists(t *testing.T) {
	r := readTree(t)
	for _, name := range checkedPages {
		page, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		named := backquoted.FindAllString(string(page), -1)
		must.Greater(t, 20, len(named), must.Sprint(name))
		must.Eq(t, []string(nil), r.missing(string(page)), must.Sprint(name))
	}
}

// Guards against files that were moved away from under the other pages.
func TestPagesNameFilesThatExist(t *testing.T) {
	r := readTree(t)
	for _, name := range pagesWithFiles {
		page, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		missing := slices.DeleteFunc(r.missing(string(page)), func(m string) bool { return !strings.HasSuffix(m, ".go") })
		must.SliceEmpty(t, missing, must.Sprint(name, missing))
	}
}

// Guards against a search that finds nothing missing: planted paths and identifiers are found.
func TestPlantedNamesAreMissing(t *testing.T) {
	r := readTree(t)
	page := "`cmd/gateway`, `gateway/routing`, `routing`, `os`, `imports_test.go`, `tree.has`, `architecture.tree`, `root`, `architecture.tree.paths`, `gateway serve`, `GET /api/ready`\n" +
		"`cmd/gatewai`, `gateway/routing/nothere.go`, `nothere.go`, `tree.hasNot`, `architecture.NoTree`, `NoSuchName`, `nosuchpackage`, `internal/architecture/testdata/none.txt`, `fetch()`"
	must.Eq(t, []string{"cmd/gatewai", "gateway/routing/nothere.go", "nothere.go", "tree.hasNot", "architecture.NoTree", "NoSuchName",
		"nosuchpackage", "internal/architecture/testdata/none.txt", "fetch"}, r.missing(page))
}
