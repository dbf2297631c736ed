package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// What clients do.
const (
	minUpload, maxUpload = 100_000, 3_000_000 // bytes
	requestDeadline      = 5 * time.Second
	clientTimeout        = 8 * time.Second // for a connection's reads and writes
	maxClientStall       = 2500 * time.Millisecond
	maxWork              = 300 // ms
	uploadChunk          = 64 << 10
)

// answerSizes are sizes of answers in bytes, below and above the size from which a node streams (256 KiB).
var answerSizes = []int{300, 100_000, 250_000, 263_000, 400_000, 2_000_000}

// departure is how a client ends a request before it has the whole answer.
type departure int

const (
	stays departure = iota
	resets
	closes
	stalls // stops writing or reading for a while, and goes on
)

// counts is what came of the requests of a run.
type counts struct {
	Uploads  int64 `json:"uploads"`
	Answered int64 `json:"answered"` // whole, with a success
	Refused  int64 `json:"refused"`  // another status
	Left     int64 `json:"left"`     // by the client
	CutOff   int64 `json:"cut_off"`  // by the node or the backend
	Bids     int64 `json:"bids"`     // of well-behaved clients on kept connections
	Lost     int64 `json:"lost"`     // bids whose connection ended without an answer
}

// upload is one request with a long body on a connection of its own.
type upload struct {
	id         string
	size       int
	answerSize int
	departs    departure
	departsAt  float64 // as a share of the bytes of the upload and the answer together
	work       int     // ms
	rng        *rand.Rand
}

func drawUpload(rng *rand.Rand, id string) *upload {
	size := int(math.Exp(math.Log(minUpload) + rng.Float64()*(math.Log(maxUpload)-math.Log(minUpload))))
	u := &upload{id: id, size: size, answerSize: answerSizes[rng.IntN(len(answerSizes))], departsAt: rng.Float64(), work: rng.IntN(maxWork), rng: rng}
	u.departs = []departure{stays, stays, resets, resets, closes, stalls}[rng.IntN(6)]
	if rng.IntN(3) == 0 { // about when the answer begins
		u.departsAt = float64(u.size) / float64(u.size+u.answerSize)
	}
	return u
}

// outcome is how an upload ended.
type outcome int

const (
	answered outcome = iota
	refused
	left
	cutOff
	wrong // the answer is another than the one that belongs to the request
)

// play sends the upload to a node and reads the answer, unless the client leaves before.
func (u *upload) play(ctx context.Context, address string) outcome {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return cutOff
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(clientTimeout))
	head := fmt.Sprintf("POST /tests/steel HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s: %d\r\n%s: %d\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n", hostname, attemptHeader, u.id, requestDeadline.Milliseconds(), apiKey, answerBytesHeader, u.answerSize,
		workHeader, u.work, u.size)
	message := append([]byte(head), bytes.Repeat([]byte("x"), u.size)...)
	leaveAfter := int(u.departsAt * float64(u.size+u.answerSize))
	for sent := 0; sent < len(message); {
		n := min(uploadChunk, len(message)-sent)
		if _, err := c.Write(message[sent : sent+n]); err != nil {
			break // the node may have answered already
		}
		if sent += n; sent >= leaveAfter && sent-n < leaveAfter && u.departure(ctx, c) {
			return left
		}
	}
	return u.readAnswer(ctx, c, leaveAfter-u.size)
}

// departure does what the client does when it departs. It returns true if the client has left.
func (u *upload) departure(ctx context.Context, c net.Conn) bool {
	switch u.departs {
	case resets:
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return true
	case closes:
		c.Close()
		return true
	case stalls:
		pause(ctx, time.Duration(u.rng.Int64N(int64(maxClientStall))))
	}
	return false
}

// readAnswer reads the answer. The client departs after leaveAfter bytes of the body.
func (u *upload) readAnswer(ctx context.Context, c net.Conn, leaveAfter int) outcome {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return cutOff
	}
	if leaveAfter >= 0 {
		io.CopyN(io.Discard, answer.Body, int64(min(leaveAfter, u.answerSize)))
		if u.departure(ctx, c) {
			return left
		}
	}
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return cutOff
	case answer.StatusCode != http.StatusOK:
		return refused
	case leaveAfter < 0 && !bytes.Equal(body, answerBody(u.id, u.answerSize)):
		return wrong
	case leaveAfter >= 0 && !bytes.HasSuffix(answerBody(u.id, u.answerSize), body):
		return wrong
	}
	return answered
}

// bid sends small requests on kept connections, one after the other. count is called with each, and whether it was lost.
func bid(ctx context.Context, address, name string, count func(sent, lost int64)) {
	for i := 0; ctx.Err() == nil; i++ {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			continue
		}
		bidOnConnection(ctx, c, fmt.Sprintf("%s-%d", name, i), count)
		c.Close()
	}
}

// bidOnConnection sends bids until the node closes the connection after an answer, or the context ends.
func bidOnConnection(ctx context.Context, c net.Conn, name string, count func(sent, lost int64)) {
	in := bufio.NewReader(c)
	for i := 0; ctx.Err() == nil; i++ {
		c.SetDeadline(time.Now().Add(clientTimeout))
		id := fmt.Sprintf("%s-%d", name, i)
		fmt.Fprintf(c, "POST /bids/4711 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s: 300\r\nContent-Length: 0\r\n\r\n",
			hostname, attemptHeader, id, requestDeadline.Milliseconds(), apiKey, answerBytesHeader)
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			count(1, 1)
			return
		}
		io.Copy(io.Discard, answer.Body)
		count(1, 0)
		if answer.Close {
			return
		}
		pause(ctx, 20*time.Millisecond)
	}
}
