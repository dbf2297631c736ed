package logstore

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

// testdata/dd5a45a*.db.gz are the files of the three members of one cluster. The program at commit dd5a45a (2 December 2026) wrote the files.
// Five nodes of that version ran on the loopback interface, received calls and were then killed. The first member led the configuration's log.
// The calls created a configuration, 66 amendments of the configuration, three backends, a rollout at its second step, locks, numbers and keys.
// Two members were replaced. Before the snapshot, the disk of another node replaced the member recordedReplaced. After the snapshot, an empty
// disk at the same address replaced the member recordedLost.
const (
	recordedFirst  = "dd5a45a"
	recordedSecond = "dd5a45a-second" // the empty disk that joined last
	recordedThird  = "dd5a45a-third"
)

// The members of the recorded cluster.
var (
	recordedLeader      = replication.Member{ID: 347707248338, Addr: "127.122.178.12:17560"}
	recordedLost        = replication.Member{ID: 774665722114, Addr: "127.122.178.11:17560"}
	recordedEmptyDisk   = replication.Member{ID: 536838017176, Addr: "127.122.178.11:17560"} // replaced recordedLost at its address
	recordedReplaced    = replication.Member{ID: 363783961311, Addr: "127.122.178.13:17560"} // replaced by recordedReplacement
	recordedReplacement = replication.Member{ID: 834510643323, Addr: "127.122.178.15:17560"}
)

// newRecordedDir returns a new directory that holds a recorded file under the former name.
func newRecordedDir(t *testing.T, name string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	f, err := os.Open(filepath.Join("testdata", name+".db.gz"))
	must.NoError(t, err)
	defer f.Close()
	z, err := gzip.NewReader(f)
	must.NoError(t, err)
	content, err := io.ReadAll(z)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(dir, formerFileName), content, 0o600))
	return dir
}

// leaderHost is a groups.Host that leads all groups, confirms every read and applies each proposal immediately. Now always
// returns 0.
type leaderHost struct {
	groups.Host
	machines [groups.Count]groups.StateMachine
}

func (l *leaderHost) Leadership(groups.ID) (uint64, time.Duration, bool) { return 1, 0, true }
func (l *leaderHost) ReadIndex(_ groups.ID, done func(bool))             { done(true) }
func (l *leaderHost) Now() time.Duration                                 { return 0 }
func (l *leaderHost) Propose(id groups.ID, entry []byte, done func(groups.Outcome, []byte)) {
	done(groups.Applied, l.machines[id].Apply(1<<20, entry))
}

// noPeers is a coordination.Env of a node without peers.
type noPeers struct{ coordination.Env }

func (noPeers) HasQuorumContact() bool           { return true }
func (noPeers) ScheduleAt(time.Duration, uint32) {}

// restoreCoordination returns a coordination service that leads all groups and has the state of the given logs.
func restoreCoordination(t *testing.T, logs map[replication.LogID]replication.PersistentState) *coordination.Service {
	t.Helper()
	s := coordination.New(noPeers{}, coordination.Config{Address: "here", Incarnation: 1, HistoryRetention: 20 * time.Second})
	host := &leaderHost{}
	s.SetHost(host)
	for id := range groups.ID(groups.Count) {
		log, machine := logs[replication.LogID(id)+1], s.StateMachine(id)
		host.machines[id] = machine
		must.NoError(t, machine.Restore(log.Snapshot.State))
		for _, e := range log.Entries {
			if e.Kind == replication.EntryNormal {
				machine.Apply(e.Index, e.Data)
			}
		}
		s.LeadershipGained(id, 1)
	}
	return s
}

// submitCall submits a call to a service and returns the call's result.
func submitCall(s *coordination.Service, c coordination.Call) (result coordination.Result) {
	s.Submit(c, 0, func(r coordination.Result) { result = r })
	return result
}

// restoreMachine returns a state machine with the state of the configuration's log.
func restoreMachine(t *testing.T, state replication.PersistentState) *statemachine.Machine {
	t.Helper()
	machine, err := statemachine.Restore(state.Snapshot.State)
	must.NoError(t, err)
	for _, e := range state.Entries {
		if e.Kind == replication.EntryNormal {
			_, err := machine.Apply(e.Data)
			must.NoError(t, err)
		}
	}
	return machine
}

// Each field of the configuration's log of all three members, and of the group logs of the first member, has the recorded value. If a stored
// name changed, gob would lose the field without an error.
func TestRecordedLogsAreRead(t *testing.T) {
	founders := []replication.Member{recordedLeader, recordedReplaced, recordedLost}
	membersAfterReplacement := []replication.Member{recordedLeader, recordedLost, recordedReplacement}
	for name, member := range map[string]replication.Member{recordedFirst: recordedLeader, recordedSecond: recordedEmptyDisk,
		recordedThird: recordedReplacement} {
		store, state, err := Open(newRecordedDir(t, name))
		must.NoError(t, err)
		must.Eq(t, member.ID, state.ID)
		must.Eq(t, 619735245, state.ClusterID)
		must.Eq(t, 11, state.Term)
		must.Eq(t, recordedLeader.ID, state.Vote)
		must.Eq(t, 78, state.Commit)
		must.Eq(t, 64, state.Snapshot.Index)
		must.Eq(t, 11, state.Snapshot.Term)
		must.Eq(t, membersAfterReplacement, state.Snapshot.Members)
		must.Len(t, 17, state.Entries)
		for i, e := range state.Entries {
			must.Eq(t, 65+uint64(i), e.Index)
			must.Eq(t, 11, e.Term)
			if e.Index != 77 {
				must.Eq(t, replication.EntryNormal, e.Kind)
				must.SliceEmpty(t, e.Members)
				continue
			}
			must.Eq(t, replication.EntryConfigChange, e.Kind)
			must.Eq(t, []replication.Member{recordedLeader, recordedReplacement, recordedEmptyDisk}, e.Members)
		}
		must.MapLen(t, groups.Count, store.GroupLogs())
		for id, log := range store.GroupLogs() {
			must.Eq(t, member.ID, log.ID, must.Sprint("log ", id))
		}
		must.NoError(t, store.Close())
	}

	store, _, err := Open(newRecordedDir(t, recordedFirst))
	must.NoError(t, err)
	defer store.Close()
	for id, want := range map[replication.LogID]recordedLog{
		1: {3290547559, 4, recordedLeader.ID, 8, 9, []uint64{4, 9}},
		2: {57687867, 10, recordedLeader.ID, 107, 107, nil},
		3: {3803676565, 3, recordedLeader.ID, 7, 8, []uint64{3, 8}},
		4: {689352377, 5, recordedLeader.ID, 6, 7, []uint64{4, 7}},
		5: {1777702779, 10, recordedLeader.ID, 8, 8, []uint64{3}},
		6: {2798233679, 5, recordedReplacement.ID, 8, 9, []uint64{4, 9}},
		7: {1847444969, 3, recordedReplacement.ID, 4, 5, []uint64{3, 5}},
		8: {1375970845, 7, recordedLeader.ID, 9, 10, []uint64{4, 10}},
	} {
		log := store.GroupLogs()[id]
		got := recordedLog{log.ClusterID, log.Term, log.Vote, log.Commit, log.Snapshot.Index + uint64(len(log.Entries)), nil}
		for _, e := range log.Entries {
			if e.Kind == replication.EntryConfigChange {
				got.changeIndexes = append(got.changeIndexes, e.Index)
			}
		}
		must.Eq(t, want, got, must.Sprint("log ", id))
		if id == 2 {
			must.Eq(t, 56, log.Snapshot.Index)
			must.Eq(t, 5, log.Snapshot.Term)
			must.Eq(t, membersAfterReplacement, log.Snapshot.Members)
			must.Len(t, 75110, log.Snapshot.State)
			continue
		}
		must.Eq(t, 1, log.Snapshot.Index)
		must.Eq(t, 1, log.Snapshot.Term)
		must.Eq(t, founders, log.Snapshot.Members)
		must.SliceEmpty(t, log.Snapshot.State)
	}
}

// recordedLog is the recorded content of a group's log: its cluster ID, its term and vote, its commit index, the index of its last entry,
// and the indexes of the entries that changed its members.
type recordedLog struct {
	clusterID, term        uint64
	vote                   replication.MemberID
	commitIndex, lastIndex uint64
	changeIndexes          []uint64
}

// The configuration, slots, group members and rollout that the cluster acknowledged are restored from the configuration's log.
func TestRecordedConfigurationIsRestored(t *testing.T) {
	for _, name := range []string{recordedFirst, recordedSecond, recordedThird} {
		store, state, err := Open(newRecordedDir(t, name))
		must.NoError(t, err)
		must.NoError(t, store.Close())
		before, err := statemachine.Restore(state.Snapshot.State)
		must.NoError(t, err)
		must.Eq(t, 53, before.Configs.Version())
		machine := restoreMachine(t, state)
		must.Eq(t, 67, machine.Configs.Version())
		must.Eq(t, `{"generation":67,"parent_version":66,"services":[{"name":"s"},{"name":"t2"},{"name":"t3"},{"name":"t4"},{"name":"t5"},`+
			`{"name":"t6"},{"name":"t7"},{"name":"t8"},{"name":"t9"},{"name":"t0"},{"name":"t1"}],"vhosts":[{"hostname":"h.example",
"path_list":[{"name":"r","path_prefix":"/r1/","variant":"pure","deadline":"1s","target_latency":"1s","target":"s"}]}]}`,
			string(machine.Configs.Body()))
		for version := 2; version <= 67; version++ { // an acknowledged amendment that is sent again is a duplicate
			verdict, _ := machine.Decide(statemachine.KindAmendConfig, fmt.Appendf(nil,
				`{"generation":%d,"parent_version":%d,"upserts":{"services":[{"name":"t%d"}]}}`, version, version-1, version%10))
			must.Eq(t, routing.Duplicate, verdict, must.Sprint(version))
		}
		var slots []membership.SlotHolder
		for _, node := range []int{1, 3, 2, 0, 4} {
			ip := fmt.Sprint("127.122.178.", 11+node)
			slots = append(slots, membership.SlotHolder{Name: fmt.Sprint("node-", node), Addr: ip + ":17560", Control: ip + ":18381", Zone: "z"})
		}
		must.Eq(t, slots, machine.SlotHolders())
		var founders []membership.Founder
		for _, m := range []replication.Member{recordedLeader, recordedReplaced, recordedLost} {
			founders = append(founders, membership.Founder{Disk: membership.DiskID(m.ID), Addr: m.Addr})
		}
		must.Eq(t, founders, machine.Founders())

		must.SliceLen(t, 1, machine.Rollouts.Runs())
		must.SliceEmpty(t, machine.Rollouts.Ended())
		run := machine.Rollouts.Runs()[0]
		must.Eq(t, 1, run.Number)
		must.Eq(t, 2, run.Revision)
		must.Eq(t, rollout.Running, run.Phase)
		must.Eq(t, 2, run.Step)
		must.False(t, run.Paused)
		must.Eq(t, rollout.Capacity{Baseline: 200, Canary: 100, PeakInUse: 50}, run.Capacity)
		must.Eq(t, rollout.Spec{Service: "s", Old: "v1", New: "v2", Advance: "word",
			Failing: run.Spec.Failing, Steps: []rollout.Step{{Share: 5000, MinTime: rollout.Duration(time.Second)},
				{Share: 9000, MinTime: rollout.Duration(time.Second)}}}, run.Spec)
		must.Eq(t, "{[5xx none wrong] 10 9500 130}", fmt.Sprint(run.Spec.Failing))
		must.SliceLen(t, 2, run.History)
		must.Eq(t, "start 1 5000 ana 1796229222189", formatHistoryEntry(run.History[0]))
		must.Eq(t, "step 1 9000  1796229222438", formatHistoryEntry(run.History[1]))
		must.True(t, machine.Rollouts.IsCallApplied("m-1"))
		must.True(t, machine.Rollouts.IsCallApplied("m-2"))
		must.False(t, machine.Rollouts.IsCallApplied("m-3"))
	}
}

// formatHistoryEntry returns the fields of a rollout's history entry, separated by spaces.
func formatHistoryEntry(p rollout.HistoryEntry) string {
	return fmt.Sprint(p.Verb, " ", p.Step, " ", p.Share, " ", p.Author, " ", p.UnixMilli)
}

// The soft state in the recorded file is the list of the backends that the first member knew. This version must decode the list with all
// fields of each backend. If a field name changed, gob would lose the field without an error.
func TestRecordedBackendsAreRead(t *testing.T) {
	store, _, err := Open(newRecordedDir(t, recordedFirst))
	must.NoError(t, err)
	defer store.Close()
	var records []registry.WireRecord
	must.NoError(t, gob.NewDecoder(bytes.NewReader(store.SoftState())).Decode(&records))
	newRecord := func(id, addr, version string, owner registry.Slot, age time.Duration) registry.WireRecord {
		return registry.WireRecord{ID: id, Service: "s", Addr: addr, Zone: "z", Generation: version, Capacity: 100, Phase: registry.Ready,
			Seq: 1, Age: age, Keeper: owner, Fence: 1, Missed: -1}
	}
	must.Eq(t, []registry.WireRecord{newRecord("v1-0", "127.0.0.1:37969", "v1", 2, 71911585), newRecord("v1-1", "127.0.0.1:39631", "v1", 0, 72106723),
		newRecord("v2-2", "127.0.0.1:38577", "v2", 3, 71444197)}, records)
}

// The locks, numbers and keys that the cluster acknowledged are restored from the groups' logs, both from a snapshot and from the entries after
// the snapshot.
func TestRecordedCoordinationIsRestored(t *testing.T) {
	for _, name := range []string{recordedFirst, recordedThird} {
		store, _, err := Open(newRecordedDir(t, name))
		must.NoError(t, err)
		must.NoError(t, store.Close())
		s := restoreCoordination(t, store.GroupLogs())
		newLockInfo := func(name, holder string, fence uint64, left string) coordination.LockInfo {
			d, err := time.ParseDuration(left)
			must.NoError(t, err)
			return coordination.LockInfo{Name: name, Holder: holder, FencingToken: fence, TimeLeft: d}
		}
		for id, want := range [groups.Count][]coordination.LockInfo{
			0: {newLockInfo("l2f", "ben", 1, "8m59.071888s")},
			1: {newLockInfo("l1f", "ana", 1, "9m59.070846s"), newLockInfo("name-15", "gil", 3, "9m49.810523s"),
				newLockInfo("name-24", "ivo", 5, "9m39.999716s"), newLockInfo("name-3", "fay", 2, "9m59.8069s")},
			4: {newLockInfo("n2", "eva", 2, "7m0.001s")},
			7: {newLockInfo("l3f", "cyd", 1, "9m59.750444s")},
		} {
			must.Eq(t, want, submitCall(s, coordination.Call{Operation: coordination.LockList, Group: groups.ID(id)}).Locks)
		}
		must.Eq(t, coordination.StatusLockHeld, submitCall(s, coordination.Call{Operation: coordination.LockAcquire, Name: "l1f", Holder: "zoe",
			TTL: time.Second}).Status)
		must.Eq(t, 6, submitCall(s, coordination.Call{Operation: coordination.LockAcquire, Name: "name-99", Holder: "zoe",
			TTL: time.Second}).FencingToken) // the next token of group 1
		for counter, last := range map[string]uint64{"orders": 3, "bills": 2, "name-30": 4} {
			must.Eq(t, last+1, submitCall(s, coordination.Call{Operation: coordination.NumberNext, Name: counter}).Number)
		}

		values := map[string]string{"alone": "two"}
		revisions := map[string]uint64{"alone": 2}
		for i := range 90 {
			key := fmt.Sprint("g1.k", i%7)
			values[key], revisions[key] = fmt.Sprint(i, "-", strings.Repeat("v", 1500)), uint64(i+1)
		}
		values["g1.k0"], revisions["g1.k0"] = "last", 91
		for key, value := range values {
			must.Eq(t, coordination.Result{Value: value, Revision: revisions[key]},
				submitCall(s, coordination.Call{Operation: coordination.KeyRead, Name: key}))
		}
		must.Eq(t, coordination.StatusNotFound, submitCall(s, coordination.Call{Operation: coordination.KeyRead, Name: "none"}).Status)
		must.Eq(t, []coordination.Event{{Name: "g1.k4", Value: fmt.Sprint("88-", strings.Repeat("v", 1500)), Revision: 89},
			{Name: "g1.k5", Value: fmt.Sprint("89-", strings.Repeat("v", 1500)), Revision: 90}, {Name: "g1.k0", Value: "last", Revision: 91}},
			submitCall(s, coordination.Call{Operation: coordination.KeyWatch, Name: "g1.", AfterRevision: 88}).Events)
		must.SliceLen(t, 83, submitCall(s, coordination.Call{Operation: coordination.KeyWatch, Name: "g1.", AfterRevision: 1}).Events)
		for key, put := range map[string]coordination.Result{"one": {Revision: 1}, "two": {Revision: 2},
			"three": {Status: coordination.StatusConflict, Revision: 2}} {
			must.Eq(t, put, submitCall(s, coordination.Call{Operation: coordination.KeyPut, Name: "alone", Value: key, Conditional: true, ExpectedRevision: 1}))
		}
	}
}

// recordedState is the state of the configuration's log in the types of the program at commit dd5a45a.
type recordedState struct {
	previousState
	Founders []struct {
		Disk uint64
		Addr string
	}
}

// recordedFile is the content of a whole file in the types of the program at commit dd5a45a, reduced to the field names and types that gob
// matches.
type recordedFile struct {
	Logs      map[string]recordedBuckets
	State     recordedState
	SoftState []previousBackendRecord
}

// recordedBuckets is the content of the buckets of one log.
type recordedBuckets struct {
	Head    previousHead
	Snap    previousSnapshot
	Entries []previousEntry
}

// readAsRecordedVersion renames the file in a directory to its former name and decodes the file with the types of the program at commit
// dd5a45a.
func readAsRecordedVersion(t *testing.T, dir string) (file recordedFile) {
	t.Helper()
	decode := func(b []byte, v any) { must.NoError(t, gob.NewDecoder(bytes.NewReader(b)).Decode(v)) }
	must.NoError(t, os.Rename(filepath.Join(dir, "replicas.db"), filepath.Join(dir, "promptbook.db")))
	db, err := bbolt.Open(filepath.Join(dir, "promptbook.db"), 0o600, &bbolt.Options{ReadOnly: true})
	must.NoError(t, err)
	defer db.Close()
	log := func(tx *bbolt.Tx, head, snap, entries string) (log recordedBuckets) {
		decode(tx.Bucket([]byte(head)).Get([]byte("head")), &log.Head)
		decode(tx.Bucket([]byte(snap)).Get([]byte("snap")), &log.Snap)
		must.NoError(t, tx.Bucket([]byte(entries)).ForEach(func(_, v []byte) error {
			var e previousEntry
			decode(v, &e)
			log.Entries = append(log.Entries, e)
			return nil
		}))
		return log
	}
	must.NoError(t, db.View(func(tx *bbolt.Tx) error {
		configuration := log(tx, "book", "book", "log")
		decode(configuration.Snap.State, &file.State.previousState)
		decode(configuration.Snap.State, &file.State)
		// The encoded values are cleared, because the gob encoding contains type names, which differ between versions.
		configuration.Snap.State, file.State.Bills, file.State.Rollouts = nil, nil, nil
		file.Logs = map[string]recordedBuckets{"configuration": configuration}
		for id := 1; id <= groups.Count; id++ {
			name := fmt.Sprintf("group %02d ", id)
			file.Logs[name] = log(tx, name+"head", name+"snapshot", name+"log")
		}
		decode(tx.Bucket([]byte("book")).Get([]byte("note")), &file.SoftState)
		return nil
	}))
	return file
}

// The program at commit dd5a45a must be able to read the files of this version. A recorded file that this version has read and written again
// decodes to the same content as the recorded file, with the types of that program.
func TestRecordedVersionReadsRewrittenFile(t *testing.T) {
	for _, name := range []string{recordedFirst, recordedSecond, recordedThird} {
		from, to := newRecordedDir(t, name), t.TempDir()
		recorded, state, err := Open(from)
		must.NoError(t, err)
		var records []registry.WireRecord
		must.NoError(t, gob.NewDecoder(bytes.NewReader(recorded.SoftState())).Decode(&records))
		must.NoError(t, recorded.Close())
		machine, err := statemachine.Restore(state.Snapshot.State)
		must.NoError(t, err)
		state.Snapshot.State = machine.Snapshot()

		rewritten, _, err := Open(to)
		must.NoError(t, err)
		rewritten.memberID = state.ID
		logs := recorded.GroupLogs()
		logs[replication.ConfigurationLog] = state
		for id, log := range logs {
			must.NoError(t, rewritten.Write([]replication.LogWrite{{Log: id, Write: replication.Write{ClusterID: log.ClusterID, Term: log.Term,
				Vote: log.Vote, Commit: log.Commit, Snapshot: &log.Snapshot, FirstIndex: log.Snapshot.Index + 1, Entries: log.Entries}}}))
		}
		var softState bytes.Buffer
		must.NoError(t, gob.NewEncoder(&softState).Encode(records))
		must.NoError(t, rewritten.SaveSoftState(softState.Bytes()))
		must.NoError(t, rewritten.Close())

		want, got := readAsRecordedVersion(t, from), readAsRecordedVersion(t, to)
		must.MapLen(t, 1+groups.Count, want.Logs)
		must.SliceLen(t, 17, want.Logs["configuration"].Entries)
		must.SliceLen(t, 5, want.State.Seats)
		must.SliceLen(t, 3, want.State.Founders)
		must.SliceLen(t, 3, want.SoftState)
		must.Eq(t, want, got)
	}
}
