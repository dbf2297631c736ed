package replication

// WriteQueue holds what the replicas of a node have to write while its one disk is at work: what waits is put together by log, so
// that a disk that hangs has no more to write than the state of each. It decides what goes into one transaction; the host takes that to
// the disk, whole, and tells each replica once it is synced (Synced). The zero value is empty.
type WriteQueue struct {
	pending   map[LogID]*Write
	nextGroup LogID // the group whose write goes first
	fault     fault
}

// maxBatchBytes is how many bytes of the groups' writes go into one transaction, beside the configuration's: what a configuration waits
// for at the most. One write always does.
const maxBatchBytes = 256 << 10

// Put adds what a replica writes, behind what it wrote before.
func (w *WriteQueue) Put(log LogID, write Write) {
	if w.pending == nil {
		w.pending = map[LogID]*Write{}
	}
	if before := w.pending[log]; before != nil && w.fault != dropMerged {
		write = before.Merge(write)
	}
	w.pending[log] = &write
}

// Take is the next transaction: the configuration's write always, and the groups' in turn, up to a bound. Nil: nothing waits.
func (w *WriteQueue) Take() (batch []LogWrite) {
	if len(w.pending) == 0 {
		return nil
	}
	most := ConfigurationLog
	for log := range w.pending {
		most = max(most, log)
	}
	take := func(log LogID) {
		batch = append(batch, LogWrite{log, *w.pending[log]})
		delete(w.pending, log)
	}
	if w.pending[ConfigurationLog] != nil {
		take(ConfigurationLog)
	}
	size, first := 0, max(w.nextGroup, 1)
	for i := range most {
		log := 1 + (first-1+i)%most
		if w.pending[log] == nil {
			continue
		}
		own := w.pending[log].Size()
		if size += own; size > maxBatchBytes && size > own {
			w.nextGroup = log
			break
		}
		take(log)
	}
	return batch
}
