package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/settings"
)

// recordedNetwork begins the addresses of the nodes that left the recorded disks.
const recordedNetwork = "127.122.178."

// recordedDisks are the files of three members that dd5a45a left, as logstore's tests have them, and the last part of their addresses.
var recordedDisks = []struct {
	name string
	host int
}{{"dd5a45a", 12}, {"dd5a45a-second", 11}, {"dd5a45a-third", 15}}

// putRecordedDisk unpacks a recorded file into a folder, under that version's name. Its addresses are put into another network, which is
// as long: tests that run beside each other need their own.
func putRecordedDisk(t *testing.T, name, network, dir string) {
	t.Helper()
	must.Eq(t, len(recordedNetwork), len(network))
	f, err := os.Open(filepath.Join("..", "logstore", "testdata", name+".db.gz"))
	must.NoError(t, err)
	defer f.Close()
	z, err := gzip.NewReader(f)
	must.NoError(t, err)
	content, err := io.ReadAll(z)
	must.NoError(t, err)
	content = bytes.ReplaceAll(content, []byte(recordedNetwork), []byte(network))
	must.NoError(t, os.WriteFile(filepath.Join(dir, "promptbook.db"), content, 0o600))
}

// newRecordedCluster is three nodes with the recorded disks, and one without a disk; none is started.
func newRecordedCluster(t *testing.T) *testCluster {
	c := newCluster(t, 4)
	var seeds []string
	for i, s := range c.settings {
		host := 14
		if i < len(recordedDisks) {
			host = recordedDisks[i].host
			putRecordedDisk(t, recordedDisks[i].name, c.network.Prefix(), s.DataDir)
		}
		s.IPAddress = c.network.Host(host)
		s.Bind = settings.Bind{Front: s.IPAddress + ":18388", Readiness: s.IPAddress + ":18384", Control: s.IPAddress + ":18381"}
		s.Contracts, s.FirstBoot = []string{coordinationContract}, false
		seeds = append(seeds, s.Bind.Control)
	}
	for _, s := range c.settings {
		s.SeedAddrs = seeds[:len(recordedDisks)]
	}
	return c
}

// Three nodes that start with the disks of dd5a45a's go on from what those acknowledged: the configuration, the roll-out, locks, numbers
// and keys. They take changes of each, also through a node without a disk that follows them.
func TestRecordedDisksServe(t *testing.T) {
	c := newRecordedCluster(t)
	for i := range c.settings {
		c.start(i)
	}
	c.eventuallyAll("the recorded configuration", func(s controlapi.NodeStatus) bool { return s.Generation == 67 })
	for i := range recordedDisks {
		must.Eq(t, []string{"replicas.db"}, fileNames(t, c.settings[i].DataDir))
	}
	c.callUntilClear(3, 200, "POST", "/api/Config.Replace", configBody(68, 67))
	c.eventuallyAll("a change of it", func(s controlapi.NodeStatus) bool { return s.Generation == 68 })

	var status controlapi.RolloutStatus
	must.NoError(t, json.Unmarshal([]byte(c.callUntilClear(3, 200, "GET", "/api/Rollout.Status", "")), &status))
	must.SliceLen(t, 1, status.Rollouts)
	must.Eq(t, "s", status.Rollouts[0].Service)

	begin := func(holder string) (int, string) {
		return c.call(3, "POST", "/api/Locks.Begin/name-24", fmt.Sprintf(`{"holder":%q,"hold":"2s"}`, holder))
	}
	c.eventually("the recorded lock is held", func() bool { code, _ := begin("zoe"); return code == 409 })
	c.eventually("its holder has it", func() bool { code, text := begin("ivo"); return code == 200 && text == `{"fence":5}` })
	must.Eq(t, `{"value":5}`, c.callUntilClear(3, 200, "POST", "/api/numbers/name-30", ""))
	must.Eq(t, `{"value":4}`, c.callUntilClear(3, 200, "POST", "/api/numbers/orders", ""))
	must.Eq(t, `{"revision":3}`, c.callUntilClear(3, 200, "POST", "/api/Cells.Replace/alone", `{"value":"three","topic":2}`))
	must.StrContains(t, c.callUntilClear(0, 200, "GET", "/api/Cells.Read/g1.k0", ""), `"last"`)
}

func fileNames(t *testing.T, dir string) (names []string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	must.NoError(t, err)
	for _, f := range files {
		names = append(names, f.Name())
	}
	return names
}
