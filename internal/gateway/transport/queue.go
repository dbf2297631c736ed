package transport

import "sync"

// maxQueuedFrames is the maximum number of frames that wait for one link. Further frames are dropped.
const maxQueuedFrames = 4096

// keptCapacity is the largest capacity, in frames, that an empty queue keeps. A queue that grew larger during a burst frees its
// memory.
const keptCapacity = 64

// queue is a FIFO queue of the frames that wait for one link. It allocates memory only as needed, because a node may have
// hundreds of links and frames wait on few of them.
type queue[F any] struct {
	mu     sync.Mutex
	frames []*F
	head   int           // index of the first frame that has not been taken
	ready  chan struct{} // holds a token while frames wait
}

func newQueue[F any]() *queue[F] { return &queue[F]{ready: make(chan struct{}, 1)} }

// put appends a frame. It returns false if the queue is full.
func (q *queue[F]) put(f *F) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames)-q.head >= maxQueuedFrames {
		return false
	}
	if q.head > 0 && len(q.frames) == cap(q.frames) { // reuse the capacity that take has freed before allocating more
		n := copy(q.frames, q.frames[q.head:])
		clear(q.frames[n:])
		q.frames, q.head = q.frames[:n], 0
	}
	q.frames = append(q.frames, f)
	q.signal()
	return true
}

// take removes and returns the first frame, or returns nil if the queue is empty.
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

// signal wakes the writer that waits on ready.
func (q *queue[F]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// empty reports whether the queue is empty.
func (q *queue[F]) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.head == len(q.frames)
}

// clear removes all frames.
func (q *queue[F]) clear() {
	for q.take() != nil {
	}
}
