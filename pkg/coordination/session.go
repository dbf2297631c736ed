package coordination

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// renewalsPerTTL is the number of renewals that a session attempts per lease duration, so that the lease survives one failed renewal.
	renewalsPerTTL = 3
	// expiryMarginDivisor sets how long before the lease's expiry a session ends. The margin is the lease duration divided by this number,
	// one twentieth. The margin lets work that is in progress stop before the lease expires.
	expiryMarginDivisor = 20
)

// Session represents a lock that its holder has acquired. A Session renews its lease in the background. If the renewals fail, the Session
// ends shortly before the lease expires, and so before another holder can acquire the lock. The Session measures the lease by the
// monotonic clock of this machine. Work under the lock should stop when Context ends, and its writes should carry Fence.
type Session struct {
	client       *Client
	name         string
	holder       string
	ttl          time.Duration
	fencingToken uint64
	ctx          context.Context
	cancel       context.CancelCauseFunc
	renewals     sync.WaitGroup // waits for the goroutine that runs renewPeriodically

	mu     sync.Mutex
	expiry *time.Timer // ends the session shortly before its lease expires, see expiryMarginDivisor
}

// acquireBody is the JSON request body LockBegin of api/control.yaml.
type acquireBody struct {
	TTL    string `json:"hold"`
	Holder string `json:"holder"`
}

// renewBody is the JSON request body LockHeartbeat of api/control.yaml.
type renewBody struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	TTL          string `json:"hold"`
}

// releaseBody is the JSON request body LockFinish of api/control.yaml.
type releaseBody struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// Lock acquires a lock if it is free. If another holder has the lock, Lock returns ErrHeld. ttl is the duration of the lease. The client
// measures the lease from the moment before it sends the call. If the grant arrives too late for this lease, Lock returns ErrUnclear. The
// session also ends when ctx ends. Finish ends the session at once.
func (c *Client) Lock(ctx context.Context, name, holder string, ttl time.Duration) (*Session, error) {
	expiresAt := time.Now().Add(ttl)
	attempts, cancel := context.WithDeadline(ctx, expiresAt)
	defer cancel()
	var granted struct {
		FencingToken uint64 `json:"fence"`
	}
	body := acquireBody{Holder: holder, TTL: formatMilliseconds(ttl)}
	if err := c.callWithRetry(attempts, request{method: http.MethodPost, path: lockPath("Begin", name), body: body}, &granted); err != nil {
		return nil, err
	}
	s := &Session{client: c, name: name, holder: holder, ttl: ttl, fencingToken: granted.FencingToken}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	if !s.extendLease(expiresAt) {
		s.cancel(ErrLost)
		return nil, ErrUnclear
	}
	s.renewals.Go(s.renewPeriodically)
	return s, nil
}

// lockPath returns the URL path of an operation on a lock.
func lockPath(operation, name string) string {
	return "/api/Locks." + operation + "/" + url.PathEscape(name)
}

// formatMilliseconds formats a duration in the form of the API, for example 300ms.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// Fence returns the fencing token of the session. The token is higher than the tokens of all former holders of the lock.
func (s *Session) Fence() uint64 { return s.fencingToken }

// Context returns a context that ends when the session ends. context.Cause returns the reason, which is ErrLost, ErrFinished or the cause of
// the context that was passed to Lock.
func (s *Session) Context() context.Context { return s.ctx }

// extendLease moves the expiry of the lease to expiresAt. It returns false if the session has ended or would end at once.
func (s *Session) extendLease(expiresAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeLeft := time.Until(expiresAt.Add(-s.ttl / expiryMarginDivisor))
	if timeLeft <= 0 || s.ctx.Err() != nil {
		return false
	}
	if s.expiry != nil && !s.expiry.Stop() {
		// The timer has already fired and ended the session.
		return false
	}
	s.expiry = time.AfterFunc(timeLeft, func() { s.cancel(ErrLost) })
	return true
}

// renewPeriodically renews the lease until the session ends. If a renewal fails, the next tick repeats the renewal. If all renewals fail,
// the expiry timer ends the session. If a node reports that the lock is lost, renewPeriodically ends the session at once.
func (s *Session) renewPeriodically() {
	ticker := time.NewTicker(s.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		// The lease is measured from before the call is sent.
		expiresAt := time.Now().Add(s.ttl)
		err := s.sendRenewal()
		isLost := errors.Is(err, ErrHeld) || err == nil && !s.extendLease(expiresAt)
		if isLost {
			s.cancel(ErrLost)
			return
		}
	}
}

// sendRenewal sends one renewal, which callWithRetry repeats until a node gives a definite response or the session ends.
func (s *Session) sendRenewal() error {
	body := renewBody{Holder: s.holder, FencingToken: s.fencingToken, TTL: formatMilliseconds(s.ttl)}
	return s.client.callWithRetry(s.ctx, request{method: http.MethodPost, path: lockPath("Heartbeat", s.name), body: body}, nil)
}

// Finish ends the session and releases the lock, so that another holder can acquire the lock at once.
func (s *Session) Finish(ctx context.Context) error {
	s.cancel(ErrFinished)
	s.renewals.Wait()
	s.mu.Lock()
	s.expiry.Stop()
	s.mu.Unlock()
	body := releaseBody{Holder: s.holder, FencingToken: s.fencingToken}
	return s.client.callWithRetry(ctx, request{method: http.MethodPost, path: lockPath("Finish", s.name), body: body}, nil)
}
