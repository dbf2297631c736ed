package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"clovergap/internal/lab/sharedcounter"
)

// Counter keeps numbers by name, as the platform's does: lines of text, answers in the order of the calls on a connection.
type Counter struct {
	Addr     string
	listener net.Listener
	mu       sync.Mutex
	core     *sharedcounter.Counter
	conn     map[net.Conn]bool
	now      func() time.Time
	born     time.Time
	over     layers[sharedcounter.Mode]
}

// What the counter holds to.
const (
	counterConns = 32
	counterIdle  = 10 * time.Second
)

// NewCounter listens on loopback.
func NewCounter(seed uint64) (*Counter, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: l.Addr().String(), listener: l, core: sharedcounter.New(rand.New(rand.NewPCG(seed, 19))), conn: map[net.Conn]bool{},
		now: time.Now, born: time.Now()}
	go func() {
		for {
			x, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			full := len(c.conn) >= counterConns || c.core.Mode.Down
			if !full {
				c.conn[x] = true
			}
			c.mu.Unlock()
			if full {
				reset(x)
				continue
			}
			go c.serve(x)
		}
	}()
	return c, nil
}

// Set changes what it does wrong.
func (c *Counter) Set(m sharedcounter.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Mode = m
	if m.Down {
		for x := range c.conn {
			reset(x)
		}
	}
}

// Bring begins a trouble beside those under way, and gives what ends it.
func (c *Counter) Bring(change func(*sharedcounter.Mode)) (end func()) {
	c.mu.Lock()
	id := c.over.bring(change)
	m := c.over.sum()
	c.mu.Unlock()
	c.Set(m)
	return func() {
		c.mu.Lock()
		c.over.end(id)
		m := c.over.sum()
		c.mu.Unlock()
		c.Set(m)
	}
}

// Replace puts a fresh one in its place, which starts empty.
func (c *Counter) Replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Replace()
}

// Close ends it.
func (c *Counter) Close() {
	c.listener.Close()
	c.Set(sharedcounter.Mode{Down: true})
}

func (c *Counter) serve(x net.Conn) {
	defer func() {
		x.Close()
		c.mu.Lock()
		delete(c.conn, x)
		c.mu.Unlock()
	}()
	in := bufio.NewReaderSize(x, 512)
	for {
		x.SetReadDeadline(time.Now().Add(counterIdle))
		line, err := in.ReadSlice('\n')
		if err != nil || !strings.HasSuffix(string(line), "\r\n") {
			return
		}
		answer, late := c.call(strings.TrimSuffix(string(line), "\r\n"))
		if late > 0 {
			time.Sleep(late)
		}
		if answer == "" {
			continue
		}
		if _, err := fmt.Fprintf(x, "%s\r\n", answer); err != nil {
			return
		}
	}
}

// call does one line; no answer is none at all.
func (c *Counter) call(line string) (answer string, late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Handle(c.now().Sub(c.born), line), c.core.Mode.Delay
}
