//go:build debug

package failpoint

import (
	"io"
	"strings"
	"testing"
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
