package ingress

import (
	"time"

	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/upstream"
)

// BodyBufferBytes is how many bytes of a body a node holds; a longer one is streamed, up to Limits.MaxBodyBytes.
const BodyBufferBytes = 256 << 10

// Bounds that no configuration sets.
const (
	// maxAttemptIDBytes bounds X-Attempt-Id, in bytes.
	maxAttemptIDBytes = 128
	// maxClientDeadline bounds X-Deadline-Ms.
	maxClientDeadline = time.Hour
	// retryAfterUnready is the Retry-After of a node that awaits a configuration, or has as many requests in flight
	// as it may.
	retryAfterUnready = 300 * time.Millisecond
	// responseReadTimeout is how long a client may take to read a response.
	responseReadTimeout = 10 * time.Second
	// bodyTimeoutFactor: a request may take so many times Limits.HeadTimeout until it is complete.
	bodyTimeoutFactor = 10
	// maxResponseHeadBytes bounds the head of a backend's response, in bytes.
	maxResponseHeadBytes = 16 << 10
	// maxResponseBodyBytes bounds the body of a backend's response, in bytes.
	maxResponseBodyBytes = 64 << 20
	// defaultIdleTimeout is how long a connection to a backend stays idle where its responses have no Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
)

// Limits bound what clients may send and how long they may take. 0 is the default of downstream.Bounds.
type Limits struct {
	MaxHeadBytes int
	MaxBodyBytes int
	HeadTimeout  time.Duration // from a request's first byte to the end of its head
	IdleTimeout  time.Duration // of a client's connection between two requests
}

// Bounds gives the bounds of a server of clients' connections under such limits.
func DownstreamBounds(l Limits) downstream.Bounds {
	return downstream.Bounds{
		Head:           l.MaxHeadBytes,
		Body:           l.MaxBodyBytes,
		Buffer:         BodyBufferBytes,
		HeadTimeout:    l.HeadTimeout,
		MessageTimeout: bodyTimeoutFactor * l.HeadTimeout,
		AnswerTimeout:  responseReadTimeout,
		IdleTimeout:    l.IdleTimeout,
	}
}

// UpstreamConfig gives the configuration of the connections to backends. dial bounds how long one takes to open.
func UpstreamConfig(catalog Catalog, dial time.Duration) upstream.Config {
	return upstream.Config{
		Dialect:     NewDialect(catalog),
		IdleTimeout: defaultIdleTimeout,
		DialTimeout: dial,
		Head:        maxResponseHeadBytes,
		Body:        maxResponseBodyBytes,
		Buffer:      BodyBufferBytes,
	}
}
