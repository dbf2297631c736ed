package spec

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What is wrong is named by file, line and key.
func Example() {
	for _, text := range []string{
		"name = \"x\"\n[clients]\nlaod = 0.5\n",
		"name = \"x\"\nfor = \"10 apples\"\n",
		"for = \"60s\"\n\n[[faults]]\nkind = \"burst\"\nby = 2.0\nat = \"5s\"\n\n[[faults]]\nkind = \"burst\"\nby = 2.0\nat = \"70s\"\n",
		"for = \"60s\"\n[[faults]]\nkind = \"burst\"\nby = 2.0\nat = \"50s\"\nfor = \"20s\"\n",
		"[[faults]]\nkind = \"zone-loss\"\nzone = \"z\"\n",
		"[[faults]]\nkind = \"flood\"\n",
		"[nodes]\ncount = 0\n",
		"[[products]]\nname = \"a\"\nshare = 1.0\nwork = \"5ms\"\nsla = \"1s\"\nexpiry = \"2s\"\neffect = \"twice\"\nrepeat_scope = \"all\"\n",
		"[zones\n",
		"name = \"fine\"\n",
	} {
		_, err := Parse("x.toml", []byte(text))
		fmt.Println(err)
	}
	// Output:
	// x.toml:3: unknown key clients.laod
	// x.toml:2: for: "10 apples" is no time span such as "150ms"
	// x.toml:11: faults[1].at: 1m10s is beyond the end, 1m0s
	// x.toml:6: faults[0].for: it ends at 1m10s, beyond the end, 1m0s
	// x.toml:3: faults[0].zone: no such zone: "z"
	// x.toml:2: faults[0].kind: no such fault: "flood"
	// x.toml:2: nodes.count: must be 1 to 1000
	// x.toml:7: products[0].effect: must be inquiry-like, referenced or once-only
	// x.toml:1: expected ']' to close table name
	// <nil>
}

// Every kept experiment reads well.
func TestKept(t *testing.T) {
	files, _ := filepath.Glob("../../../lab/*.toml")
	if len(files) < 3 {
		t.Fatal("no experiments found")
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(f, "-sweep.toml") || strings.HasSuffix(f, "mutants.toml") || strings.HasSuffix(f, ".operator.toml") {
			continue // a grid, read by package lab
		}
		if _, err := Parse(f, text); err != nil {
			t.Error(err)
		}
	}
}
