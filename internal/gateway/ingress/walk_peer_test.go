package ingress

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// This file holds what a walk plays beside the node: sockets that never block, messages that are read as they come, and bodies that a reader can
// check.

// socket is one end of a TCP connection. No call blocks. The zero value is closed.
type socket struct {
	fd   int
	open bool
}

// readResult is what a read from a socket found.
type readResult int

const (
	readBytes readResult = iota
	readNothing
	readEnd   // the other side has closed the connection
	readReset // the connection is broken
)

// connectSocket connects to an address on loopback.
func connectSocket(address string) (socket, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return socket{}, err
	}
	if err := unix.Connect(fd, socketAddress(address)); err != nil {
		unix.Close(fd)
		return socket{}, err
	}
	return socket{fd, true}, nil
}

// listenSocket listens on loopback, and returns the address.
func listenSocket() (socket, string, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return socket{}, "", err
	}
	if err = unix.Bind(fd, socketAddress("127.0.0.1:0")); err != nil {
		return socket{}, "", err
	}
	if err = unix.Listen(fd, 128); err != nil {
		return socket{}, "", err
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return socket{}, "", err
	}
	return socket{fd, true}, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), nil
}

func socketAddress(address string) *unix.SockaddrInet4 {
	at := netip.MustParseAddrPort(address)
	return &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
}

// accept takes the next connection of a listening socket, if there is one.
func (s *socket) accept() (socket, bool) {
	fd, _, err := unix.Accept4(s.fd, unix.SOCK_CLOEXEC)
	return socket{fd, true}, err == nil
}

// read reads at most len(p) bytes.
func (s *socket) read(p []byte) ([]byte, readResult) {
	n, _, err := unix.Recvfrom(s.fd, p, unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return nil, readNothing
	case err != nil:
		return nil, readReset
	case n == 0:
		return nil, readEnd
	}
	return p[:n], readBytes
}

// write writes what the socket takes of p, and returns how many bytes it took.
func (s *socket) write(p []byte) int {
	n, err := unix.SendmsgN(s.fd, p, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		return 0
	}
	return n
}

// shutdownWrite ends the direction away from this side.
func (s *socket) shutdownWrite() { unix.Shutdown(s.fd, unix.SHUT_WR) }

// close closes the socket. With reset the other side gets a RST.
func (s *socket) close(reset bool) {
	if !s.open {
		return
	}
	if reset {
		unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	unix.Close(s.fd)
	s.fd, s.open = -1, false
}

// body returns the first n bytes of the body that belongs to an attempt in one direction.
func body(id, direction string, n int) []byte {
	unit := []byte(id + direction)
	return bytes.Repeat(unit, n/len(unit)+1)[:n]
}

// frame appends the framing of a body and the body itself: by its length, or in chunks of chunk bytes.
func frame(b, content []byte, chunk int) []byte {
	if chunk == 0 {
		return append(fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(content)), content...)
	}
	b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	for len(content) > 0 {
		n := min(chunk, len(content))
		b = append(append(fmt.Appendf(b, "%x\r\n", n), content[:n]...), "\r\n"...)
		content = content[n:]
	}
	return append(b, "0\r\n\r\n"...)
}

// message is one HTTP message that is read from a connection.
type message struct {
	start    string            // request line or status line
	headers  map[string]string // names are in lower case
	body     []byte
	complete bool
}

// status returns the status of a response.
func (m *message) status() int {
	fields := strings.Fields(m.start)
	if len(fields) < 2 {
		return 0
	}
	status, _ := strconv.Atoi(fields[1])
	return status
}

// interim reports whether the message is an interim response, after which the final one follows.
func (m *message) interim() bool { return strings.HasPrefix(m.start, "HTTP/1.1 1") }

// messageStream splits the bytes of one direction of a connection into messages.
type messageStream struct {
	unread   []byte
	messages []*message
	err      error
	left     int  // bytes of the present body or chunk that are to come
	chunked  bool // the present body is chunked
	inChunk  bool // left counts the bytes of a chunk and its line end
}

// current returns the message that is being read, or nil between messages.
func (m *messageStream) current() *message {
	if len(m.messages) == 0 || m.messages[len(m.messages)-1].complete {
		return nil
	}
	return m.messages[len(m.messages)-1]
}

// add reads on with more bytes.
func (m *messageStream) add(p []byte) {
	m.unread = append(m.unread, p...)
	for m.err == nil && m.step() {
	}
}

// step reads one element: a head, a piece of a body, or a chunk's size. It returns false if more bytes are needed.
func (m *messageStream) step() bool {
	switch at := m.current(); {
	case at == nil:
		return m.readHead()
	case m.chunked && !m.inChunk:
		return m.readChunkSize(at)
	default:
		return m.readBody(at)
	}
}

func (m *messageStream) readHead() bool {
	end := bytes.Index(m.unread, []byte("\r\n\r\n"))
	if end < 0 {
		return false
	}
	lines := strings.Split(string(m.unread[:end]), "\r\n")
	m.unread = m.unread[end+4:]
	next := &message{start: lines[0], headers: map[string]string{}}
	if !strings.HasPrefix(lines[0], "HTTP/1.1 ") && !strings.HasSuffix(lines[0], " HTTP/1.1") {
		m.err = fmt.Errorf("not the begin of a message: %q", lines[0])
		return false
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		next.headers[strings.ToLower(name)] = value
	}
	m.messages = append(m.messages, next)
	m.chunked, m.inChunk, m.left = next.headers["transfer-encoding"] == "chunked", false, 0
	if !m.chunked {
		m.left, _ = strconv.Atoi(next.headers["content-length"])
		next.complete = m.left == 0
	}
	return true
}

func (m *messageStream) readChunkSize(at *message) bool {
	line, rest, found := bytes.Cut(m.unread, []byte("\r\n"))
	if !found {
		return false
	}
	size, err := strconv.ParseUint(string(line), 16, 31)
	if err != nil {
		m.err = fmt.Errorf("not the size of a chunk: %q", line[:min(len(line), 80)])
		return false
	}
	if size == 0 {
		if len(rest) < 2 {
			return false
		}
		m.unread, at.complete = rest[2:], true
		return true
	}
	m.unread, m.left, m.inChunk = rest, int(size), true
	return true
}

func (m *messageStream) readBody(at *message) bool {
	n := min(m.left, len(m.unread))
	at.body = append(at.body, m.unread[:n]...)
	m.unread, m.left = m.unread[n:], m.left-n
	if m.left > 0 {
		return false
	}
	if !m.chunked {
		at.complete = true
		return true
	}
	if len(m.unread) < 2 {
		return false
	}
	m.unread, m.inChunk = m.unread[2:], false
	return true
}
