package standin

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CounterMode is what the counter does wrong.
type CounterMode struct {
	Down   bool          // refuses connections and resets those it has
	Busy   float64       // share of the calls turned away
	Spoilt float64       // share of the answers without a number; the amount was added
	Mute   float64       // share never answered; the amount was added
	Late   time.Duration // before each answer
}

// Counter keeps numbers by name, as the platform's does: lines of text, answers in the order of the calls on a connection.
type Counter struct {
	Addr string
	l    net.Listener
	mu   sync.Mutex
	rng  *rand.Rand
	mode CounterMode
	all  map[string]*number
	conn map[net.Conn]bool
	now  func() time.Time
}

type number struct {
	total float64
	until time.Time
}

// What the counter holds to.
const (
	counterConns   = 32
	counterIdle    = 10 * time.Second
	counterLife    = 60 * time.Second
	counterMost    = 1e9
	counterNameMax = 64
)

// NewCounter listens on loopback.
func NewCounter(seed uint64) (*Counter, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{Addr: l.Addr().String(), l: l, rng: rand.New(rand.NewPCG(seed, 19)), all: map[string]*number{}, conn: map[net.Conn]bool{}, now: time.Now}
	go func() {
		for {
			x, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			full := len(c.conn) >= counterConns || c.mode.Down
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
func (c *Counter) Set(m CounterMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
	if m.Down {
		for x := range c.conn {
			reset(x)
		}
	}
}

// Replace puts a fresh one in its place, which starts empty.
func (c *Counter) Replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.all)
}

// Close ends it.
func (c *Counter) Close() {
	c.l.Close()
	c.Set(CounterMode{Down: true})
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
	late = c.mode.Late
	if line == "ping" {
		return "pong", late
	}
	f := strings.Split(line, " ")
	if len(f) != 4 || f[0] != "add" || f[1] == "" || len(f[1]) > counterNameMax {
		return "error", late
	}
	amount, err := strconv.ParseFloat(f[2], 64)
	life, err2 := strconv.ParseInt(f[3], 10, 64)
	if err != nil || err2 != nil || life < 1 || math.IsNaN(amount) || math.Abs(amount) > counterMost {
		return "error", late
	}
	if c.rng.Float64() < c.mode.Busy {
		return "busy", late
	}
	now := c.now()
	n := c.all[f[1]]
	if n == nil || !now.Before(n.until) {
		n = &number{until: now.Add(min(time.Duration(min(life, 60_000))*time.Millisecond, counterLife))}
		c.all[f[1]] = n
		if len(c.all) > 1<<16 { // names live a minute at most
			for name, x := range c.all {
				if !now.Before(x.until) {
					delete(c.all, name)
				}
			}
		}
	}
	n.total += amount
	switch u := c.rng.Float64(); {
	case u < c.mode.Mute:
		return "", late
	case u < c.mode.Mute+c.mode.Spoilt:
		return "ok ", late
	}
	return "ok " + strconv.FormatFloat(n.total, 'g', 7, 64), late
}
