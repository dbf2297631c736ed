// Package slots keeps things in a table of numbered slots, each with a generation, so that a late word of
// something that is gone finds no new owner.
package slots

// Ref names a thing in a table: its slot below, its generation above. Nought names nothing.
type Ref uint32

const slotBits = 16

// Table holds things of one kind, at most so many.
type Table[T any] struct {
	rows     []*row[T] // a thing stays where it is while the table grows
	free     []uint16
	capacity int
	used     int
}

type row[T any] struct {
	generation uint16
	used       bool
	value      T
}

// New makes a table for at most so many things.
func New[T any](most int) *Table[T] { return &Table[T]{capacity: min(most, 1<<slotBits)} }

// Add takes a free slot; what the slot held before is found there again, to be used anew.
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

// Get finds what a ref names, or nil if that is gone.
func (t *Table[T]) Get(ref Ref) *T {
	slot := int(ref & (1<<slotBits - 1))
	if slot >= len(t.rows) || !t.rows[slot].used || t.rows[slot].generation != uint16(ref>>slotBits) {
		return nil
	}
	return &t.rows[slot].value
}

// Drop frees the slot; the ref names nothing from then on.
func (t *Table[T]) Drop(ref Ref) {
	if t.Get(ref) != nil {
		slot := uint16(ref)
		t.rows[slot].used = false
		t.free = append(t.free, slot)
		t.used--
	}
}

// Len counts what is in the table.
func (t *Table[T]) Len() int { return t.used }

// Each walks over all that is held, in order of slots.
func (t *Table[T]) Each(f func(Ref, *T)) {
	for i, r := range t.rows {
		if r.used {
			f(Ref(r.generation)<<slotBits|Ref(i), &r.value)
		}
	}
}
