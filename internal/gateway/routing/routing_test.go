package routing

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/logentry"
)

// exampleConfig is the example of PROTOCOL.md, with additional unknown fields and with numbers in several notations.
const exampleConfig = `{"generation":7, "services":[{"name":"huvo","health_path":"/health","max_conns":130},
{"name":"wuno"}],"limits":{"max_header_bytes":16384,"idle_timeout":"2.5s"},"note":{"x":1.50e2},
"tenants":[{"name":"huka","api_keys":["k1","k2"],"priority":1,"rate_per_s":47,"burst":4.0}],
"parent_version":0,"vhosts":[{"hostname":"Ficu.example","path_list":[
{"name":"r-a","path_prefix":"/lo/","variant":"pure","deadline":"1500ms","target_latency":"600ms","priority":2,
"weighted_targets":[{"target":"huvo","weight":90},{"target":"wuno","weight":10}],
"max_tries":3,"public":false},
{"name":"r-b","path_prefix":"/lo/pu/","variant":"effectful","target":"huvo"}]},
{"hostname":"other.example","path_list":[
{"name":"r-c","path_prefix":"/","variant":"pure","target":"wuno"}]}]}`

// newExampleRegister returns a register with exampleConfig in force.
func newExampleRegister(t *testing.T) *Register {
	t.Helper()
	r := NewRegister()
	v, err := r.Apply(Replace, []byte(exampleConfig))
	must.NoError(t, err)
	must.Eq(t, Accepted, v)
	return r
}

// mustAmend applies an Amend that must be accepted.
func mustAmend(t *testing.T, r *Register, change string) {
	t.Helper()
	v, err := r.Apply(Amend, []byte(change))
	must.NoError(t, err)
	must.Eq(t, Accepted, v)
}

// Guards against errors without the path of the invalid field, and against invalid configurations that are accepted.
func TestErrorsNameTheInvalidField(t *testing.T) {
	for _, c := range []struct{ old, replacement, wantPath string }{
		{`"generation":7`, `"generation":0`, "generation"},
		{`"generation":7`, `"generation":-7`, "generation"},
		{`"generation":7, `, ``, "generation"},
		{`"variant":"effectful"`, `"variant":"Pure"`, "vhosts[0].path_list[1].variant"},
		{`"variant":"effectful",`, ``, "vhosts[0].path_list[1].variant"},
		{`"/lo/pu/"`, `"lo/pu/"`, "vhosts[0].path_list[1].path_prefix"},
		{`"600ms"`, `"61.5s"`, "vhosts[0].path_list[0].target_latency"},
		{`"600ms"`, `"600"`, "vhosts[0].path_list[0].target_latency"},
		{`"1500ms"`, `"-1s"`, "vhosts[0].path_list[0].deadline"},
		{`"1500ms"`, `1500`, "vhosts[0].path_list[0].deadline"},
		{`"2.5s"`, `"99999999999999s"`, "limits.idle_timeout"},
		{`"weight":90},{"target":"wuno","weight":10}`, `"weight":0}`,
			"vhosts[0].path_list[0].weighted_targets"},
		{`"weight":10`, `"weight":-10`, "vhosts[0].path_list[0].weighted_targets[1].weight"},
		{`{"target":"wuno"`, `{"target":"gone"`, "vhosts[0].path_list[0].weighted_targets[1].target"},
		{`"pure","target":"wuno"`, `"pure","target":"gone"`, "vhosts[1].path_list[0].target"},
		{`"pure","target":"wuno"`, `"pure"`, "vhosts[1].path_list[0].target"},
		{`"max_tries":3`, `"max_tries":"3"`, "vhosts[0].path_list[0].max_tries"},
		{`["k1","k2"]`, `["k1",{}]`, "tenants[0].api_keys[1]"},
		{`"public":false`, `"public":false,"Public":true`, "vhosts[0].path_list[0].public"},
		{`"wuno"}]}]}`, `"wuno"}]}]}x`, ""},
		{`"wuno"}]}]}`, `"wuno"}]}]`, ""},
		{`{"x":1.50e2}`, strings.Repeat("[", 1<<20), ""},
	} {
		body := strings.Replace(exampleConfig, c.old, c.replacement, 1)
		must.NotEq(t, exampleConfig, body)
		r := NewRegister()
		v, err := r.Apply(Replace, []byte(body))
		must.Eq(t, Invalid, v, must.Sprint(c.replacement))
		var f *FieldError
		must.True(t, errors.As(err, &f))
		must.Eq(t, c.wantPath, f.Path, must.Sprint(err))
		must.Eq(t, 0, r.Version())
	}
	for _, body := range []string{"", "null", "[]", "{}", exampleConfig + exampleConfig, "\xff" + exampleConfig} {
		v, _ := NewRegister().Decide(Replace, []byte(body))
		must.Eq(t, Invalid, v)
	}
	v, err := newExampleRegister(t).Decide(Amend, []byte(`{"generation":9,"parent_version":7,"upserts":{
		"vhosts":[{"path_list":[{"path_prefix":"/","variant":"x"}]}]}}`))
	must.Eq(t, Invalid, v)
	must.StrHasPrefix(t, "upserts.vhosts[0].path_list[0].variant: ", err.Error())
}

// Guards against durations that are accepted with a wrong value, and against accepted texts that are not a number followed by ms or s.
func TestParseDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0ms": 0, "1500ms": 1500 * time.Millisecond,
		"2.5s": 2500 * time.Millisecond, "0.25ms": 250 * time.Microsecond,
	} {
		d, err := ParseDuration(text)
		must.NoError(t, err)
		must.Eq(t, want, d)
	}
	for _, text := range strings.Split(",s,ms,1,1m,1us,1h,-1s,+1s,.5s,1.s,1 s,1s1s,1e3s", ",") {
		_, err := ParseDuration(text)
		must.Error(t, err, must.Sprint(text))
	}
}

// Guards against validation that rejects unusual but valid configurations, such as routes without a name or with equal prefixes.
func TestEdgeCaseConfigsAreAccepted(t *testing.T) {
	for old, now := range map[string]string{
		`"600ms"`:        `"61.499s"`,
		`"weight":90`:    `"weight":0`,
		`"max_tries":3,`: ``,
		`"priority":2`:   `"priority":-2`,
		`["k1","k2"]`:    `null`,
		`"name":"r-b",`:  ``,
		`"r-b"`:          `"r-a"`,
		`"/lo/pu/"`:      `"/lo/"`,
	} {
		body := strings.Replace(exampleConfig, old, now, 1)
		must.NotEq(t, exampleConfig, body)
		v, err := NewRegister().Decide(Replace, []byte(body))
		must.NoError(t, err)
		must.Eq(t, Accepted, v)
	}
	v, _ := NewRegister().Decide(Replace, []byte(` {"generation":1} `))
	must.Eq(t, Accepted, v)
}

// Guards against an Amend that loses, reorders or rewrites parts of the configuration that the call does not name.
func TestAmendMergesNamedItems(t *testing.T) {
	r := newExampleRegister(t)
	must.Eq(t, exampleConfig, string(r.Body()))
	// The change replaces r-a at its position, adds r-n, and removes r-b and r-c. The host of r-c has no routes left and is removed. The
	// tenant loses a key. Unknown fields stay as they were written.
	mustAmend(t, r, `{"generation":9,"parent_version":7,"removals":{"routes":["r-b","r-c","r-old"],"services":[]},
		"upserts":{"services":[{"name":"new"},{"name":"wuno","odd":1.0}],
		"tenants":[{"name":"huka","api_keys":["k2"]}],
		"vhosts":[{"hostname":"ficu.EXAMPLE","path_list":[
			{"name":"r-n","path_prefix":"/n/","variant":"pure","target":"new"},
			{"name":"r-a","path_prefix":"/m/","variant":"pure","target":"huvo"}]}]}}`)
	must.Eq(t, 9, r.Version())
	must.Eq(t, `{"generation":9,"services":[{"name":"huvo","health_path":"/health","max_conns":130},`+
		`{"name":"wuno","odd":1.0},{"name":"new"}],`+
		`"limits":{"max_header_bytes":16384,"idle_timeout":"2.5s"},`+
		`"note":{"x":1.50e2},"tenants":[{"name":"huka","api_keys":["k2"]}],"parent_version":7,`+
		`"vhosts":[{"hostname":"ficu.EXAMPLE","path_list":[`+
		`{"name":"r-a","path_prefix":"/m/","variant":"pure","target":"huvo"},`+
		`{"name":"r-n","path_prefix":"/n/","variant":"pure","target":"new"}]}]}`, string(r.Body()))

	v, err := r.Decide(Amend, []byte(`{"generation":11,"parent_version":9,"removals":{"services":["new"]}}`))
	must.Eq(t, Invalid, v) // route r-n still uses the service
	must.StrHasPrefix(t, "vhosts[0].path_list[1].target: ", err.Error())

	// The change moves a route to a new host. A field of upserts that is not a list replaces the field of the configuration.
	mustAmend(t, r, `{"generation":11,"parent_version":9,"removals":{"routes":["r-n"],"services":["new"]},
		"upserts":{"generation":99,"limits":{"max_body_bytes":5},"vhosts":[{"hostname":"b","path_list":[
		{"name":"r-n","path_prefix":"/","variant":"pure","target":"wuno"}]}]}}`)
	must.Eq(t, 11, r.Version())
	table := NewTable(r.Config())
	must.Eq(t, 2, len(table.Routes()))
	must.Eq(t, 5, table.Limits().MaxBodyBytes)
	must.Eq(t, DefaultIdleTimeout, table.Limits().IdleTimeout)
	mustAmend(t, r, `{"generation":12,"parent_version":11,"removals":{"vhosts":["B"],"tenants":["huka"]}}`)
	must.Eq(t, 1, len(r.Config().Vhosts))
	must.False(t, NewTable(r.Config()).HasTenants())
}

// Guards against repeated calls that are applied twice, and against two accepted calls with the same parent. Operators repeat calls after
// time-outs, and several operators can send calls at the same time.
func TestDuplicateAndConflictingCalls(t *testing.T) {
	r := newExampleRegister(t)
	emptyConfig := func(generation, parent int) []byte {
		return []byte(fmt.Sprintf(`{"generation":%d,"parent_version":%d}`, generation, parent))
	}
	decideAndApply := func(k Kind, body []byte) Result {
		decided, err1 := r.Decide(k, body)
		applied, err2 := r.Apply(k, body)
		must.Eq(t, decided, applied)
		must.Eq(t, err1 == nil, err2 == nil)
		return applied
	}
	must.Eq(t, Duplicate, decideAndApply(Replace, []byte(exampleConfig)))
	must.Eq(t, Invalid, decideAndApply(Replace, emptyConfig(7, 7)))
	must.Eq(t, Conflict, decideAndApply(Replace, emptyConfig(9, 5)))
	must.Eq(t, Accepted, decideAndApply(Amend, emptyConfig(9, 7)))
	must.Eq(t, Conflict, decideAndApply(Amend, emptyConfig(11, 7)))       // the accepted call of generation 9 has the same parent, 7
	must.Eq(t, Conflict, decideAndApply(Replace, emptyConfig(9, 7)))      // the body of the accepted Amend, sent as a Replace
	must.Eq(t, Duplicate, decideAndApply(Amend, emptyConfig(9, 7)))       // a repeated call
	must.Eq(t, Duplicate, decideAndApply(Replace, []byte(exampleConfig))) // a call repeated after later changes
	must.Eq(t, 9, r.Version())
	for g := 10; g < 5010; g++ {
		must.Eq(t, Accepted, decideAndApply(Replace, emptyConfig(g, g-1)))
	}
	must.Eq(t, Duplicate, decideAndApply(Replace, []byte(exampleConfig)))
	for g := 5010; g < 8010; g++ {
		must.Eq(t, Accepted, decideAndApply(Replace, emptyConfig(g, g-1)))
	}
	must.LessEq(t, 8010-4096, r.accepted.Horizon())
	must.LessEq(t, logentry.DedupWindowBytes+10, len(r.accepted.Bytes()))
	must.Eq(t, Ambiguous, decideAndApply(Replace, []byte(exampleConfig))) // the window of accepted calls no longer has the digest of exampleConfig
	must.Eq(t, Ambiguous, decideAndApply(Replace, []byte(`{"generation":8,"vhosts":3}`)))
	must.Eq(t, Invalid, decideAndApply(Replace, []byte("{")))
	horizon := int(r.accepted.Horizon())
	must.Eq(t, Ambiguous, decideAndApply(Replace, emptyConfig(horizon, horizon-1)))
	must.Eq(t, Duplicate, decideAndApply(Replace, emptyConfig(horizon+1, horizon)))
	must.Eq(t, Conflict, decideAndApply(Amend, emptyConfig(horizon+1, horizon)))
	must.Eq(t, Conflict, decideAndApply(Replace, emptyConfig(8010, horizon)))
}

// Guards against members whose registers diverge. A member that restores snapshots at random positions of the log must have the same
// register as a member that applied the whole log.
func TestSnapshotsKeepRegistersEqual(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	a, b := NewRegister(), NewRegister()
	for range 2000 {
		body := []byte(fmt.Sprintf(`{"generation":%d,"parent_version":%d}`,
			int(a.Version())+random.IntN(4)-1, max(0, int(a.Version())-random.IntN(2))))
		kind := Kind(random.IntN(2))
		resultA, _ := a.Apply(kind, body)
		resultB, _ := b.Apply(kind, body)
		must.Eq(t, resultA, resultB)
		if random.IntN(9) == 0 {
			var err error
			b, err = Restore(b.Snapshot())
			must.NoError(t, err)
		}
		must.Eq(t, string(a.Body()), string(b.Body()))
		must.Eq(t, a.Version(), b.Version())
	}
	must.Eq(t, string(a.Snapshot()), string(b.Snapshot()))
	_, err := Restore(nil)
	must.Error(t, err)
}

// Guards against a wrong answer to a repeated call after an upgrade. Earlier program versions stored the digests of the last 256 calls in
// a snapshot. Repeats of these calls must be duplicates, and calls whose digests may have been dropped must not be rejected.
func TestRestoreLegacySnapshot(t *testing.T) {
	emptyConfig := func(v int) []byte { return []byte(fmt.Sprintf(`{"generation":%d,"parent_version":%d}`, v, v-1)) }
	for _, testCase := range []struct {
		versions int    // number of calls that were accepted before the snapshot
		want     Result // result of a call whose digest is not in the snapshot
	}{{200, Conflict}, {300, Ambiguous}} {
		legacy := snapshot{Body: emptyConfig(testCase.versions)}
		for v := max(1, testCase.versions-legacyAcceptedCount+1); v <= testCase.versions; v++ {
			legacy.Taken = append(legacy.Taken, taken{uint64(v), sha256.Sum256(append([]byte{byte(Replace)}, emptyConfig(v)...))})
		}
		r, err := Restore(logentry.Encode(legacy))
		must.NoError(t, err)
		for range 2 {
			for _, c := range legacy.Taken {
				v, _ := r.Decide(Replace, emptyConfig(int(c.Version)))
				must.Eq(t, Duplicate, v)
			}
			v, _ := r.Decide(Amend, emptyConfig(9))
			must.Eq(t, testCase.want, v)
			r, err = Restore(r.Snapshot())
			must.NoError(t, err)
		}
		v, _ := r.Apply(Replace, emptyConfig(testCase.versions+1))
		must.Eq(t, Accepted, v)
	}
}

// Guards against wrong matches of host, path prefix or API key, against allocations in look-ups, and against route keys that change without
// a change of the route.
func TestTableLookups(t *testing.T) {
	table := NewTable(newExampleRegister(t).Config())
	for _, c := range []struct{ host, path, name string }{
		{"ficu.example", "/lo/", "r-a"},
		{"FICU.example:8080", "/lo/pu", "r-a"},
		{"ficu.example", "/lo/pu/?/x", "r-b"},
		{"ficu.example", "/lo/pu/x/y", "r-b"},
		{"ficu.example", "/lo", ""},
		{"ficu.example", "/lo?/", ""},
		{"other.example", "/anything", "r-c"},
		{"other.example", "*", ""},
		{"nobody.example", "/lo/", ""},
		{strings.Repeat("x", 300), "/", ""},
	} {
		r, ok := table.Route([]byte(c.host), []byte(c.path))
		must.Eq(t, c.name != "", ok, must.Sprint(c))
		if ok {
			must.Eq(t, c.name, r.Name)
		}
	}
	tenant, ok := table.Tenant([]byte("k2"))
	must.True(t, ok)
	must.Eq(t, Tenant{Name: "huka", Priority: 1, Rate: 47, Burst: 4}, *tenant)
	_, ok = table.Tenant(nil)
	must.False(t, ok)
	must.Eq(t, Limits{16384, DefaultMaxBodyBytes, DefaultHeaderTimeout, 2500 * time.Millisecond}, table.Limits())
	s, _ := table.Service("wuno")
	must.Eq(t, Service{Name: "wuno", HealthPath: "/health"}, *s)

	host, path, key := []byte("Ficu.example"), []byte("/lo/pu/x?y"), []byte("k1")
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { table.Route(host, path); table.Tenant(key) }))

	// Only the route that differs between the two configurations gets a new key.
	other := new(Config)
	body := strings.Replace(exampleConfig, `"weight":90`, `"weight":9223372036854775807`, 1)
	must.NoError(t, json.Unmarshal([]byte(body), other))
	changedRoutes := NewTable(other).Routes()
	for i, r := range table.Routes() {
		must.Eq(t, i > 0, r.Key == changedRoutes[i].Key)
	}
	must.Positive(t, changedRoutes[0].Targets[0].Weight)
	must.Eq(t, Route{Name: "r-b", Host: "ficu.example", Prefix: "/lo/pu/", Effectful: true, Key: changedRoutes[1].Key,
		Deadline: DefaultDeadline, LatencyTarget: DefaultDeadline, MaxAttempts: DefaultMaxAttempts,
		Targets: []Target{{"huvo", 1}}}, *changedRoutes[1])
	_, ok = NewTable(nil).Route(host, path)
	must.False(t, ok)
}
