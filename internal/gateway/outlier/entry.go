package outlier

import (
	"clovergap/internal/gateway/logentry"
)

// Verb is the operation of an entry.
type Verb string

// The verbs. Operators use SetSettings and Clear, the coordinator uses the others. The values are stored and are part of the operators' API.
const (
	// Replaces the settings of this package.
	SetSettings Verb = "set"
	// Takes an instance out of service. The instance may have been ejected before.
	Eject Verb = "convict"
	// Advances the recovery of an ejected instance by one step, but not to the step InService.
	StepUp Verb = "parole"
	// Takes the last recovery step, which puts the instance back into service.
	Readmit Verb = "acquit"
	// Puts the instance back into service at once and invalidates all earlier evidence.
	Clear Verb = "clear"
	// Removes the ejections of instances that are gone.
	Forget Verb = "forget"
)

// Entry is an operator's command or a coordinator's decision in the replicated log. An entry is rejected if its Revision is not the current one.
// Of two concurrent entries only one is therefore accepted, and a delayed entry cannot change a newer revision.
type Entry struct {
	Verb Verb
	// The ID of an operator's call. An entry whose CallID was applied before is not applied again (routing.Duplicate). Empty: no such check.
	CallID string
	// The operator that made the entry, or coordinatorName. It is shown in the history.
	Author string
	// The time in milliseconds since 1970, used in the history only.
	UnixMilli int64
	Reason    string
	// The revision of the key's ejection when the entry was made. 0 if there was no ejection. SetSettings: the revision of the settings when the
	// entry was made. Forget: unused.
	Revision uint64
	// The fencing token of the coordinator, at least 1. It is 0 for an operator's entry.
	FencingToken uint64

	Key     Key
	Service string
	// Eject: the nodes with evidence, at most maxNamedWitnesses. Nodes whose evidence suffices alone come first.
	Witnesses []Slot
	// Eject: the number of witnesses at the start of Witnesses whose evidence suffices alone.
	Sufficient int
	// Eject: the number of the service's ready backends.
	ReadyBackends int
	// Eject: the failure rate of the key over all nodes, in thousandths.
	Score int
	// Forget: the instances that are gone.
	GoneInstances []InstanceID
	// SetSettings: the new settings.
	Settings *Settings
}

// Encode returns the entry in the encoding of the log.
func (e *Entry) Encode() []byte { return logentry.Encode(e) }

// DecodeEntry decodes an entry that Encode encoded.
func DecodeEntry(b []byte) (*Entry, error) {
	e := new(Entry)
	return e, logentry.Decode(b, e, "decode outlier entry")
}
