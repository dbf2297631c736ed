package outlier

import (
	"time"
)

// Bounds of what a node stores and reports of a key.
const (
	// The number of slots of a sliding window, and the duration of one slot and of the window.
	windowSlots    = 20
	slotDuration   = 500 * time.Millisecond
	windowDuration = windowSlots * slotDuration
	// The maximum number of slots in one observation.
	maxReportedSlots = 12
	// The age above which evidence has expired.
	evidenceTTL = 60 * time.Second
	// The maximum number of items of evidence on a key, and in one observation. The newest items are kept.
	maxEvidence = 8
)

// Window counts the attempts that ended within a period, which is windowDuration or one slot of it.
type Window struct {
	// The number of clean answers.
	Clean uint32
	// The number of failures. Evidence with the weight Ignored or Partial is not counted here (evidenceWeights).
	Failing uint32
	// The sum of the latencies of the clean answers, in milliseconds.
	LatencyMillis uint32
}

// add adds the counts of another window.
func (w *Window) add(other Window) {
	w.Clean += other.Clean
	w.Failing += other.Failing
	w.LatencyMillis += other.LatencyMillis
}

// minus returns the difference of the counts of two windows. A negative difference is replaced by 0.
func (w Window) minus(other Window) Window {
	return Window{w.Clean - min(other.Clean, w.Clean), w.Failing - min(other.Failing, w.Failing), w.LatencyMillis - min(other.LatencyMillis, w.LatencyMillis)}
}

// attemptCount returns the number of clean answers and failures.
func (w Window) attemptCount() uint32 { return w.Clean + w.Failing }

// failureRate returns the fraction of attempts that failed, from 0 to 1. It is 0 for an empty window.
func (w Window) failureRate() float64 { return float64(w.Failing) / max(float64(w.attemptCount()), 1) }

// slidingWindow counts the attempts that ended within the last windowDuration, in slots of slotDuration.
type slidingWindow struct {
	slots [windowSlots]Window
	// The number of the newest slot. The number of a slot is the slot's time divided by slotDuration.
	newestSlot time.Duration
}

// advanceTo advances the window to the given time and returns the newest slot. It clears the slots that have left the window.
func (s *slidingWindow) advanceTo(now time.Duration) *Window {
	slot := now / slotDuration
	for i := max(s.newestSlot+1, slot-windowSlots+1); i <= slot; i++ {
		s.slots[i%windowSlots] = Window{}
	}
	s.newestSlot = max(s.newestSlot, slot)
	return &s.slots[s.newestSlot%windowSlots]
}

// sum returns the sum of all slots of the window that ends now.
func (s *slidingWindow) sum(now time.Duration) (w Window) {
	s.advanceTo(now)
	for _, window := range s.slots {
		w.add(window)
	}
	return w
}

// completedSlots returns up to maxReportedSlots completed slots, the newest first.
func (s *slidingWindow) completedSlots(now time.Duration) (list []Window) {
	s.advanceTo(now)
	for i := range min(maxReportedSlots, s.newestSlot) {
		list = append(list, s.slots[(s.newestSlot-1-i)%windowSlots])
	}
	return list
}

// Totals holds a node's counts since the last change of a key's ejection.
type Totals struct {
	Clean, Failing uint32 // The numbers of clean answers and of failures, as in Window.
	// For a strict key: the clean answers to the instance's patient requests.
	Reads uint32
	// The number of consecutive clean probes.
	Probes uint32
}

// add adds the counts of other totals.
func (t *Totals) add(other Totals) {
	t.Clean += other.Clean
	t.Failing += other.Failing
	t.Reads += other.Reads
	t.Probes += other.Probes
}
