package replication

// maxBatchBytes is the maximum total size of the writes of coordination groups in one transaction. It limits the time for which a
// transaction delays the next write of the configuration log. The first group write of a transaction is included whatever its size.
const maxBatchBytes = 256 << 10

// WriteQueue collects the writes of a node's replicas while the node's disk is busy, and selects the writes of the next transaction.
// Writes of the same log are merged, so that even while a disk hangs, at most the state of each log is pending. The host writes a
// transaction atomically and then calls ReportSynced on each replica. The zero value is empty.
type WriteQueue struct {
	knobs        TestingKnobs
	pending      map[LogID]*Write
	nextGroupLog LogID // coordination group whose write is taken first; 0: the first group
}

// Put adds a write to a log. If a write to this log is pending, the two writes are merged.
func (w *WriteQueue) Put(log LogID, write Write) {
	if w.pending == nil {
		w.pending = map[LogID]*Write{}
	}
	if earlier := w.pending[log]; earlier != nil && !w.knobs.hasMutation(loseMergedWrite) {
		write = earlier.Merge(write)
	}
	w.pending[log] = &write
}

// Take removes and returns the writes of the next transaction: the write of the configuration log, and the writes of groups in
// round-robin order up to maxBatchBytes. It returns nil if no write is pending.
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

// groupsWithPendingWrites returns the groups with pending writes in round-robin order, starting with nextGroupLog.
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
