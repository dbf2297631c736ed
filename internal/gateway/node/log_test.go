package node

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// logFields are the names that fields of log lines may have: one name for a thing in all lines. log.go says what they mean.
var logFields = strings.Fields(`part term index version member peer slot slots group service rollout status reason reasons error
	leader members backends departures disk front control settings counters clients in_flight heap_kb memory_kb invariants_broken
	detail reachable links_up links_wanted links_without_hello verb by phase step steps share
	client unwritten not_logged goroutines stale_ms`)

// logCalls gives the calls that make a line, from Msg back to the call that begins it.
func logCalls(end *ast.CallExpr) (calls []*ast.CallExpr) {
	for call := end; call != nil; {
		calls = append(calls, call)
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			break
		}
		call, _ = selector.X.(*ast.CallExpr)
	}
	return calls
}

// Guards against lines that can't be searched for: a message is constant, and each of its fields has a name of the list.
func TestLogMessagesAndFields(t *testing.T) {
	files := token.NewFileSet()
	names, err := filepath.Glob("*.go")
	must.NoError(t, err)
	lines := 0
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, name, nil, 0)
		must.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			if function, ok := n.(*ast.FuncDecl); ok && isGateLog(function) {
				return false // passes on a control.LogEntry: see the next test
			}
			if end, ok := n.(*ast.CallExpr); ok && isMsg(end) {
				lines++
				checkLogLine(t, files.Position(end.Pos()).String(), end)
			}
			return true
		})
	}
	must.Greater(t, 20, lines)
}

// isGateLog reports whether a function is a method of gateLog.
func isGateLog(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return false
	}
	receiver, ok := function.Recv.List[0].Type.(*ast.Ident)
	return ok && receiver.Name == "gateLog"
}

// The lines of the modules behind the gate are as constant: a control.LogEntry has its message in the code.
func TestLogEntriesOfModules(t *testing.T) {
	files := token.NewFileSet()
	entries := 0
	for _, folder := range []string{"../admission", "../../../control/loadbalancer"} {
		names, err := filepath.Glob(filepath.Join(folder, "*.go"))
		must.NoError(t, err)
		for _, name := range names {
			file, err := parser.ParseFile(files, name, nil, 0)
			must.NoError(t, err)
			ast.Inspect(file, func(n ast.Node) bool {
				literal, ok := n.(*ast.CompositeLit)
				if !ok {
					return true
				}
				if kind, named := literal.Type.(*ast.SelectorExpr); !named || kind.Sel.Name != "LogEntry" {
					return true
				}
				entries++
				message, constant := literal.Elts[0].(*ast.KeyValueExpr).Value.(*ast.BasicLit)
				must.True(t, constant && message.Kind == token.STRING, must.Sprint(files.Position(literal.Pos()), ": the message is no constant"))
				return true
			})
		}
	}
	must.Eq(t, 2, entries)
}

// isMsg reports whether a call ends a line.
func isMsg(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	return ok && selector.Sel.Name == "Msg"
}

func checkLogLine(t *testing.T, at string, end *ast.CallExpr) {
	t.Helper()
	switch message := end.Args[0].(type) {
	case *ast.BasicLit:
	case *ast.Ident:
		must.True(t, message.Obj != nil && message.Obj.Kind == ast.Con, must.Sprint(at, ": the message is no constant"))
	default:
		t.Errorf("%s: the message is no constant", at)
	}
	for _, call := range logCalls(end)[1:] {
		if len(call.Args) < 2 {
			continue // of a part or of an error: they have no name to give
		}
		name, ok := call.Args[0].(*ast.BasicLit)
		must.True(t, ok, must.Sprint(at, ": a field without a constant name"))
		field, err := strconv.Unquote(name.Value)
		must.NoError(t, err)
		must.True(t, slices.Contains(logFields, field), must.Sprintf("%s: the field %q is not in the list", at, field))
	}
}

// A line names its part and has its fields typed; the library that polls sockets writes in the same form.
func TestLogLines(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: &log.Logger{Level: log.InfoLevel, Context: log.NewContext(nil).Str("node", "n-1").Value(), Writer: &log.IOWriter{Writer: &out}}}
	n.logWarn(corePart).Uint64("term", 3).Msg("a message")
	gateLog{n}.Info("requests", zap.Float64("taken", 12))
	pollerLog{n.log}.Error("NBIO[%v] Accept failed: %v\n", "x", "too many open files")
	for _, want := range []map[string]any{
		{"level": "warn", "node": "n-1", "part": "core", "term": 3.0, "message": "a message"},
		{"level": "info", "node": "n-1", "part": "gate", "taken": 12.0, "message": "requests"},
		{"level": "error", "node": "n-1", "part": "poller", "detail": "NBIO[x] Accept failed: too many open files", "message": "poller reported"},
	} {
		line, err := out.ReadBytes('\n')
		must.NoError(t, err)
		var got map[string]any
		must.NoError(t, json.Unmarshal(line, &got))
		delete(got, "time")
		must.Eq(t, want, got)
	}
}
