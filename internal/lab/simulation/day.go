package simulation

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/counters"
)

// Result is what came of a day.
type Result struct {
	Day             *Day
	Broken          []history.Violation
	Digest          string // of all that was seen and sent: the same for the same day
	Counts          Counts
	AcceptedConfigs int             // configurations acknowledged
	Recovered       []time.Duration // until all nodes served: after the faults, after the closing fault
	SimulatedTime   time.Duration   // simulated
	Events          uint64
	Syncs           int
	Disks           Traffic // bytes a second that a node with a disk sends, by kind, in the mean
	Others          Traffic // and one without
	MaxNodeRate     float64 // the most that any node sends
	History         []history.Event
	Partitioned     PartitionTimes
	DrainResults    []DrainResult // of backends that said that they leave
	Calls           int           // of applications
	ClearCalls      int           // answered clearly
	Undecided       int           // names whose linearizability took too long to decide
	StaleInContact  uint64        // counters.StaleInContact of all processes
}

const (
	firstConfigTimeout = 17 * time.Second // the first configuration is taken by then
	// timingSlack of what rests on times: the way of requests.
	timingSlack      = 50 * time.Millisecond
	wipeRecoveryTime = 9 * time.Second // what was lost has caught up
	checkInterval    = 100 * time.Millisecond
	drainTime        = 3 * time.Second // until all that was asked is answered
	warmupTime       = 8 * time.Second // of a calm day, before bytes are counted
)

// maxRecovery is when all nodes must serve again after the last heal.
var maxRecovery = gatewaystandin.Bounds().Recovery + 2*time.Second

// Play plays a day.
func Play(d *Day) (r *Result) {
	d.Site = d.Site.Usual()
	w := newWorld(d)
	r = &Result{Day: d}
	defer func() {
		if x := recover(); x != nil {
			r.Broken = append(r.Broken, history.Violation{Rule: "Fault", Time: w.now, What: fmt.Sprintf("%v\n%s", x, debug.Stack())})
		}
	}()
	w.run(r)
	r.SimulatedTime, r.Events, r.Digest, r.Counts, r.History = w.now-origin, w.events, w.digest(), w.clients.counts, w.history
	r.Partitioned, r.DrainResults = w.partitionTimes, w.drainResults
	return r
}

// run plays a day: the start, the faults and the recovery from them, then what is read back at the end and the judge.
func (w *world) run(r *Result) {
	w.startAll()
	if !w.sendFirstConfig() {
		r.Broken = append(r.Broken, history.Violation{Rule: "Acks", Time: w.now, Who: "operator",
			What: "no first configuration is taken, with nothing in trouble"})
		return
	}
	w.clients.begin()
	w.beginApplications()
	if w.day.Calm {
		w.operator.goes = w.day.Changes
		w.countedTime = w.now + warmupTime
		w.until(w.countedTime+w.day.For, nil)
		w.countTraffic(r, w.day.For)
		return
	}
	w.playFaults(r)
	w.operator.goes, w.clients.open = false, false
	w.endApplications(r)
	w.until(w.now+gatewaystandin.ClearMost+5*time.Second, func() bool { return !w.operator.busy })
	final := w.readFinalConfig()
	w.until(w.now+drainTime, nil)
	w.finished = true
	w.check(r, final)
}

// startAll starts backends and machines, some time apart.
func (w *world) startAll() {
	for _, s := range gatewaystandin.Services {
		for _, z := range w.zones {
			for range w.day.Each {
				w.timeline.add(s.Name, z, 0)
			}
		}
	}
	apart := 300 * time.Millisecond
	if w.day.Early {
		apart = []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second}[w.netRand.IntN(4)]
	}
	for _, m := range w.machines { // until then it is as one that was killed
		w.record(history.Event{Who: m.name, Kind: history.Down})
		w.after(span(w.netRand, 0, apart), m.start)
	}
	w.clients.watch()
	w.watchContact()
}

// sendFirstConfig has the operator send the first configuration, and waits for it, unless faults begin before.
func (w *world) sendFirstConfig() bool {
	opened := false
	w.operator.open(func() { opened = true })
	if !w.day.Early {
		return w.until(w.now+firstConfigTimeout, func() bool { return opened })
	}
	for i := range w.day.Faults {
		w.play(&w.day.Faults[i])
	}
	return true
}

// playFaults plays the faults, and the closing one, and waits until all serve again after each.
func (w *world) playFaults(r *Result) {
	d := w.day
	for i := range d.Faults {
		if !d.Early {
			w.play(&d.Faults[i])
		}
	}
	w.until(w.now+d.For, nil)
	w.until(w.now+time.Minute, func() bool { return w.faults == 0 })
	if w.awaitRecovery(r, "the faults") && d.Closing {
		if d.Wipe {
			w.until(w.now+wipeRecoveryTime, nil)
		}
		w.closingFault()
		w.awaitRecovery(r, "the closing fault")
	}
}

// readFinalConfig reads the newest configuration, twice if need be; nil if none comes.
func (w *world) readFinalConfig() (final *routing.Config) {
	for range 2 {
		if final == nil {
			read := false
			w.operator.read(func(b *routing.Config) { final, read = b, true })
			w.until(w.now+gatewaystandin.ClearMost+time.Second, func() bool { return read })
		}
	}
	return final
}

// check holds the day against the rules.
func (w *world) check(r *Result, final *routing.Config) {
	backends := w.backends()
	for _, v := range backends.Versions {
		if v.Acked > 0 {
			r.AcceptedConfigs++
		}
	}
	for _, m := range w.cores() {
		r.Syncs += m.disk.syncs
	}
	r.Broken = append(r.Broken, gatewaystandin.Kept(final, backends.Versions, w.now)...)
	r.Broken = append(r.Broken, gatewaystandin.Check(w.history, backends, timingSlack)...)
	r.Broken = append(r.Broken, w.broken...)
	for _, c := range w.counters {
		r.StaleInContact += c[counters.StaleInContact]
	}
	slices.SortStableFunc(r.Broken, func(a, b history.Violation) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), strings.Compare(a.Rule, b.Rule), strings.Compare(a.What, b.What))
	})
}

func (w *world) backends() *gatewaystandin.Backends {
	c := &gatewaystandin.Backends{Nodes: map[string]string{}, Services: w.timeline.services, Versions: map[uint64]gatewaystandin.Version{}}
	for at, m := range w.byControlAddr { // those that were replaced too
		c.Nodes[at] = m.name
	}
	for _, m := range w.cores() {
		c.Cores = append(c.Cores, m.name)
	}
	for n, v := range w.operator.versions {
		c.Versions[n] = *v
	}
	return c
}

// closingFault kills all right after an acknowledgement; one disk may be lost by it.
func (w *world) closingFault() {
	rng := source(w.day.Seed, 0xc105)
	lost, struck := w.cores()[rng.IntN(w.day.Disks)], false
	w.atNextMoment(spec.Acknowledged, 5*time.Second, func() {
		struck = true
		w.logf("closing fault")
		for _, m := range w.machines {
			m.kill(rng.IntN(2) == 0)
			if w.day.Wipe && m == lost {
				m.loseDisk()
			}
		}
	})
	w.until(w.now+10*time.Second, func() bool { return struck })
	for _, m := range w.machines {
		w.after(span(rng, 200*time.Millisecond, time.Second), m.start)
	}
	w.until(w.now+time.Second, nil)
}

// awaitRecovery waits until every node serves every first route.
func (w *world) awaitRecovery(r *Result, what string) bool {
	began, left := w.now, len(w.machines)
	wants := gatewaystandin.Probes()
	for _, m := range w.machines {
		served := 0
		var next func()
		next = func() {
			want := wants[served]
			want.Zone = m.zone
			w.clients.startAttempt(m, want, want.Deadline, func(status int, _ time.Duration) {
				if status != 200 {
					served = 0
					w.after(checkInterval, next)
					return
				}
				if served++; served < len(wants) {
					next()
					return
				}
				m.servingSince = w.now
				left--
			})
		}
		m.servingSince = 0
		next()
	}
	ok := w.until(w.now+maxRecovery, func() bool { return left == 0 })
	r.Recovered = append(r.Recovered, w.now-began)
	for _, m := range w.machines {
		if m.servingSince == 0 {
			why := "it does not run"
			if m.process != nil {
				why = fmt.Sprint(m.process.node.Status().Unready)
			}
			r.Broken = append(r.Broken, history.Violation{Rule: "RECOVER", Time: w.now, Who: m.name,
				What: fmt.Sprintf("does not serve %s after %s: %s", maxRecovery, what, why)})
		}
	}
	return ok
}

// countTraffic gives what nodes sent in a calm time.
func (w *world) countTraffic(r *Result, over time.Duration) {
	r.Disks, r.Others = Traffic{}, Traffic{}
	for _, m := range w.machines {
		to := r.Others
		if m.disk != nil {
			to = r.Disks
		}
		for kind, n := range m.sent {
			to[kind] += n
		}
		r.MaxNodeRate = max(r.MaxNodeRate, float64(m.sent.Sum())/over.Seconds())
	}
	for t, of := range map[*Traffic]int{&r.Disks: w.day.Disks, &r.Others: w.day.Nodes - w.day.Disks} {
		for kind := range *t {
			(*t)[kind] = int64(float64((*t)[kind]) / over.Seconds() / float64(of))
		}
	}
}
