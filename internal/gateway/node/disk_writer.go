package node

import (
	"time"

	"clovergap/internal/gateway/logstore"
	"clovergap/internal/gateway/replication"
)

// diskWriter is a real one, with a goroutine of its own: a slow disk must hold up nothing else.
type diskWriter struct {
	node   *Node
	store  *logstore.Store
	writes chan diskBatch
}

// diskBatch is what goes to the disk at once.
type diskBatch struct {
	writes    []replication.LogWrite
	softState []byte
	done      func()
}

func (d *diskWriter) Write(writes []replication.LogWrite, note []byte, done func()) {
	d.writes <- diskBatch{writes, note, done}
}
func (d *diskWriter) SoftState() []byte { return d.store.SoftState() }
func (d *diskWriter) GroupLogs() map[replication.LogID]replication.PersistentState {
	return d.store.GroupLogs()
}

func (d *diskWriter) run() {
	for b := range d.writes {
		for wait := 20 * time.Millisecond; ; wait = min(2*wait, time.Second) {
			err := d.store.Write(b.writes)
			if err == nil {
				break
			}
			d.node.loop.Turn(func() { d.node.logWarn(corePart).Err(err).Msg("disk write failed, retrying") })
			time.Sleep(wait)
		}
		if b.softState != nil {
			if err := d.store.SaveSoftState(b.softState); err != nil {
				d.node.loop.Turn(func() { d.node.logWarn(registryPart).Err(err).Msg("registry not saved") })
			}
		}
		d.node.loop.Turn(b.done)
	}
}
