package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/lab/spec"
)

// fleet builds the front door and starts two of them before four backends in two zones.
func fleet(t *testing.T) (*Fleet, *Clients) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "clovergap")
	if out, err := exec.Command("go", "build", "-o", path, "clovergap/cmd/clovergap").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	s := spec.Default()
	s.Nodes.Count, s.Backends.Count = 2, 4
	for i := range s.Products { // whatever the machine, nothing is to time out but what is spoilt
		s.Products[i].Work, s.Products[i].SLA, s.Products[i].Expiry = spec.Span(2*time.Millisecond), spec.Span(4*time.Second), spec.Span(8*time.Second)
	}
	s.Plans = []spec.Plan{{Name: "all", Share: 1, Rate: 1e5, Burst: 1e5, Price: 1, Width: 1}}
	f, err := Start(&s, path, 1, 192, 1024)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	c := NewClients(f, 64)
	c.Rate = func() float64 { return 400 }
	return f, c
}

// Whatever backends do wrong on the wire, each request ends, none with another's answer, and no front door ends.
func TestWireFaults(t *testing.T) {
	f, c := fleet(t)
	last := Outcome{}
	for _, m := range []Mode{{}, {Fail: 0.3}, {Full: 0.5}, {ResetIn: 0.3}, {Half: 0.3}, {Stall: 0.2}, {Spoilt: 0.3},
		{Delay: 20 * time.Millisecond, Slow: 3}} {
		for _, b := range f.Backends[:2] {
			b.Set(m)
		}
		c.Open(context.Background(), 400*time.Millisecond)
		now := c.Outcomes()[""]
		if now.Requests == last.Requests || now.Settled == last.Settled {
			t.Errorf("%+v: nothing settled: %+v", m, now)
		}
		if now.Failed > last.Failed || now.Wrong > 0 {
			t.Errorf("%+v: %d without an answer, %d with a wrong one", m, now.Failed-last.Failed, now.Wrong)
		}
		last = now
	}
	for i, b := range f.Backends {
		if b.Twice() > 0 {
			t.Errorf("backend %d ran a once-only request twice", i)
		}
	}
	if who := f.Crashed(); len(who) > 0 {
		t.Errorf("front doors %v ended", who)
	}
}

// A zone that is lost and returns, and a front door that is killed and returns: all that is asked later is served.
func TestLossAndReturn(t *testing.T) {
	f, c := fleet(t)
	f.Lose("b", 50*time.Millisecond)
	c.Open(context.Background(), 500*time.Millisecond)
	f.Heal()
	if err := f.Bounce(f.Nodes[1], 50*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	after := NewClients(f, 64)
	after.Rate = c.Rate
	after.Open(context.Background(), 500*time.Millisecond)
	o := after.Outcomes()[""]
	if o.Settled < o.Requests*9/10 || o.Failed > 0 || f.Ready() != 4 || !f.Nodes[1].Up() {
		t.Errorf("after the return: %+v", o)
	}
	if n := f.Nodes[0].Counters(10 * time.Second)["txns taken"]; n == 0 {
		t.Error("no counters told")
	}
	if cpu, err := f.Nodes[0].CPU(); err != nil || cpu < 0 || f.Nodes[0].Memory() <= 0 {
		t.Errorf("%v %v", cpu, err)
	}
}

// Datagrams pass between front doors by the relay, at the addresses they expect; cut off, both still serve.
func TestRelay(t *testing.T) {
	f, c := fleet(t)
	c.Open(context.Background(), 300*time.Millisecond)
	moved := f.Relay.Count()
	taken := f.Nodes[0].Counters(10 * time.Second)["datagrams taken"] + f.Nodes[1].Counters(10 * time.Second)["datagrams taken"]
	if moved == 0 || taken == 0 {
		t.Fatalf("%d datagrams moved, %d taken", moved, taken)
	}
	f.Relay.Block(0, 1, true)
	time.Sleep(50 * time.Millisecond)
	moved = f.Relay.Count()
	c.Open(context.Background(), 500*time.Millisecond)
	if f.Relay.Count() != moved {
		t.Error("datagrams between front doors that are apart")
	}
	f.Relay.Block(0, 1, false)
	f.Relay.Lossy(0.5, 20*time.Millisecond)
	c.Open(context.Background(), 500*time.Millisecond)
	if o := c.Outcomes()[""]; f.Relay.Count() == moved || o.Failed > 0 || o.Wrong > 0 || o.Settled < o.Requests/2 {
		t.Errorf("%d datagrams, %+v", f.Relay.Count()-moved, o)
	}
}

// The counter by its protocol: totals, lives, what is wrong, and what it does wrong.
func TestCounter(t *testing.T) {
	c, err := NewCounter(1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	now := time.Now()
	c.now = func() time.Time { return now }
	x, err := net.Dial("tcp4", c.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	x.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(x)
	say := func(line, want string) {
		t.Helper()
		fmt.Fprintf(x, "%s\r\n", line)
		if got, err := in.ReadString('\n'); err != nil || got != want+"\r\n" {
			t.Errorf("%s: %q, not %q: %v", line, got, want, err)
		}
	}
	say("ping", "pong")
	say("add a 2.5 1000", "ok 2.5")
	say("add a -1 1000", "ok 1.5")
	for _, bad := range []string{"add a x 1000", "add a 1 0", "add a 1", "add  1 5", "take a 1 5", "add a 2e9 5", "add a NaN 5"} {
		say(bad, "error")
	}
	now = now.Add(time.Second)
	say("add a 1 1000", "ok 1")
	c.Set(sharedcounter.Mode{Busy: 1})
	say("add a 1 1000", "busy")
	c.Set(sharedcounter.Mode{Malformed: 1})
	say("add a 1 1000", "ok ")
	c.Set(sharedcounter.Mode{})
	say("add a 0 1000", "ok 2")
	c.Replace()
	say("add a 1 1000", "ok 1")
	c.Set(sharedcounter.Mode{Down: true})
	if _, err := in.ReadByte(); err == nil {
		t.Error("a counter that is down still talks")
	}
}
