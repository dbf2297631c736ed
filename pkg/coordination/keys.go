package coordination

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Next gives a number above all that were given under a name before. Numbers may have gaps.
func (c *Client) Next(ctx context.Context, name string) (uint64, error) {
	var next struct {
		Value uint64 `json:"value"`
	}
	r := request{method: http.MethodPost, path: "/api/numbers/" + url.PathEscape(name), body: struct{}{}}
	err := c.do(ctx, r, &next)
	return next.Value, err
}

// Value is a key's value, and the revision of the put that gave it.
type Value struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Get reads a key. It shows every put that was acknowledged before the call.
func (c *Client) Get(ctx context.Context, key string) (v Value, err error) {
	err = c.do(ctx, request{method: http.MethodGet, path: "/api/Cells.Read/" + url.PathEscape(key)}, &v)
	return v, err
}

// Put puts a key's value, whatever revision the key has, and gives the put's own revision. A value must not be put again to the same key:
// it would be taken for a copy of the first put.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.put(ctx, key, putBody{Value: value})
}

// PutAt puts a key's value if the key has a revision; 0: if it was never put. If not, the error is a *ConflictError.
func (c *Client) PutAt(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.put(ctx, key, putBody{Value: value, ExpectedRevision: &revision})
}

// putBody is the KeyReplace of api/control.yaml.
type putBody struct {
	Value            string  `json:"value"`
	ExpectedRevision *uint64 `json:"topic,omitempty"`
}

func (c *Client) put(ctx context.Context, key string, body putBody) (uint64, error) {
	var v Value
	err := c.do(ctx, request{method: http.MethodPost, path: "/api/Cells.Replace/" + url.PathEscape(key), body: body}, &v)
	return v.Revision, err
}

// Event is a put.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watch waits for puts in a key group, named with its dot, above a revision. It gives them and the revision to watch from next; no events
// once wait has passed. Above revision 0 it gives the current revision at once. It may be resumed from any revision that was given within
// the gateway's setting bounds.history, and fails with ErrCompacted later.
func (c *Client) Watch(ctx context.Context, group string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var result struct {
		Events   []Event `json:"events"`
		Revision uint64  `json:"revision"`
	}
	r := request{method: http.MethodGet, path: "/api/watch/" + url.PathEscape(group) + query, wait: wait}
	err := c.do(ctx, r, &result)
	return result.Events, result.Revision, err
}
