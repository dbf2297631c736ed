package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// belowWarning are the methods that begin a log line of a lower level.
var belowWarning = []string{"Trace", "Debug", "Info", "logInfo"}

// warningMessages gives the constant messages that a file logs with a level of warning or above: the text of Msg at the end of a chain
// that doesn't begin a line of a lower level.
func warningMessages(file *ast.File) (messages []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 || !isMethod(call, "Msg") || startsBelowWarning(call) {
			return true
		}
		text := "not a constant"
		if literal, ok := call.Args[0].(*ast.BasicLit); ok {
			text, _ = strconv.Unquote(literal.Value)
		}
		messages = append(messages, text)
		return true
	})
	return messages
}

func isMethod(call *ast.CallExpr, names ...string) bool {
	s, ok := call.Fun.(*ast.SelectorExpr)
	return ok && slices.Contains(names, s.Sel.Name)
}

// startsBelowWarning follows a chain of calls to its beginning.
func startsBelowWarning(call *ast.CallExpr) bool {
	for {
		if isMethod(call, belowWarning...) {
			return true
		}
		s, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return false
		}
		if call, ok = s.X.(*ast.CallExpr); !ok {
			return false
		}
	}
}

// quotedIn gives what a page has in backquotes.
func quotedIn(page string) (all []string) {
	for _, m := range backquoted.FindAllStringSubmatch(page, -1) {
		all = append(all, m[1])
	}
	return all
}

// section gives a page's part below a heading, up to the next of the same depth or above.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n"+heading+"\n")
	must.True(t, found, must.Sprint(heading))
	depth := strings.Count(strings.Fields(heading)[0], "#")
	for at := 0; ; {
		next := strings.Index(rest[at:], "\n#")
		if next < 0 {
			return rest
		}
		at += next + 1
		if marks, _, _ := strings.Cut(rest[at:], " "); len(marks) <= depth {
			return rest[:at]
		}
	}
}

func onCallPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "on-call.md"))
	must.NoError(t, err)
	return string(page)
}

// Guards against a counter that who is on call finds nowhere, and against names of counters that are gone.
func TestOnCallExplainsEachCounter(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/proxy/counters/counters.go"), nil, 0)
	must.NoError(t, err)
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 && spec.Names[0].Name == "names" {
			for _, e := range spec.Values[0].(*ast.CompositeLit).Elts {
				name, err := strconv.Unquote(e.(*ast.BasicLit).Value)
				must.NoError(t, err)
				names = append(names, name)
			}
		}
		return true
	})
	must.Greater(t, 50, len(names))
	explained := quotedIn(section(t, onCallPage(t), "### Counters"))
	for _, name := range names {
		must.True(t, slices.Contains(explained, name), must.Sprintf("docs/on-call.md doesn't explain the counter %q", name))
	}
}

// Guards against a search that finds no message: planted ones are found.
func TestPlantedWarningsAreFound(t *testing.T) {
	planted := `package p
func f() {
	log.Warn().Str("part", "core").Err(err).Msg("write failed")
	h.log.Info().Msg("started")
	h.logWarn(core).Int("n", 1).Msg("lost")
	h.logInfo(core).Int("n", 1).Msg("found")
	log.Warn().Msg("made of " + parts)
	entry.Str("detail", text).Msg("reported")
	t.Error("no message")
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", planted, 0)
	must.NoError(t, err)
	must.Eq(t, []string{"write failed", "lost", "not a constant", "reported"}, warningMessages(file))
	must.Eq(t, "\none\n### b\ntwo\n", section(t, "# x\n## a\n\none\n### b\ntwo\n## c\nthree", "## a"))
}
