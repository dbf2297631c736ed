package downstream

import (
	"time"

	"clovergap/internal/proxy/http1"
)

// Bounds are what a client may send and how long it may take. 0 stands for the default.
type Bounds struct {
	// Head and Body bound a request's head and body, in bytes; the defaults are http1.MaxHead and http1.MaxBody.
	Head, Body int
	// Buffer is the size of a body, in bytes, beyond which it is streamed; 0: none is.
	Buffer int
	// Raw bounds the bytes that wait on a connection. It is raised to what a head and a buffered body take.
	Raw int
	// HeadTimeout bounds the time for a head, from its first byte, or from the connection's start.
	HeadTimeout time.Duration
	// MessageTimeout bounds the time for a request, likewise.
	MessageTimeout time.Duration
	// AnswerTimeout bounds the time that a client takes to read an answer.
	AnswerTimeout time.Duration
	// IdleTimeout bounds the time between requests.
	IdleTimeout time.Duration
}

// Defaults of the bounds on clients that do nothing. They protect descriptors and memory from silent clients, from heads
// and bodies that do not end, from answers that are not read, and from clients that send one request and stay. A usual
// client that is slower than these loses nothing but its connection.
const (
	// sweepInterval is how often all connections are compared with their bounds.
	sweepInterval = 250 * time.Millisecond
	// firstBytesTimeout is when a client that connected and sent no complete request may be evicted for another.
	firstBytesTimeout = 100 * time.Millisecond
	// messageTimeout is the default of MessageTimeout and HeadTimeout.
	messageTimeout = 2 * time.Second
	// answerTimeout is the default of AnswerTimeout.
	answerTimeout = 5 * time.Second
	// idleTimeout is the default of IdleTimeout.
	idleTimeout = 5 * time.Second
)

// rawShare: a quarter of a body's bound is allowed for the sizes of its chunks besides.
const rawShare = 4

// streamRing bounds, in bytes, what waits of a streamed body, and of a streamed answer.
const streamRing = 64 << 10

// withDefaults fills in what is not set.
func (b Bounds) withDefaults() Bounds {
	or := func(x *time.Duration, fallback time.Duration) {
		if *x <= 0 {
			*x = fallback
		}
	}
	or(&b.MessageTimeout, messageTimeout)
	or(&b.HeadTimeout, b.MessageTimeout)
	or(&b.AnswerTimeout, answerTimeout)
	or(&b.IdleTimeout, idleTimeout)
	if b.Head <= 0 {
		b.Head = http1.MaxHead
	}
	if b.Body <= 0 {
		b.Body = http1.MaxBody
	}
	buffered := b.Body
	if b.Buffer > 0 {
		buffered = min(buffered, b.Buffer)
	}
	if least := b.Head + buffered + buffered/rawShare; b.Raw < least {
		b.Raw = least
	}
	return b
}
