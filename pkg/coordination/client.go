package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// attemptTimeout is how long one node may take to answer, beside the time that a watch waits. The gateway ends each call within it.
	attemptTimeout = time.Second
	// initialBackoff is the pause before the second attempt. Each further one is twice as long, up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxResponseBytes is above what a node sends: a watch's events are 128 KiB at most, some more in JSON.
	maxResponseBytes = 1 << 20
	// maxIdleConnections is kept open to each node.
	maxIdleConnections = 4
)

// Client calls the nodes of one gateway cluster.
type Client struct {
	nodes    []string
	nextNode atomic.Uint32 // counts on with each failed attempt; modulo the nodes it is the one to ask
	http     *http.Client
}

// New makes a client of the nodes at these control addresses, host:port. Close ends it.
func New(nodes ...string) (*Client, error) {
	if len(nodes) == 0 {
		return nil, errors.New("no node to call")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	return &Client{nodes: nodes, http: &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// request is a call to whichever node answers it.
type request struct {
	method string
	path   string
	body   any           // JSON, for POST
	wait   time.Duration // that the node may wait before it answers, beside attemptTimeout
}

// response is a node's answer.
type response struct {
	status int
	body   []byte
}

// isDefinite reports whether a response ends the call. Otherwise another node is asked.
func (r *response) isDefinite() bool {
	return r.status/100 != 5 && r.status != http.StatusTooManyRequests
}

// hadNoEffect reports whether a node promised that the attempt did nothing and never will.
func (r *response) hadNoEffect() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

func (r *response) decode(into any) error { return json.Unmarshal(r.body, into) }

// do sends a request to the nodes until one gives a definite response or the context ends. It is for calls that may arrive twice. into may
// be nil.
func (c *Client) do(ctx context.Context, r request, into any) error {
	var body []byte
	if r.method != http.MethodGet {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			return errors.Wrap(err, "body")
		}
	}
	ambiguous := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		resp, err := c.attempt(ctx, r, body)
		if err == nil && resp.isDefinite() {
			if err = resp.error(); err != nil || into == nil {
				return err
			}
			return resp.decode(into)
		}
		ambiguous = ambiguous || err != nil || !resp.hadNoEffect()
		if !sleep(ctx, backoff) {
			if ambiguous && r.method != http.MethodGet {
				return ErrUnclear
			}
			return ErrUnavailable
		}
	}
}

// sleep waits. False: the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends a request to one node. If it gets no definite response, the next attempt of all callers goes to the next node.
func (c *Client) attempt(ctx context.Context, r request, body []byte) (result response, err error) {
	nodeIndex := c.nextNode.Load()
	defer func() {
		if err != nil || !result.isDefinite() {
			c.nextNode.CompareAndSwap(nodeIndex, nodeIndex+1)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+r.wait)
	defer cancel()
	node := c.nodes[int(nodeIndex)%len(c.nodes)]
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+node+r.path, bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	if body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return result, err
	}
	defer httpResponse.Body.Close()
	result.status = httpResponse.StatusCode
	result.body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	return result, err
}
