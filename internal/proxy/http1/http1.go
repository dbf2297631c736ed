// Package http1 reads and writes HTTP/1.1 messages, both ends, incrementally: a Reader is shown all bytes that
// are there, from the first of a message on, each time more have come. It keeps offsets, never bytes.
package http1

import (
	"bytes"
	"errors"
)

// What may be wrong with a message. Framing is in doubt after each of them.
var (
	ErrMalformed = errors.New("malformed message")
	ErrFraming   = errors.New("doubtful framing")
	ErrHead      = errors.New("head too large")
	ErrBody      = errors.New("body too large")
)

// Bounds of a message, where a Reader has none of its own.
const (
	MaxHead   = 8 << 10
	MaxBody   = 64 << 10
	maxMethod = 16
	// minHeader is what a header takes of a head's bound: so many may come.
	minHeader = 128
	// MaxRaw holds any message that is taken: chunked ones with a fair overhead.
	MaxRaw = MaxHead + MaxBody + 16<<10
)

// span is a stretch of the message's bytes.
type span struct{ start, end int }

func (s span) of(b []byte) []byte { return b[s.start:s.end] }

type header struct{ name, value span }

// Reader reads one message at a time.
type Reader struct {
	response bool
	maxHead  int
	maxBody  int
	// of the present message
	state     int
	seen      int  // bytes searched for a line's end
	lineStart int  // where the present line of the head begins
	started   bool // the first line is read
	startLine [3]span
	minor     byte
	headers   []header
	status    int
	chunked   bool
	length    int
	body      span
	offset    int // end of what is read of a chunked message
	chunk     int // bytes left of the present chunk
	inChunk   bool
	trailing  bool
	hasLength bool // its length is told in the head
	streamed  int  // bytes of the body that Part gave
	Closes    bool // the sender ends the connection after this message
	Bodiless  bool // set before a response is read: it answers a HEAD, and no body follows whatever its head says
}

const (
	inHead = iota
	inBody
	done
)

// Requests makes a reader of requests.
func Requests() Reader { return Reader{response: false, maxHead: MaxHead, maxBody: MaxBody} }

// Responses makes a reader of responses.
func Responses() Reader { return Reader{response: true, maxHead: MaxHead, maxBody: MaxBody} }

// Bound sets how many bytes a head and a body may have, from the next head that is read on.
func (r *Reader) Bound(head, body int) { r.maxHead, r.maxBody = head, body }

// Reset makes ready for the next message.
func (r *Reader) Reset() {
	*r = Reader{response: r.response, maxHead: r.maxHead, maxBody: r.maxBody, headers: r.headers[:0]}
}

// Read looks at all bytes from the message's first on. It tells how many bytes the message takes, once whole.
// A chunked body is put together in place.
func (r *Reader) Read(b []byte) (size int, whole bool, err error) {
	if r.state == inHead {
		end, err := r.head(b)
		if err != nil || end == 0 {
			return 0, false, err
		}
		r.body = span{end, end}
		r.offset, r.state = end, inBody
	}
	if r.state == inBody {
		if !r.chunked {
			if len(b) < r.body.start+r.length {
				return 0, false, nil
			}
			r.body.end = r.body.start + r.length
			r.offset = r.body.end
		} else if whole, err := r.chunks(b); !whole || err != nil {
			return 0, false, err
		}
		r.state = done
	}
	return r.offset, true, nil
}

// head parses the head line by line as it comes and gives its length once whole. What can't become a message is
// told at the first bytes that show it: noise without an end would else hold its connection, and what waits for an
// answer on it, until a time limit. Covers noise, binary data and bare line feeds; a sender so slow that a line comes
// in pieces is not hurt.
func (r *Reader) head(b []byte) (int, error) {
	for {
		i := bytes.IndexByte(b[r.seen:], '\n')
		if i < 0 {
			r.seen = len(b)
			if !r.begins(b[r.lineStart:]) {
				return 0, ErrMalformed
			}
			if r.seen > r.maxHead {
				return 0, ErrHead
			}
			return 0, nil
		}
		end := r.seen + i + 1
		if end > r.maxHead {
			return 0, ErrHead
		}
		l := span{r.lineStart, end - 2}
		if l.end < l.start || b[l.end] != '\r' {
			return 0, ErrMalformed
		}
		r.seen, r.lineStart = end, end
		switch {
		case l.start == l.end && r.started:
			return end, r.framing(b)
		case l.start == l.end && !r.response: // empty lines before a request are passed over
		case !r.started:
			if r.response && !r.statusLine(b, l) || !r.response && !r.requestLine(b, l) {
				return 0, ErrMalformed
			}
			r.started = true
		case len(r.headers) >= r.maxHead/minHeader:
			return 0, ErrHead
		case !r.header(b, l):
			return 0, ErrMalformed
		}
	}
}

// begins tells whether the bytes of a line that is not whole may still become one.
func (r *Reader) begins(line []byte) bool {
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch i := bytes.IndexByte(line, ' '); {
	case r.started:
	case r.response:
		const form = "HTTP/1."
		n := min(len(line), len(form))
		if string(line[:n]) != form[:n] {
			return false
		}
	case i >= 0:
		return i <= maxMethod && isToken(line[:i]) && clean(line)
	case len(line) > 0:
		return len(line) <= maxMethod && isToken(line)
	}
	return clean(line)
}

// MayBegin tells whether a request to this front door may begin with such bytes.
func MayBegin(b []byte) bool {
	b = bytes.TrimLeft(b, "\r\n")
	for _, form := range []string{"GET /", "POST /"} {
		if n := min(len(b), len(form)); string(b[:n]) == form[:n] {
			return true
		}
	}
	return false
}

// MayStart tells whether a request, whatever its method, may begin with such bytes.
func MayStart(b []byte) bool {
	r := Requests()
	_, err := r.head(b)
	return !errors.Is(err, ErrMalformed)
}

func (r *Reader) version(v []byte) bool {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || v[7] != '1' && v[7] != '0' {
		return false
	}
	r.minor = v[7] - '0'
	return true
}

func (r *Reader) requestLine(b []byte, l span) bool {
	line := l.of(b)
	i, j := bytes.IndexByte(line, ' '), bytes.LastIndexByte(line, ' ')
	if i <= 0 || i > maxMethod || j <= i+1 || !r.version(line[j+1:]) || !isToken(line[:i]) {
		return false
	}
	for _, c := range line[i+1 : j] {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	r.startLine[0], r.startLine[1] = span{l.start, l.start + i}, span{l.start + i + 1, l.start + j}
	return true
}

func (r *Reader) statusLine(b []byte, l span) bool {
	line := l.of(b)
	if len(line) < 12 || !r.version(line[:8]) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return false
	}
	status, ok := Number(line[9:12], 999)
	r.status, r.startLine[2] = status, span{l.start + min(13, len(line)), l.end}
	return ok && status >= 100
}

func (r *Reader) header(b []byte, l span) bool {
	line := l.of(b)
	i := bytes.IndexByte(line, ':')
	if i <= 0 || !isToken(line[:i]) {
		return false
	}
	h := header{span{l.start, l.start + i}, span{l.start + i + 1, l.end}}
	for h.value.start < h.value.end && isBlank(b[h.value.start]) {
		h.value.start++
	}
	for h.value.end > h.value.start && isBlank(b[h.value.end-1]) {
		h.value.end--
	}
	if !clean(h.value.of(b)) {
		return false
	}
	r.headers = append(r.headers, h)
	return true
}

// framing finds where the message ends: by one length, or by chunks, never by both.
func (r *Reader) framing(b []byte) error {
	lengths, closes, keeps := -1, false, false
	for _, h := range r.headers {
		value := h.value.of(b)
		switch name := h.name.of(b); {
		case Same(name, "content-length"):
			n, ok := Number(value, 1<<40)
			if !ok || lengths >= 0 { // two readers could take two of them differently, be they alike
				return ErrFraming
			}
			lengths = n
		case Same(name, "transfer-encoding"):
			if r.chunked || !Same(value, "chunked") {
				return ErrFraming
			}
			r.chunked = true
		case Same(name, "connection"):
			closes, keeps = closes || Has(value, "close"), keeps || Has(value, "keep-alive")
		}
	}
	if r.chunked && (lengths >= 0 || r.minor == 0) {
		return ErrFraming
	}
	r.Closes = closes || r.minor == 0 && !keeps
	r.hasLength = lengths >= 0
	if r.response && (r.Bodiless || r.status < 200 || r.status == 204 || r.status == 304) {
		r.chunked, lengths = false, 0
	}
	if r.response && !r.chunked && lengths < 0 {
		return ErrFraming // ended by the connection's end: a cut answer could not be told from a whole one
	}
	if lengths > r.maxBody {
		return ErrBody
	}
	r.length = max(lengths, 0)
	return nil
}

// chunks puts a chunked body together, as far as it has come.
func (r *Reader) chunks(b []byte) (bool, error) {
	for {
		if r.inChunk {
			n := min(r.chunk, len(b)-r.offset)
			copy(b[r.body.end:], b[r.offset:r.offset+n])
			r.offset, r.body.end, r.chunk = r.offset+n, r.body.end+n, r.chunk-n
			if r.chunk > 0 || len(b) < r.offset+2 {
				return false, nil
			}
			if b[r.offset] != '\r' || b[r.offset+1] != '\n' {
				return false, ErrFraming
			}
			r.offset, r.inChunk = r.offset+2, false
		}
		i := bytes.Index(b[r.offset:], []byte("\r\n"))
		if i < 0 {
			if len(b)-r.offset > 1024 {
				return false, ErrFraming
			}
			return false, nil
		}
		line := b[r.offset : r.offset+i]
		if r.trailing {
			if r.offset += i + 2; i == 0 {
				return true, nil
			}
			continue
		}
		if j := bytes.IndexByte(line, ';'); j >= 0 {
			line = line[:j]
		}
		n, ok := hex(bytes.TrimRight(line, " \t"), r.maxBody)
		if !ok {
			return false, ErrFraming
		}
		if r.streamed+r.body.end-r.body.start+n > r.maxBody {
			return false, ErrBody
		}
		r.offset += i + 2
		r.trailing, r.inChunk, r.chunk = n == 0, n > 0, n
	}
}

// StreamBody makes ready to take the body in parts, once the head is whole: from the next call on, Part is shown
// what comes behind the head, which may be forgotten but for its headers: these are found in a copy.
func (r *Reader) StreamBody() {
	r.offset -= r.seen
	r.body.start, r.body.end = 0, r.body.end-r.seen
}

// Part gives what of the body is there, and how many bytes it took: the next call is shown what comes
// behind them. A chunked body is put together in place.
func (r *Reader) Part(b []byte) (part []byte, used int, whole bool, err error) {
	if r.chunked {
		if whole, err = r.chunks(b); err != nil {
			return nil, 0, false, err
		}
		part, used = r.body.of(b), r.offset
	} else {
		used = min(len(b), r.length-r.streamed)
		part, whole = b[:used], r.streamed+used == r.length
	}
	r.streamed += len(part)
	r.offset, r.body = 0, span{}
	if whole {
		r.state = done
	}
	return part, used, whole, nil
}

// Done tells that the whole message was read.
func (r *Reader) Done() bool { return r.state == done }

// Buffered is how much of the body has been put together and not given by Part.
func (r *Reader) Buffered() int { return r.body.end - r.body.start }

// IsHTTP10 tells that it is of a version that knows no chunks.
func (r *Reader) IsHTTP10() bool { return r.minor == 0 }

// Status is a response's status.
func (r *Reader) Status() int { return r.status }

// Reason is a response's text for its status.
func (r *Reader) Reason(b []byte) []byte { return r.startLine[2].of(b) }

// Headed tells whether the head is whole, and how many bytes it takes.
func (r *Reader) Headed() (size int, whole bool) {
	if r.state == inHead {
		return 0, false
	}
	return r.seen, true
}

// Framed tells how the body's end is told, once the head is whole: by chunks, by a length, or by neither:
// then there is no body. A length is told as well for what has no body after all, an answer to HEAD.
func (r *Reader) Framed() (length int, given, chunked bool) { return r.length, r.hasLength, r.chunked }

// Each walks over all headers in order.
func (r *Reader) Each(b []byte, f func(name, value []byte)) {
	for _, h := range r.headers {
		f(h.name.of(b), h.value.of(b))
	}
}

// Method is the method of a request that is whole; b, here and below, is what Read was shown.
func (r *Reader) Method(b []byte) []byte { return r.startLine[0].of(b) }

// Target is the target of a request that is whole.
func (r *Reader) Target(b []byte) []byte { return r.startLine[1].of(b) }

// Body is the body of a message that is whole.
func (r *Reader) Body(b []byte) []byte { return r.body.of(b) }

// Get gives a header's value; many tells that it came more than once. name is in lower case.
func (r *Reader) Get(b []byte, name string) (value []byte, many bool) {
	for _, h := range r.headers {
		if h.name.end-h.name.start == len(name) && Same(h.name.of(b), name) {
			if value != nil {
				return value, true
			}
			value = h.value.of(b)
		}
	}
	return value, false
}
