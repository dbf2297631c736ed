package cases

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// judgeSecond fails if the last run of a case of the second review broke its rule, or did not reach a verdict.
func judgeSecond(t *testing.T, number, rule string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", number, "record.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(text), rule+" is broken") {
		t.Fatalf("case %s: %s is broken, see its record", number, rule)
	}
	if !strings.Contains(string(text), rule+" held") {
		t.Fatalf("case %s: the record has no verdict on %s", number, rule)
	}
}

func TestReviewLateFinishFreesLock(t *testing.T) { judgeSecond(t, "4", "ONE") }
