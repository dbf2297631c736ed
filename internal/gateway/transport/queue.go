package transport

import "sync"

// maxQueuedFrames bounds the frames that wait for one link; more are dropped.
const maxQueuedFrames = 4096

// keptCapacity is the capacity in frames that an empty queue keeps: the memory of a burst is given back.
const keptCapacity = 64

// queue holds the frames that wait for one link, in order. It grows with its use: a node may have hundreds of links, with frames
// waiting on few of them.
type queue[F any] struct {
	mu     sync.Mutex
	frames []*F
	head   int           // of frames: those before it are taken
	ready  chan struct{} // has a token while something waits
}

func newQueue[F any]() *queue[F] { return &queue[F]{ready: make(chan struct{}, 1)} }

// put adds a frame at the end; false means that the queue is full.
func (q *queue[F]) put(f *F) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames)-q.head >= maxQueuedFrames {
		return false
	}
	if q.head > 0 && len(q.frames) == cap(q.frames) { // use the capacity that take has freed before allocating more
		n := copy(q.frames, q.frames[q.head:])
		clear(q.frames[n:])
		q.frames, q.head = q.frames[:n], 0
	}
	q.frames = append(q.frames, f)
	q.signal()
	return true
}

// take removes the first frame; nil means that nothing waits.
func (q *queue[F]) take() *F {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.head == len(q.frames) {
		return nil
	}
	f := q.frames[q.head]
	q.frames[q.head] = nil
	if q.head++; q.head < len(q.frames) {
		q.signal()
		return f
	}
	if q.frames, q.head = q.frames[:0], 0; cap(q.frames) > keptCapacity {
		q.frames = nil
	}
	return f
}

// signal lets the writer that waits on ready look again.
func (q *queue[F]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// empty tells whether nothing waits.
func (q *queue[F]) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.head == len(q.frames)
}

// clear drops all that waits.
func (q *queue[F]) clear() {
	for q.take() != nil {
	}
}
