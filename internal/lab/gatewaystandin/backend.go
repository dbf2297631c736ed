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

// Line is a backend of the gateway with its beats, in one life: an extra with a line to say.
type Line struct {
	*standin.Backend
	Service, Zone string
	Version       string // generation in its beats
	t             *Deployment
	left          atomic.Bool
	phase         atomic.Bool // it drains
	seq           atomic.Uint64
	cancel        context.CancelFunc
	mu            sync.Mutex
	target        string // of its next beats, if it was given one
	from          time.Time
	cold          time.Duration
}

// What a backend takes, and how long it works.
const (
	SlotsEach  = 4 // of the small deployment
	QueueEach  = 6
	BeatsMost  = 1 * time.Second // an acknowledgement counts within it
	ackMost    = 4 << 10
	DrainSlack = 1500 * time.Millisecond // and a little longer
	GivesUp    = 6 * time.Second         // of a drain that nobody acknowledges
)

// Read takes a request by the protocol; health and what can't be one are answered at once.
func (l *Line) Read(_ *standin.Backend, w http.ResponseWriter, r *http.Request) standin.Task {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Backend-Id", l.ID)
		if l.phase.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return standin.Task{}
	}
	t := standin.Task{ID: r.Header.Get("X-Attempt-Id"), Kind: l.t.kind(l.Service, r.URL.Path), Tenant: r.Header.Get("X-Tenant"),
		At: r.URL.Path}
	refuse := func(status int) standin.Task {
		if t.ID != "" {
			l.t.Terms.History.Add(history.Event{Who: l.ID, Kind: history.Turned, Txn: t.ID,
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
	if who := r.Header.Get("X-Expect-Backend"); who != "" && who != l.ID {
		return refuse(http.StatusMisdirectedRequest)
	}
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		t.Within = time.Duration(max(ms, 1) * float64(time.Millisecond))
	}
	l.spoil(&t, r)
	return t
}

// Held tells nothing: backends of the gateway report no load.
func (l *Line) Held(http.ResponseWriter, int64) {}

// TurnAway says that the request has not run.
func (l *Line) TurnAway(w http.ResponseWriter, t standin.Task) {
	w.Header().Set("X-Not-Run", "1")
	w.Header().Set("X-Attempt-Id", t.ID)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Heads seals an answer.
func (l *Line) Heads(_ *standin.Backend, w http.ResponseWriter, t standin.Task) {
	l.record(t)
	w.Header().Set("X-Attempt-Id", t.ID)
	if !t.Bare {
		w.Header().Set("X-Backend-Seal", sealOf(l.ID, t.ID))
	}
	w.Header().Set("Content-Type", "text/plain")
	if l.phase.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Add starts a backend that is slow for a while, and lets it beat.
func (d *Deployment) Add(service, zone string, cold time.Duration) (*Line, error) {
	return d.AddVersion(service, zone, FirstVersion, cold)
}

// FirstVersion is that of the backends that a deployment begins with.
const FirstVersion = "v1"

// AddVersion is Add with the version that the backend beats with.
func (d *Deployment) AddVersion(service, zone, version string, cold time.Duration) (*Line, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("the deployment is closed")
	}
	d.lives++
	src := rand.New(rand.NewPCG(d.Terms.Seed, 0xbac0+uint64(d.lives)))
	var draw sync.Mutex
	l := &Line{Service: service, Zone: zone, Version: version, t: d, from: time.Now(), cold: cold}
	b, err := standin.NewSpeaking(l, d.Terms.History, fmt.Sprintf("i-%s-%d", service, d.lives), zone, d.play().slots,
		QueueEach,
		d.Terms.Seed+uint64(d.lives), func(kind string) time.Duration {
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
	d.outputs, d.all = append(d.outputs, l), append(d.all, l)
	d.wg.Add(1)
	go func() { defer d.wg.Done(); l.beats(ctx) }()
	return l, nil
}

func (d *Deployment) remove(l *Line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outputs = slices.DeleteFunc(d.outputs, func(x *Line) bool { return x == l })
}

// Crash ends it without a word.
func (l *Line) Crash() { l.end(false) }

// end ends it: in order, after a drain, or not.
func (l *Line) end(drained bool) {
	l.t.Terms.History.Add(BackendEnds(l.ID, drained))
	l.left.Store(true)
	l.cancel()
	l.t.remove(l)
	l.Set(standin.Mode{Down: true})
	l.Backend.Close()
}

// beats says every so often that it is there, and at once when asked again too early.
func (l *Line) beats(ctx context.Context) {
	tick := time.NewTicker(l.t.Terms.Beat)
	defer tick.Stop()
	for {
		l.say(ctx, "Heartbeat")
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// say calls nodes in turn, the one it was told first, until one acknowledges; nobody for a whole round is
// left for the next time.
func (l *Line) say(ctx context.Context, what string) bool {
	l.mu.Lock()
	first := l.target
	l.mu.Unlock()
	try := func(to string) bool {
		phase := controlapi.Ready
		if l.phase.Load() {
			phase = controlapi.Draining
		}
		body, _ := json.Marshal(controlapi.Heartbeat{Address: l.Addr, CallSeq: l.seq.Add(1), Capacity: l.t.play().slots,
			Generation: l.Version, Phase: phase,
			ColdLeft: fmt.Sprintf("%dms", max(0,
				l.cold-time.Since(l.from)).Milliseconds()), Target: l.Service, Zone: l.Zone})
		status, text, err := l.t.post(ctx, to, "/api/Backends."+what+"/"+l.ID, body, BeatsMost)
		if err != nil || status/100 != 2 || len(text) > ackMost {
			return false
		}
		var a controlapi.HeartbeatAnswer
		if json.Unmarshal(text, &a) == nil && a.BeatTarget != "" {
			l.mu.Lock()
			l.target = a.BeatTarget
			l.mu.Unlock()
		}
		if phase == controlapi.Draining || what == "Leave" {
			l.t.Terms.History.Add(history.Event{Who: to, Kind: history.Told, At: l.ID, What: "Terminating"})
		}
		return true
	}
	if first != "" {
		if try(first) {
			return true
		}
		l.mu.Lock()
		l.target = ""
		l.mu.Unlock()
	}
	from := int(l.seq.Load()) + len(l.ID)
	for i := range l.t.Nodes {
		if ctx.Err() != nil {
			return false
		}
		if to := l.t.Nodes[(from+i)%len(l.t.Nodes)].Control; to != first && try(to) {
			return true
		}
	}
	return false
}

// Drain lets it leave in order: it says so, serves for the drain after the acknowledgement and a little
// longer, leaves and ends. It returns when it has ended.
func (l *Line) Drain(ctx context.Context) (acknowledged bool) {
	l.phase.Store(true)
	until := time.Now().Add(GivesUp)
	for !acknowledged && ctx.Err() == nil && time.Now().Before(until) {
		if acknowledged = l.say(ctx, "Heartbeat"); !acknowledged {
			pause(ctx, 200*time.Millisecond)
		}
	}
	pause(ctx, Bounds().BackendDrain+DrainSlack)
	if acknowledged {
		l.say(ctx, "Leave")
	}
	l.end(true)
	return acknowledged
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

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
