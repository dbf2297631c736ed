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

// pagesWithNames are the pages whose paths and identifiers in backquotes must exist, or be a word that the programs read or write: a
// setting, a field, a counter, a kind of fault, the name of a call. Pages that record what was found at a time (design.md, fleet.md,
// ROADMAP.md, incidents) are left as they are.
var pagesWithNames = []string{"CONTRIBUTING.md", "README.md", "docs/README.md", "docs/CAPACITY.md", "docs/coordination.md",
	"docs/coordination-calls.md", "docs/faults.md", "docs/gateway.md", "docs/hardening.md", "docs/lab.md", "docs/leases.md",
	"docs/on-call.md", "docs/operating.md", "docs/outliers.md", "docs/performance.md", "docs/questions.md", "docs/rollouts.md",
	"docs/simulation.md", "docs/state.md"}

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
	words    map[string]bool            // what programs read or write: texts in Go, tags, keys and texts of TOML and YAML
}

// readTree reads all tracked files, tests too.
func readTree(t *testing.T) *tree {
	t.Helper()
	r := &tree{paths: map[string]bool{}, packages: map[string]map[string]bool{}, imported: map[string]bool{}, words: map[string]bool{}}
	for _, name := range tracked(t) {
		if _, err := os.Stat(filepath.Join(root, name)); err != nil {
			continue // moved, and not committed yet
		}
		for p := name; p != "."; p = path.Dir(p) {
			r.paths[p] = true
		}
		if strings.HasSuffix(name, ".toml") || strings.HasSuffix(name, ".yaml") {
			r.addWordsOf(t, name)
		}
		if !strings.HasSuffix(name, ".go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, name), nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		r.addFile(path.Dir(name), file)
		if !strings.HasSuffix(name, "_test.go") {
			r.addTextsOf(file)
		}
		if base := path.Base(name); base == "wire.go" || base == "stored.go" {
			r.addFieldsOf(file)
		}
	}
	return r
}

// addTextsOf adds the texts and the fields' tags of a Go file, and their parts.
func (t *tree) addTextsOf(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if _, ok := n.(*ast.ImportSpec); ok {
			return false
		}
		if text, ok := n.(*ast.BasicLit); ok && text.Kind == token.STRING {
			for _, part := range strings.FieldsFunc(text.Value, func(c rune) bool { return strings.ContainsRune("`\"/,:=", c) }) {
				t.words[strings.TrimSpace(part)] = true
			}
		}
		return true
	})
}

// addFieldsOf adds the names of a file's fields: those of wire and stored forms are what gob writes.
func (t *tree) addFieldsOf(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if field, ok := n.(*ast.Field); ok {
			for _, name := range field.Names {
				t.words[name.Name] = true
			}
		}
		return true
	})
}

// addWordsOf adds the keys and texts of a TOML or YAML file.
func (t *tree) addWordsOf(tb *testing.T, name string) {
	content, err := os.ReadFile(filepath.Join(root, name))
	must.NoError(tb, err)
	for _, word := range strings.FieldsFunc(string(content), func(c rune) bool { return strings.ContainsRune("\"'/,:=#[]{}() \n", c) }) {
		t.words[word] = true
	}
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

// elsewhere are names of what isn't in the tree, as pages may say them.
var elsewhere = []string{
	"KNOWN-RED.txt",                   // there only while a test is known to fail
	"apt-get", "golang.org/toolchain", // of other projects
	"early", "herd-kill", "many-at-once", "planned-work", "relieve", "sweep", // days and faults of the operators' bench
	"found/gateway-NODES-SEED", "--sysroot", "mvk-anadolu-large", // with a placeholder; of the C compiler; a site
}

// isSaid tells whether a name is a word that programs read or write: itself, a flag, a setting after its section, the beginning or end
// of several (with the dash where they differ), or a file of recorded data. A single letter is a sign of the page's own.
func (t *tree) isSaid(name string) bool {
	name = strings.TrimSuffix(name, "/")
	if strings.HasSuffix(name, ".go") {
		return false
	}
	if len(name) == 1 || slices.Contains(elsewhere, name) || t.words[name] || t.words[strings.TrimPrefix(name, "--")] {
		return true
	}
	if section, key, ok := strings.Cut(name, "."); ok && name == strings.ToLower(name) && t.words[section] && t.words[key] {
		return true
	}
	if t.paths[path.Join("docs/capacity", name)] {
		return true
	}
	for imported := range t.imported {
		if path.Base(imported) == name {
			return true
		}
	}
	for word := range t.words {
		if strings.HasSuffix(name, "-") && strings.HasPrefix(word, name) || strings.HasPrefix(name, "-") && strings.HasSuffix(word, name) {
			return true
		}
	}
	return false
}

// unknown is as missing, without the words that programs read or write.
func (t *tree) unknown(page string) []string {
	unknown := slices.DeleteFunc(t.missing(page), t.isSaid)
	if len(unknown) == 0 {
		return nil
	}
	return unknown
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

// Guards against the same on pages that name settings, fields and faults besides.
func TestPagesNameWhatExistsOrIsSaid(t *testing.T) {
	r := readTree(t)
	unknown := map[string][]string{}
	for _, name := range pagesWithNames {
		page, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		if names := r.unknown(string(page)); names != nil {
			unknown[name] = names
		}
	}
	must.MapEmpty(t, unknown, must.Sprint("names that were renamed or moved away, by page: ", unknown))
}

// Guards against files that were moved away from under the other pages.
func TestPagesNameFilesThatExist(t *testing.T) {
	r := readTree(t)
	for _, name := range pagesWithNames {
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

// Guards against a search that takes every word for one that is said: planted identifiers are found, settings, flags and calls are not.
func TestPlantedNamesAreUnknown(t *testing.T) {
	r := readTree(t)
	page := "`in_touch`, `tolerates.machines`, `--for`, `Locks.Begin`, `ack-`, `Me`, `Retry-After`, `core-kill`, `nodes-400.jsonl`, `porcupine`, `x`\n" +
		"`tree.hasNot`, `NoSuchName`, `Host.NoSuchCall`, `nothere.go`, `control/nothere.go`, `no_such_setting`, `--no-such-flag`, `none.jsonl`"
	must.Eq(t, []string{"tree.hasNot", "NoSuchName", "Host.NoSuchCall", "nothere.go", "control/nothere.go", "no_such_setting", "--no-such-flag",
		"none.jsonl"}, r.unknown(page))
}
