//go:build debug

package failpoint

import (
	"io"
	"strings"
	"testing"
	"time"
)

// An order hits its place at its count, once; orders that are wrong are told and change nothing.
func TestOrders(t *testing.T) {
	did, said := 0, make(chan string, 10)
	actions["stop"] = func() { did++ }
	writeLine = func(line []byte) { said <- string(line) }
	in, out := io.Pipe()
	Listen(in)
	for _, bad := range []string{"", "stop", "stop nowhere", "halt gate.before-submit", "stop gate.before-submit 0", "stop gate.before-submit 1 2"} {
		io.WriteString(out, bad+"\n")
		if line := <-said; !strings.Contains(line, "error") {
			t.Errorf("%q: %s", bad, line)
		}
	}
	At(BeforeSubmit)
	io.WriteString(out, "stop gate.before-submit 3\nwrong\n")
	<-said // the wrong one after it: the order has been taken
	for i := 1; i <= 5; i++ {
		At(BeforeSubmit)
		At(AfterSubmit)
		if want := i / 3; i <= 3 && did != want {
			t.Errorf("after %d: did it %d times", i, did)
		}
	}
	if line := <-said; did != 1 || !strings.Contains(line, `"point":"gate.before-submit","does":"stop"`) {
		t.Errorf("did %d, said %s", did, line)
	}
	for _, order := range []string{"cut 127.1.2.3\n", "mend 127.1.2.4\n", "mend 127.1.2.3\n"} {
		io.WriteString(out, order+"wrong\n")
		<-said // the wrong one after it
		if cut := order != "mend 127.1.2.3\n"; Partitioned("127.1.2.3:70") != cut || Partitioned("127.1.2.3") != cut || Partitioned("127.1.2.4") {
			t.Errorf("after %q: %v", order, Partitioned("127.1.2.3"))
		}
	}
	for _, order := range []string{"dark 127.1.2.3\n", "mend 127.1.2.3\n", "light 127.1.2.3\n"} {
		io.WriteString(out, order+"wrong\n")
		<-said
		if off := order != "light 127.1.2.3\n"; PoweredOff("127.1.2.3:70") != off || Partitioned("127.1.2.3") != off || PoweredOff("127.1.2.4") {
			t.Errorf("after %q: %v", order, PoweredOff("127.1.2.3"))
		}
	}
}

// A connection that was open in an interruption resumes at the first repetition after it, a new one at once. An interruption that begins before the
// repetition of the one before goes on with it.
func TestInterruptions(t *testing.T) {
	const host = "127.1.2.5"
	t.Cleanup(func() { delete(unacknowledged, host) })
	begun := time.Now()
	if at := ResumesAt(host+":70", begun); !at.IsZero() {
		t.Errorf("without an interruption: %s", at)
	}
	order := func(line string) {
		if err := apply(line + " " + host); err != nil {
			t.Fatal(err)
		}
	}
	order("unacked")
	first := unacknowledged[host].begin
	if at := ResumesAt(host+":70", begun); !at.IsZero() {
		t.Errorf("in an interruption: %s", at)
	}
	order("acked")
	if at, want := ResumesAt(host+":70", begun), first.Add(RetransmitDelay); !at.Equal(want) {
		t.Errorf("resumes at %s, want %s", at, want)
	}
	if at := ResumesAt(host, time.Now()); !at.IsZero() {
		t.Errorf("a new connection: %s", at)
	}
	order("unacked")
	if last := unacknowledged[host]; !last.begin.Equal(first) || !last.end.IsZero() {
		t.Errorf("the second interruption is %v, want one since %s", last, first)
	}
	order("acked")
}

// A segment is repeated after 200 ms, and each further time after twice as long.
func TestNextRetransmission(t *testing.T) {
	for after, want := range map[time.Duration]time.Duration{0: 200, 199: 200, 200: 600, 600: 1400, 15_000: 25_400} {
		if got := NextRetransmission(0, after*time.Millisecond); got != want*time.Millisecond {
			t.Errorf("after %d ms: %s, want %d ms", after, got, want)
		}
	}
}
