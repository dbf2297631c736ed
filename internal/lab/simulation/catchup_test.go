package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/lab/gatewaystandin"
)

// changer sends whoever leads one change after another, each made from the generation before.
type changer struct {
	w      *world
	config *routing.Config
	gen    uint64
	sent   time.Duration
}

// leader is the machine that leads; nil if none does.
func (c *changer) leader() *machine {
	for _, m := range c.w.cores() {
		if m.process != nil {
			if s := m.process.node.Status(); s.Core.Role == "leading" && s.Core.Waiting == 0 {
				return m
			}
		}
	}
	return nil
}

func (c *changer) applied(m *machine) uint64 {
	if m == nil || m.process == nil {
		return 0
	}
	return m.process.node.Status().Generation
}

// next sends the next change: small, or whole.
func (c *changer) next(whole bool) bool {
	m := c.leader()
	if m == nil {
		return false
	}
	if at := c.applied(m); at < c.gen && c.w.now-c.sent < 3*time.Second {
		return false
	}
	parent := c.applied(m)
	c.gen, c.sent = parent+1, c.w.now
	if whole {
		b := *c.config
		b.Generation, b.ParentVersion = c.gen, parent
		text, err := json.Marshal(&b)
		if err != nil {
			panic(err)
		}
		c.w.operator.call(m, gatewaystandin.ReplacePath, text, func(int, []byte) {})
		return true
	}
	a := routing.Amendment{Generation: c.gen, ParentVersion: parent, Upserts: &routing.Upserts{
		Tenants: []routing.ConfigTenant{tenant(int(c.gen) % 50)}}}
	text, err := json.Marshal(&a)
	if err != nil {
		panic(err)
	}
	c.w.operator.call(m, gatewaystandin.AmendPath, text, func(int, []byte) {})
	return true
}

func tenant(i int) routing.ConfigTenant {
	return routing.ConfigTenant{Name: fmt.Sprintf("t%06d", i), ApiKeys: []string{fmt.Sprintf("key-of-the-tenant-%06d", i)},
		Priority: 1, RatePerS: 5, Burst: 5}
}

// thin is a site on thin links in which all is calm, with a configuration of about so many bytes.
func thin(t *testing.T, nodes, bytes int, mbps float64) *changer {
	w := newWorld(&Day{Site: Site{Nodes: nodes, Disks: 3, Zones: 1, Mbps: mbps}.Usual(), Seed: 1, For: time.Second, Log: logOf()})
	for _, m := range w.machines {
		m.start()
	}
	c := &changer{w: w, config: gatewaystandin.First()}
	for i := range bytes / 110 {
		c.config.Tenants = append(c.config.Tenants, tenant(i))
	}
	must.True(t, w.until(w.now+20*time.Second, func() bool { return c.leader() != nil }))
	w.until(w.now+5*time.Second, nil)
	c.change(t, 1, true)
	must.True(t, w.until(w.now+4*time.Minute, func() bool { return c.upToDate(w.machines...) }), must.Sprint("the first is not everywhere"))
	return c
}

func logOf() interface{ Write([]byte) (int, error) } {
	if os.Getenv("CATCHUP_LOG") != "" {
		return os.Stdout
	}
	return nil
}

// change makes so many, one after the other is in force at the leader.
func (c *changer) change(t *testing.T, times int, whole bool) {
	t.Helper()
	for range times {
		must.True(t, c.w.until(c.w.now+time.Minute, func() bool { return c.next(whole) }))
		must.True(t, c.w.until(c.w.now+time.Minute, func() bool { return c.applied(c.leader()) >= c.gen }), must.Sprintf("change %d is not taken", c.gen))
	}
}

func (c *changer) upToDate(all ...*machine) bool {
	for _, m := range all {
		if c.applied(m) != c.gen {
			return false
		}
	}
	return true
}

// away has a member and a node without a disk miss so many changes. It tells how long each takes to be as new as the leader was when
// it came back, with small changes going on, and what the others sent for it.
func (c *changer) away(t *testing.T, times int, whole bool) (member, node time.Duration, bytes int64) {
	w := c.w
	var gone *machine
	for _, m := range w.cores() {
		if m != c.leader() {
			gone = m
		}
	}
	last := w.machines[len(w.machines)-1]
	gone.kill(false)
	last.kill(false)
	c.change(t, times, whole)
	w.countedTime = w.now
	for _, m := range w.machines {
		m.sent = nil
	}
	began, goal := w.now, c.gen
	gone.start()
	last.start()
	w.every(200*time.Millisecond, func() bool { c.next(false); return member == 0 || node == 0 })
	must.True(t, w.until(w.now+2*time.Minute, func() bool {
		if member == 0 && c.applied(gone) >= goal {
			member = w.now - began
		}
		if node == 0 && c.applied(last) >= goal {
			node = w.now - began
		}
		return member > 0 && node > 0
	}), must.Sprintf("not level: member %v, node %v", member, node))
	for _, m := range w.machines {
		bytes += m.sent["core"] + m.sent["feed"]
	}
	w.until(w.now+5*time.Second, nil)
	return member, node, bytes
}

// A member and a node without a disk that come back after many changes are level within a stated time, on links of 2 Mbit/s and with
// changes going on: four times what their bytes take on the link, for both come from one node, and three seconds. CATCHUP_SIZE and
// CATCHUP_TIMES play it larger.
func TestAwayOnThinLinks(t *testing.T) {
	t.Parallel()
	const mbps = 2
	number := func(name string, usual int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return usual
	}
	for _, x := range []struct {
		size, times int
		whole       bool
	}{{30_000, 10, false}, {30_000, 300, false}, {number("CATCHUP_SIZE", 120_000), number("CATCHUP_TIMES", 12), true}} {
		c := thin(t, 4, x.size, mbps)
		member, node, bytes := c.away(t, x.times, x.whole)
		once := time.Duration(float64(x.size) * 8000 / mbps)
		t.Logf("%d changes, whole %v, of %d bytes: member %v, node %v, %d bytes sent", x.times, x.whole, x.size, member, node, bytes)
		must.LessEq(t, 4*once+3*time.Second, member)
		must.LessEq(t, 4*once+3*time.Second, node)
		must.LessEq(t, 4*int64(x.size)+300<<10, bytes)
	}
}
