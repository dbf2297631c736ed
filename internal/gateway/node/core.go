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

// core is this node's part in the log that orders configurations: none without a disk.
type core struct {
	replicaHost
	noted    time.Duration      // when the registry last was, beside the log
	waits    map[uint64]waiting // by token
	token    uint64
	last     verdict // of the last entry applied
	lookedAt time.Duration
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
	c := &core{waits: map[uint64]waiting{}, hears: map[string]hearsWith{}}
	c.replicaHost = replicaHost{h: h, me: replication.Member{ID: kept.ID, Addr: h.inner}, owner: c,
		disk: &diskQueue{node: h, disk: disk, synced: c.synced}}
	c.p = replication.New(c.me, kept, replication.DefaultConfig(), h.seed, h.e.Now())
	h.core = c
	h.groups.open(disk.Groups())
	return nil
}

// synced tells a replica what is on disk.
func (c *core) synced(log replication.LogID, nr uint64) {
	r := &c.replicaHost
	if log != replication.ConfigurationLog {
		r = &c.h.groups.replicas[log-1].replicaHost
	}
	r.now().Synced(nr)
}

// pull carries out what the log asks for.
func (c *core) pull() {
	c.now()
	c.tend()
	c.drain()
	if m, view, ok := c.p.Leader(); ok && view != c.view {
		c.view = view
		c.h.pingedAt = 0 // who follows waits for the word that somebody leads
		if m.ID == c.me.ID {
			c.h.say(corePart, "leads view %d", view)
		} else {
			c.h.say(corePart, "view %d is led by %s", view, m.Addr)
		}
	}
	c.h.roster.Settle(membership.Disk(c.me.ID), c.p.ClusterID())
}

func (c *core) send(to replication.Member, m replication.Message) {
	if addr := c.h.addrOf(to); addr != "" {
		c.h.links.Send(addr, &Frame{Core: c.line(addr, m)})
	}
}

// keepRegistry has the registry kept beside the log, where it changed, now and then.
func (c *core) keepRegistry() {
	now := c.h.e.Now()
	if !c.h.registryNews || now-c.noted < noteEvery || c.h.registry == nil {
		return
	}
	c.h.registryNews, c.noted = false, now
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(c.h.registry.All()) // of texts and numbers: it can't fail
	c.disk.note = b.Bytes()
}

// remember gives the registry what was kept of it.
func (c *core) remember() {
	var words []registry.Record
	if noted := c.disk.disk.Noted(); noted != nil && gob.NewDecoder(bytes.NewReader(noted)).Decode(&words) == nil {
		c.h.registry.Now(c.h.e.Now())
		c.h.registry.Remember(words)
		c.h.say(registryPart, "remembers %d backends", len(words))
	}
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
	if e.Kind == replication.EntryNormal {
		data = e.Data
	}
	v, err := c.h.apply(e.Index, data)
	c.last = verdict{e.Index, data, v, err}
	if e.Index%compactAt == 0 || c.p.UncompactedBytes(e.Index) >= compactSize {
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
	reach := c.h.disksInReach()
	c.p.ReconcileMembers(reach, c.h.settings.Tolerance.Machines)
	c.layAside()
}

// disksInReach are the nodes with a disk that this one reaches, itself among them.
func (h *Node) disksInReach() (reach []replication.ReachableNode) {
	for _, d := range h.roster.Disks() {
		reach = append(reach, replication.ReachableNode{Member: replication.Member{ID: replication.MemberID(d.Disk), Addr: d.Addr}, Draining: d.Leaving})
	}
	return reach
}

// propose puts a change into the log, or reads; then is told how it ended.
func (c *core) propose(kind statemachine.Kind, body []byte, then func(status int, body []byte)) {
	c.token++
	c.p.Tick(c.h.e.Now())
	if kind == Read || kind == ReadRollouts {
		c.waits[c.token] = waiting{kind, nil, then}
		c.p.Read(c.token)
		return
	}
	entry := statemachine.EncodeEntry(kind, body)
	c.waits[c.token] = waiting{kind, entry, then}
	c.p.Propose(c.token, entry)
}

// settle answers a call whose place in the log is known.
func (c *core) settle(o replication.Outcome) {
	w, ok := c.waits[o.Token]
	delete(c.waits, o.Token)
	switch {
	case !ok:
	case o.Status == replication.OutcomeUnknown:
		w.then(controlapi.Unclear, []byte(o.Status.String()))
	case o.Status != replication.OutcomeCommitted:
		w.then(503, []byte(o.Status.String()))
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
