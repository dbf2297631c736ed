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
	responseTimeout  = time.Second            // a node that says nothing for so long is left for the next
	timeoutPerMiB    = time.Second            // on top, for each MiB that is sent
	initialBackoff   = 100 * time.Millisecond // between two tries, doubled each time
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 64 << 20 // bytes
	maxRedirects     = 2        // redirects in one try
)

// caller holds what all commands share that speak to nodes.
type caller struct {
	Control  string `arg:"--control,env:CLOVERGAP_CONTROL" placeholder:"ADDR[,ADDR...]" help:"nodes, tried in order"`
	Attempts int    `arg:"--tries" placeholder:"N" default:"10" help:"how often a call goes out at most"`
	JSON     bool   `arg:"--json" help:"print JSON"`

	sleep func(time.Duration) // for tests; nil: time.Sleep
}

// nodes are the addresses to be tried.
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

// response is what a node said.
type response struct {
	status   int
	body     []byte
	node     string
	attempts int
}

// malformedError is the failure of an answer that can't be read.
func (r *response) malformedError(err error) *callError {
	return &callError{kind: malformed, status: r.status, node: r.node, attempts: r.attempts, detail: err.Error()}
}

// call brings a call to the nodes until one settles it. The bytes are the same at each try: a change that was
// taken at a try without an answer is known again by them. Its error is misuse, or a *failure.
func (c *caller) call(path string, body []byte) (response, error) {
	nodes, err := c.nodes()
	if err != nil {
		return response{}, err
	}
	return c.callNodes(nodes, c.Attempts, path, body)
}

func (c *caller) callNodes(nodes []string, tries int, path string, body []byte) (response, error) {
	sleep := c.sleep
	if sleep == nil {
		sleep = time.Sleep
	}
	pause, refused, doubt := initialBackoff, 0, false
	for n := 1; ; n++ {
		node := nodes[(n-1)%len(nodes)]
		a, err := attempt(node, path, body)
		if err == nil && a.status/100 == 2 {
			a.node, a.attempts = node, n
			return a, nil
		}
		last := callError{kind: noResponse, node: node, attempts: n}
		most := 0
		if err != nil {
			last.detail = err.Error()
		} else {
			last.status, last.kind, most = a.status, failureKindOf(a.status), maxRejections(a.status)
			last.path, last.detail = errorDetail(a.body)
		}
		doubt = body != nil && last.kind.leavesAmbiguous(doubt)
		last.ambiguous = doubt
		if most > 0 {
			refused++
		}
		if n >= tries || most > 0 && refused >= most {
			return response{}, &last
		}
		sleep(pause)
		pause = min(2*pause, maxBackoff)
	}
}

// client opens a connection for each try, to the very address: what is kept open may be dead.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(r *http.Request, via []*http.Request) error {
		if r.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > maxRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// attempt is one try: GET without a body, else POST.
func attempt(node, path string, body []byte) (a response, err error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	patience := responseTimeout + time.Duration(len(body)>>20)*timeoutPerMiB
	quiet := time.AfterFunc(patience, func() { cancel(errors.Errorf("silent for %v", patience)) })
	defer quiet.Stop()
	method, send := http.MethodGet, io.Reader(nil)
	if body != nil {
		method, send = http.MethodPost, bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, send)
	if err != nil {
		return a, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
	}()
	res, err := client.Do(r)
	if err != nil {
		return a, err
	}
	defer res.Body.Close()
	a.status = res.StatusCode
	a.body, err = io.ReadAll(io.LimitReader(&activityReader{res.Body, quiet, patience}, maxResponseBytes+1))
	if err == nil && len(a.body) > maxResponseBytes {
		err = errors.Errorf("an answer of over %d bytes", maxResponseBytes)
	}
	return a, err
}

// activityReader reads an answer, and winds the timer up again with all that comes.
type activityReader struct {
	body    io.Reader
	timer   *time.Timer
	timeout time.Duration
}

func (a *activityReader) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if n > 0 {
		a.timer.Reset(a.timeout)
	}
	return n, err
}

// errorDetail reads what a refusal says, or what some other program may have said.
func errorDetail(body []byte) (place, detail string) {
	var r controlapi.Refusal
	if json.Unmarshal(body, &r) == nil && r.Error != "" {
		return r.Place, r.Detail
	}
	const most = 200
	return "", strings.TrimSpace(strings.ToValidUTF8(string(body[:min(len(body), most)]), "?"))
}
