package node

import (
	"bytes"
	"encoding/gob"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/invariant"
)

const (
	compactAt   = 64        // committed entries after which the log is put into a snapshot
	compactSize = 256 << 10 // or so many bytes of them: alike at all members, whose snapshots are the same
	admitEvery  = 300 * time.Millisecond
	noteEvery   = 500 * time.Millisecond
)

// core is this node's part in the ordered log: none without a disk.
type core struct {
	h        *Node
	me       replication.Member
	p        *replication.Replica
	disk     Disk
	queue    []replication.Write // not yet given to the disk
	note     []byte              // the board, to be kept beside the log; nil: nothing to keep
	noted    time.Duration       // when it last was
	writing  bool
	waits    map[uint64]waiting // by token
	token    uint64
	last     verdict // of the last entry applied
	lookedAt time.Duration
	wake     uint32
	view     uint64               // the last one whose leader was known
	hears    map[string]hearsWith // by address
}

// waiting is a call that the log settles.
type waiting struct {
	kind  statemachine.Kind
	entry []byte // nil of a read
	then  func(status int, body []byte)
}

// verdict is on an entry, and on no other that ever stood at its index.
type verdict struct {
	index   uint64
	entry   []byte
	verdict routing.Verdict
	err     error
}

// openCore begins with what the disk holds.
func (h *Node) openCore(b Base) error {
	if h.settings.DataDir == "" {
		return nil
	}
	disk, kept, err := b.Disk()
	if err != nil {
		return err
	}
	c := &core{h: h, me: replication.Member{ID: kept.Me, Addr: h.inner}, disk: disk, waits: map[uint64]waiting{},
		hears: map[string]hearsWith{}}
	c.p = replication.New(c.me, kept, replication.DefaultTerms(), h.seed, h.e.Now())
	h.core = c
	return nil
}

// write gives the disk what is due. Apart from the turns: a slow disk must hold up nothing else.
func (c *core) write() {
	writes := c.queue
	c.writing = true
	c.disk.Write(writes, c.note, func() {
		c.writing = false
		if len(writes) > 0 {
			c.p.Now(c.h.e.Now())
			c.p.Synced(writes[len(writes)-1].Nr)
		}
	})
	c.queue, c.note = nil, nil
}

// pull carries out what the log asks for.
func (c *core) pull() {
	c.p.Now(c.h.e.Now())
	c.tend()
	for {
		a, ok := c.p.Next()
		if !ok {
			break
		}
		switch a := a.(type) {
		case replication.Send:
			if addr := c.addr(a.To); addr != "" {
				c.h.links.Send(addr, &Frame{Core: c.line(addr, a.Message)})
			}
		case replication.Write:
			if n := len(c.queue); n > 0 { // a disk that hangs must not have the queue grow
				c.queue[n-1] = c.queue[n-1].Then(a)
			} else {
				c.queue = append(c.queue, a)
			}
		case replication.Restore:
			c.restore(a.Index, a.State)
		case replication.Commit:
			c.commit(a.Entry)
		case replication.Outcome:
			c.settle(a)
		case replication.Wake:
			c.wake++
			c.h.e.At(a.At, (*coreAlarm)(c), c.wake)
		}
	}
	if m, view, ok := c.p.Leader(); ok && view != c.view {
		c.view = view
		c.h.pingedAt = 0 // who follows waits for the word that somebody leads
		if m.ID == c.me.ID {
			c.h.say(corePart, "leads view %d", view)
		} else {
			c.h.say(corePart, "view %d is led by %s", view, m.Addr)
		}
	}
	if !c.writing && (len(c.queue) > 0 || c.note != nil) {
		c.write()
	}
	c.h.roster.Settle(membership.Disk(c.me.ID), c.p.ClusterID())
}

// keepRegistry has the board kept beside the log, where it changed, now and then.
func (c *core) keepRegistry() {
	now := c.h.e.Now()
	if !c.h.registryNews || now-c.noted < noteEvery || c.h.registry == nil {
		return
	}
	c.h.registryNews, c.noted = false, now
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(c.h.registry.All()) // of texts and numbers: it can't fail
	c.note = b.Bytes()
}

// remember gives the board what was kept of it.
func (c *core) remember() {
	var words []registry.Record
	if noted := c.disk.Noted(); noted != nil && gob.NewDecoder(bytes.NewReader(noted)).Decode(&words) == nil {
		c.h.registry.Now(c.h.e.Now())
		c.h.registry.Remember(words)
		c.h.say(registryPart, "remembers %d backends", len(words))
	}
}

// addr of a member: where its node says that it is, since a view may name an older place.
func (c *core) addr(m replication.Member) string {
	if d, ok := c.h.roster.Node(m.Addr); ok && replication.MemberID(d.Disk) == m.ID {
		return m.Addr
	}
	for _, d := range c.h.roster.Disks() {
		if replication.MemberID(d.Disk) == m.ID {
			return d.Addr
		}
	}
	return m.Addr
}

func (c *core) restore(index uint64, state []byte) {
	s := statemachine.New()
	if len(state) > 0 {
		var err error
		if s, err = statemachine.Restore(state); err != nil {
			c.h.warn(corePart, "state of %d can't be read: %v", index, err)
			return
		}
	}
	c.h.begin(index, s)
}

func (c *core) commit(e replication.Entry) {
	var data []byte
	if e.Kind == replication.Change {
		data = e.Data
	}
	v, err := c.h.apply(e.Index, data)
	c.last = verdict{e.Index, data, v, err}
	if e.Index%compactAt == 0 || c.p.Uncompacted(e.Index) >= compactSize {
		c.p.Compact(e.Index, c.h.machine.Snapshot())
	}
}

// tend tells the log which disks are reached: it lets new ones in, in the place of lost ones (replica/members.go).
func (c *core) tend() {
	now := c.h.e.Now()
	if now-c.lookedAt < admitEvery {
		return
	}
	c.lookedAt = now
	var reach []replication.Reach
	for _, d := range c.h.roster.Disks() {
		reach = append(reach, replication.Reach{Member: replication.Member{ID: replication.MemberID(d.Disk), Addr: d.Addr}, Leaving: d.Leaving})
	}
	c.p.Tend(reach, c.h.settings.Tolerates.Machines)
	c.layAside()
}

// propose puts a change into the log, or reads; then is told how it ended.
func (c *core) propose(kind statemachine.Kind, body []byte, then func(status int, body []byte)) {
	c.token++
	c.p.Now(c.h.e.Now())
	if kind == Read || kind == ReadRollouts {
		c.waits[c.token] = waiting{kind, nil, then}
		c.p.Read(c.token)
		return
	}
	entry := statemachine.Entry(kind, body)
	c.waits[c.token] = waiting{kind, entry, then}
	c.p.Propose(c.token, entry)
}

// settle answers a call whose place in the log is known.
func (c *core) settle(o replication.Outcome) {
	w, ok := c.waits[o.Token]
	delete(c.waits, o.Token)
	switch {
	case !ok:
	case o.Verdict == replication.Unknown:
		w.then(controlapi.Unclear, []byte(o.Verdict.String()))
	case o.Verdict != replication.Done:
		w.then(503, []byte(o.Verdict.String()))
	case w.kind == Read:
		w.then(200, c.h.machine.Configs.Body())
	case w.kind == ReadRollouts:
		w.then(200, c.h.rolloutText())
	default:
		v := c.last
		if v.index != o.Index || !bytes.Equal(v.entry, w.entry) {
			invariant.That(false, "a proposal ends by its own entry")
			v = verdict{verdict: routing.Unclear}
		}
		w.then(answerOf(v.verdict, v.err))
	}
}

// answerOf is the table from verdicts on changes to answers.
func answerOf(v routing.Verdict, err error) (int, []byte) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	switch v {
	case routing.Taken, routing.Already:
		return 200, nil
	case routing.Conflict:
		return 412, []byte(text)
	case routing.Unclear:
		return controlapi.Unclear, []byte(text)
	}
	return 400, []byte(text)
}

// coreAlarm brings the log's own due time; the pull at the end of the turn does the rest.
type coreAlarm core

func (a *coreAlarm) Live(nr uint32) bool { return nr == a.wake }
func (a *coreAlarm) Due(uint32)          {}
