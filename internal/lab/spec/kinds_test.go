package spec

import "testing"

// Each kind stands once in the table, is played somewhere and does something: a second row of a name would hide the first.
func TestKinds(t *testing.T) {
	if len(byName) != len(kinds) {
		t.Errorf("%d names of %d kinds", len(byName), len(kinds))
	}
	for _, k := range kinds {
		if k.worlds == 0 || k.effect == 0 || k.moment != "" && k.target == NoNode {
			t.Errorf("%s does nothing anywhere", k.name)
		}
	}
}

// A fault of no kind is refused by name where it would begin, and begins nothing.
func TestBeginUnknown(t *testing.T) {
	begun := false
	table := Table[*bool]{KillNodes: func(b *bool, _ *Fault) func() { *b = true; return nil }}
	if _, err := table.Begin(&begun, &Fault{Kind: "flood"}); err == nil || begun {
		t.Errorf("begun %v, %v", begun, err)
	}
	if _, err := table.Begin(&begun, &Fault{Kind: "core-kill"}); err != nil || !begun {
		t.Errorf("begun %v, %v", begun, err)
	}
}
