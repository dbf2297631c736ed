package coordination

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

// fakeNode is an HTTP handler that records each request and answers it with the status and body that respond returns.
type fakeNode struct {
	mu       sync.Mutex
	requests []string
	respond  func(path, body string) (status int, text string)
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.requests = append(f.requests, r.URL.RequestURI()+" "+string(body))
	status, text := f.respond(r.URL.Path, string(body))
	f.mu.Unlock()
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// requestCount returns the number of recorded requests that contain the substring.
func (f *fakeNode) requestCount(substring string) (found int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		if strings.Contains(r, substring) {
			found++
		}
	}
	return found
}

// newFakeNode starts a fakeNode and returns it together with a client of this node.
func newFakeNode(t *testing.T, respond func(path, body string) (int, string)) (*fakeNode, *Client) {
	t.Helper()
	n := &fakeNode{respond: respond}
	server := httptest.NewServer(n)
	t.Cleanup(server.Close)
	c, err := New(strings.TrimPrefix(server.URL, "http://"))
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return n, c
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestErrorForStatus guards against a wrong error for a status code of the gateway. The caller concludes from the error whether the call
// took effect.
func TestErrorForStatus(t *testing.T) {
	for status, want := range map[int]error{404: ErrNotFound, 410: ErrCompacted, 409: ErrHeld, 400: ErrInvalid} {
		_, c := newFakeNode(t, func(string, string) (int, string) { return status, "" })
		_, err := c.Get(contextWithTimeout(t, time.Minute), "g.k")
		must.ErrorIs(t, err, want)
	}
	_, c := newFakeNode(t, func(string, string) (int, string) { return 412, `{"revision":7}` })
	_, err := c.PutAt(contextWithTimeout(t, time.Minute), "g.k", "v", 3)
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, 7, conflict.Revision)
}

// TestRetryUntilDefiniteResponse checks that the client repeats a call unchanged until it gets a definite response. It also guards
// against ErrUnavailable for a call that may have taken effect. When the context ends, a call may return ErrUnavailable only if the call
// certainly had no effect.
func TestRetryUntilDefiniteResponse(t *testing.T) {
	attempts := 0
	n, c := newFakeNode(t, func(string, string) (int, string) {
		if attempts++; attempts < 3 {
			return 504, ""
		}
		return 200, `{"revision":9}`
	})
	revision, err := c.PutAt(contextWithTimeout(t, time.Minute), "g.k", "v", 3)
	must.NoError(t, err)
	must.Eq(t, 9, revision)
	must.Eq(t, 3, n.requestCount(`{"value":"v","topic":3}`))
	for status, want := range map[int]error{503: ErrUnavailable, 429: ErrUnavailable, 504: ErrUnclear} {
		_, c := newFakeNode(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		c.http.Transport = cancelingTransport{status, cancel}
		_, err := c.Next(ctx, "n")
		must.ErrorIs(t, err, want)
	}
}

// cancelingTransport returns a complete response with the given status and cancels the caller's context, so that no retry follows.
type cancelingTransport struct {
	status int
	cancel context.CancelFunc
}

func (c cancelingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	c.cancel()
	return &http.Response{StatusCode: c.status, Body: http.NoBody}, nil
}

// TestSessionEndsBeforeLeaseExpires guards against a session that outlives its lease. The session renews its lease until no node answers or
// a node reports that the lock is lost. The session must then end with ErrLost before the lease expires.
func TestSessionEndsBeforeLeaseExpires(t *testing.T) {
	for name, status := range map[string]int{"no node answers": 503, "lock is lost": 409} {
		renewals := 0
		_, c := newFakeNode(t, func(path, _ string) (int, string) {
			if strings.Contains(path, "Begin") {
				return 200, `{"fence":5}`
			}
			if renewals++; renewals > 2 {
				return status, ""
			}
			return 200, "{}"
		})
		ttl, start := 300*time.Millisecond, time.Now()
		s, err := c.Lock(contextWithTimeout(t, time.Minute), "l", "me", ttl)
		must.NoError(t, err)
		must.Eq(t, 5, s.Fence())
		<-s.Context().Done()
		must.ErrorIs(t, context.Cause(s.Context()), ErrLost, must.Sprint(name))
		must.Greater(t, 2*ttl/renewalsPerTTL, time.Since(start))
	}
}

// TestFinishStopsRenewals checks that Finish releases the lock, that no renewal follows, and that the session's context ends with
// ErrFinished.
func TestFinishStopsRenewals(t *testing.T) {
	n, c := newFakeNode(t, func(path, _ string) (int, string) {
		if strings.Contains(path, "Begin") {
			return 200, `{"fence":5}`
		}
		return 200, "{}"
	})
	s, err := c.Lock(contextWithTimeout(t, time.Minute), "l", "me", time.Minute)
	must.NoError(t, err)
	must.NoError(t, s.Finish(contextWithTimeout(t, time.Minute)))
	must.ErrorIs(t, context.Cause(s.Context()), ErrFinished)
	must.Eq(t, 1, n.requestCount(`/api/Locks.Finish/l {"holder":"me","fence":5}`))
	must.Eq(t, 0, n.requestCount("Heartbeat"))
}

// TestLockFailsWhenLeaseHasExpired guards against a session for a lease that has already expired. The lease expires before
// Lock returns if the response that grants the lock takes longer than the lease.
func TestLockFailsWhenLeaseHasExpired(t *testing.T) {
	late := make(chan struct{})
	_, c := newFakeNode(t, func(string, string) (int, string) {
		<-late // blocks for longer than the lease
		return 200, `{"fence":5}`
	})
	t.Cleanup(func() { close(late) })
	_, err := c.Lock(contextWithTimeout(t, time.Minute), "l", "me", 50*time.Millisecond)
	must.ErrorIs(t, err, ErrUnclear)
}
