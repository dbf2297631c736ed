package outlier

// Step is where an ejection is on its way back into service.
type Step uint8

// A strict ejection goes from Ejected by ReadsOnly and LimitedWrites to InService, a patient one from Ejected by ReadsOnly.
const (
	Ejected Step = iota
	ReadsOnly
	LimitedWrites
	InService
)

var stepNames = [...]string{"out", "reads", "writes", "free"}

// String gives the step's name in histories.
func (s Step) String() string { return stepNames[s] }

// next is the step after, by mode.
func (s Step) next(m Mode) Step {
	if s == ReadsOnly && m == Patient {
		return InService
	}
	return min(s+1, InService)
}

// Ejection is what became of a key that was ever ejected.
type Ejection struct {
	Key
	Service     string
	Step        Step
	Rev         uint64 // revision: rises with each change of it
	Repeats     int    // ejections but the first
	SoleWitness Slot   // the one node on whose evidence it is ejected; NoSlot: on more, or it is in service
	Score       int    // failure rate at its last ejection, in 1/1000
	Reason      string
}

// access is what an ejection leaves for requests of its own mode.
func (e *Ejection) access() Access {
	switch {
	case e.Step == InService:
		return Open
	case e.Step == LimitedWrites || e.Step == ReadsOnly && e.Mode == Patient:
		return Limited
	}
	return Closed
}

// HistoryEntry is what one entry did.
type HistoryEntry struct {
	Verb      Verb
	Key       Key
	Step      Step
	Author    string
	UnixMilli int64
	Reason    string
	Witnesses []Slot
}

// Trust is what is held against a witness.
type Trust struct {
	Witness Slot
	Refuted int    // ejections on its evidence alone that no other node bore out
	Rev     uint64 // the state's revision at the last of them
}
