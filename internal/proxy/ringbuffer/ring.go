// Package ringbuffer holds bytes between a socket and a parser or writer: one buffer a direction a connection,
// small first, doubled as needed up to a bound.
package ringbuffer

// Ring is a queue of bytes. The zero value is empty and holds nothing until its bound is set.
type Ring struct {
	buf     []byte
	from, n int
	least   int
	most    int
	hold    bool
	spare   *int // bytes that all rings of a kind may still grow by, beyond their least; nil: no such bound
}

// New makes an empty ring; its memory comes with the first bytes.
func New(least, most int, spare *int) Ring { return Ring{least: least, most: most, spare: spare} }

// Len is how many bytes it holds.
func (r *Ring) Len() int { return r.n }

// Room is how many more bytes it may take.
func (r *Ring) Room() int { return r.most - r.n }

// Bound changes how many bytes it may hold; what it holds beyond that stays.
func (r *Ring) Bound(most int) { r.most = max(most, r.n) }

// Hold keeps the memory though the ring runs empty, as long as more is to come.
func (r *Ring) Hold(on bool) { r.hold = on }

// Free gives a stretch to read into, or nil when the bound is reached; Took tells how much of it was filled.
func (r *Ring) Free() []byte {
	if r.n >= r.most || r.n == len(r.buf) && !r.grow(r.n+1) {
		return nil
	}
	at := (r.from + r.n) % len(r.buf)
	end := len(r.buf)
	if at < r.from {
		end = r.from
	}
	return r.buf[at:min(end, at+r.most-r.n)]
}

// Took adds what was read into the stretch that Free gave.
func (r *Ring) Took(n int) { r.n += n }

// Append adds bytes, or nothing at all where they pass the bound.
func (r *Ring) Append(p []byte) bool {
	if r.n+len(p) > r.most || r.n+len(p) > len(r.buf) && !r.grow(r.n+len(p)) {
		return false
	}
	for len(p) > 0 {
		k := copy(r.Free(), p)
		r.n += k
		p = p[k:]
	}
	return true
}

// Head is the first stretch without a wrap.
func (r *Ring) Head() []byte { return r.buf[r.from:min(r.from+r.n, len(r.buf))] }

// Linear gives all bytes in one stretch, moving them when they wrap. It holds until bytes are added.
func (r *Ring) Linear() []byte {
	if r.from+r.n > len(r.buf) {
		r.move(len(r.buf))
	}
	return r.buf[r.from : r.from+r.n]
}

// Drop forgets the first bytes. An empty ring gives memory beyond its least size back.
func (r *Ring) Drop(n int) {
	r.from, r.n = r.from+n, r.n-n
	if r.n == 0 {
		r.from = 0
		if len(r.buf) > r.least && !r.hold {
			r.Release()
		}
	} else if r.from >= len(r.buf) {
		r.from -= len(r.buf)
	}
}

func (r *Ring) grow(need int) bool {
	if need > r.most {
		return false
	}
	size := max(r.least, 2*len(r.buf))
	for size < need {
		size *= 2
	}
	size = min(size, max(r.most, r.least))
	if more := size - max(len(r.buf), r.least); r.spare != nil && more > 0 {
		if more > *r.spare {
			return false
		}
		*r.spare -= more
	}
	r.move(size)
	return true
}

// Release forgets all bytes and gives the memory back.
func (r *Ring) Release() {
	if r.spare != nil {
		*r.spare += max(0, len(r.buf)-r.least)
	}
	r.buf, r.from, r.n = nil, 0, 0
}

func (r *Ring) move(size int) {
	buf := make([]byte, size)
	k := copy(buf, r.Head())
	copy(buf[k:], r.buf[:r.n-k])
	r.buf, r.from = buf, 0
}
