package outlier

// Step is the recovery step of an ejection. The zero value is Ejected.
type Step uint8

// The recovery steps, in order. An ejection in the mode Strict takes all steps. Its step ReadsOnly permits no strict requests, and clean answers
// to the instance's patient requests advance the recovery. An ejection in the mode Patient leaves out the step LimitedWrites. Its step ReadsOnly
// permits patient requests with Limited access.
const (
	Ejected Step = iota
	ReadsOnly
	LimitedWrites
	InService
)

var stepNames = [...]string{"out", "reads", "writes", "free"}

// String returns the step's name as the history and error messages show it.
func (s Step) String() string { return stepNames[s] }

// next returns the step that follows in the given mode. InService is the last step.
func (s Step) next(m Mode) Step {
	if s == ReadsOnly && m == Patient {
		return InService
	}
	return min(s+1, InService)
}

// Ejection is the record of a key that was ejected at least once. The record is kept when the backend is back in service.
type Ejection struct {
	Key
	Service string
	Step    Step
	// The state's revision at the last change of the ejection.
	Rev uint64
	// The number of times that the key was ejected again after the first ejection, at most maxRepeats. Clear sets it to 0.
	Repeats int
	// The node on whose evidence alone the key is ejected. NoSlot if the ejection rests on several nodes or the backend is back in service.
	SoleWitness Slot
	// The failure rate at the last ejection, in thousandths.
	Score  int
	Reason string
}

// allowedAccess returns the access that an ejection allows for requests of its mode.
func (e *Ejection) allowedAccess() Access {
	switch {
	case e.Step == InService:
		return Open
	case e.Step == LimitedWrites || e.Step == ReadsOnly && e.Mode == Patient:
		return Limited
	}
	return Closed
}

// HistoryEntry records one applied log entry. Step is the recovery step after the entry.
type HistoryEntry struct {
	Verb      Verb
	Key       Key
	Step      Step
	Author    string
	UnixMilli int64
	Reason    string
	Witnesses []Slot
}

// Trust records the refutations of a witness.
type Trust struct {
	Witness Slot
	// The number of refutations that counted against the witness immediately after its last refutation.
	Refuted int
	// The state's revision at the last refutation.
	Rev uint64
}
