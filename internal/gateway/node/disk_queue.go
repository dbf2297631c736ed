package node

import (
	"time"

	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// logID is the log of a coordination group.
func logID(id groups.ID) replication.LogID { return replication.LogID(id) + 1 }

// diskQueue gathers what the replicas of a node write, and gives it to the disk: one transaction and one sync for everything that came while
// the last one was under way.
type diskQueue struct {
	replication.WriteQueue
	clock      nowClock
	disk       Disk
	departures []registry.Departure // of backends, to be stored with the next write
	// softState returns the state of the registry to be stored beside the logs, or nil if there is nothing new. It is called when a
	// batch begins, so that it knows all departures of the batch.
	softState          func() *SoftState
	writing            bool
	writeStartedAt     time.Duration // of the write under way
	onSynced           func(log replication.LogID, seq uint64)
	onDeparturesStored func(departures []registry.Departure)
}

// nowClock is the time of the turn.
type nowClock interface{ now() time.Duration }

// flush gives the disk what is queued, unless a write is under way.
func (d *diskQueue) flush() {
	if d.writing {
		return
	}
	batch := DiskBatch{Logs: d.Take(), Departures: d.departures, SoftState: d.softState()}
	if len(batch.Logs)+len(batch.Departures) == 0 && batch.SoftState == nil {
		return
	}
	d.departures = nil
	d.writing, d.writeStartedAt = true, d.clock.now()
	d.disk.Write(batch, func() {
		d.writing = false
		for _, w := range batch.Logs {
			d.onSynced(w.Log, w.Write.Seq)
		}
		d.onDeparturesStored(batch.Departures)
	})
}

// stalledFor is how long the disk has had a write under way; 0: there is none.
func (d *diskQueue) stalledFor() time.Duration {
	if !d.writing {
		return 0
	}
	return d.clock.now() - d.writeStartedAt
}
