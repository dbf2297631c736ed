package eventloop

import (
	"errors"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"clovergap/internal/invariant"
)

const (
	// checkInterval is the longest time between two checks of all sockets for unread input.
	checkInterval = 100 * time.Millisecond
	// minLateness is how late an alarm must be to show that this process was paused or is slower than its input: more than the usual
	// lateness of the system.
	minLateness = 20 * time.Millisecond
	// MaxUnknownDelay is how much longer than Link.InputDelay input may have waited unread. A pause that delays no alarm by
	// minLateness is not noticed, and input may have come just after a check.
	MaxUnknownDelay = checkInterval + minLateness
)

// backlog is an account of the sockets and listeners that have unread input, and of how long the input may have waited. An epoll instance
// of its own, level-triggered, lists them at any moment. A source stays in the account until it was found empty, however long this
// process takes to read.
//
// The account is exact but for MaxUnknownDelay. A check lists every source that has unread input at that moment. A source that is not in
// the account was empty at the last check, so its input is younger than that check. A source that a check adds was empty at the check
// before, which began at most checkInterval before the start of the turn that preceded the check.
type backlog struct {
	mu        sync.Mutex // acceptors use the account outside of turns
	epoll     int        // descriptor; 0: the engine does not run
	lastID    int32
	sources   map[int32]*inputSource
	unread    map[*inputSource]struct{} // the sources that are in the account
	events    []unix.EpollEvent
	aliveAt   time.Duration // start of the present turn, or of the last one
	checkedAt time.Duration
}

// inputSource is a socket, or a listener with its queue of connections.
type inputSource struct {
	id int32
	// unreadSince is the time after which the oldest unread input came, but for MaxUnknownDelay. It is valid while the source is in the
	// account.
	unreadSince time.Duration
}

// open starts the account.
func (b *backlog) open() (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sources, b.unread = map[int32]*inputSource{}, map[*inputSource]struct{}{}
	b.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	return err
}

// close ends the account.
func (b *backlog) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoll > 0 {
		unix.Close(b.epoll)
	}
	b.epoll = 0
}

// add registers the descriptor of a source. The kernel forgets it when the socket's last descriptor is closed.
func (b *backlog) add(fd int, s *inputSource) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoll == 0 {
		return nil
	}
	b.lastID++
	s.id = b.lastID
	b.sources[s.id] = s
	return unix.EpollCtl(b.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: s.id})
}

// remove forgets a source that is closed.
func (b *backlog) remove(s *inputSource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sources, s.id)
	delete(b.unread, s)
}

// beginTurn records the start of a turn at the time now, and checks the sources if it is time to. overdue tells that an alarm is late by more
// than minLateness.
func (b *backlog) beginTurn(now time.Duration, overdue bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sinceCheck := now - b.checkedAt
	switch {
	case overdue && sinceCheck > minLateness:
		b.check(b.aliveAt, now)
	case sinceCheck >= checkInterval:
		b.check(now, now)
	}
	b.aliveAt = now
}

// check adds each source that has unread input to the account, with the time since, unless it is there already. It removes each
// source that has none. The lock is held.
func (b *backlog) check(since, now time.Duration) {
	if b.epoll == 0 {
		return
	}
	if missing := len(b.sources) + 1 - len(b.events); missing > 0 {
		b.events = append(b.events, make([]unix.EpollEvent, missing)...)
	}
	count, err := unix.EpollWait(b.epoll, b.events, 0)
	if errors.Is(err, unix.EINTR) {
		return // the next turn checks again
	}
	invariant.Assert(err == nil, "the sockets with unread input can be listed")
	ready := make(map[*inputSource]struct{}, max(count, 0))
	for _, event := range b.events[:max(count, 0)] {
		if s := b.sources[event.Fd]; s != nil {
			ready[s] = struct{}{}
			if _, known := b.unread[s]; !known {
				s.unreadSince = since
			}
		}
	}
	b.unread, b.checkedAt = ready, now
}

// addUnread adds a source to the account whose input may have come since a time.
func (b *backlog) addUnread(s *inputSource, since time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoll > 0 {
		s.unreadSince = since
		b.unread[s] = struct{}{}
	}
}

// foundEmpty removes a source from the account: all its input was read.
func (b *backlog) foundEmpty(s *inputSource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unread, s)
}

// since returns the time after which the input of a source that is read in the present turn came, but for MaxUnknownDelay.
func (b *backlog) since(s *inputSource) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, unread := b.unread[s]; unread {
		return s.unreadSince
	}
	return b.aliveAt
}

// headOfQueue returns whether a listener has a connection in its queue, and the time after which the connection came, but for
// MaxUnknownDelay. now is read under the lock, so that no check can come between.
func (b *backlog) headOfQueue(fd int, s *inputSource, clock func() time.Duration) (since time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	if count, err := unix.Poll(poll, 0); err != nil || count == 0 {
		delete(b.unread, s)
		return 0, false
	}
	now := clock()
	_, unread := b.unread[s]
	switch {
	case unread:
		return s.unreadSince, true
	case now-b.aliveAt > MaxUnknownDelay: // no turn ran for so long that this process was paused
		return b.aliveAt, true
	}
	return now, true
}
