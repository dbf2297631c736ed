package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// A step with an older number, or of a closed span, adds nothing; a line that a dead writer left half is cut off; many
// writers at once leave each span once.
func TestAdd(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ledger")
	step := func(number uint64, span int64, want error) {
		t.Helper()
		if err := Add(file, Step{Task: "t", Number: number, Writer: "n0", Span: span}); !errors.Is(err, want) {
			t.Errorf("number %d, span %d: %v", number, span, err)
		}
	}
	step(5, 1, nil)
	step(5, 2, nil)
	step(4, 3, ErrStale)
	step(6, 2, ErrClosed)
	if err := Add(file, Step{Task: "other", Number: 1, Span: 1}); err != nil {
		t.Error(err)
	}
	step(4, 3, ErrStale) // the other task's number is its own
	f, _ := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, 0)
	f.WriteString(`{"task":"t","number":9,"spa`)
	f.Close()
	step(6, 3, nil)
	var wg sync.WaitGroup
	for i := 0; i < 8; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for span := int64(4); span < 40; span++ {
				Add(file, Step{Task: "t", Number: 7, Writer: fmt.Sprint(i), Span: span})
			}
		}()
	}
	wg.Wait()
	all, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	last := int64(0)
	for _, l := range all {
		if l.Task != "t" {
			continue
		}
		if l.Span != last+1 {
			t.Errorf("span %d after %d", l.Span, last)
		}
		last = l.Span
	}
	if last != 39 {
		t.Errorf("closed up to %d", last)
	}
}
