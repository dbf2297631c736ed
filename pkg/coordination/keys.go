package coordination

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Next returns the next number of the counter with the given name. Next creates the counter if it does not exist. The number is higher than
// all numbers that the counter returned before. The sequence of numbers may have gaps.
func (c *Client) Next(ctx context.Context, name string) (uint64, error) {
	var next struct {
		Value uint64 `json:"value"`
	}
	r := request{method: http.MethodPost, path: "/api/numbers/" + url.PathEscape(name), body: struct{}{}}
	err := c.callWithRetry(ctx, r, &next)
	return next.Value, err
}

// Value is the value of a key and the revision of the put that set it.
type Value struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Get returns the current value of a key. The result reflects every put that was acknowledged before the call. If the key has no value, Get
// returns ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (v Value, err error) {
	err = c.callWithRetry(ctx, request{method: http.MethodGet, path: "/api/Cells.Read/" + url.PathEscape(key)}, &v)
	return v, err
}

// Put sets the value of a key regardless of its current revision, and returns the revision of the put. Do not put the same value to the same
// key again, because the gateway would take the second put for a repetition of the first one.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.sendPut(ctx, key, putBody{Value: value})
}

// PutAt sets the value of a key if the key's current revision equals the given one, and returns the revision of the put. Revision 0 means
// that the key was never put. If the revisions differ, the error is a *ConflictError. As with Put, each value may be put only once to a key.
func (c *Client) PutAt(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.sendPut(ctx, key, putBody{Value: value, ExpectedRevision: &revision})
}

// putBody is the JSON request body KeyReplace of api/control.yaml. ExpectedRevision is nil for an unconditional put.
type putBody struct {
	Value            string  `json:"value"`
	ExpectedRevision *uint64 `json:"topic,omitempty"`
}

// sendPut sends a conditional or unconditional put and returns its revision.
func (c *Client) sendPut(ctx context.Context, key string, body putBody) (uint64, error) {
	var v Value
	err := c.callWithRetry(ctx, request{method: http.MethodPost, path: "/api/Cells.Replace/" + url.PathEscape(key), body: body}, &v)
	return v.Revision, err
}

// Event is a put that a watch reports.
type Event struct {
	Name     string `json:"name"` // full name of the key
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watch waits for puts in a key group whose revisions are higher than after. The name of the group includes its dot. Watch returns the
// puts as events, together with the revision from which to continue. If no put arrives within the duration wait, Watch returns no events.
// If after is 0, Watch returns the current revision at once. A caller can resume from any revision that Watch returned within the time
// that the gateway's setting bounds.history states. For older revisions, Watch may return ErrCompacted.
func (c *Client) Watch(ctx context.Context, group string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var result struct {
		Events   []Event `json:"events"`
		Revision uint64  `json:"revision"`
	}
	r := request{method: http.MethodGet, path: "/api/watch/" + url.PathEscape(group) + query, wait: wait}
	err := c.callWithRetry(ctx, r, &result)
	return result.Events, result.Revision, err
}
