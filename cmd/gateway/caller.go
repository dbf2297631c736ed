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
	silentFor  = time.Second            // a node that says nothing for so long is left for the next
	largeFor   = time.Second            // on top, for each MiB that is sent
	pauseFirst = 100 * time.Millisecond // between two tries, doubled each time
	pauseMost  = 2 * time.Second
	answerMost = 64 << 20 // bytes
	hopsMost   = 2        // redirects in one try
)

// caller holds what all commands share that speak to nodes.
type caller struct {
	Control string `arg:"--control,env:CLOVERGAP_CONTROL" placeholder:"ADDR[,ADDR...]" help:"nodes, tried in order"`
	Tries   int    `arg:"--tries" placeholder:"N" default:"10" help:"how often a call goes out at most"`
	JSON    bool   `arg:"--json" help:"print JSON"`

	sleep func(time.Duration) // for tests; nil: time.Sleep
}

// nodes are the addresses to be tried.
func (c *caller) nodes() (all []string, err error) {
	for _, a := range strings.Split(c.Control, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return nil, wrongly("--control: %q is not host:port", a)
		}
		all = append(all, a)
	}
	if len(all) == 0 {
		return nil, wrongly("no node to call: give --control or set CLOVERGAP_CONTROL")
	}
	if c.Tries < 1 {
		return nil, wrongly("--tries: %d is not at least 1", c.Tries)
	}
	return all, nil
}

// answer is what a node said.
type answer struct {
	status int
	body   []byte
	node   string
	tries  int
}

// astray is the failure of an answer that can't be read.
func (a *answer) astray(err error) *failure {
	return &failure{kind: astray, status: a.status, node: a.node, tries: a.tries, detail: err.Error()}
}

// call brings a call to the nodes until one settles it. The bytes are the same at each try: a change that was
// taken at a try without an answer is known again by them. Its error is misuse, or a *failure.
func (c *caller) call(path string, body []byte) (answer, error) {
	nodes, err := c.nodes()
	if err != nil {
		return answer{}, err
	}
	return c.ask(nodes, c.Tries, path, body)
}

func (c *caller) ask(nodes []string, tries int, path string, body []byte) (answer, error) {
	sleep := c.sleep
	if sleep == nil {
		sleep = time.Sleep
	}
	pause, refused, doubt := pauseFirst, 0, false
	for n := 1; ; n++ {
		node := nodes[(n-1)%len(nodes)]
		a, err := once(node, path, body)
		if err == nil && a.status/100 == 2 {
			a.node, a.tries = node, n
			return a, nil
		}
		last := failure{kind: silent, node: node, tries: n}
		most := 0
		if err != nil {
			last.detail = err.Error()
		} else {
			last.status, last.kind, most = a.status, kindOf(a.status), triesOf(a.status)
			last.place, last.detail = reason(a.body)
		}
		doubt = body != nil && last.kind.doubts(doubt)
		last.doubt = doubt
		if most > 0 {
			refused++
		}
		if n >= tries || most > 0 && refused >= most {
			return answer{}, &last
		}
		sleep(pause)
		pause = min(2*pause, pauseMost)
	}
}

// client opens a connection for each try, to the very address: what is kept open may be dead.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(r *http.Request, via []*http.Request) error {
		if r.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > hopsMost {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// once is one try: GET without a body, else POST.
func once(node, path string, body []byte) (a answer, err error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	patience := silentFor + time.Duration(len(body)>>20)*largeFor
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
	a.body, err = io.ReadAll(io.LimitReader(&heard{res.Body, quiet, patience}, answerMost+1))
	if err == nil && len(a.body) > answerMost {
		err = errors.Errorf("an answer of over %d bytes", answerMost)
	}
	return a, err
}

// heard reads an answer, and winds the timer up again with all that comes.
type heard struct {
	r        io.Reader
	quiet    *time.Timer
	patience time.Duration
}

func (h *heard) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	if n > 0 {
		h.quiet.Reset(h.patience)
	}
	return n, err
}

// reason reads what a refusal says, or what some other program may have said.
func reason(body []byte) (place, detail string) {
	var r controlapi.Refusal
	if json.Unmarshal(body, &r) == nil && r.Error != "" {
		return r.Place, r.Detail
	}
	const most = 200
	return "", strings.TrimSpace(strings.ToValidUTF8(string(body[:min(len(body), most)]), "?"))
}
