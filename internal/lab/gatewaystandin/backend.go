package gatewaystandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/history"
	"clovergap/internal/lab/standin"
)

// HeartbeatBackend is a backend of the gateway with its beats, in one life: an extra with a line to say.
type HeartbeatBackend struct {
	*standin.Backend
	Service, Zone string
	Version       string // generation in its beats
	deployment    *Deployment
	deregistered  atomic.Bool
	draining      atomic.Bool // it drains
	leaving       atomic.Bool // it has stopped its heartbeats, and deregisters
	seq           atomic.Uint64
	cancel        context.CancelFunc
	mu            sync.Mutex
	target        string // of its next beats, if it was given one
	from          time.Time
	slowStart     time.Duration
}

// What a backend takes, and how long it works.
const (
	SlotsEach        = 4 // of the small deployment
	QueueEach        = 6
	HeartbeatTimeout = 1 * time.Second // an acknowledgement counts within it
	maxAckBytes      = 4 << 10
	DrainSlack       = 1500 * time.Millisecond // and a little longer
	DrainTimeout     = 6 * time.Second         // of a drain that nobody acknowledges
	LeaveServing     = 8 * time.Second         // for which a backend that has deregistered serves on
)

// Read takes a request by the protocol; health and what can't be one are answered at once.
func (h *HeartbeatBackend) Read(_ *standin.Backend, w http.ResponseWriter, r *http.Request) standin.Task {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Backend-Id", h.ID)
		if h.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return standin.Task{}
	}
	t := standin.Task{ID: r.Header.Get("X-Attempt-Id"), Kind: h.deployment.kind(h.Service, r.URL.Path), Tenant: r.Header.Get("X-Tenant"),
		At: r.URL.Path}
	refuse := func(status int) standin.Task {
		if t.ID != "" {
			h.deployment.Config.History.Add(history.Event{Who: h.ID, Kind: history.Rejected, Txn: t.ID,
				What: strconv.Itoa(status)})
		}
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Attempt-Id", t.ID)
		w.WriteHeader(status)
		return standin.Task{}
	}
	if t.ID == "" {
		return refuse(http.StatusBadRequest)
	}
	if who := r.Header.Get("X-Expect-Backend"); who != "" && who != h.ID {
		return refuse(http.StatusMisdirectedRequest)
	}
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		t.Within = time.Duration(max(ms, 1) * float64(time.Millisecond))
	}
	h.spoil(&t, r)
	return t
}

// SetLoadHeader tells nothing: backends of the gateway report no load.
func (h *HeartbeatBackend) SetLoadHeader(http.ResponseWriter, int64) {}

// Reject says that the request has not run.
func (h *HeartbeatBackend) Reject(w http.ResponseWriter, t standin.Task) {
	w.Header().Set("X-Not-Run", "1")
	w.Header().Set("X-Attempt-Id", t.ID)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetHeaders seals an answer.
func (h *HeartbeatBackend) SetHeaders(_ *standin.Backend, w http.ResponseWriter, t standin.Task) {
	h.record(t)
	w.Header().Set("X-Attempt-Id", t.ID)
	if !t.Bare {
		w.Header().Set("X-Backend-Seal", sealOf(h.ID, t.ID))
	}
	w.Header().Set("Content-Type", "text/plain")
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Add starts a backend that is slow for a while, and lets it beat.
func (d *Deployment) Add(service, zone string, cold time.Duration) (*HeartbeatBackend, error) {
	return d.AddVersion(service, zone, FirstVersion, cold)
}

// FirstVersion is that of the backends that a deployment begins with.
const FirstVersion = "v1"

// AddVersion is Add with the version that the backend beats with.
func (d *Deployment) AddVersion(service, zone, version string, cold time.Duration) (*HeartbeatBackend, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("the deployment is closed")
	}
	d.incarnations++
	src := rand.New(rand.NewPCG(d.Config.Seed, 0xbac0+uint64(d.incarnations)))
	var draw sync.Mutex
	l := &HeartbeatBackend{Service: service, Zone: zone, Version: version, deployment: d, from: time.Now(), slowStart: cold}
	b, err := standin.NewSpeaking(l, d.Config.History, fmt.Sprintf("i-%s-%d", service, d.incarnations), zone, d.play().slots,
		QueueEach,
		d.Config.Seed+uint64(d.incarnations), func(kind string) time.Duration {
			draw.Lock()
			defer draw.Unlock()
			return time.Duration(float64(d.work(kind)) * (0.5 + min(src.ExpFloat64(), longestDraw)/2))
		})
	if err != nil {
		return nil, err
	}
	l.Backend = b
	ctx, cancel := context.WithCancel(d.ctx)
	l.cancel = cancel
	d.registered, d.all = append(d.registered, l), append(d.all, l)
	d.tasks.Add(1)
	go func() { defer d.tasks.Done(); l.sendHeartbeats(ctx) }()
	return l, nil
}

func (d *Deployment) remove(l *HeartbeatBackend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registered = slices.DeleteFunc(d.registered, func(x *HeartbeatBackend) bool { return x == l })
}

// Crash ends it without a word.
func (h *HeartbeatBackend) Crash() { h.end(false) }

// end ends it: in order, after a drain, or not.
func (h *HeartbeatBackend) end(drained bool) {
	h.deployment.Config.History.Add(BackendEnds(h.ID, drained))
	h.deregistered.Store(true)
	h.cancel()
	h.deployment.remove(h)
	h.Set(standin.Mode{Down: true})
	h.Backend.Close()
}

// sendHeartbeats says every so often that it is there, and at once when asked again too early.
func (h *HeartbeatBackend) sendHeartbeats(ctx context.Context) {
	tick := time.NewTicker(h.deployment.Config.HeartbeatInterval)
	defer tick.Stop()
	for {
		if !h.leaving.Load() {
			h.say(ctx, "Heartbeat")
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// say calls nodes in turn, the one it was told first, until one acknowledges; nobody for a whole round is
// left for the next time.
func (h *HeartbeatBackend) say(ctx context.Context, what string) bool {
	h.mu.Lock()
	first := h.target
	h.mu.Unlock()
	try := func(to string) bool {
		phase := controlapi.Ready
		if h.draining.Load() {
			phase = controlapi.Draining
		}
		body, _ := json.Marshal(controlapi.Heartbeat{Address: h.Addr, CallSeq: h.seq.Add(1), Capacity: h.deployment.play().slots,
			Generation: h.Version, Phase: phase,
			ColdLeft: fmt.Sprintf("%dms", max(0,
				h.slowStart-time.Since(h.from)).Milliseconds()), Target: h.Service, Zone: h.Zone})
		status, text, err := h.deployment.post(ctx, to, "/api/Backends."+what+"/"+h.ID, body, HeartbeatTimeout)
		if err != nil || status/100 != 2 || len(text) > maxAckBytes {
			return false
		}
		var a controlapi.HeartbeatAnswer
		if json.Unmarshal(text, &a) == nil && a.BeatTarget != "" {
			h.mu.Lock()
			h.target = a.BeatTarget
			h.mu.Unlock()
		}
		if phase == controlapi.Draining || what == "Leave" {
			h.deployment.Config.History.Add(history.Event{Who: to, Kind: history.Notified, Target: h.ID, What: "Terminating"})
		}
		return true
	}
	if first != "" {
		if try(first) {
			return true
		}
		h.mu.Lock()
		h.target = ""
		h.mu.Unlock()
	}
	from := int(h.seq.Load()) + len(h.ID)
	for i := range h.deployment.Nodes {
		if ctx.Err() != nil {
			return false
		}
		if to := h.deployment.Nodes[(from+i)%len(h.deployment.Nodes)].Control; to != first && try(to) {
			return true
		}
	}
	return false
}

// Drain lets it leave in order: it says so, serves for the drain after the acknowledgement and a little
// longer, leaves and ends. It returns when it has ended.
func (h *HeartbeatBackend) Drain(ctx context.Context) (acknowledged bool) {
	h.draining.Store(true)
	until := time.Now().Add(DrainTimeout)
	for !acknowledged && ctx.Err() == nil && time.Now().Before(until) {
		if acknowledged = h.say(ctx, "Heartbeat"); !acknowledged {
			sleep(ctx, 200*time.Millisecond)
		}
	}
	sleep(ctx, Bounds().BackendDrain+DrainSlack)
	if acknowledged {
		h.say(ctx, "Leave")
	}
	h.end(true)
	return acknowledged
}

// Leave has the backend deregister without draining first. After the acknowledgement the backend serves on for LeaveServing and makes no
// further call. acknowledged is called right after the acknowledgement. Leave returns when the backend has ended.
func (h *HeartbeatBackend) Leave(ctx context.Context, acknowledged func()) {
	h.leaving.Store(true)
	for until := time.Now().Add(DrainTimeout); ctx.Err() == nil && time.Now().Before(until); {
		if h.say(ctx, "Leave") {
			acknowledged()
			break
		}
		sleep(ctx, 200*time.Millisecond)
	}
	sleep(ctx, LeaveServing)
	h.end(true)
}

// post makes one control call and follows 307 twice.
func (d *Deployment) post(ctx context.Context, to, path string, body []byte, most time.Duration) (status int,
	text []byte, err error) {
	return d.call(ctx, "POST", to, path, body, most)
}

func (d *Deployment) call(ctx context.Context, method, to, path string, body []byte,
	most time.Duration) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	url := "http://" + to + path
	for range 3 {
		r, err := http.NewRequestWithContext(ctx, method, url, struct{ io.Reader }{bytes.NewReader(body)})
		if err != nil {
			return 0, nil, err
		}
		r.ContentLength = int64(len(body))
		r.Header.Set("Content-Type", "application/json")
		a, err := d.control.Transport.RoundTrip(r)
		if err != nil {
			return 0, nil, err
		}
		text, err = io.ReadAll(io.LimitReader(a.Body, 64<<20))
		a.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if status = a.StatusCode; status != http.StatusTemporaryRedirect ||
			!strings.HasPrefix(a.Header.Get("Location"), "http://") {
			return status, text, nil
		}
		url = a.Header.Get("Location")
	}
	return status, text, nil
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
