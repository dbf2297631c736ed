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
)

// Result is what came of a day.
type Result struct {
	Day        *Day
	Broken     []history.Broken
	Digest     string // of all that was seen and sent: the same for the same day
	Counts     Counts
	Taken      int             // configurations acknowledged
	Recovered  []time.Duration // until all nodes served: after the faults, after the closing fault
	Played     time.Duration   // simulated
	Events     uint64
	Syncs      int
	Disks      Traffic // bytes a second that a node with a disk sends, by kind, in the mean
	Others     Traffic // and one without
	Most       float64 // the most that any node sends
	History    []history.Event
	Parted     Parted
	Ends       []Ended // of backends that said that they leave
	Calls      int     // of applications
	ClearCalls int     // answered clearly
	Undecided  int     // names whose linearizability took too long to decide
}

const (
	openIn = 17 * time.Second // the first configuration is taken by then
	// slack of what rests on times: the way of requests.
	slack    = 50 * time.Millisecond
	wipeCalm = 9 * time.Second // what was lost has caught up
	lookEach = 100 * time.Millisecond
	tail     = 3 * time.Second // until all that was asked is answered
	warm     = 8 * time.Second // of a calm day, before bytes are counted
)

// recoverMost is when all nodes must serve again after the last heal.
var recoverMost = gatewaystandin.Bounds().Recovery + 2*time.Second

// Play plays a day.
func Play(d *Day) (r *Result) {
	d.Site = d.Site.Usual()
	w := newWorld(d)
	r = &Result{Day: d}
	defer func() {
		if x := recover(); x != nil {
			r.Broken = append(r.Broken, history.Broken{Rule: "Fault", T: w.now, What: fmt.Sprintf("%v\n%s", x, debug.Stack())})
		}
	}()
	w.run(r)
	r.Played, r.Events, r.Digest, r.Counts, r.History = w.now-origin, w.events, w.digest(), w.clients.counts, w.history
	r.Parted, r.Ends = w.parted, w.ends
	return r
}

// run plays a day: the start, the faults and the recovery from them, then what is read back at the end and the judge.
func (w *world) run(r *Result) {
	w.start()
	if !w.opens() {
		r.Broken = append(r.Broken, history.Broken{Rule: "Acks", T: w.now, Who: "operator",
			What: "no first configuration is taken, with nothing in trouble"})
		return
	}
	w.clients.begin()
	w.beginApplications()
	if w.day.Calm {
		w.operator.goes = w.day.Changes
		w.counted = w.now + warm
		w.until(w.counted+w.day.For, nil)
		w.count(r, w.day.For)
		return
	}
	w.suffers(r)
	w.operator.goes, w.clients.open = false, false
	w.endApplications(r)
	w.until(w.now+gatewaystandin.ClearMost+5*time.Second, func() bool { return !w.operator.busy })
	final := w.readsBack()
	w.until(w.now+tail, nil)
	w.over = true
	w.judge(r, final)
}

// start starts backends and machines, some time apart.
func (w *world) start() {
	for _, s := range gatewaystandin.Services {
		for _, z := range w.zones {
			for range w.day.Each {
				w.timeline.add(s.Name, z, 0)
			}
		}
	}
	apart := 300 * time.Millisecond
	if w.day.Early {
		apart = []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second}[w.net.IntN(4)]
	}
	for _, m := range w.machines { // until then it is as one that was killed
		w.note(history.Event{Who: m.name, Kind: history.Down})
		w.after(span(w.net, 0, apart), m.start)
	}
	w.clients.watch()
	w.watchContact()
}

// opens has the operator send the first configuration, and waits for it, unless faults begin before.
func (w *world) opens() bool {
	opened := false
	w.operator.open(func() { opened = true })
	if !w.day.Early {
		return w.until(w.now+openIn, func() bool { return opened })
	}
	for i := range w.day.Faults {
		w.play(&w.day.Faults[i])
	}
	return true
}

// suffers plays the faults, and the closing one, and waits until all serve again after each.
func (w *world) suffers(r *Result) {
	d := w.day
	for i := range d.Faults {
		if !d.Early {
			w.play(&d.Faults[i])
		}
	}
	w.until(w.now+d.For, nil)
	w.until(w.now+time.Minute, func() bool { return w.faults == 0 })
	if w.recovers(r, "the faults") && d.Closing {
		if d.Wipe {
			w.until(w.now+wipeCalm, nil)
		}
		w.closing()
		w.recovers(r, "the closing fault")
	}
}

// readsBack reads the newest configuration, twice if need be; nil if none comes.
func (w *world) readsBack() (final *routing.Config) {
	for range 2 {
		if final == nil {
			read := false
			w.operator.read(func(b *routing.Config) { final, read = b, true })
			w.until(w.now+gatewaystandin.ClearMost+time.Second, func() bool { return read })
		}
	}
	return final
}

// judge holds the day against the rules.
func (w *world) judge(r *Result, final *routing.Config) {
	backends := w.backends()
	for _, v := range backends.Versions {
		if v.Acked > 0 {
			r.Taken++
		}
	}
	for _, m := range w.cores() {
		r.Syncs += m.disk.syncs
	}
	r.Broken = append(r.Broken, gatewaystandin.Kept(final, backends.Versions, w.now)...)
	r.Broken = append(r.Broken, gatewaystandin.Judge(w.history, backends, slack)...)
	r.Broken = append(r.Broken, w.broken...)
	slices.SortStableFunc(r.Broken, func(a, b history.Broken) int {
		return cmp.Or(cmp.Compare(a.T, b.T), strings.Compare(a.Rule, b.Rule), strings.Compare(a.What, b.What))
	})
}

func (w *world) backends() *gatewaystandin.Backends {
	c := &gatewaystandin.Backends{Nodes: map[string]string{}, Services: w.timeline.services, Versions: map[uint64]gatewaystandin.Version{}}
	for at, m := range w.byCall { // those that were replaced too
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

// closing kills all right after an acknowledgement; one disk may be lost by it.
func (w *world) closing() {
	rng := source(w.day.Seed, 0xc105)
	lost, struck := w.cores()[rng.IntN(w.day.Disks)], false
	w.next(spec.Acknowledged, 5*time.Second, func() {
		struck = true
		w.say("closing fault")
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

// recovers waits until every node serves every first route.
func (w *world) recovers(r *Result, what string) bool {
	began, left := w.now, len(w.machines)
	wants := gatewaystandin.Probes()
	for _, m := range w.machines {
		served := 0
		var next func()
		next = func() {
			want := wants[served]
			want.Zone = m.zone
			w.clients.try(m, want, want.Deadline, func(status int, _ time.Duration) {
				if status != 200 {
					served = 0
					w.after(lookEach, next)
					return
				}
				if served++; served < len(wants) {
					next()
					return
				}
				m.serves = w.now
				left--
			})
		}
		m.serves = 0
		next()
	}
	ok := w.until(w.now+recoverMost, func() bool { return left == 0 })
	r.Recovered = append(r.Recovered, w.now-began)
	for _, m := range w.machines {
		if m.serves == 0 {
			why := "it does not run"
			if m.p != nil {
				why = fmt.Sprint(m.p.h.Status().Unready)
			}
			r.Broken = append(r.Broken, history.Broken{Rule: "RECOVER", T: w.now, Who: m.name,
				What: fmt.Sprintf("does not serve %s after %s: %s", recoverMost, what, why)})
		}
	}
	return ok
}

// count gives what nodes sent in a calm time.
func (w *world) count(r *Result, over time.Duration) {
	r.Disks, r.Others = Traffic{}, Traffic{}
	for _, m := range w.machines {
		to := r.Others
		if m.disk != nil {
			to = r.Disks
		}
		for kind, n := range m.sent {
			to[kind] += n
		}
		r.Most = max(r.Most, float64(m.sent.Sum())/over.Seconds())
	}
	for t, of := range map[*Traffic]int{&r.Disks: w.day.Disks, &r.Others: w.day.Nodes - w.day.Disks} {
		for kind := range *t {
			(*t)[kind] = int64(float64((*t)[kind]) / over.Seconds() / float64(of))
		}
	}
}
