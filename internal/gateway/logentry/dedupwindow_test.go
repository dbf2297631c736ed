package logentry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Windows of a few entries, with numbers near and far, against a list that is cut by hand; each goes through its bytes on the way.
func TestWindow(t *testing.T) {
	digest := func(nr uint64) Digest { return DigestOf([]byte(fmt.Sprint(nr))) }
	const room = 3*18 + 5
	for _, steps := range [][]uint64{{1, 1, 1, 1, 1}, {200, 1, 200, 300, 1, 9}, {1 << 60, 5, 1 << 50, 1}, {7}} {
		w, nr, all := NewDedupWindow(room), uint64(0), []uint64{}
		for _, step := range steps {
			nr += step
			w.Add(nr, digest(nr))
			all = append(all, nr)
			b := w.Bytes()
			must.LessEq(t, room+10, len(b)) // and the horizon
			var err error
			w, err = DecodeDedupWindow(b, room)
			must.NoError(t, err)
			must.Eq(t, b, w.Bytes())
			must.Between(t, 1, len(w.requests), len(all))
			for _, n := range all {
				must.Eq(t, n > w.Horizon(), w.Has(digest(n)))
			}
			must.Eq(t, len(all) == len(w.requests), w.Horizon() == 0)
		}
	}
	for _, bad := range [][]byte{nil, {0x80}, {0, 1, 2}, append([]byte{0, 0}, make([]byte, 16)...), append([]byte{0, 1}, make([]byte, 17)...)} {
		_, err := DecodeDedupWindow(bad, room)
		must.Error(t, err)
	}
}
