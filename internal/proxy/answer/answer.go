// Package answer words the one answer that a client gets.
package answer

import (
	"time"

	"clovergap/internal/proxy/http1"
)

// Success passes a backend's body on, unchanged.
func Success(b, body, kind []byte, last bool) []byte {
	b = http1.AppendStatus(b, 200)
	if len(kind) > 0 {
		b = http1.AppendHeader(b, "Content-Type", kind)
	}
	return append(end(b, len(body), last), body...)
}

// Reject says that coming again is harmless, best after some time (0: none is advised).
func Reject(b []byte, after time.Duration, last bool) []byte {
	b = http1.AppendStatus(b, 429)
	if after > 0 {
		b = http1.AppendSeconds(b, "Retry-After", after)
	}
	return end(b, 0, last)
}

// Fail makes no such promise: it may have run.
func Fail(b []byte, last bool) []byte { return end(http1.AppendStatus(b, 502), 0, last) }

// StatusOnly gives a status alone, with the id that the request came with, best again after some time (0: none
// is advised).
func StatusOnly(b []byte, status int, name string, id []byte, after time.Duration, last bool) []byte {
	b = http1.AppendStatus(b, status)
	b = http1.AppendHeader(b, name, id)
	if after > 0 {
		b = http1.AppendSeconds(b, "Retry-After", after)
	}
	if status == 401 {
		b = append(b, "WWW-Authenticate: Token\r\n"...)
	}
	return end(b, 0, last)
}

// WithBody gives a status and a body of a kind, best asked for again after some time (0: no advice).
func WithBody(b []byte, status int, kind string, body []byte, after time.Duration, last bool) []byte {
	b = http1.AppendStatus(b, status)
	if after > 0 {
		b = http1.AppendSeconds(b, "Retry-After", after)
	}
	if len(body) > 0 {
		b = append(append(append(b, "Content-Type: "...), kind...), '\r', '\n')
	}
	return append(end(b, len(body), last), body...)
}

// BadRequest tells in one line what is wrong with a request.
func BadRequest(b []byte, status int, line string, last bool) []byte {
	b = http1.AppendStatus(b, status)
	if status == 405 {
		b = append(b, "Allow: GET, POST\r\n"...)
	}
	b = append(b, "Content-Type: text/plain\r\n"...)
	return append(append(end(b, len(line)+1, last), line...), '\n')
}

// Up tells that the front door takes txns.
func Up(b []byte, last bool) []byte {
	return append(end(http1.AppendStatus(b, 200), 3, last), "up\n"...)
}

func end(b []byte, length int, last bool) []byte {
	b = http1.AppendNumber(b, "Content-Length", length)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
