// Package answer formats the answers that the proxy gives itself, and those of backends at the front door. Each function appends a complete
// answer to b; last: the connection is closed after it.
package answer

import (
	"time"

	"clovergap/internal/proxy/http1"
)

// Success is a 200 with a backend's body and its Content-Type (kind; empty: none).
func Success(b, body, kind []byte, last bool) []byte {
	b = http1.AppendStatus(b, 200)
	if len(kind) > 0 {
		b = http1.AppendHeader(b, "Content-Type", kind)
	}
	return append(end(b, len(body), last), body...)
}

// Reject is a 429: the request had no effect, and a retry is harmless, best after some time (0: no advice).
func Reject(b []byte, after time.Duration, last bool) []byte {
	b = http1.AppendStatus(b, 429)
	if after > 0 {
		b = http1.AppendSeconds(b, "Retry-After", after)
	}
	return end(b, 0, last)
}

// Fail is a 502: the request may have had effect.
func Fail(b []byte, last bool) []byte { return end(http1.AppendStatus(b, 502), 0, last) }

// StatusOnly is a status without a body, with the request's ID in header name; a retry is best after some time (0: no advice).
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

// WithBody is a status with a body of a Content-Type (kind); a retry is best after some time (0: no advice).
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

// BadRequest is a status with a line of text that says what is wrong with the request.
func BadRequest(b []byte, status int, line string, last bool) []byte {
	b = http1.AppendStatus(b, status)
	if status == 405 {
		b = append(b, "Allow: GET, POST\r\n"...)
	}
	b = append(b, "Content-Type: text/plain\r\n"...)
	return append(append(end(b, len(line)+1, last), line...), '\n')
}

// Up is the front door's answer to a health check.
func Up(b []byte, last bool) []byte {
	return append(end(http1.AppendStatus(b, 200), 3, last), "up\n"...)
}

// end appends the last headers and the empty line.
func end(b []byte, length int, last bool) []byte {
	b = http1.AppendNumber(b, "Content-Length", length)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
