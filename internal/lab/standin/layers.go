package standin

import "slices"

// layers are changes to something that is as it should be without them. They overlap: each can end by itself.
type layers[T any] struct {
	next    int
	ids     []int
	changes map[int]func(*T)
}

func (l *layers[T]) bring(change func(*T)) int {
	if l.changes == nil {
		l.changes = map[int]func(*T){}
	}
	l.next++
	l.ids, l.changes[l.next] = append(l.ids, l.next), change
	return l.next
}

func (l *layers[T]) end(id int) {
	delete(l.changes, id)
	l.ids = slices.DeleteFunc(l.ids, func(x int) bool { return x == id })
}

// sum is the thing with all changes under way, in the order in which they came.
func (l *layers[T]) sum() (x T) {
	for _, id := range l.ids {
		l.changes[id](&x)
	}
	return x
}
