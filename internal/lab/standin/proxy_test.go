package standin

import (
	"io"
	"net"
	"testing"
	"time"
)

// A way that is cut in one direction lets the other through; new connections need both, and are reset once it heals.
func TestOneWayCut(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	heard := make(chan string, 10)
	go func() {
		for {
			c, closed := l.Accept()
			if closed != nil {
				return
			}
			go func() {
				defer c.Close()
				for b := make([]byte, 8); ; {
					n, closed := c.Read(b)
					if closed != nil {
						return
					}
					heard <- string(b[:n])
					io.WriteString(c, "back")
				}
			}()
		}
	}()
	w := newWay()
	p, err := newProxy(l.Addr().String(), w, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := dial()
	defer c.Close()
	say := func(text string, within time.Duration) string {
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(within))
		b := make([]byte, 8)
		n, _ := c.Read(b)
		return string(b[:n])
	}
	if got := say("one", 10*time.Second); got != "back" || <-heard != "one" {
		t.Fatalf("calm: %q", got)
	}
	heal := w.Bring(LinkFault{Blocked: true, Only: In})
	if got := say("two", 100*time.Millisecond); got != "" || <-heard != "two" {
		t.Errorf("cut in: heard back %q", got)
	}
	other := dial()
	defer other.Close()
	heal()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, 8)
	if n, err := c.Read(b); err != nil || string(b[:n]) != "back" {
		t.Errorf("healed: %v %q", err, b[:n])
	}
	other.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := other.Read(b); err == nil {
		t.Error("a connection that came up during a cut")
	}
	defer w.Bring(LinkFault{Blocked: true, Only: Out})()
	if got := say("three", 100*time.Millisecond); got != "" || len(heard) != 0 {
		t.Errorf("cut out: %q, %d heard", got, len(heard))
	}
}
