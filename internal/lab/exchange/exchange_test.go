package exchange

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// Guards against a client's reset that ends a node, and against what exchanges that were broken off leave behind in a node; the short form of "lab
// gateway exchange".
func TestExchangesOnRealNodes(t *testing.T) {
	defer goleak.VerifyNone(t)
	program := filepath.Join(t.TempDir(), "gateway")
	out, err := exec.Command("go", "build", "-tags", "debug", "-o", program, "clovergap/cmd/gateway").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	r, err := Play(context.Background(), Options{Program: program, Seed: 1, For: 8 * time.Second})
	must.NoError(t, err)
	must.SliceEmpty(t, r.Faults)
	must.Greater(t, 20, r.Counts.Answered)
	must.Greater(t, 20, r.Counts.Left)
	must.Greater(t, 100, r.Counts.Bids)
}
