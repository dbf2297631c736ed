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

// loggingPackages are the folders whose messages docs/on-call.md explains.
var loggingPackages = []string{"cmd/gateway", "internal/gateway", "internal/proxy"}

// message is a constant text that is logged.
type message struct {
	text    string
	warning bool // of warning or above, or of a level that isn't known
}

// belowWarning are the methods that begin a log line of a lower level.
var belowWarning = []string{"Trace", "Debug", "Info", "logInfo"}

// messagesOf gives the messages that a file logs: the text of Msg at the end of a chain of calls, a literal or one of the constants, and
// the Message of a LogEntry. What a function passes on from its parameters is its callers'.
func messagesOf(file *ast.File, constants map[string]string) (messages []message) {
	for _, d := range file.Decls {
		parameters := map[string]bool{}
		if f, ok := d.(*ast.FuncDecl); ok {
			for _, p := range f.Type.Params.List {
				for _, name := range p.Names {
					parameters[name.Name] = true
				}
			}
		}
		ast.Inspect(d, func(n ast.Node) bool {
			var text ast.Expr
			warning := false
			switch n := n.(type) {
			case *ast.CallExpr:
				if len(n.Args) != 1 || !isMethod(n, "Msg") {
					return true
				}
				text, warning = n.Args[0], !startsBelowWarning(n)
			case *ast.CompositeLit:
				text = messageOf(n)
			}
			if name, ok := text.(*ast.Ident); text == nil || ok && parameters[name.Name] {
				return true
			}
			messages = append(messages, message{constantText(text, constants), warning})
			return true
		})
	}
	return messages
}

// messageOf gives the Message of a LogEntry, nil of anything else.
func messageOf(literal *ast.CompositeLit) ast.Expr {
	if typeName(literal.Type) != "LogEntry" {
		return nil
	}
	for _, e := range literal.Elts {
		if pair, ok := e.(*ast.KeyValueExpr); ok && typeName(pair.Key) == "Message" {
			return pair.Value
		}
	}
	return nil
}

// constantText is the text of a literal, or of a constant by its name.
func constantText(e ast.Expr, constants map[string]string) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, _ := strconv.Unquote(e.Value)
		return text
	case *ast.Ident:
		if constants[e.Name] != "" {
			return constants[e.Name]
		}
	}
	return "not a constant"
}

// stringConstants gives the file's constants that are one string.
func stringConstants(file *ast.File) map[string]string {
	all := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Names) == 1 && len(spec.Values) == 1 {
			if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				all[spec.Names[0].Name], _ = strconv.Unquote(literal.Value)
			}
		}
		return true
	})
	return all
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

// rowsOf gives what the first column of a section's table has in backquotes.
func rowsOf(section string) (all []string) {
	for _, line := range strings.Split(section, "\n") {
		if cell, _, found := strings.Cut(strings.TrimPrefix(line, "| "), " | "); found && strings.HasPrefix(line, "| `") {
			all = append(all, quotedIn(cell)...)
		}
	}
	return all
}

// Guards against a message that who is on call finds nowhere, against rows for messages that are gone, and against a warning among the
// others.
func TestOnCallExplainsEachMessage(t *testing.T) {
	var warnings, others []string
	for _, s := range sources(t) {
		if !slices.ContainsFunc(loggingPackages, func(p string) bool { return s.pkg == p || strings.HasPrefix(s.pkg, p+"/") }) {
			continue
		}
		for _, m := range messagesOf(s.file, stringConstants(s.file)) {
			if m.warning {
				warnings = append(warnings, m.text)
			} else {
				others = append(others, m.text)
			}
		}
	}
	for heading, logged := range map[string][]string{"### Messages of warning and above": warnings, "### Other messages": others} {
		slices.Sort(logged)
		explained := rowsOf(section(t, onCallPage(t), heading))
		slices.Sort(explained)
		must.Eq(t, slices.Compact(logged), explained, must.Sprint(heading))
	}
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
func TestPlantedMessagesAreFound(t *testing.T) {
	planted := `package p
const lostMessage = "lost"
func f() {
	log.Warn().Str("part", "core").Err(err).Msg("write failed")
	h.log.Info().Msg("started")
	h.logWarn(core).Int("n", 1).Msg(lostMessage)
	h.logInfo(core).Int("n", 1).Msg("found")
	log.Warn().Msg("made of " + parts)
	entry.Str("detail", text).Msg("reported")
	do(control.LogEntry{Message: "counted", Fields: fields})
	t.Error("no message")
}
func g(text string) { line.Msg(text) }`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", planted, 0)
	must.NoError(t, err)
	must.Eq(t, []message{{"write failed", true}, {"started", false}, {"lost", true}, {"found", false}, {"not a constant", true}, {"reported", true}, {"counted", false}},
		messagesOf(file, stringConstants(file)))
	must.Eq(t, "\none\n### b\ntwo\n", section(t, "# x\n## a\n\none\n### b\ntwo\n## c\nthree", "## a"))
	must.Eq(t, []string{"a", "b"}, rowsOf("| x | y |\n| --- | --- |\n| `a`, `b` | `c` |\n"))
}
