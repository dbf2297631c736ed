package logentry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a window that forgets requests above its horizon, or that exceeds its maximum size. Windows with room for a few
// requests are compared with the complete list of requests. The numbers of the requests are close together or far apart. The window is
// encoded and decoded after each request.
func TestDedupWindowDropsOldestRequests(t *testing.T) {
	digest := func(number uint64) Digest { return DigestOf([]byte(fmt.Sprint(number))) }
	const maxBytes = 3*18 + 5
	for _, steps := range [][]uint64{{1, 1, 1, 1, 1}, {200, 1, 200, 300, 1, 9}, {1 << 60, 5, 1 << 50, 1}, {7}} {
		w, number, numbers := NewDedupWindow(maxBytes), uint64(0), []uint64{}
		for _, step := range steps {
			number += step
			w.Add(number, digest(number))
			numbers = append(numbers, number)
			b := w.Bytes()
			must.LessEq(t, maxBytes+10, len(b)) // the encoded horizon takes at most 10 more bytes
			var err error
			w, err = DecodeDedupWindow(b, maxBytes)
			must.NoError(t, err)
			must.Eq(t, b, w.Bytes())
			must.Between(t, 1, len(w.requests), len(numbers))
			for _, n := range numbers {
				must.Eq(t, n > w.Horizon(), w.Has(digest(n)))
			}
			must.Eq(t, len(numbers) == len(w.requests), w.Horizon() == 0)
		}
	}
	for _, bad := range [][]byte{nil, {0x80}, {0, 1, 2}, append([]byte{0, 0}, make([]byte, 16)...), append([]byte{0, 1}, make([]byte, 17)...)} {
		_, err := DecodeDedupWindow(bad, maxBytes)
		must.Error(t, err)
	}
}
