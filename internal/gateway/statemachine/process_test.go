package statemachine

import (
	"encoding/gob"
	"fmt"
	"hash/crc64"
	"io"
	"os"
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
)

// What another process of this test does before it folds the log.
const preludeEnv = "STATEMACHINE_DOES_BEFORE"

// A member that was sent half of a snapshot goes on with the other half from whoever leads next, if the bytes are the same. They were not
// where one process had worded other types before, as a node does that was a leader, or had no disk to read.
func TestSnapshotBytesEqualAcrossProcesses(t *testing.T) {
	fold := func() string {
		s := New()
		for _, e := range allEntryKinds() {
			s.Apply(e)
		}
		return fmt.Sprintf("snapshot %x\n", crc64.Checksum(s.Snapshot(), crc64.MakeTable(crc64.ECMA)))
	}
	switch os.Getenv(preludeEnv) {
	case "":
	case "hellos":
		gob.NewEncoder(io.Discard).Encode(membership.WireHello{})
		fallthrough
	case "roll-outs":
		gob.NewEncoder(io.Discard).Encode(rollout.WireReport{})
		(&rollout.Entry{Spec: &rollout.Spec{}}).Encode()
		fallthrough
	default:
		fmt.Print(fold())
		return
	}
	want := ""
	for i, what := range []string{"nothing", "roll-outs", "hellos"} {
		c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		c.Env = append(os.Environ(), preludeEnv+"="+what)
		out, err := c.Output()
		must.NoError(t, err, must.Sprint(string(out)))
		got := ""
		_, err = fmt.Sscanf(string(out), "snapshot %s", &got)
		must.NoError(t, err)
		if i == 0 {
			want = got
		}
		must.Eq(t, want, got, must.Sprint(what))
	}
}
