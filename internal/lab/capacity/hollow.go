package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/simulation"
)

// Hollow is a deployment of real nodes in this process: sockets, disks and clocks are real, and no client asks anything.
type Hollow struct {
	Nodes, Members, Zones int
	Wide                  simulation.Wide
	Beat                  time.Duration
	Over                  time.Duration // of each span that is measured
	Changes               int
}

// maxDescriptors of the process.
const maxDescriptors = 16000

// HollowResult is what came of it.
type HollowResult struct {
	Hollow
	ReadyS             float64 // from the first start until all were ready
	Descriptors        int     // of the process, without the beats'
	Written            float64 // bytes a second written between nodes, all together, without heads of packets and without logs
	Core               float64 // of one core, all together, with the backends' beats
	Heap               float64 // of a node, in the mean
	RSS                float64 // of the process
	Acks, Median, Last float64 // milliseconds: of a change to its acknowledgement; from that to a node, and to the last, the worst
}

// counted is a connection of the backends' and operators' side.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// hollow is one under way.
type hollow struct {
	Hollow
	nodes    []*node.Node
	settings []*settings.Settings
	client   *http.Client
	bytes    atomic.Int64 // of beats and orders, both ways
	dir      string
}

// Play starts the nodes, measures, and leaves them to the end of the process.
func (h Hollow) Play(ctx context.Context, tell io.Writer) (*HollowResult, error) {
	x := &hollow{Hollow: h}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return counted{c, &x.bytes}, err
	}
	x.client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8}}
	var err error
	if x.dir, err = os.MkdirTemp("", "clovergap-hollow-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(x.dir)
	empty, began := x.heap(), time.Now()
	if err = x.start(); err != nil {
		return nil, err
	}
	version, err := x.order(ctx, gatewaystandin.ReplacePath, simulation.FirstText(h.Wide), 1)
	if err != nil {
		return nil, errors.Wrap(err, "the first configuration")
	}
	beats, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range h.Wide.Backends {
		wg.Go(func() { x.sendHeartbeats(beats, i) })
	}
	if !x.until(ctx, 2*time.Minute, func(otherNode *node.Node) bool { return otherNode.IsServing() }) {
		return nil, errors.New("not all nodes are ready in two minutes")
	}
	s := &HollowResult{Hollow: h, ReadyS: time.Since(began).Seconds()}
	fmt.Fprintf(tell, "all ready after %.1f s\n", s.ReadyS)
	time.Sleep(8 * time.Second)
	before, bytes, cpu, at := written(), x.bytes.Load(), processTime(), time.Now()
	time.Sleep(h.Over)
	secs := time.Since(at).Seconds()
	s.Written = (float64(written()-before) - float64(x.bytes.Load()-bytes)) / secs
	s.Core = (processTime() - cpu).Seconds() / secs
	s.Heap, s.RSS, s.Descriptors = (x.heap()-empty)/float64(h.Nodes), resident(), x.descriptors()
	return s, x.changes(ctx, s, version)
}

func (h *hollow) start() error {
	pid := os.Getpid()
	var seeds []string
	for i := range h.Nodes {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+(pid>>4+i/200)&127, 10+pid&127, 11+i%200)
		s := &settings.Settings{NodeName: fmt.Sprint("node-", i), IPAddress: ip, Zone: fmt.Sprint("zone-", i%h.Zones), InnerPorts: [2]int{17560, 17575},
			Bind:      settings.Bind{Front: ip + ":18388", Readiness: ip + ":18384", Control: ip + ":18381"},
			FirstBoot: true, CountsAsLoss: i < h.Members, HeartbeatInterval: h.Beat,
			Tolerance: settings.Tolerance{Machines: (h.Members - 1) / 2}, Bounds: gatewaystandin.Bounds(),
			Limits: settings.Limits{MaxFDs: maxDescriptors}} // the poller goes by their numbers, which all nodes share
		if i < h.Members {
			s.DataDir = filepath.Join(h.dir, s.NodeName)
			if err := os.Mkdir(s.DataDir, 0o755); err != nil {
				return err
			}
			if len(seeds) < 3 {
				seeds = append(seeds, s.Bind.Control)
			}
		}
		h.settings = append(h.settings, s)
	}
	for _, s := range h.settings {
		s.SeedAddrs = seeds
		otherNode, err := node.New(s)
		if err != nil {
			return err
		}
		if err := otherNode.Start(); err != nil {
			return err
		}
		h.nodes = append(h.nodes, otherNode)
	}
	return nil
}

// until waits for something of every node.
func (h *hollow) until(ctx context.Context, most time.Duration, is func(*node.Node) bool) bool {
	left := slices.Clone(h.nodes)
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if left = slices.DeleteFunc(left, is); len(left) == 0 {
			return true
		}
	}
	return false
}

// post makes one call.
func (h *hollow) post(ctx context.Context, to, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := h.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, text, err
}

// order sends one until it is taken, to one node after the other.
func (h *hollow) order(ctx context.Context, path string, body []byte, version uint64) (uint64, error) {
	last := ""
	for i := range 200 {
		status, text, err := h.post(ctx, h.settings[i%len(h.settings)].Bind.Control, path, body)
		if err == nil && status == 200 {
			return version, nil
		}
		last = fmt.Sprint(status, " ", string(text), " ", err)
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return 0, errors.New(last)
}

// sendHeartbeats says of one backend that it lives, as long as it does.
func (h *hollow) sendHeartbeats(ctx context.Context, i int) {
	services := 2 + h.Wide.Services
	service := simulation.ServiceName(i % services)
	to, beat := h.settings[i%len(h.settings)].Bind.Control, controlapi.Heartbeat{Address: fmt.Sprintf("10.200.%d.%d:8080", i/200, i%200+1),
		Capacity: 4, Generation: "v1", Phase: controlapi.Ready, ColdLeft: "0ms", Target: service, Zone: fmt.Sprint("zone-", i/services%h.Zones)}
	select {
	case <-ctx.Done():
		return
	case <-time.After(h.Beat * time.Duration(i) / time.Duration(max(h.Wide.Backends, 1))):
	}
	tick := time.NewTicker(h.Beat)
	defer tick.Stop()
	for {
		beat.CallSeq++
		body, _ := json.Marshal(beat)
		status, text, err := h.post(ctx, to, fmt.Sprintf("/api/Backends.Heartbeat/i-%s-%d", service, i), body)
		var a controlapi.HeartbeatAnswer
		switch {
		case err != nil || status/100 != 2:
			to = h.settings[(i+int(beat.CallSeq))%len(h.settings)].Bind.Control
		case json.Unmarshal(text, &a) == nil && a.BeatTarget != "":
			to = a.BeatTarget
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// changes makes some, one after the other, and takes the time from each acknowledgement until the nodes have it.
func (h *hollow) changes(ctx context.Context, s *HollowResult, version uint64) error {
	var acks, times []float64
	for i := range h.Changes {
		next := version + 1
		deadline, aim := "1500ms", "400ms"
		a := routing.Amendment{Generation: next, ParentVersion: version, Upserts: &routing.Upserts{Vhosts: []routing.ConfigHost{{
			Hostname: "guests.example", PathList: []routing.ConfigRoute{{Name: fmt.Sprint("g-", i), PathPrefix: fmt.Sprintf("/g%d/", i),
				Variant: routing.Pure, Deadline: &deadline, TargetLatency: &aim, MaxTries: 2, Target: simulation.ServiceName(0)}}}}}}
		body, err := json.Marshal(a)
		if err != nil {
			return err
		}
		began := time.Now()
		if version, err = h.order(ctx, gatewaystandin.AmendPath, body, next); err != nil {
			return errors.Wrap(err, "a change")
		}
		acked := time.Now()
		acks = append(acks, ms(acked.Sub(began)))
		left := slices.Clone(h.nodes)
		for len(left) > 0 && time.Since(acked) < 12*time.Second {
			left = slices.DeleteFunc(left, func(otherNode *node.Node) bool {
				if otherNode.ConfigurationVersion() < next {
					return false
				}
				times = append(times, ms(time.Since(acked)))
				return true
			})
		}
		if len(left) > 0 {
			return errors.Errorf("%d nodes have not had a change in 12 s", len(left))
		}
		s.Last = max(s.Last, times[len(times)-1])
		time.Sleep(500 * time.Millisecond)
	}
	slices.Sort(acks)
	slices.Sort(times)
	if len(acks) > 0 {
		s.Acks, s.Median = acks[len(acks)/2], times[len(times)/2]
	}
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (h *hollow) heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// descriptors are those that nodes hold.
func (h *hollow) descriptors() int {
	h.client.CloseIdleConnections()
	all, _ := os.ReadDir("/proc/self/fd")
	return len(all)
}

// field reads a number from a file of the kernel's.
func field(file, name string) (n int64) {
	text, _ := os.ReadFile(file)
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			n, _ = strconv.ParseInt(f[1], 10, 64)
		}
	}
	return n
}

func written() int64    { return field("/proc/self/io", "wchar:") }
func resident() float64 { return float64(field("/proc/self/status", "VmRSS:")) * 1024 }
func processTime() time.Duration {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}
