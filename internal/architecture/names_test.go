package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Lists of this test, a line each; a line that begins with # is a comment. The first two may only grow, the third lists what stands.
const (
	plainWordsList     = "testdata/plain-words.txt"     // word = the field's term
	wholePackagesList  = "testdata/whole-packages.txt"  // folder of a package whose names are all the field's
	nameExceptionsList = "testdata/name-exceptions.txt" // folder or *, name, reason
)

// listLines gives the lines of a list without its comments.
func listLines(text string) (lines []string) {
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

func readList(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(name)
	must.NoError(t, err)
	return listLines(string(text))
}

// readPlainWords reads the list of words with their terms.
func readPlainWords(t *testing.T) map[string]string {
	t.Helper()
	terms := map[string]string{}
	for _, line := range readList(t, plainWordsList) {
		plain, term, found := strings.Cut(line, " = ")
		must.True(t, found && terms[plain] == "" && term != "", must.Sprint(line))
		terms[plain] = term
	}
	must.Greater(t, 100, len(terms))
	return terms
}

// nameException is a name that may stand although it has a plain word in it.
type nameException struct {
	folder string // "*": anywhere
	name   string
	reason string
}

func readNameExceptions(t *testing.T) (all []nameException) {
	t.Helper()
	for _, line := range readList(t, nameExceptionsList) {
		fields := strings.Fields(line)
		must.Greater(t, 4, len(fields), must.Sprintf("folder, name and a reason: %s", line))
		all = append(all, nameException{fields[0], fields[1], strings.Join(fields[2:], " ")})
	}
	return all
}

// declaredNames gives the types, fields, functions, methods, constants and variables that a file declares, of local ones the
// constants, variables and types with a declaration of their own.
func declaredNames(file *ast.File) (names []string) {
	add := func(id *ast.Ident) {
		if id != nil && id.Name != "_" && !slices.Contains(names, id.Name) {
			names = append(names, id.Name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.TypeSpec:
			add(n.Name)
		case *ast.StructType:
			for _, f := range n.Fields.List {
				for _, id := range f.Names {
					add(id)
				}
			}
		case *ast.FuncDecl:
			add(n.Name)
		case *ast.ValueSpec:
			for _, id := range n.Names {
				add(id)
			}
		}
		return true
	})
	return names
}

// plainWordOf gives the first plain word among the parts of a name, "" if there is none.
func plainWordOf(name string, terms map[string]string) string {
	begin := 0
	for i := 1; i <= len(name); i++ {
		upper := func(at int) bool { return name[at] >= 'A' && name[at] <= 'Z' }
		if i < len(name) && (!upper(i) || upper(i-1)) {
			continue
		}
		if part := strings.ToLower(name[begin:i]); terms[part] != "" {
			return part
		}
		begin = i
	}
	return ""
}

// plainNames gives the names of a file with a plain word in them.
func plainNames(file *ast.File, terms map[string]string) (found []string) {
	for _, name := range declaredNames(file) {
		if plainWordOf(name, terms) != "" {
			found = append(found, name)
		}
	}
	return found
}

// Guards against the return of words that a newcomer had to be told, in the packages that are whole. Each exception stands in a
// list with its reason, and goes when its name goes.
func TestNamesAreTheFields(t *testing.T) {
	terms, exceptions := readPlainWords(t), readNameExceptions(t)
	whole := readList(t, wholePackagesList)
	must.Positive(t, len(whole))
	must.True(t, slices.IsSorted(whole), must.Sprint(wholePackagesList))
	used, seen := map[nameException]bool{}, map[string]bool{}
	for _, name := range tracked(t) {
		folder := path.Dir(name)
		if !slices.Contains(whole, folder) || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".gen.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, name), nil, parser.SkipObjectResolution)
		if os.IsNotExist(err) {
			continue // moved, and not committed yet
		}
		must.NoError(t, err)
		seen[folder] = true
		for _, plain := range plainNames(file, terms) {
			i := slices.IndexFunc(exceptions, func(e nameException) bool { return (e.folder == "*" || e.folder == folder) && e.name == plain })
			if i < 0 {
				w := plainWordOf(plain, terms)
				t.Errorf("%s: %s: %s is the operators' word for: %s", name, plain, w, terms[w])
				continue
			}
			used[exceptions[i]] = true
		}
	}
	for _, folder := range whole {
		must.True(t, seen[folder], must.Sprintf("%s: no package is at %s", wholePackagesList, folder))
	}
	for _, e := range exceptions {
		if !used[e] {
			t.Errorf("%s: %s %s stands nowhere any more", nameExceptionsList, e.folder, e.name)
		}
	}
}

// dropped gives the lines of an earlier list that a later one lacks.
func dropped(earlier, later []string) (all []string) {
	for _, line := range earlier {
		if !slices.Contains(later, line) {
			all = append(all, line)
		}
	}
	return all
}

// Guards against a name that passes because its package or its word was taken off the list. A package leaves it only with its folder.
func TestListsOfNamesGrow(t *testing.T) {
	for _, list := range []string{plainWordsList, wholePackagesList} {
		now := readList(t, list)
		for _, revision := range []string{"HEAD", "HEAD^"} {
			show := exec.Command("git", "show", revision+":internal/architecture/"+list)
			show.Dir = root
			text, err := show.Output()
			if err != nil {
				continue // the list was not there yet
			}
			for _, line := range dropped(listLines(string(text)), now) {
				if _, err := os.Stat(filepath.Join(root, line)); list != wholePackagesList || err == nil {
					t.Errorf("%s: %s was taken off", list, line)
				}
			}
		}
	}
}

// Guards against a search that finds nothing: plain words are found in names of each kind, others aren't.
func TestPlantedPlainNamesAreFound(t *testing.T) {
	terms := readPlainWords(t)
	planted := `package p
type Mailbox struct { lineHeard int; headline string; told, b int }
type holder interface{ Said() }
const troubleMost, maxFaults = 1, 2
func (m *Mailbox) TellAll() { var book int; _ = book }
func telltale() {}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", planted, 0)
	must.NoError(t, err)
	must.Eq(t, []string{"lineHeard", "told", "holder", "troubleMost", "TellAll", "book"}, plainNames(file, terms))
	must.Eq(t, "heard", plainWordOf("lastHeard", terms))
	must.Eq(t, "", plainWordOf("HTTPServer", terms))
	must.Eq(t, []string{"b"}, dropped([]string{"a", "b"}, []string{"c", "a"}))
	must.Eq(t, []string{"a", "b"}, listLines("# why\n a\n\nb\n"))
}

// wrongReceivers gives the receivers of a file that don't begin with the first letter of their type.
func wrongReceivers(file *ast.File) (wrong []string) {
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Recv == nil || len(f.Recv.List[0].Names) == 0 {
			continue
		}
		if name, of := f.Recv.List[0].Names[0].Name, receiverType(f); name != "_" && !strings.EqualFold(name[:1], of[:1]) {
			wrong = append(wrong, name+" of "+of+"."+f.Name.Name)
		}
	}
	return wrong
}

// strayComments gives the functions of a file whose doc comment begins with another name than theirs, as after a rename.
func strayComments(file *ast.File) (stray []string) {
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Doc == nil || f.Name.Name == "init" || strings.HasPrefix(f.Doc.List[0].Text, "//go:") {
			continue
		}
		words := strings.Fields(f.Doc.Text())
		if len(words) > 0 && strings.TrimRight(words[0], ":,") != f.Name.Name {
			stray = append(stray, f.Name.Name+": "+words[0])
		}
	}
	return stray
}

// Guards against receivers that are left from a type's former name, in the whole tree, and against doc comments that are left from a
// function's, in the packages that are whole.
func TestReceiversAndCommentsFollowTheirNames(t *testing.T) {
	whole := readList(t, wholePackagesList)
	for _, s := range sources(t) {
		if ast.IsGenerated(s.file) {
			continue
		}
		must.Eq(t, []string(nil), wrongReceivers(s.file), must.Sprint(s.pkg))
		if slices.Contains(whole, s.pkg) {
			must.Eq(t, []string(nil), strayComments(s.file), must.Sprint(s.pkg))
		}
	}
	planted := `package p
// Goes away.
func (h *Node) Stop() {}
// Start: begins.
func (n *Node) Start() {}
func (*Node) Wait() {}
//go:noinline
func f() {}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", planted, parser.ParseComments)
	must.NoError(t, err)
	must.Eq(t, []string{"h of Node.Stop"}, wrongReceivers(file))
	must.Eq(t, []string{"Stop: Goes"}, strayComments(file))
}
