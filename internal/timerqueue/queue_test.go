package timerqueue

import (
	"fmt"
	"math/rand"
	"time"
)

func Example() {
	var q Queue[int]
	rng := rand.New(rand.NewSource(7))
	for i := range 2000 {
		q.Add(time.Duration(rng.Intn(100)), i)
	}
	if _, ok := q.Take(-1); ok {
		fmt.Println("value taken before its deadline")
	}
	last, lastAt, n := -1, time.Duration(-1), 0
	for {
		at, _ := q.NextDeadline()
		what, ok := q.Take(100)
		if !ok {
			break
		}
		if at < lastAt || at == lastAt && what < last {
			fmt.Println("value taken out of order")
		}
		last, lastAt, n = what, at, n+1
	}
	_, more := q.Peek()
	fmt.Println(n, "taken, more:", more)
	// Output:
	// 2000 taken, more: false
}
