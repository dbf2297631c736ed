package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
)

const (
	// responseTimeout is how long a node may send nothing, before the next one is tried.
	responseTimeout = time.Second
	// timeoutPerMiB is added to responseTimeout for each MiB that is sent.
	timeoutPerMiB = time.Second
	// initialBackoff is the pause after the first attempt; each further one is twice as long, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
	// maxRedirects bounds the redirects that an attempt follows.
	maxRedirects = 2
	// maxDetailBytes bounds what is shown of a body that is not a gateway's.
	maxDetailBytes = 200
)

// caller holds the arguments of all commands that call nodes, and calls them.
type caller struct {
	Control  string `arg:"--control,env:CLOVERGAP_CONTROL" placeholder:"ADDR[,ADDR...]" help:"control addresses of nodes, tried in order"`
	Attempts int    `arg:"--tries" placeholder:"N" default:"10" help:"attempts of a call, at most"`
	JSON     bool   `arg:"--json" help:"print JSON"`

	sleep func(time.Duration) // for tests; nil: time.Sleep
}

// nodes are the control addresses to be tried, in order. Its errors are usageErrors.
func (c *caller) nodes() (all []string, err error) {
	for _, a := range strings.Split(c.Control, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return nil, usageErrorf("--control: %q is not host:port", a)
		}
		all = append(all, a)
	}
	if len(all) == 0 {
		return nil, usageErrorf("no node to call: give --control or set CLOVERGAP_CONTROL")
	}
	if c.Attempts < 1 {
		return nil, usageErrorf("--tries: %d is not at least 1", c.Attempts)
	}
	return all, nil
}

// response is what a node answered, and how it was reached.
type response struct {
	status   int
	body     []byte
	node     string
	attempts int
}

// malformedError is the error of a response that can't be decoded.
func (r *response) malformedError(err error) *callError {
	return &callError{kind: malformed, status: r.status, node: r.node, attempts: r.attempts, detail: err.Error()}
}

// call sends a call to the nodes in turn until one answers it for good. The bytes are the same in each attempt: a change
// that an unanswered attempt brought about is recognized by them. Its error is a usageError or a *callError.
func (c *caller) call(path string, body []byte) (response, error) {
	nodes, err := c.nodes()
	if err != nil {
		return response{}, err
	}
	return c.callNodes(nodes, c.Attempts, path, body)
}

// callNodes is call with other nodes and another bound of attempts.
func (c *caller) callNodes(nodes []string, maxAttempts int, path string, body []byte) (response, error) {
	sleep := c.sleep
	if sleep == nil {
		sleep = time.Sleep
	}
	backoff, rejections, uncertain := initialBackoff, 0, false
	for n := 1; ; n++ {
		node := nodes[(n-1)%len(nodes)]
		r, err := attempt(node, path, body)
		if err == nil && r.status/100 == 2 {
			r.node, r.attempts = node, n
			return r, nil
		}
		last := callError{kind: noResponse, node: node, attempts: n}
		limit := 0
		if err != nil {
			last.detail = err.Error()
		} else {
			last.status, last.kind, limit = r.status, failureKindOf(r.status), maxRejections(r.status)
			last.path, last.detail = errorDetail(r.body)
		}
		uncertain = body != nil && last.kind.mayBeApplied(uncertain)
		last.ambiguous = uncertain
		if limit > 0 {
			rejections++
		}
		if n >= maxAttempts || limit > 0 && rejections >= limit {
			return response{}, &last
		}
		sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// client opens a connection for each attempt: one that was kept open may be dead.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(r *http.Request, via []*http.Request) error {
		if r.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > maxRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// attempt sends a call once: GET without a body, else POST.
func attempt(node, path string, body []byte) (r response, err error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	timeout := responseTimeout + time.Duration(len(body)>>20)*timeoutPerMiB
	timer := time.AfterFunc(timeout, func() { cancel(errors.Errorf("no response for %v", timeout)) })
	defer timer.Stop()
	defer func() { // the cause says more than "context canceled"
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
	}()
	request, err := newRequest(ctx, "http://"+node+path, body)
	if err != nil {
		return r, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return r, err
	}
	defer answer.Body.Close()
	r.status = answer.StatusCode
	r.body, err = io.ReadAll(io.LimitReader(&activityReader{answer.Body, timer, timeout}, maxResponseBytes+1))
	if err == nil && len(r.body) > maxResponseBytes {
		err = errors.Errorf("a response of over %d bytes", maxResponseBytes)
	}
	return r, err
}

func newRequest(ctx context.Context, address string, body []byte) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// activityReader reads a response, and restarts a timer while it comes.
type activityReader struct {
	body    io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read reads on, and restarts the timer with each byte that comes.
func (a *activityReader) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if n > 0 {
		a.timer.Reset(a.timeout)
	}
	return n, err
}

// errorDetail reads the path and the reason of an error response, or the beginning of another program's.
func errorDetail(body []byte) (path, detail string) {
	var refusal controlapi.Refusal
	if json.Unmarshal(body, &refusal) == nil && refusal.Error != "" {
		return refusal.Place, refusal.Detail
	}
	return "", strings.TrimSpace(strings.ToValidUTF8(string(body[:min(len(body), maxDetailBytes)]), "?"))
}

// readAs decodes a response; raw is its body as it came.
func readAs[T any](a response, err error) (t *T, raw []byte, _ error) {
	if err != nil {
		return nil, nil, err
	}
	t = new(T)
	if err := json.Unmarshal(a.body, t); err != nil {
		return nil, nil, a.malformedError(err)
	}
	return t, a.body, nil
}
