package node

import (
	"time"

	"clovergap/internal/gateway/logstore"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// A failed write is repeated after minWriteRetry, doubled up to maxWriteRetry.
const (
	minWriteRetry = 20 * time.Millisecond
	maxWriteRetry = time.Second
)

// diskWriter is the Disk of a node on sockets. It has a goroutine of its own: a slow disk must hold up neither requests nor heartbeats.
type diskWriter struct {
	node   *Node
	store  *logstore.Store
	writes chan diskWrite
}

// diskWrite is a batch to be written, and what to call when its logs and departures are synced.
type diskWrite struct {
	batch DiskBatch
	done  func()
}

// Write hands a batch to the goroutine.
func (d *diskWriter) Write(batch DiskBatch, done func()) { d.writes <- diskWrite{batch, done} }

// Departures are those of backends that the store held when it was opened.
func (d *diskWriter) Departures() []registry.Departure { return d.store.Departures() }

// SoftState is what the store has.
func (d *diskWriter) SoftState() []byte { return d.store.SoftState() }

// GroupLogs are what the store held when it was opened.
func (d *diskWriter) GroupLogs() map[replication.LogID]replication.PersistentState {
	return d.store.GroupLogs()
}

// run writes batches until the channel is closed.
func (d *diskWriter) run() {
	for w := range d.writes {
		d.writeUntilStored(w.batch)
		if err := d.saveSoftState(w.batch.SoftState); err != nil {
			d.node.loop.Turn(func() { d.node.logWarn(registryPart).Err(err).Msg("registry not saved") })
		}
		d.node.loop.Turn(w.done)
	}
}

// saveSoftState stores the state of the registry, if there is any. Departures that the registry no longer has are removed only after
// the state is stored. A disk that keeps an old state keeps the departures that belong to it.
func (d *diskWriter) saveSoftState(state *SoftState) error {
	if state == nil {
		return nil
	}
	if err := d.store.SaveSoftState(state.Backends); err != nil {
		return err
	}
	return d.store.RetainDepartures(state.DepartingIDs)
}

// writeUntilStored repeats a write that fails: nothing may be acknowledged without it, and no later one may be stored before it.
func (d *diskWriter) writeUntilStored(batch DiskBatch) {
	for delay := minWriteRetry; ; delay = min(2*delay, maxWriteRetry) {
		err := d.store.Write(batch.Logs, batch.Departures...)
		if err == nil {
			return
		}
		d.node.loop.Turn(func() { d.node.logWarn(corePart).Err(err).Msg("disk write failed, retrying") })
		time.Sleep(delay)
	}
}
