// Package failpoint names places in the code where a debug build can be told, over its own stdin, to stand still or to
// end, so that a test hits the worst moment on purpose and not by luck; and which other processes it can't reach. A
// release build has none of it.
package failpoint

// Name is a place.
type Name string

// The places. A name says what comes next there.
const (
	BeforeSubmit         Name = "gate.before-submit" // decided on, not handed to the network
	AfterSubmit          Name = "gate.after-submit"  // handed over, its answer is still to come
	BeforeAnswer         Name = "gate.before-answer" // the final answer is decided on
	BeforeSendDatagram   Name = "peers.before-tell"  // a datagram is made
	AfterReceiveDatagram Name = "peers.after-hear"   // one was read, the module has not heard of it
	BeforeList           Name = "serve.before-list"  // news of the backends has come, nobody goes by it
	BeforeReload         Name = "serve.before-reload"
	BeforeReady          Name = "serve.before-ready" // built, not serving
	BeforeAct            Name = "lease.before-act"   // a grant was found good, its step is not done
	AfterAct             Name = "lease.after-act"    // the step is done, nobody knows
)

// All lists them.
var All = []Name{BeforeSubmit, AfterSubmit, BeforeAnswer, BeforeSendDatagram, AfterReceiveDatagram, BeforeList, BeforeReload, BeforeReady, BeforeAct, AfterAct}

// Known tells whether there is such a place.
func Known(n Name) bool {
	for _, x := range All {
		if x == n {
			return true
		}
	}
	return false
}

// Reached is the line that a process writes to its log when it does as it was told; the rig reads it there.
type Reached struct {
	Point  Name   `json:"point"`
	Action string `json:"does"` // stop or exit
}
