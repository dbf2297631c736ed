package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Script is a stand-in that does nothing by itself: it hands over each request as it arrives, and the test answers as it
// likes, byte by byte if need be. It plays a backend or discovery's agent, whatever must answer call by call.
type Script struct {
	Listener net.Listener
	Came     chan *Call
}

// Call is a request that has arrived whole.
type Call struct {
	Head, Body string
	Conn       net.Conn
}

// CallTimeout bounds every wait for a call; nothing depends on how long anything takes within it.
const CallTimeout = 20 * time.Second

// NewScript listens on a loopback address that a dial gone astray, to 0.0.0.0, would not reach.
func NewScript() (*Script, error) {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return nil, err
	}
	s := &Script{Listener: l, Came: make(chan *Call, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					head, body, err := ReadMessage(r)
					if err != nil {
						return
					}
					s.Came <- &Call{head, body, c}
				}
			}()
		}
	}()
	return s, nil
}

// Addr is where it listens; Close ends that.
func (s *Script) Addr() string { return s.Listener.Addr().String() }

// Close takes no more connections.
func (s *Script) Close() { s.Listener.Close() }

// Next waits for a request.
func (s *Script) Next() *Call {
	select {
	case x := <-s.Came:
		return x
	case <-time.After(CallTimeout):
		return &Call{Head: "no request came\r\n"}
	}
}

// Target is the call's method and target.
func (c *Call) Target() string {
	line, _, _ := strings.Cut(c.Head, "\r\n")
	return strings.TrimSuffix(line, " HTTP/1.1")
}

// Answer writes a text as it is.
func (c *Call) Answer(text string) { io.WriteString(c.Conn, text) }

// List answers as discovery's agent does, with targets in its form.
func (c *Call) List(rev int, all bool, targets ...map[string]any) {
	if targets == nil {
		targets = []map[string]any{}
	}
	b, _ := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets})
	c.Answer(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b))
}

// Listed is a line of the list.
func Listed(uid, addr, zone, state string) map[string]any {
	return map[string]any{"uid": uid, "endpoint": addr, "az": zone, "model": "m", "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": 0}
}

// Served is a backend's answer that settles, with a load report.
func Served(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nSrv-Load: concurrent=1,mean_ms=3\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// ReadMessage reads one message with a Content-Length or none.
func ReadMessage(r *bufio.Reader) (head, body string, err error) {
	length := 0
	for {
		var line string
		if line, err = r.ReadString('\n'); err != nil {
			return head, "", err
		}
		if line == "\r\n" {
			break
		}
		head += line
		if name, value, _ := strings.Cut(line, ": "); name == "Content-Length" {
			fmt.Sscan(value, &length)
		}
	}
	b := make([]byte, length)
	_, err = io.ReadFull(r, b)
	return head, string(b), err
}
