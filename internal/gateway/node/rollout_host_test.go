package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/rollout"
)

// startBackend starts a backend of a version, which sends one heartbeat: the interval is long.
func (t *testCluster) startBackend(id, version string, fails *atomic.Bool) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Version", version)
		if fails.Load() && r.Method == "POST" {
			w.WriteHeader(500)
			return
		}
		w.Header().Set("X-Backend-Seal", "s")
	}))
	s.Config.ErrorLog = nil
	t.t.Cleanup(s.Close)
	t.callUntilClear(0, 200, "POST", "/api/Backends.Heartbeat/"+id, fmt.Sprintf(`{"target":"s","address":%q,"zone":"z",
"generation":%q,"capacity":100,"phase":"ready","call_seq":1}`, strings.TrimPrefix(s.URL, "http://"), version))
}

var attempts atomic.Int64

// request sends a client's request to a node and gives the version that answered, "" if none did.
func (t *testCluster) request(i int, method, key, mark string) (version string) {
	r, err := http.NewRequest(method, "http://"+t.settings[i].Bind.Front+map[string]string{"GET": "/r/", "POST": "/w/"}[method], nil)
	must.NoError(t.t, err)
	r.Host = "h.example"
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Attempt-Id", fmt.Sprint("a-", attempts.Add(1)))
	if mark != "" {
		r.Header.Set("X-Client-Mark", mark)
	}
	a, err := t.http.Do(r)
	if err != nil {
		return ""
	}
	a.Body.Close()
	return a.Header.Get("X-Version")
}

func (t *testCluster) rolloutStatus(i int) (r controlapi.RolloutRun) {
	var s controlapi.RolloutStatus
	_, text := t.call(i, "GET", "/api/Rollout.Status", "")
	if json.Unmarshal([]byte(text), &s); len(s.Rollouts) > 0 {
		r = s.Rollouts[0]
	}
	return r
}

// localShare is a node's own share, and whether it has caught up with the leader in this incarnation.
func (t *testCluster) localShare(i int) (share int, touched bool) {
	h := t.running[i]
	h.loop.Turn(func() { share, touched = h.rollouts.local.CanaryShare("s"), h.rollouts.caughtUp })
	return share, touched
}

func (t *testCluster) awaitShare(want int) {
	t.t.Helper()
	for i := range t.running {
		t.eventually(fmt.Sprint("share ", want, " at ", i), func() bool { share, _ := t.localShare(i); return share == want })
	}
}

// A roll-out from start to end: a user's side is the same at every node and by count the one of the dry run; it stays when the
// share grows; a failing version is rolled back by the coordinator and gets no request any more; a node that starts again sends nobody
// there before it has caught up; a service that the configuration loses is rolled back too.
func TestRollout(t *testing.T) {
	const start, word = "/api/Rollout.Start", `{"number":%d,"rev":%d,"step":%d,"mark":"again as the first"}`
	const order = `{"service":"s","old":"v1","new":"v2","steps":[{"share":5000,"min_time":"1s"},{"share":9000,"min_time":"1s"}],
"rev":%d,"mark":%q,"by":"ana","busy":100%s}`
	var good, bad atomic.Bool
	d := startCluster(t, 4)
	d.eventuallyAll("four slots", func(s controlapi.NodeStatus) bool { return s.Slot != nil && len(s.Nodes) == 4 })
	users, keys := [][]byte{}, []string{}
	for i := range 40 {
		keys = append(keys, fmt.Sprint("key-", i))
		users = append(users, []byte(keys[i]))
	}
	list, _ := json.Marshal(keys)
	config := func(generation, parent int, service string) string {
		return fmt.Sprintf(`{"generation":%d,"parent_version":%d,"services":[{"name":%q}],"tenants":[{"name":"t","api_keys":%s}],
"vhosts":[{"hostname":"h.example","path_list":[{"name":"r","path_prefix":"/r/","variant":"pure","target":%q},
{"name":"w","path_prefix":"/w/","variant":"effectful","target":%q}]}]}`, generation, parent, service, list, service, service)
	}
	d.callUntilClear(0, 200, "POST", "/api/Config.Replace", config(1, 0, "s"))
	must.StrContains(t, d.callUntilClear(0, 400, "POST", start, fmt.Sprintf(order, 0, "m", "")), "room") // there are no backends
	for i, v := range []string{"v1", "v1", "v2", "v2"} {
		if i == 2 { // the new version may be there later
			d.eventuallyAll("the old version", func(s controlapi.NodeStatus) bool { return len(s.Backends) == 2 && s.Ready })
			must.StrContains(t, d.callUntilClear(1, 400, "POST", start, fmt.Sprintf(order, 0, "m", `,"dry_run":true`)), "new: v2 has room for none")
			d.callUntilClear(1, 200, "POST", start, fmt.Sprintf(order, 0, "m", `,"dry_run":true,"new_room":200`))
		}
		d.startBackend(fmt.Sprint(v, "-", i), v, map[string]*atomic.Bool{"v1": &good, "v2": &bad}[v])
	}
	d.eventuallyAll("the backends, and to be ready", func(s controlapi.NodeStatus) bool { return len(s.Backends) == 4 && s.Ready })

	var dry controlapi.RolloutAnswer
	must.NoError(t, json.Unmarshal([]byte(d.callUntilClear(3, 200, "POST", start, fmt.Sprintf(order, 0, "m", `,"dry_run":true`))), &dry))
	must.Eq(t, (&rollout.Spec{Service: "s", Steps: []rollout.Step{{Share: 5000}, {Share: 9000}}}).CountCanaryUsers(1, users), dry.Moved)
	must.Eq(t, controlapi.RolloutRoom{Old: 200, New: 200, Busy: 100}, *dry.Room)
	must.Eq(t, "", d.rolloutStatus(3).Phase) // nothing was changed
	must.StrContains(t, d.callUntilClear(3, 400, "POST", start, fmt.Sprintf(order, 0, "m", `,"shares":1`)), "shares")
	must.StrContains(t, d.callUntilClear(3, 400, "POST", start, fmt.Sprintf(order, 0, "m", `,"limits":{"routes":["x"]}`)), "limits.routes[0]")
	first := d.callUntilClear(3, 200, "POST", start, fmt.Sprintf(order, 0, "m", ""))
	must.Eq(t, first, d.callUntilClear(1, 200, "POST", start, fmt.Sprintf(order, 0, "m", "")))
	d.callUntilClear(2, 412, "POST", start, fmt.Sprintf(order, 0, "other", ""))
	must.EqJSON(t, config(1, 0, "s"), d.callUntilClear(2, 200, "GET", "/api/Config.Read", ""))

	d.awaitShare(5000)
	sides := func() (moved map[string]bool) {
		moved = map[string]bool{}
		for _, k := range keys {
			v := d.request(0, "GET", k, "")
			for i := 1; i < 4; i++ {
				must.Eq(t, v, d.request(i, "GET", k, ""))
			}
			if v == "v2" {
				moved[k] = true
			}
		}
		return moved
	}
	before := sides()
	must.MapLen(t, dry.Moved[0], before)
	marks := map[string]int{}
	for i := range 20 { // users of one key, by their marks
		marks[d.request(i%4, "GET", keys[0], fmt.Sprint("mark-", i))]++
	}
	must.MapLen(t, 2, marks)
	d.callUntilClear(2, 412, "POST", "/api/Rollout.Finish/s", fmt.Sprintf(word, 1, 1, 0))
	d.callUntilClear(2, 200, "POST", "/api/Rollout.Step/s", fmt.Sprintf(word, 1, 1, 2))
	d.awaitShare(9000)
	after := sides()
	must.MapLen(t, dry.Moved[1], after)
	for k := range before {
		must.True(t, after[k])
	}

	bad.Store(true)
	n := 0
	d.eventually("a verdict", func() bool {
		for range 40 {
			n++
			d.request(n%4, "POST", keys[n%len(keys)], "")
		}
		return d.rolloutStatus(3).Phase == string(rollout.RolledBack)
	})
	d.awaitShare(0)
	must.MapEmpty(t, sides())
	var past controlapi.RolloutHistory
	must.NoError(t, json.Unmarshal([]byte(d.callUntilClear(3, 200, "GET", "/api/Rollout.History/s", "")), &past))
	lines := past.Rollouts[0].Lines
	must.Len(t, 3, lines)
	must.Eq(t, "duty", lines[2].By)
	must.Positive(t, lines[2].Counts.New.Writes.Failed)
	must.Eq(t, 0, lines[2].Counts.Old.Writes.Failed)

	bad.Store(false)
	d.callUntilClear(0, 412, "POST", start, fmt.Sprintf(order, 0, "again", ""))
	d.callUntilClear(0, 200, "POST", start, fmt.Sprintf(order, d.rolloutStatus(0).Rev, "again", ""))
	d.awaitShare(5000)
	for _, i := range []int{1, 3} { // with a disk, and without
		d.kill(i)
		d.start(i)
		d.eventually("to have asked", func() bool {
			share, touched := d.localShare(i)
			must.True(t, touched || share == 0)
			return share == 5000
		})
	}
	now := d.rolloutStatus(0)
	d.callUntilClear(1, 200, "POST", "/api/Rollout.Step/s", fmt.Sprintf(`{"number":2,"rev":%d,"step":2,"mark":"s"}`, now.Rev))
	d.callUntilClear(1, 200, "POST", "/api/Rollout.Finish/s", fmt.Sprintf(`{"number":2,"rev":%d,"mark":"f"}`, d.rolloutStatus(0).Rev))
	d.awaitShare(rollout.FullShare)
	must.MapLen(t, len(keys), sides())
	back := strings.NewReplacer(`"v1"`, `"v2"`, `"v2"`, `"v1"`).Replace(order) // the way back is one the other way round
	d.callUntilClear(1, 200, "POST", start, fmt.Sprintf(back, d.rolloutStatus(0).Rev, "back", ""))
	d.awaitShare(5000)
	third := (&rollout.Spec{Service: "s", Steps: []rollout.Step{{Share: 5000}}}).CountCanaryUsers(3, users)[0]
	must.MapLen(t, len(keys)-third, sides())

	d.kill(0) // without a majority each node goes by itself: its share stays, and falls where the version fails
	d.kill(1)
	d.eventually("no word of the core", func() bool {
		s := d.status(3)
		return s.StaleMs != nil && *s.StaleMs > d.settings[3].Bounds.AuthoritativeMaxAge().Milliseconds()
	})
	d.awaitShare(5000)
	// A repetition of what was taken is answered all the same: its first answer may have come too late.
	must.StrContains(t, d.callUntilClear(3, 200, "POST", start, fmt.Sprintf(back, 0, "back", "")), `"phase":"running"`)
	good.Store(true)
	d.eventually("each node's own judgement", func() bool {
		for range 40 {
			n++
			d.request(2+n%2, "POST", keys[n/2%len(keys)], "")
		}
		a, _ := d.localShare(2)
		b, _ := d.localShare(3)
		return a == 0 && b == 0
	})
	good.Store(false)
	must.Eq(t, string(rollout.Running), d.rolloutStatus(3).Phase) // as far as anybody knows
	d.start(0)
	d.start(1)
	d.eventually("the fleet's word", func() bool { return d.rolloutStatus(0).Phase == string(rollout.RolledBack) })
	d.callUntilClear(1, 200, "POST", start, fmt.Sprintf(back, d.rolloutStatus(0).Rev, "back again", ""))
	d.awaitShare(5000)

	lead := 0
	for i := range d.running {
		if d.status(i).Core.Role == "leading" {
			lead = i
		}
	}
	d.kill(lead) // the coordinator is another node then
	d.callUntilClear(3, 200, "POST", "/api/Config.Replace", config(2, 1, "t"))
	d.eventually("the end of it", func() bool { // of the fourth run: a learner may still show the end of the third
		s := d.rolloutStatus(3)
		return s.Number == 4 && s.Phase == string(rollout.RolledBack)
	})
	// The status comes from the leader. The history comes from node 3 itself, which may apply the rollback a moment later.
	d.eventually("the reason of the rollback in the history of node 3", func() bool {
		return strings.Contains(d.callUntilClear(3, 200, "GET", "/api/Rollout.History/s", ""), "not in the configuration")
	})
}

// Only endings that are the service's own fault count against a version.
func TestCauses(t *testing.T) {
	for _, x := range []struct {
		how    control.Ending
		status int
		want   rollout.Cause
	}{{control.Succeeded, 404, rollout.Success}, {control.Succeeded, 0, rollout.Success}, {control.Errored, 500, rollout.ServerError},
		{control.Errored, 200, rollout.InvalidResponse}, {control.Errored, 429, rollout.Success}, {control.Rejected, 503, rollout.Rejected},
		{control.TimedOut, 0, rollout.NoResponse}, {control.ConnectionLost, 0, rollout.NoResponse},
		{control.Unreachable, 0, rollout.NoResponse}} {
		must.Eq(t, x.want, causeOf(x.how, x.status), must.Sprint(x))
	}
}
