// Package replication is a replicated log: it keeps one order of changes among the nodes with a disk. It is a core without
// I/O: inputs are messages, times, proposals and finished writes; outputs are messages, writes, and committed entries in the
// order that holds.
//
// Members work in views, as in Viewstamped Replication; a view is what Raft calls a term. A view has a number, a leader and
// members; an entry carries the view that it was made in. A member that hears no leader asks the others first whether they
// have lost it too (pre-vote) and then to prepare the next view. Who promises so stops the old view, on disk before it
// answers. With a majority's promises, and the newest of their logs in hand, the asker leads the new view: the others' logs
// are truncated to where they agree with its own and go on. An entry is committed once a majority has it on disk, and only
// through an entry of the present view.
//
// While a change of members (ConfigChange) is not known to be committed, majorities of the members before it and after it are
// needed for everything (joint consensus). So one member may be replaced by another in one step, though majorities of three
// need not meet across such a step. Nothing rests on time but how soon a new view is asked for.
//
// Names of fields that are sent or kept on disk by gob (Message, Entry, Snapshot) stay as they are: nodes of two versions
// talk while a new one is rolled out.
package replication

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"clovergap/internal/proxy/invariant"
	"github.com/go-faster/errors"
)

type role uint8

const (
	following role = iota
	preVoting      // asks whether others have lost the leader too
	preparing      // asks for promises
	leading
)

func (r role) String() string { return [...]string{"following", "checking", "stopping", "leading"}[r] }

// place is that of a log's last entry. A log whose last entry is of a newer view, or further in the same,
// is newer.
type place struct{ view, index uint64 }

func (a place) newer(b place) bool { return a.view > b.view || a.view == b.view && a.index > b.index }

type config struct {
	index   uint64
	members []Member
}

// issued is a write that is not synced: after it the log is on disk up to upto.
type issued struct{ nr, upto uint64 }

// waiting is what is to be said once a write is synced.
type waiting struct {
	nr   uint64
	kind MessageKind // Have, Stopped, or Stop for an asker's own promise
	view uint64
	to   MemberID
}

// Replica is one member. It is for one goroutine at a time.
type Replica struct {
	me    Member
	terms Terms
	now   time.Duration
	seed  uint64
	fault fault

	clusterID  uint64
	promise    uint64
	promisedTo MemberID
	snap       Snapshot
	log        []Entry  // after snap
	trail      []Entry  // the last that went into snap, in memory only
	trailView  uint64   // of the entry before them
	blob       *Blob    // snap's state, once it was sent
	in         Incoming // from the leader
	configs    []config // the one that holds at snap, and those in the log
	committed  uint64
	synced     uint64 // the log is on disk up to here
	held       bool   // so is the founding

	nr        uint64 // of the write that is put together
	done      uint64 // synced
	dirty     bool
	dirtyFrom uint64
	dirtySnap bool
	writes    []issued
	waits     []waiting

	role        role
	leader      MemberID // of the view promise, 0 if not known
	heardAt     time.Duration
	begun       bool          // a leader was heard of in this life, or promised
	failedViews int           // views asked for since a leader was heard
	preparedAt  time.Duration // when the last one was
	due         time.Duration // a new view is asked for
	woken       time.Duration // told to the host
	matched     uint64        // the log is as the leader's up to here
	round       uint64        // heard from the leader; or as leader, begun
	roundSaid   uint64
	elsewhere   uint64

	clock       Clock
	known       known
	leaderClock uint32 // the newest heard in this view

	seen        uint64              // the newest view anyone spoke of
	try         uint64              // number of an asking
	preVotes    map[MemberID]bool   // by whom the leader is lost
	promises    map[MemberID]place  // who promised
	fetch       MemberID            // asked for its log
	prepareSent map[MemberID]Member // told to stop

	peers       map[MemberID]*progress // by the leader
	learner     MemberID
	learns      config                     // its members are the list once the learner has caught up; none: it is held back
	learnAt     time.Duration              // it last had something new on disk
	learnFrom   time.Duration              // it became the learner
	lost        map[MemberID]time.Duration // since when the host does not reach a member
	gaveUp      MemberID                   // the last learner that was
	noOp        uint64
	tokens      map[uint64]uint64 // by index
	reads       []read
	beatAt      time.Duration
	flush       bool
	handingOver time.Duration // proposals are refused until then: another is to lead
	successor   MemberID      // this one, if it is heard; 0: any

	out []Action
}

// progress is what a leader knows of another member.
type progress struct {
	Member
	next, match uint64
	base        uint64 // entries are in flight from here on
	round       uint64
	heard       time.Duration
	snapAt      time.Duration
	againAt     time.Duration
	clock       uint32        // its newest
	contact     time.Duration // it followed this view when this one's clock was so

	answered bool // in this view; and whether it takes chunks
	chunks   bool
	out      Outgoing  // what it is being sent: kept until it has it, however many snapshots there are since
	snap     *Snapshot // whose state out is
	entry    *Entry    // or whose data
	prev     place     // what it must have before it takes that
}

type read struct{ token, round uint64 }

const never = time.Duration(1<<63 - 1)

// New makes a member from what its disk held. The times are the host's, from any start on.
func New(me Member, k Kept, terms Terms, seed int64, now time.Duration) *Replica {
	invariant.That(me.ID != 0 && me.ID == k.Me, "a disk keeps its member's id")
	p := &Replica{me: me, terms: terms, now: now, seed: uint64(seed) ^ uint64(me.ID), clusterID: k.House,
		promise: k.Promise, promisedTo: k.For, snap: k.Snap, nr: 1, heardAt: now - terms.Patience, due: never, seen: k.Promise,
		tokens: map[uint64]uint64{}, lost: map[MemberID]time.Duration{}, known: known{at: noWord}}
	p.clock = NewClock(p.seed)
	p.configs = []config{{k.Snap.Index, k.Snap.Members}}
	for _, e := range k.Entries {
		p.appendEntry(e)
	}
	p.synced, p.committed, p.held = p.last(), p.snap.Index, k.House != 0
	if p.snap.Index > 0 {
		p.out = append(p.out, Restore{p.snap.Index, p.snap.State})
	}
	p.commitUpTo(k.Delivered)
	p.dirty = false
	p.setDue()
	return p
}

// Now tells the time. After a standstill it is to be told before messages that came meanwhile.
func (p *Replica) Now(t time.Duration) {
	p.now = max(p.now, t)
	switch {
	case p.role == leading:
		heard := func(id MemberID) bool { return id == p.me.ID || p.peers[id] != nil && p.fresh(p.peers[id]) }
		if !p.quorum(heard) {
			p.stepDown()
			return
		}
		if l := p.peers[p.learner]; l != nil && p.now-l.heard > p.terms.Learn && p.fault != keepDead {
			p.dropLearner()
		}
		if p.now >= p.beatAt {
			p.newRound()
			p.heartbeat()
		}
		p.majorityContact()
	case p.now >= p.due:
		p.preVote()
	}
}

func (p *Replica) fresh(w *progress) bool { return p.now-w.heard <= p.terms.Silence }

// Found writes view 1 with these members on an empty disk, if this member is one of them. The same list
// again does nothing; anything else where something is on disk is refused. All founders must be handed the
// same list.
func (p *Replica) Found(members []Member) error {
	members, clusterID := sortedMembers(members), p.foundingOf(members)
	mine := false
	for i, m := range members {
		if m.ID == 0 || i > 0 && members[i-1].ID == m.ID {
			return errors.Errorf("a founder's id %d is 0 or twice in the list", m.ID)
		}
		mine = mine || m.ID == p.me.ID
	}
	switch {
	case !mine:
		return errors.New("this member is not among the founders")
	case p.clusterID == clusterID:
		return nil
	case p.clusterID != 0:
		return errors.New("there is something on disk already")
	}
	p.clusterID, p.promise, p.seen = clusterID, 1, 1
	p.snap = Snapshot{Index: 1, View: 1, Members: members}
	p.configs = []config{{1, members}}
	p.committed, p.dirtySnap = 1, true
	p.markDirty(2)
	p.setDue()
	return nil
}

// ClusterIDOf names the founding by these members, in whatever order.
func ClusterIDOf(members []Member) uint64 {
	hash := fnv.New32a()
	for _, m := range sortedMembers(members) {
		hash.Write(append(binary.AppendUvarint(nil, uint64(m.ID)), m.Addr...))
	}
	return uint64(hash.Sum32()) | 1
}

func sortedMembers(members []Member) []Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Propose asks for an entry; its Outcome carries the token, which is the host's and not used twice. The
// data is kept.
func (p *Replica) Propose(token uint64, data []byte) {
	if v := p.mayLead(len(p.tokens)); v != Done {
		p.outcome(token, 0, v)
		return
	}
	if p.terms.Held > 0 && p.committed < p.last() && p.uncommitted()+len(data) > p.terms.Held {
		p.outcome(token, 0, Busy) // the disks are not for any number of large ones that wait
		return
	}
	p.tokens[p.appendNew(Entry{Kind: Change, Data: data})] = token
}

// Read asks what is committed; see Outcome.
func (p *Replica) Read(token uint64) {
	if p.role != leading || len(p.reads) >= p.terms.Pending {
		p.outcome(token, 0, p.mayLead(len(p.reads)))
		return
	}
	p.reads = append(p.reads, read{token, p.round + 1})
	p.flush = true
}

// mayLead tells why a proposal is not taken; Done if it is.
func (p *Replica) mayLead(waiting int) Verdict {
	switch _, _, known := p.Leader(); {
	case p.role != leading && known:
		return NotLeader
	case p.role != leading || p.now < p.handingOver:
		return NoLeader
	case waiting >= p.terms.Pending:
		return Busy
	}
	return Done
}

func (p *Replica) outcome(token, index uint64, v Verdict) {
	o := Outcome{Token: token, Index: index, Verdict: v}
	if v == NotLeader {
		o.Leader, _, _ = p.Leader()
	}
	p.out = append(p.out, o)
}

// HandOver lets another member lead, as soon as one has all. Proposals are refused meanwhile; after a
// second without a new leader they are taken again.
func (p *Replica) HandOver() {
	if p.role == leading && p.now >= p.handingOver {
		p.handingOver = p.now + p.terms.Silence
		p.handOver()
	}
}

// Synced tells that the write nr and all before it are on disk.
func (p *Replica) Synced(nr uint64) {
	invariant.That(nr < p.nr, "what is synced was written")
	p.done = max(p.done, nr)
	for len(p.writes) > 0 && p.writes[0].nr <= nr {
		p.synced = max(p.synced, p.writes[0].upto)
		p.held = p.held || p.clusterID != 0 && p.synced > 0
		p.writes = p.writes[1:]
	}
	n := 0
	for ; n < len(p.waits) && p.waits[n].nr <= p.done; n++ {
		p.say(p.waits[n])
	}
	p.waits = p.waits[n:]
	if p.role == leading {
		p.advanceCommit()
	}
}

// Compact puts the host's state after an index that was committed in the place of the log up to there.
func (p *Replica) Compact(index uint64, state []byte) {
	invariant.That(index <= p.committed, "only what was delivered goes into a snapshot")
	if index <= p.snap.Index || index > p.committed {
		return
	}
	view, _ := p.viewAt(index)
	gone, before := p.log[:index-p.snap.Index], p.snap.View
	p.log = slices.Clone(p.log[index-p.snap.Index:])
	for len(p.configs) > 1 && p.configs[1].index <= index {
		p.configs = p.configs[1:]
	}
	p.snap = Snapshot{Index: index, View: view, Members: p.configs[0].members, State: state}
	p.keepTrail(gone, before)
	p.dirtySnap = true
	p.markDirty(0)
}

// Next is what is to be done, until there is nothing.
func (p *Replica) Next() (Action, bool) {
	if len(p.out) == 0 && p.flush {
		p.flush = false
		p.replicateAll()
	}
	if len(p.out) == 0 && p.dirty {
		p.out = append(p.out, p.write())
	}
	if len(p.out) == 0 {
		if at := p.wake(); at != p.woken && at != never {
			p.woken = at
			return Wake{at}, true
		}
		return nil, false
	}
	a := p.out[0]
	if p.out = p.out[1:]; len(p.out) == 0 {
		p.out = nil
	}
	return a, true
}

func (p *Replica) wake() time.Duration {
	if p.role == leading {
		return p.beatAt
	}
	return p.due
}

// chance is splitmix64: below n, by the seed.
func (p *Replica) chance(n time.Duration) time.Duration {
	p.seed += 0x9e3779b97f4a7c15
	z := p.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(n, 1)))
}
