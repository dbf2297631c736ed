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
	// attemptTimeout limits one attempt at one node. The gateway ends each call within this time. For a watch, the time that the node may
	// wait for events is added to the limit.
	attemptTimeout = time.Second
	// initialBackoff is the delay before the second attempt. The delay doubles with each further attempt, up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxResponseBytes limits the response body that the client reads. This limit is above the largest response of a node. The
	// events of a watch take at most 128 KiB, and somewhat more when encoded as JSON.
	maxResponseBytes = 1 << 20
	// maxIdleConnections is the number of idle connections that the client keeps open to each node.
	maxIdleConnections = 4
)

// Client calls the nodes of one gateway cluster.
type Client struct {
	nodes []string
	// nextNode selects the node of the next attempt. The index of this node is nextNode modulo the number of nodes. Each attempt without a
	// definite response increments nextNode.
	nextNode atomic.Uint32
	http     *http.Client
}

// New returns a client of the nodes at the given control addresses, each in the form host:port. New returns an error if no address is
// given. The caller must call Close when the client is no longer needed.
func New(nodes ...string) (*Client, error) {
	if len(nodes) == 0 {
		return nil, errors.New("create coordination client: no node address given")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	return &Client{nodes: nodes, http: &http.Client{Transport: transport}}, nil
}

// Close closes the idle connections to the nodes.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// request is a call that any node of the cluster can serve.
type request struct {
	method string
	path   string
	body   any // value to encode as the JSON body, ignored for GET
	// wait is the time that the node may wait for events before it answers a watch. The client adds wait to attemptTimeout.
	wait time.Duration
}

// response is the HTTP response of a node.
type response struct {
	status int
	body   []byte
}

// isDefinite reports whether the response ends the call. The client retries the call at another node after any other response.
func (r *response) isDefinite() bool {
	return r.status/100 != 5 && r.status != http.StatusTooManyRequests
}

// hadNoEffect reports whether the response guarantees that the attempt had no effect and will have none later.
func (r *response) hadNoEffect() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

// decode decodes the JSON body of the response into the value that into points to.
func (r *response) decode(into any) error { return json.Unmarshal(r.body, into) }

// callWithRetry sends a request to one node after the other until a node gives a definite response or the context ends. A node may
// receive the request more than once, so the call must be safe to repeat. callWithRetry decodes the body of a successful response into
// the value that into points to, unless into is nil. If the context ends and an attempt may have taken effect,
// callWithRetry returns ErrUnclear. If the context ends and no attempt can have taken effect, it returns ErrUnavailable.
func (c *Client) callWithRetry(ctx context.Context, r request, into any) error {
	var body []byte
	if r.method != http.MethodGet {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			return errors.Wrap(err, "encode request body")
		}
	}
	ambiguous := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		resp, err := c.sendAttempt(ctx, r, body)
		if err == nil && resp.isDefinite() {
			if err = resp.errorForStatus(); err != nil || into == nil {
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

// sleep waits for the duration d and returns true. It returns false if the context ends first.
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

// sendAttempt sends a request to the node that nextNode selects. If there is no definite response, sendAttempt increments nextNode, so that
// all callers of the client continue with the next node.
func (c *Client) sendAttempt(ctx context.Context, r request, body []byte) (result response, err error) {
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
