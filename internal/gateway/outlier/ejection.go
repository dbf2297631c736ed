package outlier

// Step is the stage of an ejection's recovery. The zero value is Ejected.
type Step uint8

// A strict ejection recovers from Ejected through ReadsOnly and LimitedWrites to InService. A patient ejection recovers from Ejected through
// ReadsOnly to InService.
const (
	Ejected Step = iota
	ReadsOnly
	LimitedWrites
	InService
)

var stepNames = [...]string{"out", "reads", "writes", "free"}

// String returns the step's name in histories.
func (s Step) String() string { return stepNames[s] }

// next returns the step that follows in the given mode. InService is the last step.
func (s Step) next(m Mode) Step {
	if s == ReadsOnly && m == Patient {
		return InService
	}
	return min(s+1, InService)
}

// Ejection is the record of a key that was ejected at least once. It stays after the backend is back in service.
type Ejection struct {
	Key
	Service string
	Step    Step
	// The revision of the last change of the ejection. Each change raises it.
	Rev uint64
	// The number of ejections after the first one.
	Repeats int
	// The node on whose evidence alone the key is ejected. NoSlot if there are several such nodes or the backend is back in service.
	SoleWitness Slot
	// The failure rate at the last ejection, in thousandths.
	Score  int
	Reason string
}

// access returns the access that an ejection allows for requests of its mode.
func (e *Ejection) access() Access {
	switch {
	case e.Step == InService:
		return Open
	case e.Step == LimitedWrites || e.Step == ReadsOnly && e.Mode == Patient:
		return Limited
	}
	return Closed
}

// HistoryEntry records the effect of one log entry.
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
	// The number of refutations that counted against the witness at the time of its last refutation. Each refuted ejection rested on the evidence
	// of this witness alone, and no other node confirmed the evidence.
	Refuted int
	// The state's revision at the last refutation.
	Rev uint64
}
