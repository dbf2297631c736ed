// Package ringbuffer holds bytes between a socket and a parser or writer: one buffer a direction a connection,
// small first, doubled as needed up to a bound.
package ringbuffer

// Ring is a queue of bytes. The zero value is empty and holds nothing until its bound is set.
type Ring struct {
	buf           []byte
	start, length int
	minSize       int
	maxSize       int
	keepMemory    bool
	spare         *int // bytes that all rings of a kind may still grow by, beyond their least; nil: no such bound
}

// New makes an empty ring; its memory comes with the first bytes.
func New(least, most int, spare *int) Ring { return Ring{minSize: least, maxSize: most, spare: spare} }

// Len is how many bytes it holds.
func (r *Ring) Len() int { return r.length }

// Available is how many more bytes it may take.
func (r *Ring) Available() int { return r.maxSize - r.length }

// Bound changes how many bytes it may hold; what it holds beyond that stays.
func (r *Ring) Bound(most int) { r.maxSize = max(most, r.length) }

// KeepMemory keeps the memory though the ring runs empty, as long as more is to come.
func (r *Ring) KeepMemory(on bool) { r.keepMemory = on }

// Free gives a stretch to read into, or nil when the bound is reached; Took tells how much of it was filled.
func (r *Ring) Free() []byte {
	if r.length >= r.maxSize || r.length == len(r.buf) && !r.grow(r.length+1) {
		return nil
	}
	at := (r.start + r.length) % len(r.buf)
	end := len(r.buf)
	if at < r.start {
		end = r.start
	}
	return r.buf[at:min(end, at+r.maxSize-r.length)]
}

// Filled adds what was read into the stretch that Free gave.
func (r *Ring) Filled(n int) { r.length += n }

// Append adds bytes, or nothing at all where they pass the bound.
func (r *Ring) Append(p []byte) bool {
	if r.length+len(p) > r.maxSize || r.length+len(p) > len(r.buf) && !r.grow(r.length+len(p)) {
		return false
	}
	for len(p) > 0 {
		k := copy(r.Free(), p)
		r.length += k
		p = p[k:]
	}
	return true
}

// Head is the first stretch without a wrap.
func (r *Ring) Head() []byte { return r.buf[r.start:min(r.start+r.length, len(r.buf))] }

// Linear gives all bytes in one stretch, moving them when they wrap. It holds until bytes are added.
func (r *Ring) Linear() []byte {
	if r.start+r.length > len(r.buf) {
		r.move(len(r.buf))
	}
	return r.buf[r.start : r.start+r.length]
}

// Drop forgets the first bytes. An empty ring gives memory beyond its least size back.
func (r *Ring) Drop(n int) {
	r.start, r.length = r.start+n, r.length-n
	if r.length == 0 {
		r.start = 0
		if len(r.buf) > r.minSize && !r.keepMemory {
			r.Release()
		}
	} else if r.start >= len(r.buf) {
		r.start -= len(r.buf)
	}
}

func (r *Ring) grow(need int) bool {
	if need > r.maxSize {
		return false
	}
	size := max(r.minSize, 2*len(r.buf))
	for size < need {
		size *= 2
	}
	size = min(size, max(r.maxSize, r.minSize))
	if more := size - max(len(r.buf), r.minSize); r.spare != nil && more > 0 {
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
		*r.spare += max(0, len(r.buf)-r.minSize)
	}
	r.buf, r.start, r.length = nil, 0, 0
}

func (r *Ring) move(size int) {
	buf := make([]byte, size)
	k := copy(buf, r.Head())
	copy(buf[k:], r.buf[:r.length-k])
	r.buf, r.start = buf, 0
}
