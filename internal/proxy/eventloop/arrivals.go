package eventloop

import (
	"slices"
	"time"
)

// maxArrivals bounds the reads that are told apart. With more, the oldest count as one.
const maxArrivals = 16

// arrivals records when the bytes of a link's input came, read by read, as long as the bytes are in the ring buffer.
type arrivals struct {
	total int64 // bytes that were read, ever
	reads []arrival
}

// arrival is a read from the socket.
type arrival struct {
	end   int64         // bytes that were read up to and including this read
	since time.Duration // the bytes came after this time
}

// add records a read of so many bytes that came after the time since. inRing is the number of bytes in the ring buffer now.
func (a *arrivals) add(bytes, inRing int, since time.Duration) {
	a.total += int64(bytes)
	dropped := a.total - int64(inRing)
	a.reads = slices.DeleteFunc(a.reads, func(r arrival) bool { return r.end <= dropped })
	if len(a.reads) == maxArrivals {
		a.reads[1].since = min(a.reads[0].since, a.reads[1].since)
		a.reads = slices.Delete(a.reads, 0, 1)
	}
	a.reads = append(a.reads, arrival{a.total, since})
}

// since returns the time after which the last of the first size bytes in the ring buffer came, of inRing bytes. It returns false if nothing was
// read yet.
func (a *arrivals) since(size, inRing int) (time.Duration, bool) {
	position := a.total - int64(inRing) + int64(size)
	for _, r := range a.reads {
		if r.end >= position {
			return r.since, true
		}
	}
	if len(a.reads) == 0 {
		return 0, false
	}
	return a.reads[len(a.reads)-1].since, true
}
