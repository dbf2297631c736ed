package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/simulation"
)

// Added measures what a node adds to a request: real nodes as processes, requests at one of them and at a backend itself, in turn,
// in one run, with the target's configuration.
type Added struct {
	Program  string `json:"-"`
	Nodes    int
	Wide     simulation.Wide
	Rate     float64 // requests a second at the node, and as many at the bare backend
	Over     time.Duration
	Change   time.Duration // between changes of the configuration; 0: none
	Backends int
}

// Latencies are milliseconds.
type Latencies struct {
	N, Bad                int
	Half, Of90, Of99, Max float64
}

func latenciesOf(all []float64, bad int) Latencies {
	slices.Sort(all)
	at := func(x float64) float64 {
		if len(all) == 0 {
			return 0
		}
		return all[min(len(all)-1, int(x*float64(len(all))))]
	}
	return Latencies{len(all), bad, at(0.5), at(0.9), at(0.99), at(1)}
}

// AddedResult is what came of it. RSS is the node's process's, at its peak and at the end, in bytes.
type AddedResult struct {
	Added
	Bare, Node Latencies
	Changes    int
	Peak, RSS  float64
}

type added struct {
	Added
	deployment *gatewaystandin.Deployment
	backends   []*http.Server
	addrs      []string
	client     *http.Client
	ctx        context.Context
}

// Play starts nodes and backends, and asks.
func (a Added) Play(ctx context.Context) (r *AddedResult, err error) {
	x := &added{Added: a, ctx: ctx, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if x.deployment, err = gatewaystandin.New(gatewaystandin.Config{Program: a.Program, Nodes: a.Nodes, Disks: min(3, a.Nodes), Zones: []string{"zone-0"}, Rate: 1,
		Seed: 1, HeartbeatInterval: time.Second, MaxLostDisks: (min(3, a.Nodes) - 1) / 2, History: history.InMemory(1 << 10)}); err != nil {
		return nil, err
	}
	defer x.deployment.Close()
	if err = x.deployment.Start(); err != nil {
		return nil, err
	}
	hollow := &hollow{client: x.client}
	for _, d := range x.deployment.Nodes {
		hollow.settings = append(hollow.settings, &settings.Settings{Bind: settings.Bind{Control: d.Control}})
	}
	if _, err = hollow.order(ctx, gatewaystandin.ReplacePath, simulation.FirstText(a.Wide), 1); err != nil {
		return nil, errors.Wrap(err, "the first configuration")
	}
	beats, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range a.Backends {
		if err = x.backend(beats, &wg, hollow, i); err != nil {
			return nil, err
		}
	}
	defer func() {
		for _, s := range x.backends {
			s.Close()
		}
	}()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if _, ok := x.ask(x.deployment.Nodes[0].Front, 0, time.Now()); ok {
			break
		}
		if time.Now().After(end) {
			return nil, errors.New("the node does not serve in half a minute")
		}
	}
	r = &AddedResult{Added: a}
	x.load(2*time.Second, &AddedResult{}) // connections are there
	if a.Change > 0 {
		wg.Go(func() { x.changes(beats, hollow, r) })
	}
	x.load(a.Over, r)
	pid := x.deployment.Nodes[0].Pid()
	file := fmt.Sprintf("/proc/%d/status", pid)
	r.Peak, r.RSS = float64(field(file, "VmHWM:"))*1024, float64(field(file, "VmRSS:"))*1024
	return r, nil
}

// backend answers at once, and beats.
func (a *added) backend(ctx context.Context, wg *sync.WaitGroup, h *hollow, i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	service := gatewaystandin.Services[0].Name
	id := fmt.Sprintf("i-%s-%d", service, i)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nr := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", nr)
		w.Header().Set("X-Backend-Seal", id+"."+nr)
		w.Header().Set("X-Backend-Id", id)
		io.WriteString(w, "done "+nr)
	})}
	go s.Serve(ln)
	a.backends, a.addrs = append(a.backends, s), append(a.addrs, ln.Addr().String())
	beat := controlapi.Heartbeat{Address: ln.Addr().String(), Capacity: 16, Generation: "v1", Phase: controlapi.Ready, ColdLeft: "0ms", Target: service,
		Zone: "zone-0"}
	wg.Go(func() {
		for to := a.deployment.Nodes[0].Control; ctx.Err() == nil; {
			beat.CallSeq++
			body, _ := json.Marshal(beat)
			if status, _, err := h.post(ctx, to, "/api/Backends.Heartbeat/"+id, body); err != nil || status/100 != 2 {
				to = a.deployment.Nodes[int(beat.CallSeq)%len(a.deployment.Nodes)].Control
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	})
	return nil
}

// ask sends one request, and takes the time from when it was meant to be sent.
func (a *added) ask(to string, nr int, meant time.Time) (float64, bool) {
	r, err := http.NewRequestWithContext(a.ctx, "GET", "http://"+to+"/browse/"+fmt.Sprint(nr), nil)
	if err != nil {
		return 0, false
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	r.Host = "programme.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "1500")
	r.Header.Set("Authorization", "Token "+simulation.AccountKey(nr%max(a.Wide.Tenants, 1)))
	response, err := a.client.Do(r)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return ms(time.Since(meant)), err == nil && response.StatusCode == 200 && string(body) == "done "+id
}

// load asks by chance at the rate, the node and the backends in turn, whatever became of what was sent before.
func (a *added) load(over time.Duration, r *AddedResult) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all [2][]float64
	var bad [2]int
	end, next := time.Now().Add(over), time.Now()
	for nr := 0; next.Before(end) && a.ctx.Err() == nil; nr++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / (2 * a.Rate) * float64(time.Second)))
		time.Sleep(time.Until(next))
		meant, which, to := time.Now(), nr%2, a.deployment.Nodes[0].Front
		if which == 1 {
			to = a.addrs[nr/2%len(a.addrs)]
		}
		who := rand.IntN(max(a.Wide.Tenants, 1))
		wg.Go(func() {
			took, ok := a.ask(to, who, meant)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				all[which] = append(all[which], took)
			} else {
				bad[which]++
			}
		})
	}
	wg.Wait()
	r.Node, r.Bare = latenciesOf(all[0], bad[0]), latenciesOf(all[1], bad[1])
}

// changes makes them every so often.
func (a *added) changes(ctx context.Context, h *hollow, r *AddedResult) {
	for version := uint64(1); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(a.Change):
		}
		deadline, aim := "1500ms", "400ms"
		body, _ := json.Marshal(routing.Amendment{Generation: version + 1, ParentVersion: version, Upserts: &routing.Upserts{
			Vhosts: []routing.ConfigHost{{Hostname: "guests.example", PathList: []routing.ConfigRoute{{Name: "g-0", PathPrefix: "/g0/",
				Variant: routing.Pure, Deadline: &deadline, TargetLatency: &aim, MaxTries: 2, Target: gatewaystandin.Services[int(version)%2].Name}}}}}})
		if v, err := h.order(ctx, gatewaystandin.AmendPath, body, version+1); err == nil {
			version = v
			r.Changes++
		}
	}
}
