package http1

import (
	"bytes"
	"errors"
)

// Errors of Reader.Read and Reader.Part. After each of them it is not known where the message ends, so its connection can't be used
// any more.
var (
	// ErrMalformed: the start line or a header is not of HTTP/1's form.
	ErrMalformed = errors.New("malformed message")
	// ErrFraming: where the body ends is ambiguous, or its chunks are not of their form.
	ErrFraming = errors.New("doubtful framing")
	// ErrHead: the head has more bytes or headers than its bound.
	ErrHead = errors.New("head too large")
	// ErrBody: the body has more bytes than its bound.
	ErrBody = errors.New("body too large")
)

// Bounds of a message in bytes, unless Reader.Bound sets others.
const (
	// MaxHead is the default bound of a head.
	MaxHead = 8 << 10
	// MaxBody is the default bound of a body.
	MaxBody = 64 << 10
	// MaxRaw is enough for any message within the default bounds, with 16 KiB for the sizes of its chunks.
	MaxRaw = MaxHead + MaxBody + 16<<10
	// maxMethod bounds a request's method.
	maxMethod = 16
	// minHeader is what each header counts for at least: a head's bound divided by it is the number of headers allowed.
	minHeader = 128
	// maxChunkHeader is how much may come of a line with a chunk's size, or of the trailer, before the line's end does.
	maxChunkHeader = 1024
)

// span is a range of the message's bytes.
type span struct{ start, end int }

func (s span) of(b []byte) []byte { return b[s.start:s.end] }

// header is where a header's name and value are.
type header struct{ name, value span }

// Reader parses one message at a time, incrementally: each call of Read gets all bytes of the message that have come. It keeps offsets
// into them, and never the bytes: every method with a parameter b must get the bytes that Read got last.
type Reader struct {
	response bool
	maxHead  int
	maxBody  int

	// The present message.
	state     int
	seen      int  // bytes searched for a line's end; once the head is complete, its size
	lineStart int  // offset of the head's present line
	started   bool // the start line has been read
	startLine [3]span
	minor     byte
	headers   []header
	status    int
	chunked   bool
	length    int
	body      span
	offset    int // end of what has been read of a chunked body
	chunk     int // bytes left of the present chunk
	inChunk   bool
	trailing  bool
	hasLength bool // the head has a Content-Length
	streamed  int  // bytes of the body that Part has returned
	Closes    bool // the sender ends the connection after this message
	Bodiless  bool // set before a response is read: it answers a HEAD, and no body follows whatever its head says
}

const (
	inHead = iota
	inBody
	done
)

// Requests returns a reader of requests.
func Requests() Reader { return Reader{response: false, maxHead: MaxHead, maxBody: MaxBody} }

// Responses returns a reader of responses.
func Responses() Reader { return Reader{response: true, maxHead: MaxHead, maxBody: MaxBody} }

// Bound sets how many bytes a head and a body may have. It holds from the next head on.
func (r *Reader) Bound(head, body int) { r.maxHead, r.maxBody = head, body }

// Reset prepares for the next message.
func (r *Reader) Reset() {
	*r = Reader{response: r.response, maxHead: r.maxHead, maxBody: r.maxBody, headers: r.headers[:0]}
}

// Read parses b, all bytes from the message's first on. Once the message is complete, size is how many bytes it takes.
// A chunked body is assembled in place.
func (r *Reader) Read(b []byte) (size int, complete bool, err error) {
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
		} else if complete, err := r.chunks(b); !complete || err != nil {
			return 0, false, err
		}
		r.state = done
	}
	return r.offset, true, nil
}

// head parses the head line by line as it comes, and returns its size once it is complete. Bytes that can't become a message are an
// error as soon as that shows: garbage without an end would else occupy its connection, and what waits for an answer on it,
// until a time-out. That covers garbage, binary data and bare line feeds; a slow sender whose lines come in pieces is accepted.
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
		case l.start == l.end && !r.response: // empty lines before a request are skipped
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

// begins tells whether the bytes of an incomplete line may still become a valid one.
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

// MayBegin tells whether a GET or POST request may begin with these bytes.
func MayBegin(b []byte) bool {
	b = bytes.TrimLeft(b, "\r\n")
	for _, form := range []string{"GET /", "POST /"} {
		if n := min(len(b), len(form)); string(b[:n]) == form[:n] {
			return true
		}
	}
	return false
}

// MayStart tells whether a request of any method may begin with these bytes.
func MayStart(b []byte) bool {
	r := Requests()
	_, err := r.head(b)
	return !errors.Is(err, ErrMalformed)
}

// version parses HTTP/1.0 or HTTP/1.1.
func (r *Reader) version(v []byte) bool {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || v[7] != '1' && v[7] != '0' {
		return false
	}
	r.minor = v[7] - '0'
	return true
}

// requestLine parses the start line of a request.
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

// statusLine parses the start line of a response.
func (r *Reader) statusLine(b []byte, l span) bool {
	line := l.of(b)
	if len(line) < 12 || !r.version(line[:8]) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return false
	}
	status, ok := Number(line[9:12], 999)
	r.status, r.startLine[2] = status, span{l.start + min(13, len(line)), l.end}
	return ok && status >= 100
}

// header parses a header line.
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

// framing determines where the message ends: by one Content-Length, or by chunks, never by both (request smuggling).
func (r *Reader) framing(b []byte) error {
	lengths, closes, keeps := -1, false, false
	for _, h := range r.headers {
		value := h.value.of(b)
		switch name := h.name.of(b); {
		case Same(name, "content-length"):
			n, ok := Number(value, 1<<40)
			if !ok || lengths >= 0 { // two readers could choose differently between two, even if they are alike
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
		return ErrFraming // delimited by the connection's end: a truncated answer could not be told from a complete one
	}
	if lengths > r.maxBody {
		return ErrBody
	}
	r.length = max(lengths, 0)
	return nil
}

// chunks assembles a chunked body, as far as it has come, and returns whether it is complete.
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
			if len(b)-r.offset > maxChunkHeader {
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

// StreamBody prepares for streaming the body, once the head is complete. From then on Part gets the bytes after the head, and the
// other methods a copy of the head.
func (r *Reader) StreamBody() {
	r.offset -= r.seen
	r.body.start, r.body.end = 0, r.body.end-r.seen
}

// Part returns the part of a streamed body that is in b, and how many bytes of b it used: the next call gets the bytes after them. complete:
// the body ends there. A chunked body is assembled in place.
func (r *Reader) Part(b []byte) (part []byte, used int, complete bool, err error) {
	if r.chunked {
		if complete, err = r.chunks(b); err != nil {
			return nil, 0, false, err
		}
		part, used = r.body.of(b), r.offset
	} else {
		used = min(len(b), r.length-r.streamed)
		part, complete = b[:used], r.streamed+used == r.length
	}
	r.streamed += len(part)
	r.offset, r.body = 0, span{}
	if complete {
		r.state = done
	}
	return part, used, complete, nil
}

// Done tells that the message has been read to its end.
func (r *Reader) Done() bool { return r.state == done }

// Buffered is how many bytes of the body have been assembled and not returned by Part.
func (r *Reader) Buffered() int { return r.body.end - r.body.start }

// IsHTTP10 tells that the sender speaks HTTP/1.0, which has no chunks.
func (r *Reader) IsHTTP10() bool { return r.minor == 0 }

// Status is a response's status.
func (r *Reader) Status() int { return r.status }

// Reason is a response's reason phrase.
func (r *Reader) Reason(b []byte) []byte { return r.startLine[2].of(b) }

// Headed tells whether the head is complete, and how many bytes it takes.
func (r *Reader) Headed() (size int, complete bool) {
	if r.state == inHead {
		return 0, false
	}
	return r.seen, true
}

// Framed tells how the body is delimited, once the head is complete: by chunks, by a length (given), or there is none. A length
// may be given also if there is no body: in an answer to HEAD.
func (r *Reader) Framed() (length int, given, chunked bool) { return r.length, r.hasLength, r.chunked }

// Each calls f with all headers in order.
func (r *Reader) Each(b []byte, f func(name, value []byte)) {
	for _, h := range r.headers {
		f(h.name.of(b), h.value.of(b))
	}
}

// Method is a request's method.
func (r *Reader) Method(b []byte) []byte { return r.startLine[0].of(b) }

// Target is a request's target.
func (r *Reader) Target(b []byte) []byte { return r.startLine[1].of(b) }

// Body is the body of a complete message.
func (r *Reader) Body(b []byte) []byte { return r.body.of(b) }

// Get returns a header's value; many: the header came more than once. name must be in lower case.
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
