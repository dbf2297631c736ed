package faultrig

import (
	"context"
	"sync"
	"time"
)

// broadcast wakes all goroutines that wait for the next occurrence of something. The zero value is ready to be used.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{} // closed at the next occurrence; nil: nobody waits
}

// notify wakes all goroutines that wait.
func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// wait returns at the next occurrence, after the given time or when the context ends, whichever is first.
func (b *broadcast) wait(ctx context.Context, most time.Duration) {
	b.mu.Lock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	next := b.next
	b.mu.Unlock()
	select {
	case <-next:
	case <-ctx.Done():
	case <-time.After(most):
	}
}
