package ingress

import (
	"time"

	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/upstream"
)

// BodyBufferBytes is the size of the largest body, in bytes, that a node buffers. A longer body is streamed, up to
// Limits.MaxBodyBytes.
const BodyBufferBytes = 256 << 10

// Limits that cannot be configured.
const (
	// maxAttemptIDBytes is the maximum length of the X-Attempt-Id header, in bytes.
	maxAttemptIDBytes = 128
	// maxClientDeadline is the longest deadline that a client may send in the X-Deadline-Ms header.
	maxClientDeadline = time.Hour
	// retryAfterUnready is the Retry-After value that a node sends while the node waits for a configuration, or while
	// the maximum number of requests is in flight.
	retryAfterUnready = 300 * time.Millisecond
	// responseReadTimeout is the maximum time that a client may take to read a response.
	responseReadTimeout = 10 * time.Second
	// bodyTimeoutFactor times Limits.HeadTimeout is the maximum time for receiving a complete request.
	bodyTimeoutFactor = 10
	// maxResponseHeadBytes is the maximum size of the head of a backend's response, in bytes.
	maxResponseHeadBytes = 16 << 10
	// maxResponseBodyBytes is the maximum size of the body of a backend's response, in bytes.
	maxResponseBodyBytes = 64 << 20
	// defaultIdleTimeout is the maximum idle time of a connection to a backend whose responses have no Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
)

// Limits are the maximum sizes of clients' requests and the timeouts of clients' connections. A zero field stands for
// the default of downstream.Bounds.
type Limits struct {
	MaxHeadBytes int
	MaxBodyBytes int
	HeadTimeout  time.Duration // maximum time from the first byte of a request to the end of the request's head
	IdleTimeout  time.Duration // maximum time between two requests on a client's connection
}

// DownstreamBounds returns the bounds of a downstream.Server that enforces the limits l.
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

// UpstreamConfig returns the configuration of the connections to backends. dial is the timeout for opening a connection.
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
