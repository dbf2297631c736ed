package control

import (
	"container/heap"
	"time"
)

// dueItem is a txn to look at again at a time.
type dueItem struct {
	at    time.Duration
	order uint64
	txn   TxnID
}

type dueHeap []dueItem

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueItem)) }
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// dueQueue keeps all due times of an instance in one order: by time, then by age.
type dueQueue struct {
	items dueHeap
	order uint64
}

func (q *dueQueue) add(at time.Duration, id TxnID) {
	q.order++
	heap.Push(&q.items, dueItem{at, q.order, id})
}

// next gives the earliest due time.
func (q *dueQueue) next() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// take removes the earliest item if it is due by now.
func (q *dueQueue) take(now time.Duration) (TxnID, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return 0, false
	}
	return heap.Pop(&q.items).(dueItem).txn, true
}
