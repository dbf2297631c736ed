package ringbuffer

import (
	"bytes"
	"fmt"
	"math/rand"
)

func Example() {
	rng := rand.New(rand.NewSource(7))
	r, model, next, most := New(8, 100, nil), []byte{}, byte(0), 0
	for i := 0; i < 20000; i++ {
		p := make([]byte, rng.Intn(30))
		for j := range p {
			p[j], next = next, next+1
		}
		switch rng.Intn(3) {
		case 0:
			if fits := len(model)+len(p) <= 100; r.Append(p) != fits {
				fmt.Println("a bound not kept")
			} else if fits {
				model = append(model, p...)
			}
		case 1:
			n := copy(r.Free(), p)
			r.Filled(n)
			model = append(model, p[:n]...)
		default:
			n := min(len(p), len(model))
			r.Drop(n)
			model = model[n:]
		}
		most = max(most, r.Len())
		if rng.Intn(2) == 0 && !bytes.Equal(r.Linear(), model) || r.Len() != len(model) || r.Available() != 100-len(model) {
			fmt.Println("not what was put in, at step", i)
			return
		}
	}
	fmt.Println("most held", most)
	spare := 130
	a, b := New(8, 200, &spare), New(8, 200, &spare)
	fmt.Println("two that share what they may grow by:", a.Append(make([]byte, 60)), b.Append(make([]byte, 8)),
		b.Append(make([]byte, 60)), spare)
	a.Drop(60)
	fmt.Println("given back:", b.Append(make([]byte, 60)), spare)
	b.Release()
	fmt.Println(spare)
	// Output:
	// most held 100
	// two that share what they may grow by: true true false 74
	// given back: true 10
	// 130
}
