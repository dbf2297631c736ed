package controlapi

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
)

// Each call as the operators' page writes it, and each answer as the page writes that.
func TestCoordinationCalls(t *testing.T) {
	type wire struct {
		call, body, asked string
		answer            coordination.Result
		status            int
		text              string
	}
	refused := func(status coordination.Status) string { return `{"error":"` + status.String() + `"}` }
	for _, w := range []wire{
		{"POST /api/Locks.Begin/l1f", `{"holder":"a3.7","hold":"3000ms"}`, `lock begin "l1f" "a3.7" 0 3s "" false 0 0 0s`,
			coordination.Result{FencingToken: 41}, 200, `{"fence":41}`},
		{"POST /api/Locks.Begin/l1f", `{"holder":"a3.7","hold":"3000ms"}`, `lock begin "l1f" "a3.7" 0 3s "" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusLockHeld}, 409, refused(coordination.StatusLockHeld)},
		{"POST /api/Locks.Heartbeat/l1f", `{"holder":"a3.7","fence":41,"hold":"2s"}`, `lock heartbeat "l1f" "a3.7" 41 2s "" false 0 0 0s`,
			coordination.Result{}, 200, `{}`},
		{"POST /api/Locks.Heartbeat/l1f", `{"holder":"a3.7","fence":41,"hold":"2s"}`, `lock heartbeat "l1f" "a3.7" 41 2s "" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusLockLost}, 409, refused(coordination.StatusLockLost)},
		{"POST /api/Locks.Finish/l1f", `{"holder":"a3.7","fence":41}`, `lock finish "l1f" "a3.7" 41 0s "" false 0 0 0s`,
			coordination.Result{}, 200, `{}`},
		{"POST /api/numbers/n2", `{}`, `number "n2" "" 0 0s "" false 0 0 0s`, coordination.Result{Number: 5120}, 200, `{"value":5120}`},
		{"POST /api/Cells.Replace/g1.2d", `{"value":"5c0e","topic":907}`, `key replace "g1.2d" "" 0 0s "5c0e" true 907 0 0s`,
			coordination.Result{Revision: 931}, 200, `{"revision":931}`},
		{"POST /api/Cells.Replace/g1.2d", `{"value":"5c0e"}`, `key replace "g1.2d" "" 0 0s "5c0e" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusConflict, Revision: 922}, 412, `{"revision":922}`},
		{"POST /api/Cells.Replace/g1.2d", `{"value":"5c0e","topic":0}`, `key replace "g1.2d" "" 0 0s "5c0e" true 0 0 0s`,
			coordination.Result{Status: coordination.StatusConflict, Revision: 922}, 412, `{"revision":922}`},
		{"GET /api/Cells.Read/g1.2d", "", `key read "g1.2d" "" 0 0s "" false 0 0 0s`,
			coordination.Result{Value: "5c0e", Revision: 931}, 200, `{"revision":931,"value":"5c0e"}`},
		{"GET /api/Cells.Read/g%2F1", "", `key read "g/1" "" 0 0s "" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusNotFound}, 404, refused(coordination.StatusNotFound)},
		{"GET /api/watch/g1.?after=930&wait_ms=2000", "", `key watch "g1." "" 0 0s "" false 0 930 2s`,
			coordination.Result{Revision: 934, Events: []coordination.Event{{Name: "g1.2d", Value: "5c0e", Revision: 931}}}, 200,
			`{"events":[{"name":"g1.2d","revision":931,"value":"5c0e"}],"revision":934}`},
		{"GET /api/watch/g1.", "", `key watch "g1." "" 0 0s "" false 0 0 0s`, coordination.Result{Revision: 3}, 200, `{"events":[],"revision":3}`},
		{"GET /api/watch/g1.?after=1", "", `key watch "g1." "" 0 0s "" false 0 1 0s`,
			coordination.Result{Status: coordination.StatusCompacted}, 410, refused(coordination.StatusCompacted)},
		{"GET /api/Locks.Read/l1f", "", `lock read "l1f" "" 0 0s "" false 0 0 0s`,
			coordination.Result{Locks: []coordination.LockInfo{{Name: "l1f", Holder: "a", FencingToken: 3, TimeLeft: time.Second}}}, 200,
			`{"locks":[{"fence":3,"holder":"a","left_ms":1000,"name":"l1f"}]}`},
		// Only what promises that nothing was done has one of these three statuses.
		{"POST /api/numbers/n2", `{}`, `number "n2" "" 0 0s "" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusLimitReached}, 429, refused(coordination.StatusLimitReached)},
		{"POST /api/numbers/n2", `{}`, `number "n2" "" 0 0s "" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusUnavailable}, 503, refused(coordination.StatusUnavailable)},
		{"POST /api/numbers/n2", `{}`, `number "n2" "" 0 0s "" false 0 0 0s`,
			coordination.Result{Status: coordination.StatusAmbiguous}, 504, refused(coordination.StatusAmbiguous)},
	} {
		st := openFixture(t)
		c, r := st.dial()
		st.inTurn(func(h *fakeNode) { h.answer = w.answer })
		send(c, w.call, w.body)
		a, text := st.readResponse(r)
		must.Eq(t, w.status, a.StatusCode, must.Sprint(w.call))
		must.Eq(t, w.text, text)
		must.Eq(t, []string{w.asked}, st.inTurn(func(*fakeNode) {}))
	}
}

// What is wrong in itself asks nobody.
func TestCoordinationCallsRefused(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for call, bodies := range map[string][]string{
		"POST /api/Locks.Begin/l":      {"", "{", `{}`, `{"holder":"a"}`, `{"holder":"a","hold":"0ms"}`, `{"holder":"a","hold":"x"}`, `{"hold":"1s"}`},
		"POST /api/Locks.Begin/":       {`{"holder":"a","hold":"1s"}`},
		"POST /api/Locks.Heartbeat/l":  {`{"holder":"a","fence":-1,"hold":"1s"}`, `{"holder":"a","fence":1,"hold":"700s"}`},
		"POST /api/Cells.Replace/g":    {`{"value":"` + long + `"}`, `{"value":1}`},
		"GET /api/watch/g.?after=x":    {""},
		"GET /api/watch/g.?wait_ms=-1": {""},
		"GET /api/Locks.List/8":        {""},
		"GET /api/Cells.Read/%zz":      {""},
	} {
		for _, body := range bodies {
			st := openFixture(t)
			c, r := st.dial()
			send(c, call, body)
			a, _ := st.readResponse(r)
			must.Eq(t, 400, a.StatusCode, must.Sprint(call, " ", body))
			must.Len(t, 0, st.inTurn(func(*fakeNode) {}))
		}
	}
	st := openFixture(t)
	c, r := st.dial()
	send(c, "GET /api/numbers/n", "")
	a, _ := st.readResponse(r)
	must.Eq(t, 405, a.StatusCode)
}

// The groups are listed, and moved by the node that leads.
func TestGroups(t *testing.T) {
	st := openFixture(t)
	c, r := st.dial()
	send(c, "GET /api/Groups.List", "")
	a, text := st.readResponse(r)
	must.Eq(t, 200, a.StatusCode)
	must.StrContains(t, text, `"leader":"x:1"`)
	for _, x := range []struct {
		call, body string
		ok         bool
		status     int
	}{
		{"POST /api/Groups.Move/1", `{"to":"x:2"}`, true, 200},
		{"POST /api/Groups.Move/1", `{"to":"x:2"}`, false, 409},
		{"POST /api/Groups.Move/9", `{"to":"x:2"}`, true, 400},
		{"POST /api/Groups.Move/1", `{}`, true, 400},
		{"GET /api/Groups.Move/1", "", true, 405},
	} {
		st := openFixture(t)
		c, r := st.dial()
		st.inTurn(func(h *fakeNode) { h.ok = x.ok })
		send(c, x.call, x.body)
		a, _ := st.readResponse(r)
		must.Eq(t, x.status, a.StatusCode, must.Sprint(x.call))
	}
}
