// Package sharedcounter is the counter that a site may share among its front doors: numbers by name that live for a while. It
// is free of I/O; the emulator and the stand-in on sockets play it, with the same faults.
package sharedcounter

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Mode is what the counter does wrong. The nought value does nothing wrong.
type Mode struct {
	Down       bool          // it can't be reached
	Busy       float64       // share of the calls turned away
	Malformed  float64       // share of the answers without a number; the amount was added
	Unanswered float64       // share never answered; the amount was added
	Delay      time.Duration // before each answer
}

// What the protocol holds a counter to.
const (
	MaxTTL       = 60 * time.Second // longest, of a name
	MaxIncrement = 1e9
	MaxNameBytes = 64
	maxNames     = 1 << 16
)

type number struct {
	total float64
	until time.Duration
}

// Counter keeps the numbers.
type Counter struct {
	Mode Mode
	rng  *rand.Rand
	all  map[string]*number
}

// New makes an empty one that draws its faults from a source.
func New(rng *rand.Rand) *Counter { return &Counter{rng: rng, all: map[string]*number{}} }

// Replace puts a fresh one in its place, which starts empty.
func (c *Counter) Replace() { clear(c.all) }

// Handle does one line of the protocol; no answer is none at all.
func (c *Counter) Handle(now time.Duration, line string) (answer string) {
	if line == "ping" {
		return "pong"
	}
	f := strings.Split(line, " ")
	if len(f) != 4 || f[0] != "add" || f[1] == "" || len(f[1]) > MaxNameBytes {
		return "error"
	}
	amount, err := strconv.ParseFloat(f[2], 64)
	life, err2 := strconv.ParseInt(f[3], 10, 64)
	if err != nil || err2 != nil || life < 1 || math.IsNaN(amount) || math.Abs(amount) > MaxIncrement {
		return "error"
	}
	total, how := c.Add(now, f[1], amount, time.Duration(min(life, int64(MaxTTL/time.Millisecond)))*time.Millisecond)
	switch how {
	case Busy:
		return "busy"
	case Unanswered:
		return ""
	case Malformed:
		return "ok "
	}
	return "ok " + strconv.FormatFloat(total, 'g', 7, 64)
}

// Answer is how a call ended.
type Answer int

// The answers.
const (
	Added      Answer = iota
	Busy              // turned away, nothing added
	Malformed         // added, without a total
	Unanswered        // added, and never answered
)

// Add adds to a number, which begins at nought with its life.
func (c *Counter) Add(now time.Duration, name string, amount float64, life time.Duration) (float64, Answer) {
	if c.rng.Float64() < c.Mode.Busy {
		return 0, Busy
	}
	n := c.all[name]
	if n == nil || now >= n.until {
		n = &number{until: now + min(life, MaxTTL)}
		c.all[name] = n
		if len(c.all) > maxNames { // names live a minute at most
			for name, x := range c.all {
				if now >= x.until {
					delete(c.all, name)
				}
			}
		}
	}
	n.total += amount
	switch u := c.rng.Float64(); {
	case u < c.Mode.Unanswered:
		return 0, Unanswered
	case u < c.Mode.Unanswered+c.Mode.Malformed:
		return 0, Malformed
	}
	return n.total, Added
}
