package slots

import "fmt"

func Example() {
	t := New[string](2)
	a, p, _ := t.Add()
	*p = "first"
	b, _, _ := t.Add()
	_, _, more := t.Add()
	fmt.Println("a third:", more, "held", t.Len())
	t.Drop(a)
	t.Drop(a)
	c, _, _ := t.Add()
	fmt.Println("same slot:", a&0xffff == c&0xffff, "old ref:", t.Get(a), "new ref found:", t.Get(c) == p)
	for range 3 * (1<<16 - 1) { // generations come round, never to nought
		t.Drop(c)
		if c, _, _ = t.Add(); c == 0 {
			fmt.Println("a ref that names nothing")
		}
	}
	t.Drop(b)
	t.Each(func(r Ref, _ *string) { fmt.Println("left:", r == c) })
	fmt.Println(t.Get(0) == nil)
	// Output:
	// a third: false held 2
	// same slot: true old ref: <nil> new ref found: true
	// left: true
	// true
}
