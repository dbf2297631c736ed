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
	last, lastDeadline, count := -1, time.Duration(-1), 0
	for {
		deadline, _ := q.NextDeadline()
		value, ok := q.Take(100)
		if !ok {
			break
		}
		if deadline < lastDeadline || deadline == lastDeadline && value < last {
			fmt.Println("value taken out of order")
		}
		last, lastDeadline, count = value, deadline, count+1
	}
	_, more := q.Peek()
	fmt.Println(count, "taken, more:", more)
	// Output:
	// 2000 taken, more: false
}
