package simulation

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"reflect"
	"time"

	"clovergap/internal/history"
)

// Links and disks have goroutines of their own on a real node: what is handed to them is theirs from then on. In simulated time it is
// encoded at once, so that whoever changed it later would go unseen. A day that watches owners looks at it again.

// ownedFor is as long as a frame may wait for its link: what ends the link ends the wait.
const ownedFor = 2 * time.Second

// owned gives a look at something that was handed over: whether whoever did so has left it alone since.
func (w *world) owned(who string, x any) (look func()) {
	if !w.owners {
		return func() {}
	}
	was := decoded(x)
	return func() {
		if !reflect.DeepEqual(was, decoded(x)) {
			w.broken = append(w.broken, history.Broken{Rule: "OWNER", T: w.now, Who: who, What: fmt.Sprintf("%T was changed after it was handed over", x)})
		}
	}
}

// decoded gives an equal value that shares nothing.
func decoded(x any) any {
	var b bytes.Buffer
	y := reflect.New(reflect.TypeOf(x).Elem())
	if err := gob.NewEncoder(&b).Encode(x); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).DecodeValue(y); err != nil {
		panic(err)
	}
	return y.Interface()
}
