// Package timerqueue keeps due times in one order: by time, then by age.
package timerqueue

import "time"

type item[T any] struct {
	at    time.Duration
	order uint64
	what  T
}

// Queue holds things to look at again at a time. There is no removal: what is no longer of interest is passed
// over by whoever takes it.
type Queue[T any] struct {
	items []item[T]
	order uint64
}

func (q *Queue[T]) before(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// Add puts a thing in at its time.
func (q *Queue[T]) Add(at time.Duration, what T) {
	q.order++
	q.items = append(q.items, item[T]{at, q.order, what})
	for i := len(q.items) - 1; i > 0 && q.before(i, (i-1)/2); i = (i - 1) / 2 {
		q.items[i], q.items[(i-1)/2] = q.items[(i-1)/2], q.items[i]
	}
}

// Next gives the earliest due time.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Peek gives what is due earliest.
func (q *Queue[T]) Peek() (what T, ok bool) {
	if len(q.items) == 0 {
		return what, false
	}
	return q.items[0].what, true
}

// Take removes the earliest thing if it is due by now.
func (q *Queue[T]) Take(now time.Duration) (what T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return what, false
	}
	what = q.items[0].what
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item[T]{}
	q.items = q.items[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if q.before(c, least) {
				least = c
			}
		}
		if least == i {
			return what, true
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}
