// Package cases judges what the cases of the review wrote. Run review/N/run.sh first: it writes review/N/record.txt.
package cases

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// judge fails if the last run of a case broke its rule, or did not reach a verdict.
func judge(t *testing.T, number, rule string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", number, "record.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, rule+" is broken") {
			t.Fatalf("case %s: %s", number, strings.TrimSpace(line))
		}
		if strings.Contains(line, rule+" held") {
			return
		}
	}
	t.Fatalf("case %s: the record has no verdict on %s", number, rule)
}

func TestReviewLeavingClientsCrashNode(t *testing.T) { judge(t, "1", "LOST") }

func TestReviewSlowReaderLosesAnswer(t *testing.T) { judge(t, "2", "LOST") }

func TestReviewForgottenLeave(t *testing.T) { judge(t, "3", "DRAIN") }
