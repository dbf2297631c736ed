package http1

import (
	"bytes"
	"strconv"
	"time"
)

// isBlank tells whether a byte is optional white space.
func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isToken tells whether b is a token as RFC 9110 has it: a method or a header's name.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == '!', c == '#', c == '$', c == '%', c == '&', c == '\'', c == '*',
			c == '+', c == '^', c == '`', c == '|', c == '~':
		default:
			return false
		}
	}
	return len(b) > 0
}

// clean tells that there are no control characters except tabs.
func clean(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Same compares without regard to case; word must be in lower case.
func Same(b []byte, word string) bool {
	if len(b) != len(word) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != word[i] {
			return false
		}
	}
	return true
}

// Has tells whether a list separated by commas has a word, without regard to case; word must be in lower case.
func Has(list []byte, word string) bool {
	for len(list) > 0 {
		i := 0
		for i < len(list) && list[i] != ',' {
			i++
		}
		one := list[:i]
		for len(one) > 0 && isBlank(one[0]) {
			one = one[1:]
		}
		for len(one) > 0 && isBlank(one[len(one)-1]) {
			one = one[:len(one)-1]
		}
		if Same(one, word) {
			return true
		}
		list = list[min(i+1, len(list)):]
	}
	return false
}

// Names tells whether a list separated by commas has a name, without regard to case.
func Names(list, name []byte) bool {
	for len(list) > 0 {
		one, rest, _ := bytes.Cut(list, []byte(","))
		if bytes.EqualFold(bytes.TrimSpace(one), name) {
			return true
		}
		list = rest
	}
	return false
}

// Number parses a decimal number without a sign, up to a bound.
func Number(b []byte, most int) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > most {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(b) > 0 && n <= most
}

// hex parses a hexadecimal number; a bound keeps it from overflowing, and the caller compares the result.
func hex(b []byte, most int) (int, bool) {
	n := 0
	for _, c := range b {
		d, ok := Digit(c)
		if !ok || n > most {
			return 0, false
		}
		n = n<<4 | d
	}
	return n, len(b) > 0
}

// Digit parses one hexadecimal digit.
func Digit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}

// AppendHeader appends a header line.
func AppendHeader(b []byte, name string, value []byte) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), '\r', '\n')
}

// AppendNumber appends a header line with an integer.
func AppendNumber(b []byte, name string, n int) []byte {
	b = append(append(b, name...), ": "...)
	return append(strconv.AppendInt(b, int64(n), 10), '\r', '\n')
}

// AppendSeconds appends a header line with seconds as a decimal number, rounded up to a millisecond.
func AppendSeconds(b []byte, name string, d time.Duration) []byte {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	b = append(append(b, name...), ": "...)
	b = strconv.AppendInt(b, int64(ms/1000), 10)
	if ms %= 1000; ms > 0 {
		b = append(b, '.', byte('0'+ms/100), byte('0'+ms/10%10), byte('0'+ms%10))
	}
	return append(b, '\r', '\n')
}

// AppendStatus appends a response's status line.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	return append(b, '\r', '\n')
}

// reasons are the reason phrases of the statuses that the proxy gives itself.
var reasons = map[int]string{100: "Continue", 200: "OK", 307: "Temporary Redirect", 400: "Bad Request",
	401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	412: "Precondition Failed", 413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}
