package outlier

import (
	"clovergap/internal/gateway/logentry"
)

// Verb is what an entry does.
type Verb string

// SetSettings and Clear are operators', the others the coordinator's. The texts are stored, and those of operators' calls.
const (
	SetSettings Verb = "set"     // of this package
	Eject       Verb = "convict" // out of service, or out again
	StepUp      Verb = "parole"  // one step back into service
	Readmit     Verb = "acquit"  // the last step
	Clear       Verb = "clear"   // in service at once, and what was seen before says nothing
	Forget      Verb = "forget"  // instances that are gone
)

// Entry is an operator's command or the coordinator's verdict, as the replicated log has it. Revision names what it builds on: of two at once one
// wins, and a late one hits nothing newer.
type Entry struct {
	Verb         Verb
	CallID       string // operators: the same call again is answered as the first was
	Author       string // for the history
	UnixMilli    int64  // milliseconds since 1970, for the history alone
	Reason       string
	Revision     uint64 // of the ejection, 0 if there is none; SetSettings: of the settings
	FencingToken uint64 // the coordinator: 1 or more. 0: an operator

	Key           Key
	Service       string
	Witnesses     []Slot // Eject: those whose evidence alone would do come first
	Sufficient    int    // Eject: so many they are
	ReadyBackends int    // Eject: of the service
	Score         int    // Eject: failure rate, in 1/1000
	GoneInstances []InstanceID
	Settings      *Settings
}

// Encode gives an entry's form in the log.
func (e *Entry) Encode() []byte { return logentry.Encode(e) }

// DecodeEntry reads what Encode wrote.
func DecodeEntry(b []byte) (*Entry, error) {
	e := new(Entry)
	return e, logentry.Decode(b, e, "entry of outlier")
}
