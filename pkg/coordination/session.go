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
	// renewalsPerTTL is how often a session renews within its lease, so that one renewal may fail.
	renewalsPerTTL = 3
	// expiryMarginDivisor: a session ends this part of its lease (one twentieth) early, so that what is under way can end in time.
	expiryMarginDivisor = 20
)

// Session is a lock that is held. It renews its lease by itself. It ends by itself when the lease expires: by this machine's monotonic
// clock, before another holder can get the lock. Work under the lock should stop with Context, and what it writes should carry Fence.
type Session struct {
	client       *Client
	name         string
	holder       string
	ttl          time.Duration
	fencingToken uint64
	ctx          context.Context
	cancel       context.CancelCauseFunc
	renewals     sync.WaitGroup // the goroutine of renewPeriodically

	mu     sync.Mutex
	expiry *time.Timer // ends the session
}

// acquireBody, renewBody and releaseBody are LockBegin, LockHeartbeat and LockFinish of api/control.yaml.
type acquireBody struct {
	TTL    string `json:"hold"`
	Holder string `json:"holder"`
}

type renewBody struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	TTL          string `json:"hold"`
}

type releaseBody struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// Lock acquires a lock if it is free, and fails with ErrHeld if not. hold is the lease; it counts from before the call is sent. The session
// ends with ctx too; Finish ends it at once.
func (c *Client) Lock(ctx context.Context, name, holder string, ttl time.Duration) (*Session, error) {
	expiresAt := time.Now().Add(ttl)
	attempts, cancel := context.WithDeadline(ctx, expiresAt)
	defer cancel()
	var granted struct {
		FencingToken uint64 `json:"fence"`
	}
	body := acquireBody{Holder: holder, TTL: formatMilliseconds(ttl)}
	if err := c.do(attempts, request{method: http.MethodPost, path: lockPath("Begin", name), body: body}, &granted); err != nil {
		return nil, err
	}
	s := &Session{client: c, name: name, holder: holder, ttl: ttl, fencingToken: granted.FencingToken}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	if !s.extend(expiresAt) {
		s.cancel(ErrLost)
		return nil, ErrUnclear
	}
	s.renewals.Go(s.renewPeriodically)
	return s, nil
}

func lockPath(operation, name string) string {
	return "/api/Locks." + operation + "/" + url.PathEscape(name)
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// Fence is the fencing token: above that of every holder before.
func (s *Session) Fence() uint64 { return s.fencingToken }

// Context ends when the session does. context.Cause gives the reason: ErrLost, ErrFinished, or the cause of the context given to Lock.
func (s *Session) Context() context.Context { return s.ctx }

// extend sets when the lease expires. False: the session has ended, or would at once.
func (s *Session) extend(expiresAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeLeft := time.Until(expiresAt.Add(-s.ttl / expiryMarginDivisor))
	if timeLeft <= 0 || s.ctx.Err() != nil {
		return false
	}
	if s.expiry != nil && !s.expiry.Stop() {
		return false // the lease has expired meanwhile
	}
	s.expiry = time.AfterFunc(timeLeft, func() { s.cancel(ErrLost) })
	return true
}

// renewPeriodically renews the lease until the session ends. Failed renewals are repeated; the lease's end is what ends the session then.
func (s *Session) renewPeriodically() {
	ticker := time.NewTicker(s.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		expiresAt := time.Now().Add(s.ttl) // from before the call is sent
		err := s.renew()
		isLost := errors.Is(err, ErrHeld) || err == nil && !s.extend(expiresAt)
		if isLost {
			s.cancel(ErrLost)
			return
		}
	}
}

func (s *Session) renew() error {
	body := renewBody{Holder: s.holder, FencingToken: s.fencingToken, TTL: formatMilliseconds(s.ttl)}
	return s.client.do(s.ctx, request{method: http.MethodPost, path: lockPath("Heartbeat", s.name), body: body}, nil)
}

// Finish ends the session and releases the lock, so that another holder can have it at once.
func (s *Session) Finish(ctx context.Context) error {
	s.cancel(ErrFinished)
	s.renewals.Wait()
	s.mu.Lock()
	s.expiry.Stop()
	s.mu.Unlock()
	body := releaseBody{Holder: s.holder, FencingToken: s.fencingToken}
	return s.client.do(ctx, request{method: http.MethodPost, path: lockPath("Finish", s.name), body: body}, nil)
}
