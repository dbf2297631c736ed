package node

import (
	"time"

	"clovergap/internal/gateway/logstore"
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
	writes chan diskBatch
}

// diskBatch is what is written at once.
type diskBatch struct {
	writes    []replication.LogWrite
	softState []byte
	done      func()
}

// Write hands a batch to the goroutine.
func (d *diskWriter) Write(writes []replication.LogWrite, softState []byte, done func()) {
	d.writes <- diskBatch{writes, softState, done}
}

// SoftState is what the store has.
func (d *diskWriter) SoftState() []byte { return d.store.SoftState() }

// GroupLogs are what the store held when it was opened.
func (d *diskWriter) GroupLogs() map[replication.LogID]replication.PersistentState {
	return d.store.GroupLogs()
}

// run writes batches until the channel is closed.
func (d *diskWriter) run() {
	for b := range d.writes {
		d.writeUntilStored(b.writes)
		if b.softState != nil {
			if err := d.store.SaveSoftState(b.softState); err != nil {
				d.node.loop.Turn(func() { d.node.logWarn(registryPart).Err(err).Msg("registry not saved") })
			}
		}
		d.node.loop.Turn(b.done)
	}
}

// writeUntilStored repeats a write that fails: nothing may be acknowledged without it, and no later one may be stored before it.
func (d *diskWriter) writeUntilStored(writes []replication.LogWrite) {
	for delay := minWriteRetry; ; delay = min(2*delay, maxWriteRetry) {
		err := d.store.Write(writes)
		if err == nil {
			return
		}
		d.node.loop.Turn(func() { d.node.logWarn(corePart).Err(err).Msg("disk write failed, retrying") })
		time.Sleep(delay)
	}
}
