package mutants

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The kept table reads well, and each change fits the source as it stands: one that no longer does would find nothing.
func TestKeptTableFits(t *testing.T) {
	table, err := Load("../../../lab/mutants.toml")
	if err != nil {
		t.Fatal(err)
	}
	if len(table.Mutant) < 25 {
		t.Errorf("%d mutants", len(table.Mutant))
	}
	for i := range table.Mutant {
		m := &table.Mutant[i]
		if err := m.Fits("../../.."); err != nil {
			t.Error(err)
		}
		for _, p := range m.Play {
			if kind, _, _ := strings.Cut(p, " "); kind == "leases" || slices.Contains(simulatedPlays, kind) {
				continue
			}
			if _, err := os.Stat(filepath.Join("../../../lab", strings.Fields(p)[1])); err != nil {
				t.Error(err)
			}
		}
	}
}

func TestWrongTables(t *testing.T) {
	for text, want := range map[string]string{
		"[[mutant]]\nname = \"a\"\nfile = \"x.go\"\nold = \"a\"\nnew = \"a\"\nplay = [\"emulator f\"]\n": "something else in its place",
		"[[mutant]]\nname = \"a\"\nfile = \"x.go\"\nold = \"a\"\nnew = \"b\"\nplay = [\"dice\"]\n":       "neither",
		"[[mutant]]\nname = \"a\"\nfile = \"x.go\"\nold = \"a\"\nnew = \"b\"\n":                          "plays nothing",
		"[[mutants]]\n": "t.toml:1: unknown key mutants",
	} {
		file := filepath.Join(t.TempDir(), "t.toml")
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(file); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
