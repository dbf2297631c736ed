package rollout

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/logentry"
)

// The files testdata/before.* contain data that the previous version stored and sent. The previous version is commit dd5a45a of 2
// December 2026, before the fields of the types were renamed. The files are entry (an operator's start entry), verdict (a rollback entry
// with all fields), snapshot (a snapshot with an ended and a paused roll-out), marks (the same snapshot with the list of call IDs that
// still earlier versions stored), report and lap.

// previousVersionBytes returns the content of the file testdata/before.<name>.
func previousVersionBytes(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/before." + name)
	must.NoError(t, err)
	return b
}

func previousVersionSpec() *Spec {
	return &Spec{Service: "libro", Old: "v1", New: "v2",
		Steps:   []Step{{Share: 100, MinTime: Duration(time.Minute), Requests: 500}, {Share: 2500, MinTime: Duration(2 * time.Minute)}},
		Limits:  Limits{Tenants: []string{"huka"}, Routes: []string{"r1"}, Zones: []string{"a", "b"}},
		Failing: FailureCriteria{Causes: []string{"5xx", "full"}, Extra: 11, Quantile: 9400, Slower: 140}, Advance: AdvanceByTime}
}

func previousVersionStart() *Entry {
	return &Entry{Verb: Start, Service: "libro", CallID: "call-1", Author: "ana", UnixMilli: 1764692000123, Reason: "new release", Spec: previousVersionSpec(),
		Capacity: Capacity{Baseline: 40, Canary: 30, PeakInUse: 20}}
}

func previousVersionRollback() *Entry {
	e := &Entry{Verb: Rollback, Service: "libro", CallID: "m", Author: "duty", UnixMilli: 5, Reason: "writes: new 3 of 9 failed",
		Revision: 7, Number: 1, Step: 1, FencingToken: 9}
	for side := range e.Counts {
		for kind := range e.Counts[side] {
			tally := &e.Counts[side][kind]
			tally.Outcomes = uint32(10*side + kind + 1)
			for i := range tally.ByCause {
				tally.ByCause[i] = uint32(100*side + 10*kind + i)
			}
			for i := range tally.Latencies {
				tally.Latencies[i] = uint32(1000*side + 100*kind + i)
			}
		}
	}
	return e
}

// Guards against a changed gob field name. The log entries of the previous version would lose that field when they are decoded.
func TestDecodesEntriesOfPreviousVersion(t *testing.T) {
	for name, want := range map[string]*Entry{"entry": previousVersionStart(), "verdict": previousVersionRollback()} {
		e, err := DecodeEntry(previousVersionBytes(t, name))
		must.NoError(t, err)
		must.Eq(t, want, e)
	}
}

// Guards against a field of the previous version's snapshots that is lost when they are restored.
func TestRestoresSnapshotsOfPreviousVersion(t *testing.T) {
	for _, name := range []string{"snapshot", "marks"} {
		s, err := Restore(previousVersionBytes(t, name))
		must.NoError(t, err)
		must.True(t, s.LastNumber == 2 && s.Revision == 5 && s.fencingToken == 9, must.Sprint(name))
		for _, id := range []string{"call-1", "call-2", "call-3", "call-4"} {
			must.True(t, s.IsCallApplied(id), must.Sprint(name, id))
		}
		must.False(t, s.IsCallApplied("call-5"))
		must.SliceLen(t, 1, s.Ended())
		ended := s.Ended()[0]
		must.Eq(t, *previousVersionSpec(), ended.Spec)
		must.True(t, ended.Phase == RolledBack && ended.Paused && ended.Number == 1)
		must.Eq(t, HistoryEntry{Verb: Rollback, Step: 1, Author: "duty", UnixMilli: 5, Reason: "writes: new 3 of 9 failed",
			Counts: previousVersionRollback().Counts}, ended.History[2])
		r := s.Run("libro")
		must.True(t, r.Number == 2 && r.Revision == 5 && r.Phase == Running && r.Step == 1 && r.Paused && r.Spec.New == "v3")
		must.Eq(t, Capacity{Baseline: 40, Canary: 30, PeakInUse: 20}, r.Capacity)
	}
}

// Guards against a field of the previous version's reports or laps that is lost when they are decoded. Nodes of both versions run at the
// same time during an upgrade.
func TestDecodesReportsOfPreviousVersion(t *testing.T) {
	var wire WireReport
	must.NoError(t, logentry.Decode(previousVersionBytes(t, "report"), &wire, "report"))
	r := wire.Report()
	evidence := r.Evidence
	r.Evidence = nil
	must.Eq(t, Report{Service: "libro", Number: 2, Step: 1, Lap: 3, Incarnation: 1 << 60, Seq: 12, Zone: "a", RolledBack: true,
		CanaryBackends: 5, Counts: previousVersionRollback().Counts}, r)
	e, err := decodeEvidence(evidence)
	must.NoError(t, err)
	for window := range windowCount {
		for test := range testCount {
			for i := range ratioCount {
				must.Eq(t, float64(window+1)*(float64(test)-3.5+float64(i)/64), e.total[window][test][i])
				must.Eq(t, float64(test)/2, e.perBackend[77][window][test][i])
			}
		}
	}
	must.Eq(t, evidence, e.encode())
	var lap Lap
	must.NoError(t, logentry.Decode(previousVersionBytes(t, "lap"), &lap, "lap"))
	must.Eq(t, Lap{Service: "libro", Number: 2, Lap: 4}, lap)
}

// The types of the previous version, with the field names and types by which gob decodes them.
type (
	oldTally struct {
		Ends  uint32
		By    [5]uint32
		Times [26]uint32
	}
	oldRollout struct {
		Service, Old, New string
		Steps             []struct {
			Share    int
			MinTime  int64
			Requests int
		}
		Limits  struct{ Tenants, Routes, Zones []string }
		Failing struct {
			Causes                  []string
			Extra, Quantile, Slower int
		}
		Advance string
	}
	oldRoom  struct{ Old, New, Busy int }
	oldEntry struct {
		Verb, Service, Mark, By string
		At                      int64
		Why                     string
		Rev, Number             uint64
		Step                    int
		Fence                   uint64
		Order                   *oldRollout
		Room                    oldRoom
		Counts                  [2][2]oldTally
	}
	oldRun struct {
		Number, Rev uint64
		Order       oldRollout
		Room        oldRoom
		Phase       string
		Step        int
		Held        bool
		History     []struct {
			Verb        string
			Step, Share int
			By          string
			At          int64
			Why         string
			Counts      [2][2]oldTally
		}
	}
	oldState struct {
		Runs, Ended      []oldRun
		Last, Rev, Fence uint64
		Marks            []string
		Window           []byte
	}
	oldReport struct {
		Service   string
		Number    uint64
		Step, Lap int
		Life, Seq uint64
		Zone      string
		Alone     bool
		Backs     int
		Counts    [2][2]oldTally
		Evidence  []byte
	}
	oldLap struct {
		Service string
		Number  uint64
		Lap     int
	}
)

// checkPreviousVersionReads checks that the previous version decodes the same values from the data of this version as from its own.
func checkPreviousVersionReads[T any](t *testing.T, name string, written []byte) {
	t.Helper()
	var want, got T
	must.NoError(t, gob.NewDecoder(bytes.NewReader(previousVersionBytes(t, name))).Decode(&want))
	must.NoError(t, gob.NewDecoder(bytes.NewReader(written)).Decode(&got))
	must.Eq(t, want, got)
}

// Guards against a field of this version's data that the previous version does not find. The previous version reads such data while nodes of
// both versions run, and after a downgrade.
func TestPreviousVersionReadsThisVersion(t *testing.T) {
	checkPreviousVersionReads[oldEntry](t, "entry", previousVersionStart().Encode())
	checkPreviousVersionReads[oldEntry](t, "verdict", previousVersionRollback().Encode())
	s, err := Restore(previousVersionBytes(t, "snapshot"))
	must.NoError(t, err)
	checkPreviousVersionReads[oldState](t, "snapshot", s.Snapshot())
	var wire WireReport
	must.NoError(t, logentry.Decode(previousVersionBytes(t, "report"), &wire, "report"))
	r := wire.Report()
	checkPreviousVersionReads[oldReport](t, "report", logentry.Encode(r.Wire()))
	checkPreviousVersionReads[oldLap](t, "lap", logentry.Encode(Lap{Service: "libro", Number: 2, Lap: 4}))
}
