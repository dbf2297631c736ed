package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clovergap/internal/history"
	"clovergap/internal/lab/spec"
)

// source draws from a seed, for many at a time.
type source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSource(seed uint64) *source { return &source{rng: rand.New(rand.NewPCG(seed, 11))} }

func (s *source) exp() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.rng.ExpFloat64() }

// Outcome counts how requests ended, by the client's own word.
type Outcome struct {
	Requests, Settled, InTime, Declined, Voided, Failed, Wrong int64
}

// clientSlack is how long after its time a client still listens.
const clientSlack = 500 * time.Millisecond

// Clients send requests to a fleet's front doors.
type Clients struct {
	fleet    *Fleet
	http     *http.Client
	rng      *rand.Rand
	mu       sync.Mutex
	next     atomic.Uint64
	hist     *hdrhistogram.Histogram
	outcomes map[string]*Outcome // by plan, and all under ""
	Rate     func() float64      // requests a second now
	Log      *history.Log        // nil: no history is kept
	// Notice is how long the front goes on sending to a front door that does not run. Nought: for ever.
	Notice time.Duration
}

// NewClients makes clients; each front door gets at most so many connections.
func NewClients(f *Fleet, conns int) *Clients {
	t := &http.Transport{MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, IdleConnTimeout: time.Minute, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Clients{fleet: f, http: &http.Client{Transport: t}, rng: rand.New(rand.NewPCG(f.Spec.Seed, 13)),
		hist: hdrhistogram.New(1, 60_000_000, 3), outcomes: map[string]*Outcome{"": {}}}
}

// pick draws by shares.
func pick(rng *rand.Rand, n int, share func(int) float64) int {
	total := 0.0
	for i := 0; i < n; i++ {
		total += share(i)
	}
	u := rng.Float64() * total
	for i := 0; i < n-1; i++ {
		if u -= share(i); u < 0 {
			return i
		}
	}
	return n - 1
}

// ask is one request as it will be sent.
type ask struct {
	node    int
	product spec.Product
	plan    spec.Plan
	key     uint64
	id      string
	width   int
	first   int
}

func (c *Clients) draw() ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.fleet.Spec
	p := pick(c.rng, len(s.Products), func(i int) float64 { return s.Products[i].Share })
	pl := pick(c.rng, len(s.Plans), func(i int) float64 { return s.Plans[i].Share })
	a := ask{product: s.Products[p], plan: s.Plans[pl]}
	a.width = max(1, int(a.plan.Width*float64(len(c.fleet.Nodes))+0.5))
	n := max(1, int(c.rate()*a.plan.Share/(s.Clients.Use*a.plan.Rate)))
	a.key = uint64(pl)<<24 | uint64(c.rng.IntN(n))
	a.first = int(a.key % uint64(len(c.fleet.Nodes)))
	if a.plan.Ceiling > 0 { // as a site does: each of the set can hold a txn of its own
		a.width = min(a.width, max(1, int(a.plan.Ceiling*a.plan.Burst/2)))
	}
	at := c.rng.IntN(a.width)
	for i := 0; i < a.width; i++ {
		if a.node = (a.first + (at+i)%a.width) % len(c.fleet.Nodes); c.Notice == 0 || c.fleet.Nodes[a.node].Down() < c.Notice {
			break
		}
	}
	a.id = fmt.Sprintf("%08x%08x", c.fleet.Spec.Seed&0xffffffff, c.next.Add(1))
	return a
}

func (c *Clients) rate() float64 {
	if c.Rate != nil {
		return c.Rate()
	}
	return 100
}

// Send sends one request and waits for its end. Time counts from when it was meant to go.
func (c *Clients) Send(ctx context.Context, a ask, meant time.Time) {
	ctx, cancel := context.WithDeadline(ctx, meant.Add(a.product.Expiry.D()+clientSlack))
	defer cancel()
	method, text := "GET", ""
	if a.product.Effect != "inquiry-like" {
		method, text = "POST", "{\"lot\":7,\"amount\":1250}"
	}
	// A body that the library can't get anew: it must not send anything again by itself.
	body := struct{ io.Reader }{strings.NewReader(text)}
	asked := history.Event{Who: "clients", Kind: history.Requested, Txn: a.id, Key: fmt.Sprintf("%s/%x", a.plan.Name, a.key), Target: c.fleet.Nodes[a.node].Name,
		Number: 1, What: a.product.Name, Deadline: history.Now() + time.Until(meant) + a.product.Expiry.D()}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.Nodes[a.node].Addr+"/api?lot=7", body)
	if err != nil {
		return
	}
	r.ContentLength = int64(len(text))
	left := time.Until(meant.Add(a.product.Expiry.D()))
	for k, v := range map[string]string{"Req-Id": a.id, "Req-Kind": a.product.Name, "X-Plan": a.plan.Name, "Cookie": fmt.Sprintf("key=%016x", a.key),
		"Req-Deadline": strconv.FormatInt(max(left.Microseconds(), 1), 10) + "u",
		"X-Quota":      fmt.Sprintf("units=1,spread=%d,first=%d", a.width, a.first)} {
		r.Header.Set(k, v)
	}
	if method == "POST" {
		r.Header.Set("Idempotency-Key", "k-"+a.id)
	}
	code, _, text := SendAndRecord(c.http, c.Log, r, asked)
	took := time.Since(meant)
	c.mu.Lock()
	defer c.mu.Unlock()
	all, plan := c.outcomes[""], c.outcomes[a.plan.Name]
	if plan == nil {
		plan = &Outcome{}
		c.outcomes[a.plan.Name] = plan
	}
	for _, o := range []*Outcome{all, plan} {
		o.Requests++
		switch {
		case code == 200 && text != "done "+a.id:
			o.Wrong++
		case code == 200:
			o.Settled++
			if took <= a.product.SLA.D() {
				o.InTime++
			}
		case code == 429 || code == 503:
			o.Declined++
		case code > 0:
			o.Voided++
		default:
			o.Failed++
		}
	}
	if code == 200 {
		c.hist.RecordValue(took.Microseconds())
	}
}

// SendAndRecord sends one request, waits for its end and notes what its client saw of it: asked as soon as it is written. The
// code is nought where no whole answer came.
func SendAndRecord(with *http.Client, log *history.Log, r *http.Request, asked history.Event) (code int, h http.Header, text string) {
	ctx, began := r.Context(), history.Now()
	var mu sync.Mutex
	wrote := false
	note := func(at time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !wrote {
			wrote, asked.Time = true, at
			log.Add(asked)
		}
	}
	if log != nil {
		r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				note(history.Now())
			}
		}}))
	}
	x, fault := with.Do(r)
	if fault == nil {
		var b []byte
		b, fault = io.ReadAll(x.Body)
		x.Body.Close()
		if fault == nil {
			code, h, text = x.StatusCode, x.Header, string(b)
		}
	}
	if code > 0 {
		note(began) // the answer may come before the library says that it wrote
		log.Add(history.Event{Who: asked.Who, Kind: history.Answered, Txn: asked.Txn, Number: float64(code), What: answeringID(text)})
		return code, h, text
	}
	mu.Lock()
	defer mu.Unlock()
	switch {
	case !wrote:
	case ctx.Err() == nil: // its time is not over: the connection ended
		log.Add(history.Event{Who: asked.Who, Kind: history.Unanswered, Txn: asked.Txn, What: fmt.Sprint(fault)})
	default:
		log.Add(history.Event{Who: asked.Who, Kind: history.ClientLeft, Txn: asked.Txn})
	}
	return code, h, text
}

// answeringID names whose answer it is.
func answeringID(text string) string {
	line, _, _ := strings.Cut(strings.TrimPrefix(text, "done "), "\n")
	return line
}

// Open sends at a rate, whatever becomes of what was sent before: a slow answer delays no other request, and time
// counts from when each was meant to go, so that nothing is omitted where the front door is slow.
func (c *Clients) Open(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	Pace(ctx, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.rng.ExpFloat64() / max(c.rate(), 0.1)
	}, func(meant time.Time) func() {
		a := c.draw()
		return func() { c.Send(context.WithoutCancel(ctx), a, meant) }
	})
}

// Pace sends again and again until the context ends, and waits for all: gap is the seconds to the next, draw makes one that is
// meant to go at a time, in order, and what it gives runs beside the others.
func Pace(ctx context.Context, gap func() float64, draw func(meant time.Time) func()) {
	var wg sync.WaitGroup
	for next := time.Now(); ctx.Err() == nil; next = next.Add(time.Duration(gap() * 1e9)) {
		if d := time.Until(next); d > 0 {
			select {
			case <-ctx.Done():
				continue
			case <-time.After(d):
			}
		}
		wg.Go(draw(next))
	}
	wg.Wait()
}

// Closed keeps so many requests under way, each client sending its next when it has its answer.
func (c *Clients) Closed(ctx context.Context, clients int, duration time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := 0; i < clients; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && ctx.Err() == nil {
				c.Send(context.WithoutCancel(ctx), c.draw(), time.Now())
			}
		}()
	}
	wg.Wait()
}

// Close ends the clients' connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// Outcomes copies the counts, by plan and all under "".
func (c *Clients) Outcomes() map[string]Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]Outcome{}
	for k, v := range c.outcomes {
		out[k] = *v
	}
	return out
}

// Quantile is of the times of settled requests.
func (c *Clients) Quantile(q float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.hist.ValueAtQuantile(q)) * time.Microsecond
}
