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

// ownershipCheckDelay is as long as a frame may wait for its link: what ends the link ends the wait.
const ownershipCheckDelay = 2 * time.Second

// watchUnchanged gives a look at something that was handed over: whether whoever did so has left it alone since.
func (w *world) watchUnchanged(who string, x any) (look func()) {
	if !w.checkOwnership {
		return func() {}
	}
	was := deepCopy(x)
	return func() {
		if !reflect.DeepEqual(was, deepCopy(x)) {
			w.broken = append(w.broken, history.Violation{Rule: "OWNER", Time: w.now, Who: who, What: fmt.Sprintf("%T was changed after it was handed over", x)})
		}
	}
}

// deepCopy gives an equal value that shares nothing.
func deepCopy(x any) any {
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
