package node

import (
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
)

// groupBatch is how many bytes of the groups' writes go into one transaction, beside the configuration's: what a configuration waits
// for at the most. One write always does.
const groupBatch = 256 << 10

// logs is how many a disk keeps.
const logs = 1 + groups.Count

// logOf is the log of a group.
func logOf(id groups.ID) replication.LogID { return replication.LogID(id) + 1 }

// diskQueue has the disk keep what the replicas of a node write: one transaction and sync at a time, for all that came since
// the last one.
type diskQueue struct {
	node    *Node
	disk    Disk
	due     [logs]*replication.Write // by log; a disk that hangs has them put together
	note    []byte                   // to be kept beside the logs; nil: nothing
	next    int                      // the group whose write goes first
	writing bool
	began   time.Duration // the write under way did
	synced  func(log replication.LogID, nr uint64)
}

// put adds what a replica writes, behind what it wrote before.
func (d *diskQueue) put(log replication.LogID, w replication.Write) {
	if before := d.due[log]; before != nil {
		w = before.Then(w)
	}
	d.due[log] = &w
}

// flush gives the disk what is due. Apart from the turns: a slow disk must hold up nothing else.
func (d *diskQueue) flush() {
	if d.writing {
		return
	}
	batch := d.take()
	if len(batch) == 0 && d.note == nil {
		return
	}
	d.writing, d.began = true, d.node.e.Now()
	d.disk.Write(batch, d.note, func() {
		d.writing = false
		for _, w := range batch {
			d.synced(w.Log, w.Write.Nr)
		}
	})
	d.note = nil
}

// take is the next transaction: the configuration's write always, and the groups' in turn, up to a bound.
func (d *diskQueue) take() (batch []replication.LogWrite) {
	add := func(log int) {
		batch = append(batch, replication.LogWrite{Log: replication.LogID(log), Write: *d.due[log]})
		d.due[log] = nil
	}
	if d.due[replication.ConfigurationLog] != nil {
		add(int(replication.ConfigurationLog))
	}
	size, first := 0, d.next
	for i := range groups.Count {
		log := 1 + (first+i)%groups.Count
		if d.due[log] == nil {
			continue
		}
		if size += d.due[log].Size(); size > groupBatch && size > d.due[log].Size() {
			d.next = log - 1
			break
		}
		add(log)
	}
	return batch
}

// stalled is for how long the disk has had a write under way.
func (d *diskQueue) stalled() time.Duration {
	if !d.writing {
		return 0
	}
	return d.node.e.Now() - d.began
}
