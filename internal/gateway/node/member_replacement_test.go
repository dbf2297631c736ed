package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/logstore"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
)

// replacementTimeout is well over the 4 s after which a new machine, and the one that it replaces, must not count as lost any more on the
// small sites: processors are shared here. The bound itself is tested in simulated time, in internal/lab/simulation.
const replacementTimeout = 12 * time.Second

// addNode starts one more node with an empty disk of its own, after the first start of all.
func (t *testCluster) addNode() int {
	i := len(t.settings)
	s := *t.settings[0]
	ip := fmt.Sprint(s.IPAddress[:len(s.IPAddress)-2], 11+i)
	s.NodeName, s.IPAddress, s.FirstBoot, s.DataDir = fmt.Sprint("node-", i), ip, false, t.t.TempDir()
	s.Bind = settings.Bind{Front: ip + ":18388", Readiness: ip + ":18384", Control: ip + ":18381"}
	t.settings = append(t.settings, &s)
	t.start(i)
	return i
}

// awaitLeaderStatus waits for a node whose status says that it leads.
func (t *testCluster) awaitLeaderStatus() (who int) {
	t.t.Helper()
	t.eventually("one leads", func() bool {
		for i := range t.running {
			if t.status(i).Core.Role == "leading" {
				who = i
				return true
			}
		}
		return false
	})
	return who
}

// hasReplaced reports whether a node knows three committed members, of which one is in and another out.
func (t *testCluster) hasReplaced(at, in, out int) bool {
	has := map[string]bool{}
	s := t.status(at).Core
	for _, m := range s.Members {
		has[m.Address] = true
	}
	return s.Settled && len(has) == 3 && has[t.peerAddr(in)] && !has[t.peerAddr(out)]
}

func (t *testCluster) peerAddr(i int) string {
	return fmt.Sprint(t.settings[i].IPAddress, ":", t.settings[i].InnerPorts[0])
}

// within reports whether something holds before the time is over.
func (t *testCluster) within(most time.Duration, is func() bool) (took time.Duration, ok bool) {
	began := time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for ; time.Since(began) < most; <-tick.C {
		if is() {
			return time.Since(began), true
		}
	}
	return most, false
}

// startThreeMembers starts three nodes with disks, all of them members, with a configuration.
func startThreeMembers(t *testing.T) *testCluster {
	d := startCluster(t, 3)
	d.eventuallyAll("three members", func(s controlapi.NodeStatus) bool {
		return s.Slot != nil && len(s.Core.Members) == 3 && s.Core.Settled
	})
	d.callUntilClear(0, 200, "POST", "/api/Config.Replace", configBody(1, 0))
	return d
}

// A machine with a disk is lost for good, and another one with an empty disk and an address of its own replaces it. A little later one more is
// lost: one loss at a time must be tolerated. Three members of which one was replaced made four, of which the lost one counted for a
// minute: the second loss left two of four, and no change was taken.
func TestSecondLossAfterReplacement(t *testing.T) {
	d := startThreeMembers(t)
	gone := (d.awaitLeaderStatus() + 1) % 3
	d.kill(gone)
	heir := d.addNode()
	took, ok := d.within(replacementTimeout, func() bool {
		return d.hasReplaced(d.awaitLeaderStatus(), heir, gone) && d.hasReplaced(heir, heir, gone)
	})
	t.Log("replaced after", took, ok)
	must.True(t, ok, must.Sprint("the lost one still counts"))
	for i := range 3 { // another is lost: the one that led all of this, for the worst
		if i != gone {
			d.kill(i)
			break
		}
	}
	took, ok = d.within(replacementTimeout, func() bool {
		status, _ := d.call(heir, "POST", "/api/Config.Replace", configBody(2, 1))
		return status == 200
	})
	t.Log("taken after", took, ok)
	must.True(t, ok, must.Sprint("no order is taken after one more loss"))
}

// writeLoneBootstrap writes a bootstrap to a node's disk whose other founders never had it.
func (t *testCluster) writeLoneBootstrap(i int, others ...replication.Member) {
	t.t.Helper()
	book, kept, err := logstore.Open(t.settings[i].DataDir)
	must.NoError(t.t, err)
	p := replication.New(replication.Member{ID: kept.ID, Addr: t.peerAddr(i)}, kept, replication.DefaultConfig(), 1, 0)
	must.NoError(t.t, p.Bootstrap(append(others, replication.Member{ID: kept.ID, Addr: t.peerAddr(i)})))
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		if w, is := a.(replication.Write); is {
			must.NoError(t.t, book.Write([]replication.LogWrite{{Log: replication.ConfigurationLog, Write: w}}))
			p.ReportSynced(w.Seq)
		}
	}
	must.NoError(t.t, book.Close())
}

// awaitThreeMembers waits until all running nodes have the same three members.
func (t *testCluster) awaitThreeMembers() {
	t.t.Helper()
	t.eventuallyAll("three members", func(s controlapi.NodeStatus) bool {
		return s.Slot != nil && s.Core.Settled && len(s.Core.Members) == 3 && s.Core.Leader != ""
	})
}

// A first start with one disk out of reach for longer than it is waited for: two bootstrap the log, and the third is a member a moment after
// it appears. Until then the loss of one of the two stops the log.
func TestThirdDiskComesLate(t *testing.T) {
	for late := range 3 {
		d := newCluster(t, 3)
		for i := range 3 {
			if i != late {
				d.start(i)
			}
		}
		for i := range 3 {
			d.eventually("two begin", func() bool { return i == late || d.status(i).Core.Settled && len(d.status(i).Core.Members) == 2 })
		}
		began := time.Now()
		d.start(late)
		d.awaitThreeMembers()
		t.Log("the third one's", late, "is a member after", time.Since(began))
		d.stop()
	}
}

// The first seed bootstrapped the log and was killed before the others had it. They bootstrap without the first seed; it is back with a disk
// that holds a bootstrap which no other node joined, and stayed out for ever.
func TestLoneFounderJoinsTheOthers(t *testing.T) {
	d := newCluster(t, 3)
	d.start(1)
	d.start(2)
	for i := 1; i < 3; i++ {
		d.eventually("two begin", func() bool { return d.status(i).Core.Settled && len(d.status(i).Core.Members) == 2 })
	}
	d.callUntilClear(1, 200, "POST", "/api/Config.Replace", configBody(1, 0))
	d.writeLoneBootstrap(0, replication.Member{ID: 5, Addr: d.peerAddr(1)}, replication.Member{ID: 6, Addr: d.peerAddr(2)})
	d.settings[0].FirstBoot = false
	d.start(0)
	d.awaitThreeMembers()
	d.eventuallyAll("the configuration", func(s controlapi.NodeStatus) bool { return s.Generation == 1 })
}

// The same where the others lost their disks before they had it: none bootstrapped, since a node that they met had a state.
func TestLoneFoundingWhoseOthersAreEmpty(t *testing.T) {
	d := newCluster(t, 3)
	d.writeLoneBootstrap(0, replication.Member{ID: 5, Addr: d.peerAddr(1)}, replication.Member{ID: 6, Addr: d.peerAddr(2)})
	for i := range 3 {
		d.settings[i].FirstBoot = false
		d.start(i)
	}
	d.awaitThreeMembers()
	d.callUntilClear(0, 200, "POST", "/api/Config.Replace", configBody(1, 0))
}
