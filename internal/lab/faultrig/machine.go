package faultrig

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds beyond which the machine itself is too slow for rules that rest on times.
const (
	maxRigStall = 150 * time.Millisecond // for which the rig itself stands still
	maxDiskSync = 600 * time.Millisecond // of one write: with slower disks a core may find no leader, see docs/ROADMAP.md
)

// Of the measurements.
const (
	stallStep    = 5 * time.Millisecond
	syncInterval = 50 * time.Millisecond
	syncBytes    = 4 << 10
)

// hangTimeout is how long a run waits, on a machine that is too slow, for what must come within recoverMost.
const hangTimeout = 2 * time.Minute

// machineWatch measures how slow the machine itself is while a run is played.
type machineWatch struct {
	stop   chan struct{}
	ended  sync.Once
	probes sync.WaitGroup
	dir    string
	stall  atomic.Int64 // longest time for which the rig stood still
	sync   atomic.Int64 // longest sync of a write, once it has ended
	syncAt atomic.Int64 // when the sync under way began, in ns since the Unix epoch; 0: none is under way
}

// watchMachine begins to measure. close ends it.
func watchMachine() (*machineWatch, error) {
	dir, err := os.MkdirTemp("", "clovergap-machine-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, "sync"))
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	m := &machineWatch{stop: make(chan struct{}), dir: dir}
	m.probes.Go(m.measureStalls)
	m.probes.Go(func() { m.measureSyncs(file) })
	return m, nil
}

// close ends the measurement. The results stay. It may be called again.
func (m *machineWatch) close() {
	m.ended.Do(func() {
		close(m.stop)
		m.probes.Wait()
		os.RemoveAll(m.dir)
	})
}

// measureStalls keeps the longest time for which a tick came late.
func (m *machineWatch) measureStalls() {
	tick := time.NewTicker(stallStep)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-m.stop:
			return
		case <-tick.C:
			now := time.Now()
			m.stall.Store(max(m.stall.Load(), int64(now.Sub(last)-stallStep)))
			last = now
		}
	}
}

// measureSyncs writes to a file again and again and keeps the longest sync.
func (m *machineWatch) measureSyncs(file *os.File) {
	defer file.Close()
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
			began := time.Now()
			m.syncAt.Store(began.UnixNano())
			file.WriteAt(make([]byte, syncBytes), 0)
			unix.Fdatasync(int(file.Fd()))
			m.sync.Store(max(m.sync.Load(), int64(time.Since(began))))
			m.syncAt.Store(0)
		}
	}
}

// longestStall returns the longest time for which the rig stood still so far.
func (m *machineWatch) longestStall() time.Duration { return time.Duration(m.stall.Load()) }

// longestSync returns the longest time of a sync so far. One that is under way counts with the time that it has taken.
func (m *machineWatch) longestSync() time.Duration {
	longest := time.Duration(m.sync.Load())
	if at := m.syncAt.Load(); at > 0 {
		longest = max(longest, time.Since(time.Unix(0, at)))
	}
	return longest
}

// trusted reports whether the machine was fast enough so far for rules that rest on times.
func (m *machineWatch) trusted() bool {
	return m.longestStall() <= maxRigStall && m.longestSync() <= maxDiskSync
}
