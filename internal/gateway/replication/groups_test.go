package replication

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shared is several logs over the same disks, a cluster each: whatever a member writes goes through one WriteQueue, and a
// transaction of several logs is on disk whole or not at all. Messages of one log may reach another.
type shared struct {
	logs   []*cluster
	queues []WriteQueue
	under  [][]LogWrite // the transaction that is being written, by member
	left   sharedBudget
	fault  fault
	path   *step
	wrong  string
}

type sharedBudget struct{ promises, changes, crashes, strays int }

// newShared has so many logs on three disks, each led by the first member, and what came before.
func newShared(logs int, f fault, scene sharedScene) *shared {
	s := &shared{queues: make([]WriteQueue, 3), under: make([][]LogWrite, 3), left: scene.left, fault: f}
	for log := range logs {
		s.logs = append(s.logs, newClusterOf(LogID(log), 3, 0, f, budget{}))
	}
	for i := range s.queues {
		s.queues[i].fault = f
	}
	scene.before(s)
	return s
}

// gather puts what the replicas wrote into their members' queues, and begins a transaction where the disk is idle: as a node does at
// the end of a turn.
func (s *shared) gather() {
	for log, w := range s.logs {
		if w.wrong != "" && s.wrong == "" {
			s.wrong = fmt.Sprintf("log %d: %s", log, w.wrong)
		}
		for i, place := range w.places {
			for _, write := range place.writes {
				s.queues[i].Put(LogID(log), write)
			}
			place.writes = nil
		}
	}
	for i := range s.queues {
		if s.under[i] == nil {
			s.under[i] = s.queues[i].Take()
		}
	}
}

// written has a member's transaction on disk; told: and the replicas hear so.
func (s *shared) written(i int, told bool) {
	batch := s.under[i]
	s.under[i] = nil
	for _, w := range batch {
		s.logs[w.Log].places[i].disk.Apply(w.Write)
	}
	for _, w := range batch {
		if told {
			c := s.logs[w.Log]
			c.places[i].p.Synced(w.Write.Nr)
			c.pull(i)
		}
	}
	if told && s.fault == syncedAhead {
		for log, w := range s.queues[i].due {
			s.logs[log].places[i].p.Synced(w.Nr)
			s.logs[log].pull(i)
		}
	}
}

// starts has a member begin anew with what its disk holds.
func (s *shared) starts(i int) {
	s.queues[i], s.under[i] = WriteQueue{fault: s.fault}, nil
	for _, w := range s.logs {
		w.start(i)
	}
}

// steps are all that could come next.
func (s *shared) steps(do func(what string, act func(*shared))) {
	for log, w := range s.logs {
		for n, m := range w.flight {
			key := string(m.key(nil, false))
			if slices.ContainsFunc(w.flight[:n], func(o flying) bool { return string(o.key(nil, false)) == key }) {
				continue
			}
			what := fmt.Sprintf("log %d: %d>%d kind %d view %d index %d", log, m.from, m.s.To.ID, m.s.Message.Kind, m.s.Message.View, m.s.Message.Index)
			do(what, func(s *shared) { s.logs[log].arrive(n) })
			if s.left.strays > 0 {
				do(what+" at the next log", func(s *shared) { s.left.strays--; s.stray(log, n) })
			}
		}
	}
	for i := range s.queues {
		if s.under[i] != nil {
			do(fmt.Sprintf("%d has written", i+1), func(s *shared) { s.written(i, true) })
		}
		if s.left.crashes > 0 {
			do(fmt.Sprintf("%d loses power", i+1), func(s *shared) { s.left.crashes--; s.starts(i) })
			if s.under[i] != nil {
				do(fmt.Sprintf("%d loses power once it has written", i+1), func(s *shared) {
					s.left.crashes--
					s.written(i, false)
					s.starts(i)
				})
			}
		}
		for log, w := range s.logs {
			p := w.places[i].p
			if s.left.promises > 0 && p.role != leading {
				do(fmt.Sprintf("log %d: %d asks", log, i+1), func(s *shared) {
					s.left.promises--
					s.logs[log].places[i].p.prepare(true)
					s.logs[log].pull(i)
				})
			}
			if s.left.changes > 0 && p.role == leading {
				do(fmt.Sprintf("log %d: %d proposes", log, i+1), func(s *shared) {
					s.left.changes--
					s.logs[log].places[i].p.Propose(1, []byte{byte(10*log + s.left.changes)})
					s.logs[log].pull(i)
				})
			}
		}
	}
}

// stray has a message of one log taken by the same member's replica of the next one.
func (s *shared) stray(log, n int) {
	m := s.logs[log].flight[n]
	other := s.logs[(log+1)%len(s.logs)]
	for i, place := range other.places {
		if place.disk.Me == m.s.To.ID {
			place.p.Heard(m.from, m.s.Message)
			other.pull(i)
		}
	}
}

func (s *shared) clone() *shared {
	c := *s
	c.logs, c.queues, c.under = nil, slices.Clone(s.queues), slices.Clone(s.under)
	for _, w := range s.logs {
		c.logs = append(c.logs, w.clone())
	}
	for i := range c.queues {
		due := map[LogID]*Write{}
		for log, w := range s.queues[i].due { // Put makes a new one, and changes none
			due[log] = w
		}
		c.queues[i].due = due
	}
	return &c
}

// key tells apart what may go on differently.
func (s *shared) key() uint64 {
	b := fmt.Append(nil, s.left)
	write := func(w *Write) {
		b = entries(ints(b, w.Promise, uint64(w.For), w.From, w.Delivered), w.Entries)
	}
	for i := range s.queues {
		for log, w := range s.logs {
			b = ints(b, w.key())
			if due := s.queues[i].due[LogID(log)]; due != nil {
				write(due)
			}
			b = append(b, '|')
		}
		for j := range s.under[i] {
			write(&s.under[i][j].Write)
		}
		b = append(b, ';')
	}
	return maphash.Bytes(seed, b)
}

// exploreShared takes all steps in all orders, breadth first, until so many states were seen.
func exploreShared(s *shared, most int) (seen int, wrong string) {
	s.gather()
	known := map[uint64]bool{s.key(): true}
	for line := []*shared{s}; len(line) > 0 && len(known) < most && wrong == ""; {
		s := line[0]
		line[0], line = nil, line[1:]
		s.steps(func(what string, act func(*shared)) {
			if wrong != "" || len(known) >= most {
				return
			}
			c := s.clone()
			c.path = &step{s.path, what}
			func() {
				defer func() {
					if r := recover(); r != nil { // a debug build's check
						c.wrong = fmt.Sprint(r)
					}
				}()
				act(c)
				c.gather()
				for _, w := range c.logs {
					w.prune()
				}
			}()
			if c.wrong != "" {
				wrong = c.wrong + c.path.String()
			}
			if k := c.key(); !known[k] {
				known[k] = true
				line = append(line, c)
			}
		})
	}
	return len(known), wrong
}

// sharedScene is what is explored: what has happened before, and what may come.
type sharedScene struct {
	name   string
	before func(*shared)
	left   sharedBudget
}

// propose has the first member propose in a log, and begins to write.
func (s *shared) propose(log int) {
	s.logs[log].propose()
	s.gather()
}

// arrives lets all that one member said to another in a log come through.
func (s *shared) arrives(log int, from, to MemberID) {
	w := s.logs[log]
	for n := 0; n < len(w.flight); {
		if m := w.flight[n]; m.from == from && m.s.To.ID == to {
			w.arrive(n)
		} else {
			n++
		}
	}
	s.gather()
}

// sharedScenes are changes in two logs with a loss of power between the syncs of their writes, a change of leaders in one of them meanwhile,
// writes that wait for one another, and messages that reach the wrong log.
var sharedScenes = []sharedScene{
	{"changes and power", func(*shared) {}, sharedBudget{changes: 2, crashes: 1}},
	{"a vote and power", func(s *shared) {
		s.logs[0].places[1].p.prepare(true)
		s.logs[0].pull(1)
		s.gather()
		s.written(1, true)
		s.gather()
	}, sharedBudget{promises: 1, crashes: 1}},
	{"a vote, a change and power", func(s *shared) {
		s.propose(0)
		s.arrives(0, 1, 2)
	}, sharedBudget{promises: 1, changes: 1, crashes: 1}},
	{"writes that wait", func(s *shared) {
		for range 3 { // the first is being written, two wait
			s.propose(0)
		}
		s.propose(1)
		s.arrives(0, 1, 2)
	}, sharedBudget{crashes: 1}},
	{"messages at the wrong log", func(s *shared) {
		s.propose(0)
		s.propose(1)
		s.arrives(0, 1, 2)
	}, sharedBudget{promises: 1, strays: 2}},
}

// Whatever order messages, syncs and losses of power come in, each of the logs on a disk keeps what the explorer asks of one alone. GROUP_STATES
// sets how many states of each scene are seen.
func TestAllOrdersOverOneDisk(t *testing.T) {
	most := 10_000
	if n, err := strconv.Atoi(os.Getenv("GROUP_STATES")); err == nil {
		most = n
	}
	for _, scene := range sharedScenes {
		t.Run(scene.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			seen, wrong := exploreShared(newShared(2, sound, scene), most)
			must.Eq(t, "", wrong)
			t.Logf("%d states in %v", seen, time.Since(began))
		})
	}
}

// The faults that sharing a disk and links invites are found, each in the scene named by its place.
func TestAllOrdersOverOneDiskFindFaults(t *testing.T) {
	for f, scene := range map[fault]int{syncedAhead: 0, ackUnsynced: 0, forgetful: 1, tellEarly: 1, dropMerged: 3, oneFounding: 4} {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			seen, wrong := exploreShared(newShared(2, f, sharedScenes[scene]), 60_000)
			must.NotEq(t, "", wrong, must.Sprintf("not found in %d states", seen))
			t.Logf("%v, %d states: %s", time.Since(began), seen, wrong)
		})
	}
}

// A configuration is in the next transaction whatever the groups have to write, the groups take turns, and nothing is left behind.
func TestTransactionsAreBounded(t *testing.T) {
	var q WriteQueue
	large := func(nr uint64) Write {
		return Write{Nr: nr, From: nr, Entries: []Entry{{Index: nr, Data: make([]byte, batchMost*2/5)}}}
	}
	for log := LogID(1); log <= 8; log++ {
		q.Put(log, large(1))
	}
	q.Put(ConfigurationLog, large(1))
	written := map[LogID]int{}
	for range 3 {
		batch := q.Take()
		size := 0
		for i, w := range batch {
			written[w.Log]++
			if w.Log != ConfigurationLog {
				size += w.Write.Size()
			}
			must.Eq(t, i == 0, w.Log == ConfigurationLog)
		}
		must.Len(t, 3, batch)
		must.LessEq(t, batchMost, size)
		q.Put(ConfigurationLog, large(1))
		q.Put(1, large(2))
	}
	must.Eq(t, map[LogID]int{0: 3, 1: 1, 2: 1, 3: 1, 4: 1, 5: 1, 6: 1}, written)
	for range 3 {
		q.Take()
	}
	must.Nil(t, q.Take())
}

// The lead goes to the member that is named, within a few round trips; to another one where that one is not heard.
func TestLeadGoesToWhoIsNamed(t *testing.T) {
	w := quiet(t)
	for range 4 {
		l := w.leader()
		to := (l + 1 + w.rng.Intn(2)) % 3
		must.True(t, w.nodes[l].p.CanTransfer(w.nodes[to].disk.Me))
		w.on(l, func(d *simNode) { d.p.TransferTo(w.nodes[to].disk.Me) })()
		w.until(w.now + 100*time.Millisecond)
		must.Eq(t, to, w.leader())
		w.until(w.now + 500*time.Millisecond)
	}
	l := w.leader()
	gone, other := (l+1)%3, (l+2)%3
	w.nodes[gone].p = nil
	w.until(w.now + DefaultTerms().Silence + 100*time.Millisecond)
	must.False(t, w.nodes[l].p.CanTransfer(w.nodes[gone].disk.Me))
	w.on(l, func(d *simNode) { d.p.TransferTo(w.nodes[gone].disk.Me) })()
	w.until(w.now + 100*time.Millisecond)
	must.Eq(t, other, w.leader())
	must.Eq(t, "", w.wrong)
}

// A member whose link to the leader broke asks at once, and disturbs nobody where the others hear it still; where the leader is gone
// another leads long before members lose their patience.
func TestBrokenLinkIsAskedAboutAtOnce(t *testing.T) {
	w := quiet(t)
	l := w.leader()
	leader, view := w.nodes[l].disk.Me, w.nodes[l].p.promise
	for range 5 {
		w.on((l+1)%3, func(d *simNode) { d.p.Suspect(leader) })()
		w.until(w.now + 300*time.Millisecond)
		must.Eq(t, view, w.nodes[l].p.promise)
		must.Eq(t, l, w.leader())
	}
	w.nodes[l].p = nil
	for i, d := range w.nodes {
		if d.p != nil {
			w.on(i, func(d *simNode) { d.p.Suspect(leader) })()
		}
	}
	w.until(w.now + DefaultTerms().Patience/2)
	must.NotEq(t, -1, w.leader())
	must.Eq(t, "", w.wrong)
}
