// Package coordination is a client of the gateway's coordination calls: locks, numbers, small keys and watches.
//
// A client turns to another node on a failure, a 5xx, a 429 or a second of silence. What the errors promise is the calls' own promise:
// ErrUnavailable did nothing and never will; ErrUnclear may have taken effect, or may still.
package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of calls.
var (
	ErrHeld        = errors.New("another may hold the lock")
	ErrLost        = errors.New("the lock is lost")
	ErrNotFound    = errors.New("the key has no value")
	ErrCompacted   = errors.New("the history does not reach back so far")
	ErrInvalid     = errors.New("the call is wrong")
	ErrUnavailable = errors.New("no node could take the call; nothing was done")
	ErrUnclear     = errors.New("the call may have taken effect, or may still")
)

// ConflictError tells that a key has another revision than a put named.
type ConflictError struct{ Revision uint64 }

func (c *ConflictError) Error() string {
	return "the key has revision " + strconv.FormatUint(c.Revision, 10)
}

const (
	attemptTimeout   = time.Second
	initialBackoff   = 20 * time.Millisecond // between two tries, doubled each time
	maxBackoff       = 500 * time.Millisecond
	maxResponseBytes = 1 << 20
)

// Client calls nodes by their control addresses.
type Client struct {
	nodes    []string
	nextNode atomic.Uint32
	http     *http.Client
}

// New makes a client of nodes at these control addresses, host:port.
func New(nodes ...string) (*Client, error) {
	if len(nodes) == 0 {
		return nil, errors.New("no node to call")
	}
	return &Client{nodes: nodes, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}, nil
}

// Close ends the connections that do nothing.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// response is what a node said.
type response struct {
	status int
	body   []byte
}

// isDefinite tells whether an answer ends the call: else another node is asked.
func (r *response) isDefinite() bool {
	return r.status/100 != 5 && r.status != http.StatusTooManyRequests
}

// do brings a call to the nodes until one answers clearly or the context ends. It is for calls that may come twice.
func (c *Client) do(ctx context.Context, method, path string, body any, wait time.Duration, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "body")
	}
	if method == http.MethodGet {
		text = nil
	}
	doubt, pause := false, initialBackoff
	for {
		a, err := c.attempt(ctx, method, path, text, wait)
		if err == nil && a.isDefinite() {
			return a.decode(into)
		}
		doubt = doubt || err != nil || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			if doubt && method != http.MethodGet {
				return ErrUnclear
			}
			return ErrUnavailable
		case <-timer.C:
		}
		pause = min(2*pause, maxBackoff)
	}
}

// attempt is one try, at the next node if the last one failed.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte, wait time.Duration) (a response, err error) {
	nr := c.nextNode.Load()
	defer func() {
		if err != nil || !a.isDefinite() {
			c.nextNode.CompareAndSwap(nr, nr+1)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[int(nr)%len(c.nodes)]+path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return a, err
}

// decode gives an answer's content, or its error.
func (r *response) decode(into any) error {
	switch r.status {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		return json.Unmarshal(r.body, into)
	case http.StatusConflict:
		return ErrHeld
	case http.StatusPreconditionFailed:
		var now struct{ Revision uint64 }
		if err := json.Unmarshal(r.body, &now); err != nil {
			return err
		}
		return &ConflictError{now.Revision}
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	}
	return errors.Wrapf(ErrInvalid, "status %d: %s", r.status, strings.TrimSpace(string(r.body)))
}

// Next gives a number above all that were given under a name before.
func (c *Client) Next(ctx context.Context, name string) (uint64, error) {
	var n struct{ Value uint64 }
	err := c.do(ctx, http.MethodPost, "/api/numbers/"+url.PathEscape(name), struct{}{}, 0, &n)
	return n.Value, err
}

// Value is a key's value.
type Value struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Get reads a key: at or above every put that was acknowledged before.
func (c *Client) Get(ctx context.Context, key string) (v Value, err error) {
	err = c.do(ctx, http.MethodGet, "/api/Cells.Read/"+url.PathEscape(key), nil, 0, &v)
	return v, err
}

// Put puts a key's value, whatever revision the key has, and gives the put's own. Values must not repeat: the same value again is the same
// put again.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.put(ctx, key, value, nil)
}

// PutAt is Put, if the key has a revision; 0: if it was never put.
func (c *Client) PutAt(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.put(ctx, key, value, &revision)
}

func (c *Client) put(ctx context.Context, key, value string, revision *uint64) (uint64, error) {
	var v Value
	body := struct {
		Value string  `json:"value"`
		Topic *uint64 `json:"topic,omitempty"`
	}{value, revision}
	err := c.do(ctx, http.MethodPost, "/api/Cells.Replace/"+url.PathEscape(key), body, 0, &v)
	return v.Revision, err
}

// Event is a put.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watch waits for puts in a group of keys, named with its dot, above a revision. It gives them and the revision to go on from; none once wait
// has passed. After 0 it gives the present revision at once.
func (c *Client) Watch(ctx context.Context, group string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	var all struct {
		Events   []Event
		Revision uint64
	}
	path := "/api/watch/" + url.PathEscape(group) + "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" +
		strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.do(ctx, http.MethodGet, path, nil, wait, &all)
	return all.Events, all.Revision, err
}
