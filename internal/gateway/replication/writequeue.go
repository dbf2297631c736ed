package replication

// maxBatchBytes bounds the groups' writes in one transaction, beside the configuration's: it is the longest delay of a
// configuration. One write always goes.
const maxBatchBytes = 256 << 10

// WriteQueue has the writes of a node's replicas while its one disk is busy, and decides what goes into one transaction. Writes
// of one log are merged, so that a disk that hangs has no more to write than the state of each log. The host writes a transaction
// atomically and calls Synced of each replica. The zero value is empty.
type WriteQueue struct {
	knobs        TestingKnobs
	pending      map[LogID]*Write
	nextGroupLog LogID // whose write goes first
}

// Put adds a write behind those of the same log.
func (w *WriteQueue) Put(log LogID, write Write) {
	if w.pending == nil {
		w.pending = map[LogID]*Write{}
	}
	if earlier := w.pending[log]; earlier != nil && !w.knobs.hasMutation(loseMergedWrite) {
		write = earlier.Merge(write)
	}
	w.pending[log] = &write
}

// Take returns the next transaction and removes it: the configuration's write always, and the groups' in turn, up to
// maxBatchBytes. It returns nil if nothing is pending.
func (w *WriteQueue) Take() (batch []LogWrite) {
	if len(w.pending) == 0 {
		return nil
	}
	moveToBatch := func(log LogID) {
		batch = append(batch, LogWrite{log, *w.pending[log]})
		delete(w.pending, log)
	}
	if w.pending[ConfigurationLog] != nil {
		moveToBatch(ConfigurationLog)
	}
	batchBytes := 0
	for _, log := range w.groupsWithPendingWrites() {
		size := w.pending[log].Size()
		if batchBytes += size; batchBytes > maxBatchBytes && batchBytes > size {
			w.nextGroupLog = log
			break
		}
		moveToBatch(log)
	}
	return batch
}

// groupsInTurn are the groups with pending writes, from nextGroup on.
func (w *WriteQueue) groupsWithPendingWrites() (groups []LogID) {
	last := ConfigurationLog
	for log := range w.pending {
		last = max(last, log)
	}
	first := max(w.nextGroupLog, 1)
	for i := range last {
		if log := 1 + (first-1+i)%last; w.pending[log] != nil {
			groups = append(groups, log)
		}
	}
	return groups
}
