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

// Session is a lock that is held. It asks for more time by itself, and ends by itself when its time has run out: it gives up in time, by
// this machine's steady clock, before another can get the lock. Work under the lock goes by Context, and what it writes carries Fence.
type Session struct {
	client       *Client
	name         string
	holder       string
	ttl          time.Duration
	fencingToken uint64
	ctx          context.Context
	cancel       context.CancelCauseFunc
	renewals     sync.WaitGroup
	mu           sync.Mutex
	expiresAt    time.Time
	timer        *time.Timer
}

// renewalsPerTTL is how often a session asks for more time within its hold.
const renewalsPerTTL = 3

// expiryMarginDivisor of a hold is left for what is under way when a session ends.
const expiryMarginDivisor = 20 // one in so many

// Lock takes a lock, if it is free: ErrHeld else. The time counts from before the call is sent.
func (c *Client) Lock(ctx context.Context, name, holder string, hold time.Duration) (*Session, error) {
	until := time.Now().Add(hold)
	tries, stop := context.WithDeadline(ctx, until)
	defer stop()
	var got struct{ Fence uint64 }
	body := map[string]string{"holder": holder, "hold": formatMilliseconds(hold)}
	if err := c.do(tries, http.MethodPost, "/api/Locks.Begin/"+url.PathEscape(name), body, 0, &got); err != nil {
		return nil, err
	}
	s := &Session{client: c, name: name, holder: holder, ttl: hold, fencingToken: got.Fence}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	if !s.extend(until) {
		s.cancel(ErrLost)
		return nil, ErrUnclear
	}
	s.renewals.Go(s.renew)
	return s, nil
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// Fence is above that of every holder before.
func (s *Session) Fence() uint64 { return s.fencingToken }

// Context ends when the lock is lost, or given back; context.Cause tells which.
func (s *Session) Context() context.Context { return s.ctx }

// extend sets the end; false: the time has run out already.
func (s *Session) extend(until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := time.Until(until.Add(-s.ttl / expiryMarginDivisor))
	if left <= 0 || s.ctx.Err() != nil {
		return false
	}
	if s.timer != nil && !s.timer.Stop() {
		return false // it has ended meanwhile
	}
	s.expiresAt = until
	s.timer = time.AfterFunc(left, func() { s.cancel(ErrLost) })
	return true
}

// renew asks for more time again and again. A good answer that comes after the time has run out counts for nothing.
func (s *Session) renew() {
	pause := time.NewTicker(s.ttl / renewalsPerTTL)
	defer pause.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-pause.C:
		}
		until := time.Now().Add(s.ttl)
		body := struct {
			Holder string `json:"holder"`
			Fence  uint64 `json:"fence"`
			Hold   string `json:"hold"`
		}{s.holder, s.fencingToken, formatMilliseconds(s.ttl)}
		err := s.client.do(s.ctx, http.MethodPost, "/api/Locks.Heartbeat/"+url.PathEscape(s.name), body, 0, nil)
		switch {
		case errors.Is(err, ErrHeld):
			s.cancel(ErrLost)
			return
		case err == nil && !s.extend(until):
			s.cancel(ErrLost)
			return
		}
	}
}

// ErrFinished is why the context of a lock that was given back ended.
var ErrFinished = errors.New("the lock was given back")

// Finish ends the session and gives the lock back, so that another can have it at once.
func (s *Session) Finish(ctx context.Context) error {
	s.cancel(ErrFinished)
	s.renewals.Wait()
	s.mu.Lock()
	s.timer.Stop()
	s.mu.Unlock()
	body := struct {
		Holder string `json:"holder"`
		Fence  uint64 `json:"fence"`
	}{s.holder, s.fencingToken}
	return s.client.do(ctx, http.MethodPost, "/api/Locks.Finish/"+url.PathEscape(s.name), body, 0, nil)
}
