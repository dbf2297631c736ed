// Package ringbuffer is a queue of bytes between a socket and a parser or writer. Its memory comes with the first bytes, doubles as
// needed up to a bound, and is given back when the queue is empty. Rings may share a bound on what they grow by in all.
package ringbuffer

// Ring is a queue of bytes in a ring buffer. The zero value is empty, and takes nothing until Bound is called. It is not safe for
// concurrent use.
type Ring struct {
	buf           []byte
	start, length int
	minSize       int
	maxSize       int
	keepMemory    bool
	spare         *int // bytes that all rings that share it may still grow by, beyond minSize each; nil: no such bound
}

// New makes an empty ring of minSize bytes at first and maxSize at most. Memory beyond minSize is taken from spare, unless it is nil.
func New(minSize, maxSize int, spare *int) Ring {
	return Ring{minSize: minSize, maxSize: maxSize, spare: spare}
}

// Len is how many bytes are in the ring.
func (r *Ring) Len() int { return r.length }

// Available is how many more bytes fit within the bound.
func (r *Ring) Available() int { return r.maxSize - r.length }

// Bound changes how many bytes may be in the ring; bytes beyond that stay until they are dropped.
func (r *Ring) Bound(maxSize int) { r.maxSize = max(maxSize, r.length) }

// KeepMemory sets whether the memory is kept when the ring runs empty, since more is to come.
func (r *Ring) KeepMemory(on bool) { r.keepMemory = on }

// Free returns a slice of free memory to read into, or nil when a bound is reached. Filled reports how much of it was filled.
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

// Filled adds the first n bytes of the slice that Free returned.
func (r *Ring) Filled(n int) { r.length += n }

// Append adds bytes. It returns false, and adds none, if they don't fit.
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

// Head returns the first bytes, up to where they wrap around.
func (r *Ring) Head() []byte { return r.buf[r.start:min(r.start+r.length, len(r.buf))] }

// Linear returns all bytes as one slice, and moves them if they wrap around. It is valid until bytes are added.
func (r *Ring) Linear() []byte {
	if r.start+r.length > len(r.buf) {
		r.move(len(r.buf))
	}
	return r.buf[r.start : r.start+r.length]
}

// Drop removes the first n bytes. An empty ring gives back memory beyond minSize.
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

// grow takes memory for need bytes in all, if the bounds allow it.
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

// Release removes all bytes and gives back the memory.
func (r *Ring) Release() {
	if r.spare != nil {
		*r.spare += max(0, len(r.buf)-r.minSize)
	}
	r.buf, r.start, r.length = nil, 0, 0
}

// move copies the bytes to new memory.
func (r *Ring) move(size int) {
	buf := make([]byte, size)
	k := copy(buf, r.Head())
	copy(buf[k:], r.buf[:r.length-k])
	r.buf, r.start = buf, 0
}
