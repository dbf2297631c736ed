// Package slots is a bounded table of values that are named by references. A reference has a generation, so that a late event of a value that
// was dropped does not reach the next value in its slot. After 65,535 values in one slot generations repeat: who keeps references for long
// compares something else besides.
package slots

// Ref names a value in a table: the slot in the low 16 bits, the generation in the high 16 bits. 0 names none.
type Ref uint32

// slotBits is the number of a Ref's bits that are the slot.
const slotBits = 16

// Table is a table of values of one type. It is not safe for concurrent use.
type Table[T any] struct {
	rows     []*row[T] // by slot; pointers, so that a value stays in place while the table grows
	free     []uint16
	capacity int
	used     int
}

// row is a slot.
type row[T any] struct {
	generation uint16
	used       bool
	value      T
}

// New makes a table for at most capacity values, and at most 65,536.
func New[T any](capacity int) *Table[T] {
	return &Table[T]{capacity: min(capacity, 1<<slotBits)}
}

// Add takes a free slot. It returns false if there is none. The value is what was in the slot before, so that its memory can be
// reused: the caller sets it.
func (t *Table[T]) Add() (Ref, *T, bool) {
	if len(t.free) == 0 {
		if len(t.rows) >= t.capacity {
			return 0, nil, false
		}
		t.rows = append(t.rows, &row[T]{})
		t.free = append(t.free, uint16(len(t.rows)-1))
	}
	slot := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	r := t.rows[slot]
	if r.generation++; r.generation == 0 {
		r.generation = 1
	}
	r.used = true
	t.used++
	return Ref(r.generation)<<slotBits | Ref(slot), &r.value, true
}

// Get returns the value that a reference names, or nil if it was dropped.
func (t *Table[T]) Get(ref Ref) *T {
	slot := int(ref & (1<<slotBits - 1))
	if slot >= len(t.rows) || !t.rows[slot].used || t.rows[slot].generation != uint16(ref>>slotBits) {
		return nil
	}
	return &t.rows[slot].value
}

// Drop frees the slot of a reference, which names nothing from then on.
func (t *Table[T]) Drop(ref Ref) {
	if t.Get(ref) != nil {
		slot := uint16(ref)
		t.rows[slot].used = false
		t.free = append(t.free, slot)
		t.used--
	}
}

// Len is the number of values in the table.
func (t *Table[T]) Len() int { return t.used }

// Each calls f with all values, in the order of slots.
func (t *Table[T]) Each(f func(Ref, *T)) {
	for i, r := range t.rows {
		if r.used {
			f(Ref(r.generation)<<slotBits|Ref(i), &r.value)
		}
	}
}
