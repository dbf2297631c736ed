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

// preludeEnv is the environment variable that selects what a child process of this test encodes before it applies the log.
const preludeEnv = "STATEMACHINE_DOES_BEFORE"

// Guards against snapshot bytes that depend on which other types a process has encoded before. A member that received half of a
// snapshot receives the other half from the next leader, so the snapshots of both leaders must have the same bytes. The bytes once
// differed in a process that had been a leader before, and in a process without a disk.
func TestSnapshotBytesEqualAcrossProcesses(t *testing.T) {
	applyLog := func() string {
		s := New()
		for _, e := range entriesOfAllKinds() {
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
		fmt.Print(applyLog())
		return
	}
	want := ""
	for i, prelude := range []string{"nothing", "roll-outs", "hellos"} {
		c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		c.Env = append(os.Environ(), preludeEnv+"="+prelude)
		out, err := c.Output()
		must.NoError(t, err, must.Sprint(string(out)))
		got := ""
		_, err = fmt.Sscanf(string(out), "snapshot %s", &got)
		must.NoError(t, err)
		if i == 0 {
			want = got
		}
		must.Eq(t, want, got, must.Sprint(prelude))
	}
}
