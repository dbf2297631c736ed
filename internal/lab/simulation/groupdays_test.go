package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/callhistory"
)

// callers are applications that call any node for coordination all day, from outside of all cuts, and note what they saw.
type callers struct {
	w       *world
	rng     *rand.Rand
	records []*callhistory.Record
	good    map[coordination.Operation]int
	values  int
}

// ask makes one call at any node; without an answer within a second the caller knows nothing.
func (c *callers) ask(caller string, call coordination.Call, then func(coordination.Answer)) {
	w, m := c.w, c.w.machines[c.rng.IntN(len(c.w.machines))]
	r := &callhistory.Record{Caller: caller, Call: call, Sent: w.now, Ended: callhistory.Never}
	c.records = append(c.records, r)
	open := true
	w.after(time.Second, func() {
		if open {
			open = false
			then(coordination.Answer{Status: coordination.Unclear})
		}
	})
	way := span(w.net, 200*time.Microsecond, 2*time.Millisecond)
	w.after(way, func() {
		if m.p == nil {
			return
		}
		m.p.turn(func() {
			m.p.h.Coordinate(call, func(a coordination.Answer) {
				w.after(way, func() {
					if !open {
						return
					}
					open = false
					if r.Answer = a; a.Status != coordination.Unclear {
						r.Ended = w.now
					}
					if a.Status == coordination.OK {
						c.good[call.Operation]++
					}
					then(a)
				})
			})
		})
	})
}

// goes has one caller go on all day: numbers, puts, reads, and locks that are lengthened, given back, or kept by one who dies.
func (c *callers) goes(nr int) {
	caller := fmt.Sprint("caller-", nr)
	var next func()
	again := func() { c.w.after(span(c.rng, 5*time.Millisecond, 120*time.Millisecond), next) }
	next = func() {
		if c.w.over {
			return
		}
		key := fmt.Sprintf("g%d.%d", c.rng.IntN(3), c.rng.IntN(4))
		switch c.rng.IntN(5) {
		case 0:
			c.ask(caller, coordination.Call{Operation: coordination.Number, Name: fmt.Sprint("n", c.rng.IntN(2))}, func(coordination.Answer) { again() })
		case 1:
			c.values++
			c.ask(caller, coordination.Call{Operation: coordination.KeyReplace, Name: key, Value: fmt.Sprint("v", c.values)},
				func(coordination.Answer) { again() })
		case 2:
			c.ask(caller, coordination.Call{Operation: coordination.KeyRead, Name: key}, func(coordination.Answer) { again() })
		default:
			c.lock(caller, fmt.Sprint("l", c.rng.IntN(3)), again)
		}
	}
	again()
}

// lock takes a lock, and does with it what callers do.
func (c *callers) lock(caller, name string, then func()) {
	hold := span(c.rng, 200*time.Millisecond, 1500*time.Millisecond)
	c.ask(caller, coordination.Call{Operation: coordination.LockBegin, Name: name, Holder: caller, Hold: hold}, func(a coordination.Answer) {
		if a.Status != coordination.OK {
			then()
			return
		}
		call := coordination.Call{Name: name, Holder: caller, Fence: a.Fence, Hold: hold}
		switch c.rng.IntN(3) {
		case 0: // dies, and is back once its time has run out
			c.w.after(hold+100*time.Millisecond, then)
		case 1:
			call.Operation = coordination.LockHeartbeat
			c.w.after(hold/2, func() { c.ask(caller, call, func(coordination.Answer) { then() }) })
		default:
			call.Operation = coordination.LockFinish
			c.w.after(span(c.rng, time.Millisecond, hold/2), func() { c.ask(caller, call, func(coordination.Answer) { then() }) })
		}
	})
}

// groupDay plays a drawn day with callers, and tells what they and the day's own judges found broken.
func groupDay(t *testing.T, d *Day) (broken []string, good map[coordination.Operation]int) {
	d.Site = d.Site.Usual()
	w := newWorld(d)
	for _, m := range w.machines {
		m.settings.Contracts = []string{"coord"}
		m.settings.Tolerates.Machines = d.Tolerates()
	}
	c := &callers{w: w, rng: source(d.Seed, 0xca11), good: map[coordination.Operation]int{}}
	for nr := range 8 {
		c.goes(nr)
	}
	r := &Result{Day: d}
	w.run(r)
	for _, b := range r.Broken {
		broken = append(broken, fmt.Sprint(b))
	}
	for _, b := range callhistory.Check(c.records, callhistory.Terms{History: 20 * time.Second}) {
		broken = append(broken, b.String())
	}
	w.over = false
	began, last := w.now, len(c.records)
	for nr := range 8 {
		c.goes(nr)
	}
	before := len(c.records)
	w.until(began+5*time.Second, nil)
	ended := 0
	for _, r := range c.records[before:] {
		if r.Sent > began+3*time.Second && r.Good() {
			ended++
		}
	}
	if ended == 0 {
		broken = append(broken, fmt.Sprintf("no call is answered after the day, %d were in it", last))
	}
	for _, b := range callhistory.Check(c.records, callhistory.Terms{History: 20 * time.Second}) {
		broken = append(broken, "in the end "+b.String())
	}
	return broken, c.good
}

// Drawn and hard days with callers: whatever befalls the machines, no lock is held twice, no number or revision is given twice or falls,
// no read is older than what was acknowledged, and all goes on afterwards. GROUP_DAYS sets how many of each are played.
func TestDaysWithCallers(t *testing.T) {
	days := 6
	if n, err := strconv.Atoi(os.Getenv("GROUP_DAYS")); err == nil {
		days = n
	}
	for name, draw := range map[string]func(Site, uint64, int, time.Duration) *Day{"drawn": Draw, "hard": DrawHard} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total := map[coordination.Operation]int{}
			for i := range days {
				seed := uint64(9000 + i)
				disks := []int{3, 5, 8}[i%3]
				broken, good := groupDay(t, draw(Site{Nodes: disks + 2, Disks: disks}, seed, 6, 8*time.Second))
				must.SliceEmpty(t, broken, must.Sprintf("seed %d, %d disks", seed, disks))
				for o, n := range good {
					total[o] += n
				}
			}
			for _, o := range []coordination.Operation{coordination.LockBegin, coordination.Number, coordination.KeyReplace, coordination.KeyRead} {
				must.Greater(t, 20*days, total[o], must.Sprint(o))
			}
			t.Logf("%d days: good calls %v", days, total)
		})
	}
}
