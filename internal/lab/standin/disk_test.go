package standin

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/history"
)

// writerScript appends each line that it reads to a file, and logs whether the disk accepted the line. A write beyond the limit on file sizes
// fails instead of ending the shell.
const writerScript = `trap '' XFSZ; echo up >&2; while read -r line; do
	if printf '%s\n' "$line" >>"$0" 2>/dev/null; then echo accepted >&2; else echo refused >&2; fi
done`

// A disk that refuses writes does so for the running process and for its next incarnation, until each caller that wanted it has ended it.
func TestRefuseWrites(t *testing.T) {
	file := filepath.Join(t.TempDir(), "written")
	lines := make(chan string, 10)
	next := func() string {
		select {
		case line := <-lines:
			return line
		case <-time.After(CallTimeout):
			return "nothing"
		}
	}
	p := NewProcess("writer", history.InMemory(100), func(int) (*exec.Cmd, error) {
		return exec.Command("sh", "-c", writerScript, file), nil
	}, func(text []byte) bool { lines <- string(text); return true }, func(context.Context) bool { return true })
	defer p.Close()
	start := func() {
		must.NoError(t, p.Again())
		must.Eq(t, "up", next())
	}
	write := func() string {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sendCommand("a line\n")
		return next()
	}
	refuse := func(on, changed bool) {
		got, err := p.RefuseWrites(on)
		must.NoError(t, err)
		must.Eq(t, changed, got, must.Sprint("refuse ", on))
	}

	start()
	must.Eq(t, "accepted", write())
	refuse(true, true)
	must.Eq(t, "refused", write())
	refuse(true, false)
	refuse(false, false)
	must.Eq(t, "refused", write())
	p.Kill()
	start()
	must.Eq(t, "refused", write())
	refuse(false, true)
	must.Eq(t, "accepted", write())
	p.Kill()
	refuse(true, true)
	refuse(false, true)
	start()
	must.Eq(t, "accepted", write())
	written, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, fmt.Sprint("a line\n", "a line\n", "a line\n"), string(written))
}
