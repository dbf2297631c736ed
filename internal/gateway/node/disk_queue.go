package node

import (
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
)

// logID is the log of a group.
func logID(id groups.ID) replication.LogID { return replication.LogID(id) + 1 }

// diskQueue has the disk keep what the replicas of a node write: one transaction and sync at a time, for all that came since
// the last one.
type diskQueue struct {
	replication.WriteQueue
	node           *Node
	disk           Disk
	softState      []byte // to be kept beside the logs; nil: nothing
	writing        bool
	writeStartedAt time.Duration // the write under way did
	onSynced       func(log replication.LogID, nr uint64)
}

// flush gives the disk what is due. Apart from the turns: a slow disk must hold up nothing else.
func (d *diskQueue) flush() {
	if d.writing {
		return
	}
	batch := d.Take()
	if len(batch) == 0 && d.softState == nil {
		return
	}
	d.writing, d.writeStartedAt = true, d.node.loop.Now()
	d.disk.Write(batch, d.softState, func() {
		d.writing = false
		for _, w := range batch {
			d.onSynced(w.Log, w.Write.Seq)
		}
	})
	d.softState = nil
}

// stalledFor is for how long the disk has had a write under way.
func (d *diskQueue) stalledFor() time.Duration {
	if !d.writing {
		return 0
	}
	return d.node.loop.Now() - d.writeStartedAt
}
