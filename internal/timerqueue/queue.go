// Package timerqueue keeps values until their deadlines: a priority queue by time and, of the same time, by age. It reads no clock.
package timerqueue

import "time"

// item is a value with its deadline.
type item[T any] struct {
	deadline time.Duration
	order    uint64 // number of the Add
	value    T
}

// Queue is a binary heap. There is no removal: whoever takes a value that is no longer of interest passes it over. The zero Queue is
// empty and ready for use. It is not safe for concurrent use.
type Queue[T any] struct {
	items []item[T]
	order uint64
}

// before tells whether one item goes before another.
func (q *Queue[T]) before(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	return a.deadline < b.deadline || a.deadline == b.deadline && a.order < b.order
}

// Add puts a value in.
func (q *Queue[T]) Add(deadline time.Duration, value T) {
	q.order++
	q.items = append(q.items, item[T]{deadline, q.order, value})
	for i := len(q.items) - 1; i > 0 && q.before(i, (i-1)/2); i = (i - 1) / 2 {
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

// Peek gives the value with the earliest deadline; false: the queue is empty.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	return q.items[0].value, true
}

// Take removes the value with the earliest deadline if that is not later than now; false: none is.
func (q *Queue[T]) Take(now time.Duration) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].deadline > now {
		return value, false
	}
	value = q.items[0].value
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item[T]{} // what it refers to can be freed
	q.items = q.items[:last]
	q.siftDown()
	return value, true
}

// siftDown moves the first item to where it belongs.
func (q *Queue[T]) siftDown() {
	for i := 0; ; {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.items); child++ {
			if q.before(child, first) {
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
