// Package timerqueue implements a priority queue of values ordered by deadline. Values with the same deadline leave in the
// order in which they were added. The queue does not read a clock.
package timerqueue

import "time"

// item is a value with its deadline.
type item[T any] struct {
	deadline time.Duration
	sequence uint64 // position in the order of Add calls, which breaks ties between equal deadlines
	value    T
}

// Queue is a binary heap. It does not support the removal of an arbitrary value: the caller skips a taken value that is no
// longer needed. The zero Queue is empty and ready for use. Queue is not safe for concurrent use.
type Queue[T any] struct {
	items        []item[T]
	lastSequence uint64
}

// less reports whether item i leaves the queue before item j.
func (q *Queue[T]) less(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	return a.deadline < b.deadline || a.deadline == b.deadline && a.sequence < b.sequence
}

// Add adds a value with its deadline.
func (q *Queue[T]) Add(deadline time.Duration, value T) {
	q.lastSequence++
	q.items = append(q.items, item[T]{deadline, q.lastSequence, value})
	for i := len(q.items) - 1; i > 0 && q.less(i, (i-1)/2); i = (i - 1) / 2 {
		q.items[i], q.items[(i-1)/2] = q.items[(i-1)/2], q.items[i]
	}
}

// NextDeadline returns the earliest deadline, or false if the queue is empty.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].deadline, true
}

// Peek returns the value with the earliest deadline without removing it, or false if the queue is empty.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	return q.items[0].value, true
}

// Take removes and returns the value with the earliest deadline, if that deadline is not later than now. It returns false if no
// deadline has been reached.
func (q *Queue[T]) Take(now time.Duration) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].deadline > now {
		return value, false
	}
	value = q.items[0].value
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item[T]{} // release the value for garbage collection
	q.items = q.items[:last]
	q.siftDown()
	return value, true
}

// siftDown moves the first item down until the heap is in order again.
func (q *Queue[T]) siftDown() {
	for i := 0; ; {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.items); child++ {
			if q.less(child, first) {
				first = child
			}
		}
		if first == i {
			return
		}
		q.items[i], q.items[first] = q.items[first], q.items[i]
		i = first
	}
}
