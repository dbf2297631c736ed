package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/logstore"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/lab/loopback"
)

// testTimeout bounds every wait of these tests; none of them depends on how long anything takes within it.
const testTimeout = 60 * time.Second

// testCluster is several nodes of a deployment in this process, each at an address of its own on the loopback.
type testCluster struct {
	t        *testing.T
	http     *http.Client
	running  map[int]*Node
	settings []*settings.Settings
	network  *loopback.Network
}

// startCluster starts so many nodes, the first three with a disk.
func startCluster(t *testing.T, n int) *testCluster {
	d := newCluster(t, n)
	for i := range d.settings {
		d.start(i)
	}
	return d
}

// newCluster makes the settings, and starts no node.
func newCluster(t *testing.T, n int) *testCluster {
	d := &testCluster{t: t, running: map[int]*Node{}, http: &http.Client{Timeout: testTimeout,
		Transport: &http.Transport{DisableKeepAlives: true}}}
	network, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, network.Release()) })
	d.network = network
	var seeds []string
	for i := range n {
		ip := network.Host(11 + i)
		s := &settings.Settings{NodeName: fmt.Sprint("node-", i), IPAddress: ip, Zone: "z", InnerPorts: [2]int{17560, 17575},
			Bind: settings.Bind{Front: ip + ":18388", Readiness: ip + ":18384", Control: ip + ":18381"}, FirstBoot: true,
			HeartbeatInterval: time.Hour, Tolerance: settings.Tolerance{Machines: 1}, Bounds: settings.DefaultBounds()}
		if i < 3 {
			s.DataDir = t.TempDir()
			seeds = append(seeds, s.Bind.Control)
		}
		d.settings = append(d.settings, s)
	}
	for _, s := range d.settings {
		s.SeedAddrs = seeds
	}
	t.Cleanup(d.stop)
	return d
}

// stop kills all nodes, and waits for the ends of their goroutines.
func (t *testCluster) stop() {
	for i := range t.settings {
		t.kill(i)
	}
	t.eventually("all ends", func() bool { return goleak.Find() == nil })
}

func (t *testCluster) start(i int) {
	t.t.Helper()
	h, err := New(t.settings[i])
	must.NoError(t.t, err)
	must.NoError(t.t, h.Start())
	t.running[i] = h
}

// kill ends a node as a killed process ends, except that a write under way is completed.
func (t *testCluster) kill(i int) {
	h := t.running[i]
	if h == nil {
		return
	}
	delete(t.running, i)
	core := h.core
	h.loop.Turn(func() {
		h.core = nil
		h.openLogStream() // without a replica
		h.loop.OnTurnEnd(func() {})
	})
	h.sockets.mesh.Stop()
	if core != nil {
		t.eventually("a write ends", func() bool {
			writing := false
			h.loop.Turn(func() { writing = core.disk.writing })
			return !writing
		})
		close(h.sockets.disk.writes)
		h.sockets.disk.store.Close()
	}
	h.sockets.Stop()
	datagram := h.datagramAddr(h.peerAddr)
	for fd := range 1 << 12 { // the poller leaves it open
		if at, err := syscall.Getsockname(fd); err == nil {
			if at, ok := at.(*syscall.SockaddrInet4); ok && at.Addr == datagram.Addr().As4() && at.Port == int(datagram.Port()) {
				syscall.Close(fd)
			}
		}
	}
	t.settings[i].FirstBoot = false
}

// eventually waits until something holds.
func (t *testCluster) eventually(what string, is func() bool) {
	t.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(testTimeout); !is(); <-tick.C {
		if time.Now().After(end) {
			t.t.Fatalf("never: %s", what)
		}
	}
}

func (t *testCluster) call(i int, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+t.settings[i].Bind.Control+path, bytes.NewBufferString(body))
	must.NoError(t.t, err)
	a, err := t.http.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// callUntilClear repeats a call, as an operator does, until its outcome is known, and checks the status.
func (t *testCluster) callUntilClear(i, want int, method, path, body string) (text string) {
	t.t.Helper()
	status := 0
	t.eventually("a clear answer to "+path, func() bool {
		status, text = t.call(i, method, path, body)
		return status != 0 && status != 503
	})
	must.Eq(t.t, want, status, must.Sprint(text))
	return text
}

func (t *testCluster) status(i int) (s controlapi.NodeStatus) {
	_, text := t.call(i, "GET", "/api/Node.Status", "")
	if json.Unmarshal([]byte(text), &s); s.Core == nil {
		s.Core = &controlapi.StatusCore{}
	}
	return s
}

// eventuallyAll waits until the status of each running node shows something.
func (t *testCluster) eventuallyAll(what string, is func(s controlapi.NodeStatus) bool) {
	t.t.Helper()
	for i := range t.running {
		t.eventually(fmt.Sprint(what, " at ", i), func() bool { return is(t.status(i)) })
	}
}

func configBody(generation, parent int) string {
	return fmt.Sprintf(`{"generation":%d,"parent_version":%d,"services":[{"name":"s"}],"vhosts":[{"hostname":"h.example",
"path_list":[{"name":"r","path_prefix":"/r%d/","variant":"pure","deadline":"1s","target_latency":"1s","target":"s"}]}]}`,
		generation, parent, generation)
}

func heartbeatBody(phase string, seq int) string {
	return fmt.Sprintf(`{"target":"s","address":"127.0.0.1:9","zone":"z","capacity":1,"phase":%q,"call_seq":%d}`, phase, seq)
}

// Four nodes, three with a disk: they bootstrap, all get a slot, changes are taken through any of them and applied by all; a node that is
// killed comes back with what its disk holds, and one that lost its disk is added again.
func TestNode(t *testing.T) {
	const replace, read = "/api/Config.Replace", "/api/Config.Read"
	d := startCluster(t, 4)
	d.eventuallyAll("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	slots := map[int]bool{}
	for i := range 4 {
		s := d.status(i)
		slots[*s.Slot] = *s.Slot < 4 && !s.Ready // no configuration
		must.Eq(t, i < 3, s.Core.Me != "")
	}
	must.Eq(t, map[int]bool{0: true, 1: true, 2: true, 3: true}, slots)

	for i, last := range []int{0, 7, 9, 20} { // through each node; the last has no disk
		next := []int{7, 9, 20, 21}[i]
		d.callUntilClear(i, 200, "POST", replace, configBody(next, last))
		in := func(s controlapi.NodeStatus) bool { return s.Generation == uint64(next) }
		d.eventuallyAll("the new configuration", in)
		for j := range 4 {
			d.callUntilClear(j, 200, "POST", replace, configBody(next, last)) // the same again
			d.callUntilClear(j, 412, "POST", replace, configBody(next+1, last))
			d.callUntilClear(j, 400, "POST", replace, configBody(next, next)) // not above it
			must.StrContains(t, d.callUntilClear(j, 400, "POST", replace, "{"), `"invalid"`)
			must.EqJSON(t, configBody(next, last), d.callUntilClear(j, 200, "GET", read, ""))
		}
		d.eventuallyAll("no other", in)
	}

	d.callUntilClear(3, 200, "POST", "/api/Backends.Heartbeat/i-1", heartbeatBody("ready", 1))
	phase := func(want string) func(s controlapi.NodeStatus) bool {
		return func(s controlapi.NodeStatus) bool { return len(s.Backends) == 1 && s.Backends[0].Phase == want }
	}
	d.eventuallyAll("a backend, and to be ready", func(s controlapi.NodeStatus) bool { return phase("ready")(s) && s.Ready })
	d.callUntilClear(3, 200, "POST", "/api/Backends.Heartbeat/i-1", heartbeatBody("draining", 2))
	know := 0
	for i := range 4 {
		if phase("draining")(d.status(i)) {
			know++
		}
	}
	must.GreaterEq(t, 2, know)
	d.eventuallyAll("its end", phase("draining"))

	d.kill(1)
	d.callUntilClear(3, 200, "POST", replace, configBody(30, 21))
	was := d.status(0)
	d.kill(0) // now there is no majority: nothing is taken, and a node alone acknowledges no end
	d.eventually("no leader", func() bool { r := d.status(2).Core.Role; return r != "" && r != "leading" })
	status, _ := d.call(3, "POST", replace, configBody(31, 30))
	must.Eq(t, 503, status)
	status, _ = d.call(3, "GET", read, "")
	must.Eq(t, 503, status)
	d.start(0)
	must.GreaterEq(t, 21, d.status(0).Generation) // from its disk, whoever leads
	must.Eq(t, was.Slot, d.status(0).Slot)
	must.Eq(t, was.Core.Me, d.status(0).Core.Me)
	must.EqJSON(t, configBody(30, 21), d.callUntilClear(0, 200, "GET", read, ""))
	must.NoError(t, os.Remove(filepath.Join(d.settings[1].DataDir, logstore.FileName))) // this one has lost its disk
	d.start(1)
	for i := range 3 {
		d.eventually("to be let in, as all know", func() bool {
			s, live := d.status(i), 0
			for _, m := range s.Core.Members {
				if m.Live {
					live++
				}
			}
			return s.Generation == 30 && live == 3 && s.Core.Settled
		})
	}
	d.kill(0) // so that all rests on the one that was let in
	d.callUntilClear(3, 200, "POST", replace, configBody(40, 30))
	d.kill(3)
	d.kill(2)
	text := ""
	d.eventually("to hear nobody", func() bool {
		status, text = d.call(1, "POST", "/api/Backends.Leave/i-1", "")
		return status == 503
	})
	must.StrContains(t, text, "too few nodes")
	d.start(2)
	must.EqJSON(t, configBody(40, 30), d.callUntilClear(2, 200, "GET", read, ""))
}
