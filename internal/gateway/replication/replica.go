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

	"github.com/go-faster/errors"

	"clovergap/internal/proxy/invariant"
)

// MemberID names a member's disk: drawn at random for each empty disk, never 0. One that was lost never
// comes back.
type MemberID uint64

// Member is a disk and where its node is reached.
type Member struct {
	ID   MemberID
	Addr string // host:port; at most one member of a view is at an address
}

// EntryKind tells what an entry is.
type EntryKind uint8

// The kinds of entries.
const (
	Change       EntryKind = iota // the host's own
	ConfigChange                  // the members from here on
	NoOp                          // the first of a view
)

// Entry is one place in the log.
type Entry struct {
	Index, View uint64
	Kind        EntryKind
	Data        []byte   // of a Change; never changed once proposed
	Members     []Member // of a ConfigChange: the whole new list
}

// Snapshot is the host's state after an index, in the place of the log up to there.
type Snapshot struct {
	Index, View uint64
	Members     []Member
	State       []byte // empty means the state that a system starts with
}

// Kept is what the disk holds. The zero value but for Me is an empty disk.
type Kept struct {
	Me        MemberID
	House     uint64   // tells one founding from another; 0 on an empty disk
	Promise   uint64   // the newest view taken part in or promised
	For       MemberID // who was promised it
	Delivered uint64   // known to be committed up to here, maybe further
	Snap      Snapshot
	Entries   []Entry // from Snap.Index+1 on
}

// Check tells what is wrong with what a disk held.
func (k *Kept) Check() error {
	last := k.Snap.Index + uint64(len(k.Entries))
	switch {
	case k.Me == 0:
		return errors.New("no member's id")
	case k.House == 0 && (k.Promise != 0 || last != 0):
		return errors.New("not founded, yet with entries or a promise")
	case k.House != 0 && (k.Snap.Index == 0 || len(k.Snap.Members) == 0):
		return errors.New("founded, yet without members")
	case k.Delivered < k.Snap.Index || k.Delivered > last:
		return errors.Errorf("delivered up to %d, kept are %d to %d", k.Delivered, k.Snap.Index, last)
	}
	view := k.Snap.View
	for i, e := range k.Entries {
		if e.Index != k.Snap.Index+1+uint64(i) || e.View < view || e.View > k.Promise {
			return errors.Errorf("entry %d of view %d stands in place %d", e.Index, e.View, k.Snap.Index+1+uint64(i))
		}
		view = e.View
	}
	return nil
}

// Apply is what a write does to a disk.
func (k *Kept) Apply(w Write) {
	k.House, k.Promise, k.For, k.Delivered = w.House, w.Promise, w.For, w.Delivered
	if w.Snap != nil {
		gone := min(w.Snap.Index-k.Snap.Index, uint64(len(k.Entries)))
		k.Snap, k.Entries = *w.Snap, slices.Clone(k.Entries[gone:])
	}
	if w.From > 0 {
		keep := min(w.From-k.Snap.Index-1, uint64(len(k.Entries)))
		k.Entries = append(slices.Clone(k.Entries[:keep]), w.Entries...)
	}
}

// Terms are the spans and bounds.
type Terms struct {
	Beat     time.Duration // between a leader's heartbeats
	Patience time.Duration // the least time without a leader before another view is asked for
	Spread   time.Duration // on top of Patience, by chance
	Silence  time.Duration // a leader that no majority answered for so long stops leading
	Tell     time.Duration // others hear at most this late what was committed
	Resend   time.Duration // a window that nobody acknowledged goes again, a whole snapshot wholeAgain times as late
	Learn    time.Duration // a node to be admitted that says nothing for so long is given up
	Pending  int           // most proposals, and most reads, that wait
	Held     int           // bytes of entries that are not committed, but always one entry; 0: not bounded
	Batch    int           // bytes of entries in one message, but always one entry
	Window   int           // bytes in flight to one member; what is larger goes in chunks. 0: not bounded
	Chunk    int           // bytes of a chunk
	Trail    int           // bytes of entries that are kept after they went into a snapshot, at the least
}

// DefaultTerms are for links of a few ms and from 2 Mbit/s on, and disks of some ms a sync: a window to each of a handful of
// receivers holds up a heartbeat on such a link by less than a member is patient.
func DefaultTerms() Terms {
	return Terms{Beat: 150 * time.Millisecond, Patience: 400 * time.Millisecond, Spread: 400 * time.Millisecond,
		Silence: time.Second, Tell: 20 * time.Millisecond, Resend: 500 * time.Millisecond, Learn: 3 * time.Second,
		Pending: 1024, Held: 8 << 20, Batch: 16 << 10, Window: 16 << 10, Chunk: 8 << 10, Trail: 64 << 10}
}

// MessageKind tells what a message is.
type MessageKind uint8

// The kinds of messages; the comments tell what their fields hold.
const (
	Append      MessageKind = iota + 1 // leader's: Entries (maybe none) after Index of view At, or a Snap up to there
	Ack                                // all up to Index is as the leader's, and synced; Round as heard
	Reject                             // Index is not as told; committed is Index; Round as heard
	RefuseView                         // promised to a newer View
	PreVote                            // has the leader been lost? Round tells this asking from others
	PreVoted                           // No: it has not
	Prepare                            // stop the views before View and wait for its leader
	Promise                            // promised, on disk; the last entry is Index of view At
	FetchLog                           // the log after Index, please
	LogTail                            // the log after Index, or a Snap and all after it
	TakeOver                           // the leader leaves: ask for the next view now
	AppendChunk                        // leader's: as Append, but Chunk is a part of what Snap or the one of Entries lacks
	AckChunk                           // of the blob that Chunk names all before its Offset is had, in memory; Round as heard
)

// Message is what members say. One lost, doubled or late does no harm.
type Message struct {
	Kind      MessageKind
	House     uint64
	To        MemberID // who moved in at the same address since must not take it
	View      uint64
	Index, At uint64
	Delivered uint64
	Round     uint64
	Elsewhere uint64 // of a heartbeat to one that leaves: see Elsewhere
	No        bool
	Entries   []Entry
	Snap      *Snapshot
	Chunk     *Chunk
	Chunks    bool // in acks and rejects: the sender takes chunks

	Clock, Echo uint32 // of Append, Ack and Reject: the sender's, and the newest heard from the other in this view
	Contact     int64  // of Append: how old its majority's contact is, in ms; below nought while there was none
}

// Action is what the host is to do: Send, Write, Commit, Restore, Outcome or Wake.
type Action interface{ action() }

// Send is a message to be sent, or lost.
type Send struct {
	To      Member
	Message Message
}

// Write is to be put on disk and synced as a whole, in the order of Nr; then Synced(Nr) is due. If it
// fails, it is to be tried again, or the process must end: a later one must not be written without it.
type Write struct {
	Nr        uint64
	House     uint64
	Promise   uint64
	For       MemberID
	Delivered uint64
	Snap      *Snapshot // if set, it takes the place of the old one and of the entries up to its index
	From      uint64    // if not 0, the entries from here on are Entries and no others
	Entries   []Entry
}

// Then is one write that does what two do, one after the other.
func (w Write) Then(next Write) Write {
	if s := next.Snap; s == nil {
		next.Snap = w.Snap
	} else if w.From > 0 && w.From <= s.Index {
		w.Entries = w.Entries[min(uint64(len(w.Entries)), s.Index+1-w.From):]
		w.From = s.Index + 1
	}
	switch {
	case w.From == 0:
	case next.From == 0:
		next.From, next.Entries = w.From, w.Entries
	case next.From > w.From:
		keep := min(uint64(len(w.Entries)), next.From-w.From)
		next.From, next.Entries = w.From, slices.Concat(w.Entries[:keep], next.Entries)
	}
	return next
}

// Commit is the next entry of the order. NoOp and ConfigChange are committed too: Index has no gaps.
type Commit struct{ Entry Entry }

// Restore is the state to start from; Commit goes on after its Index. It comes first when the disk held
// one, and later if the log up to there was not to be had from the leader.
type Restore struct {
	Index uint64
	State []byte // empty means the state that a system starts with
}

// Verdict tells how a proposal or a read ended.
type Verdict uint8

// The verdicts. All but Done and Unknown promise that nothing was or will be taken.
const (
	Done      Verdict = iota
	NotLeader         // Leader is the one to ask
	NoLeader          // no leader is known, or this one hears no majority
	Busy              // too many wait
	Unknown           // may have been taken, or may still be
)

func (v Verdict) String() string {
	return [...]string{"done", "not the leader", "no leader that hears a majority", "too many wait", "unknown"}[v]
}

// Outcome is the end of a proposal (Index: its place; it was committed just before) or of a read (Index:
// what was committed up to here is as new as anything acknowledged before the read came).
type Outcome struct {
	Token   uint64
	Index   uint64
	Verdict Verdict
	Leader  Member // with NotLeader
}

// Wake asks for Now at that time, in the place of any earlier Wake.
type Wake struct{ At time.Duration }

func (Send) action()    {}
func (Write) action()   {}
func (Commit) action()  {}
func (Restore) action() {}
func (Outcome) action() {}
func (Wake) action()    {}

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
	members, house := sortedMembers(members), ClusterIDOf(members)
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
	case p.clusterID == house:
		return nil
	case p.clusterID != 0:
		return errors.New("there is something on disk already")
	}
	p.clusterID, p.promise, p.seen = house, 1, 1
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

// ClusterID names the founding whose state this disk holds, synced; 0: none.
func (p *Replica) ClusterID() uint64 {
	if !p.held {
		return 0
	}
	return p.clusterID
}

// Propose asks for an entry; its Outcome carries the token, which is the host's and not used twice. The
// data is kept.
func (p *Replica) Propose(token uint64, data []byte) {
	if v := p.mayLead(len(p.tokens)); v != Done {
		p.outcome(token, 0, v)
		return
	}
	if p.Uncompacted(p.last())-p.Uncompacted(p.committed)+len(data) > p.terms.Held && p.terms.Held > 0 && p.committed < p.last() {
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

// Elsewhere is up to which index all that is known here to be committed is on the disks of a majority of the members without
// this one, where it leaves, and Committed what is known to be: who leaves waits until the one has come up to the other.
func (p *Replica) Elsewhere() uint64 {
	switch {
	case p.role == leading:
		return p.heldWithout(p.me.ID)
	case !p.member(p.me.ID): // nothing rests on it
		return p.committed
	}
	return min(p.elsewhere, p.committed)
}

// Committed is up to which index entries are known to be committed.
func (p *Replica) Committed() uint64 { return p.committed }

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

// Leader is who leads, as far as is known here, and the view.
func (p *Replica) Leader() (Member, uint64, bool) {
	if p.leader == p.me.ID {
		return p.me, p.promise, true
	}
	if p.leader == 0 || p.now-p.heardAt > p.terms.Silence {
		return Member{}, p.promise, false
	}
	for _, c := range p.configs {
		if i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == p.leader }); i >= 0 {
			return c.members[i], p.promise, true
		}
	}
	return Member{}, p.promise, false
}

// Leading tells whether this member leads and has heard a majority of late. It says nothing for sure about
// this very moment: that takes a Read.
func (p *Replica) Leading() bool { return p.role == leading }

// Members is the newest list; nil before a founding.
func (p *Replica) Members() []Member { return p.configs[len(p.configs)-1].members }

// Founders are those of view 1, while nothing is known to be committed after the founding: one of them with an empty disk has
// missed the word, and may be handed it by any other. Nil otherwise.
func (p *Replica) Founders() []Member {
	if p.clusterID == 0 || p.snap.Index != 1 {
		return nil
	}
	return slices.Clone(p.snap.Members)
}

// Founded tells whether there is anything on this disk but the member's id.
func (p *Replica) Founded() bool { return p.clusterID != 0 }

// Status is for operators.
type Status struct {
	Me                          Member
	Role                        string
	View                        uint64
	Leader                      Member // zero if not known
	Members                     []Member
	Settled                     bool // the newest list is known to be committed
	Learner                     MemberID
	First, Last, Synced, Behind uint64 // the log; Behind: entries not committed here
	Waiting                     int    // proposals and reads
}

// Status is how things stand.
func (p *Replica) Status() Status {
	leader, _, _ := p.Leader()
	return Status{Me: p.me, Role: p.role.String(), View: p.promise, Leader: leader, Members: p.Members(),
		Settled: p.settled(), Learner: p.learner, First: p.snap.Index + 1, Last: p.last(), Synced: p.synced,
		Behind: p.last() - p.committed, Waiting: len(p.tokens) + len(p.reads)}
}

// chance is splitmix64: below n, by the seed.
func (p *Replica) chance(n time.Duration) time.Duration {
	p.seed += 0x9e3779b97f4a7c15
	z := p.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(n, 1)))
}
