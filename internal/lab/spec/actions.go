package spec

import "github.com/go-faster/errors"

// Action begins a fault in a world and gives what ends it when its time is over. None is given where it ends by itself.
type Action[World any] func(w World, f *Fault) (end func())

// Table is how a world plays each effect that it knows. A world is mostly one fault's view of it: with the nodes that it hits.
type Table[World any] map[Effect]Action[World]

// Begin begins a fault.
func (t Table[World]) Begin(w World, f *Fault) (end func(), err error) {
	begin := t[f.Effect()]
	if begin == nil {
		return nil, errors.Errorf("fault %q is not played here", f.Kind)
	}
	return begin(w, f), nil
}

// HitNodes are the nodes that a fault hits, in any world.
type HitNodes interface {
	Kill()         // their processes end at once
	Start()        // those that were ended start again
	Stall(on bool) // they stand still, or go on
}

// NodeActions are the effects on nodes that are alike in all worlds, beside a world's own.
func NodeActions[World HitNodes](own Table[World]) Table[World] {
	own[KillNodes] = func(w World, _ *Fault) func() {
		w.Kill()
		return w.Start
	}
	own[StallNodes] = func(w World, _ *Fault) func() {
		w.Stall(true)
		return func() { w.Stall(false) }
	}
	return own
}

// Factors is a list of values that faults under way stand for, such as shares that are lost.
type Factors []float64

// Add adds a value, and gives what takes it out again.
func (f *Factors) Add(x float64) (end func()) {
	*f = append(*f, x)
	return func() {
		for i, v := range *f {
			if v == x {
				*f = append((*f)[:i:i], (*f)[i+1:]...)
				return
			}
		}
	}
}

// Product is all of the values multiplied.
func (f Factors) Product() float64 {
	product := 1.0
	for _, x := range f {
		product *= x
	}
	return product
}
