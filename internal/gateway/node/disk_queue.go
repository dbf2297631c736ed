package node

import (
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/replication"
)

// logID is the log of a coordination group.
func logID(id groups.ID) replication.LogID { return replication.LogID(id) + 1 }

// diskQueue gathers what the replicas of a node write, and gives it to the disk: one transaction and one sync for everything that came while
// the last one was under way.
type diskQueue struct {
	replication.WriteQueue
	clock          nowClock
	disk           Disk
	softState      []byte // to be stored beside the logs; nil: nothing new
	writing        bool
	writeStartedAt time.Duration // of the write under way
	onSynced       func(log replication.LogID, seq uint64)
}

// nowClock is the time of the turn.
type nowClock interface{ now() time.Duration }

// flush gives the disk what is queued, unless a write is under way.
func (d *diskQueue) flush() {
	if d.writing {
		return
	}
	batch := d.Take()
	if len(batch) == 0 && d.softState == nil {
		return
	}
	d.writing, d.writeStartedAt = true, d.clock.now()
	d.disk.Write(batch, d.softState, func() {
		d.writing = false
		for _, w := range batch {
			d.onSynced(w.Log, w.Write.Seq)
		}
	})
	d.softState = nil
}

// stalledFor is how long the disk has had a write under way; 0: there is none.
func (d *diskQueue) stalledFor() time.Duration {
	if !d.writing {
		return 0
	}
	return d.clock.now() - d.writeStartedAt
}
