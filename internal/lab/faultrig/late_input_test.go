package faultrig

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/lab/spec"
)

// Six nodes, three with disks, are paused, killed, told to end and cut off in series that overlap, while applications call over connections that stay
// open. Guards against old input that is acted on as if it were fresh (review/4); the short form of "lab gateway chaos --late-input".
func TestLateInputOnAGateway(t *testing.T) {
	defer goleak.VerifyNone(t)
	program := build(t)
	for _, seed := range []uint64{3, 7} { // nodes have a small share of a core in the first one alone
		s := DrawLateInput(seed, 6, 12*time.Second)
		r, err := PlayGateway(context.Background(), s, GatewayOptions{Program: program, Rate: 60, Keep: keepFolder(t)})
		must.NoError(t, err)
		checkGatewayRun(t, r)
		t.Logf("seed %d: %d calls, %d answered clearly", seed, r.Calls, r.Definite)
		if r.TimesTrusted() {
			must.Greater(t, 200, r.Calls)
			must.Greater(t, r.Calls/2, r.Definite)
		}
	}
	must.SliceEmpty(t, children(t), must.Sprint("processes left"))
}

// Schedules come again from their seeds. Pauses overlap in most, and most have nodes with a small share of a core.
func TestDrawLateInput(t *testing.T) {
	throttled, overlapping := 0, 0
	const seeds = 200
	for seed := range uint64(seeds) {
		s := DrawLateInput(seed, 6, 30*time.Second)
		must.Eq(t, s, DrawLateInput(seed, 6, 30*time.Second))
		if s.ThrottledCPU > 0 {
			throttled++
			must.Between(t, minThrottledCPU, s.ThrottledCPU, maxThrottledCPU)
		}
		wipes := 0
		var pauses []spec.Fault
		for _, f := range s.Faults {
			switch f.Kind {
			case "node-stall", "core-stall":
				pauses = append(pauses, f)
			case "disk-wipe":
				wipes++
			}
		}
		must.LessEq(t, 1, wipes)
		if slices.ContainsFunc(pauses, func(f spec.Fault) bool {
			return slices.ContainsFunc(pauses, func(next spec.Fault) bool { return next.At > f.At && next.At < f.At+f.For })
		}) {
			overlapping++
		}
	}
	must.Greater(t, seeds/2, throttled)
	must.Greater(t, seeds/2, overlapping)
}

// Each call has the request and the answer of api/control.yaml.
func TestApplicationCalls(t *testing.T) {
	for _, test := range []struct {
		call         coordination.Call
		request      string
		code         int
		answer       string
		want         coordination.Result
		wantAnswered bool
	}{
		{coordination.Call{Operation: coordination.LockAcquire, Name: "l", Holder: "x", TTL: 2 * time.Second},
			`POST /api/Locks.Begin/l {"hold":"2000ms","holder":"x"}`, 200, `{"fence":7}`, coordination.Result{FencingToken: 7}, true},
		{coordination.Call{Operation: coordination.LockAcquire, Name: "l", Holder: "x", TTL: time.Second},
			`POST /api/Locks.Begin/l {"hold":"1000ms","holder":"x"}`, 409, `{"error":"held"}`, coordination.Result{Status: coordination.StatusLockHeld}, true},
		{coordination.Call{Operation: coordination.LockRenew, Name: "l", Holder: "x", FencingToken: 7, TTL: time.Second},
			`POST /api/Locks.Heartbeat/l {"fence":7,"hold":"1000ms","holder":"x"}`, 409, `{}`, coordination.Result{Status: coordination.StatusLockLost}, true},
		{coordination.Call{Operation: coordination.LockRelease, Name: "l", Holder: "x", FencingToken: 7},
			`POST /api/Locks.Finish/l {"fence":7,"holder":"x"}`, 503, `{}`, coordination.Result{Status: coordination.StatusUnavailable}, true},
		{coordination.Call{Operation: coordination.NumberNext, Name: "n"}, `POST /api/numbers/n {}`, 200, `{"value":12}`, coordination.Result{Number: 12}, true},
		{coordination.Call{Operation: coordination.KeyPut, Name: "g.k", Value: "v", Conditional: true, ExpectedRevision: 3},
			`POST /api/Cells.Replace/g.k {"topic":3,"value":"v"}`, 412, `{"revision":5}`,
			coordination.Result{Status: coordination.StatusConflict, Revision: 5}, true},
		{coordination.Call{Operation: coordination.KeyRead, Name: "g.k"}, `GET /api/Cells.Read/g.k `, 200, `{"value":"v","revision":5}`,
			coordination.Result{Value: "v", Revision: 5}, true},
		{coordination.Call{Operation: coordination.KeyWatch, Name: "g.", AfterRevision: 4, Timeout: time.Second},
			`GET /api/watch/g.?after=4&wait_ms=1000 `, 200, `{"events":[{"name":"g.k","value":"v","revision":5}],"revision":5}`,
			coordination.Result{Revision: 5, Events: []coordination.Event{{Name: "g.k", Value: "v", Revision: 5}}}, true},
		{coordination.Call{Operation: coordination.NumberNext, Name: "n"}, `POST /api/numbers/n {}`, 504, `{}`, coordination.Result{}, false},
	} {
		method, path, body := callRequest(&test.call)
		must.Eq(t, test.request, method+" "+path+" "+string(body))
		result, answered := callResult(&test.call, test.code, []byte(test.answer))
		must.Eq(t, test.wantAnswered, answered, must.Sprint(test.request))
		must.Eq(t, test.want, result, must.Sprint(test.request))
	}
}
