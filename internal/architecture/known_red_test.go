package architecture

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// knownRedModule is a module with one test that passes, one that fails and one that fails only in the debug build.
var knownRedModule = map[string]string{
	"go.mod": "module example\n\ngo 1.21\n",
	"a_test.go": `package example

import "testing"

func TestPasses(t *testing.T) {}

func TestFails(t *testing.T) { t.Run("part", func(t *testing.T) { t.Fatal("broken") }) }
`,
	"debug_test.go": `//go:build debug

package example

import "testing"

func TestFailsInDebug(t *testing.T) { t.Fatal("broken") }
`,
}

// runKnownRed runs .ci/known-red with this list in that module. It returns the pattern of tests to skip, what was printed, and the
// script's error.
func runKnownRed(t *testing.T, list string) (pattern, printed string, err error) {
	t.Helper()
	script, err := filepath.Abs(filepath.Join("..", "..", ".ci", "known-red"))
	must.NoError(t, err)
	dir := t.TempDir()
	for name, content := range knownRedModule {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644))
	}
	must.NoError(t, os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte(list), 0o644))
	var out, errors bytes.Buffer
	command := exec.Command(script)
	command.Dir, command.Stdout, command.Stderr = dir, &out, &errors
	err = command.Run()
	return out.String(), errors.String(), err
}

// TestKnownRed guards against a listed test that stays listed after its fault is fixed, and against a test that fails only sometimes
// and turns the run red.
func TestKnownRed(t *testing.T) {
	cases := []struct {
		name, list       string
		passes           bool
		pattern, printed string
	}{
		{"AlwaysFails", "TestFails; go test -run TestFails .; broken; 1; always\n", true, "^TestFails$\n", "known red, failed: TestFails;"},
		{"AlwaysPasses", "TestPasses; go test -run TestPasses .; broken; 1; always\n", false, "", "marked always, but passes"},
		{"SometimesFails", "TestFails; go test -run TestFails .; broken; 1; sometimes\n", true, "^TestFails$\n", "known red, failed: TestFails;"},
		{"SometimesPasses", "TestPasses; go test -run TestPasses .; broken; 1; sometimes\n", true, "^TestPasses$\n", "known red, passed in both builds"},
		{"AlwaysFailsInOneBuild", "TestFailsInDebug; go test -tags debug .; broken; 1; always\n", true, "^TestFailsInDebug$\n", "known red, failed"},
		{"TwoEntries", "TestFails/part; go test .; broken; 1; always\nTestPasses; go test .; broken; 1; sometimes\n", true,
			"^TestFails$/^part$|^TestPasses$\n", "known red, passed"},
		{"NoSuchTest", "TestGone; go test .; broken; 1; sometimes\n", false, "", "not the name of exactly one test"},
		{"NoSuchPart", "TestPasses/gone; go test .; broken; 1; sometimes\n", false, "", "does not run in either build"},
		{"NoMark", "TestFails; go test .; broken; 1\n", false, "", "marked neither always nor sometimes"},
		{"NoIssue", "TestFails; go test .; broken; ; always\n", false, "", "issue; always|sometimes\""},
		{"OldForm", "TestFails, broken, 1\n", false, "", "issue; always|sometimes\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			pattern, printed, err := runKnownRed(t, c.list)
			must.EqOp(t, c.passes, err == nil, must.Sprint(printed))
			must.EqOp(t, c.pattern, pattern)
			must.StrContains(t, printed, c.printed)
		})
	}
}
