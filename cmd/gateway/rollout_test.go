package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	runs = `{"node":"d","rev":9,"leads":true,"rollouts":[{"service":"libro","number":3,"rev":9,"old":"v1","new":"v2",
"phase":"running","step":1,"steps":2,"share":150,"here":0,"held":false,"doubt":0.5,"counts":{
"old":{"reads":{"ends":90,"none":1},"writes":{"ends":9,"failed":1}},"new":{"reads":{"ends":5,"wrong":2},"writes":{"ends":1}}}}]}`
	after = `{"service":"libro","number":3,"rev":10,"phase":"running","step":2,"steps":2,"share":5000}`
	dry   = `{"service":"libro","number":4,"rev":9,"phase":"dry","step":0,"steps":2,"share":0,"users":40,"moved":[1,21],
"room":{"old":200,"new":100,"busy":0}}`
	order = `{"service":"libro","old":"v1","new":"v2","steps":[{"share":150,"min_time":"60s"},{"share":5000,"min_time":"60s"}]}`
)

// What is sent follows from the file, the arguments and how the roll-out stands; what is wrong goes nowhere.
func TestRollout(t *testing.T) {
	file := filepath.Join(t.TempDir(), "o.json")
	must.NoError(t, os.WriteFile(file, []byte(order), 0o600))
	bad := filepath.Join(t.TempDir(), "b.json")
	must.NoError(t, os.WriteFile(bad, []byte(`{"servise":"libro"}`), 0o600))
	for _, x := range []struct {
		args    string
		answers []string
		code    int
		sent    string // last
		out     string // part of what is said
	}{
		{"start --mark m --by ana --busy 7 --new-room 9 --order " + file, []string{"200 " + runs, "200 " + after}, exitOK,
			`{"busy":7,"new_room":9,"by":"ana","mark":"m","new":"v2","old":"v1","rev":9,"service":"libro","steps":[{"min_time":"60s","share":150},
{"min_time":"60s","share":5000}]}`, "libro 3: running, step 2 of 2, 50 % of the users, rev 10"},
		{"start --dry-run --mark m --by ana --rev 9 --order " + file, []string{"200 " + dry}, exitOK, "", "2     21    40\nit would be number 4; capacity: old 200"},
		{"start --order " + bad, []string{"200"}, exitFailed, "", "servise"},
		{"start --order " + file + " --busy -1", []string{"200"}, exitUsage, "", "--busy"},
		{"start", []string{"200"}, exitUsage, "", "FILE is required"},
		{"step libro --mark m --by ana --why x", []string{"200 " + runs, "200 " + after}, exitOK,
			`{"number":3,"rev":9,"step":2,"mark":"m","by":"ana","why":"x"}`, "step 2 of 2"},
		{"step libro --step 7 --number 2 --rev 4 --mark m --by ana", []string{"412"}, exitFailed,
			`{"number":2,"rev":4,"step":7,"mark":"m","by":"ana"}`, "Another version is current"},
		{"step libro --step -3", []string{"200"}, exitUsage, "", "--step"},
		{"pull-back libro --mark m --by ana", []string{"200 " + runs, "200 " + after}, exitOK,
			`{"number":3,"rev":9,"mark":"m","by":"ana"}`, "libro 3"},
		{"finish other", []string{"200 " + runs}, exitFailed, "", `no roll-out of "other"`},
		{"hold libro --why " + strings.Repeat("x", 513), []string{"200"}, exitUsage, "", "--why: longer"},
		{"status", []string{"200 " + runs}, exitOK, "",
			"libro    3       v1   v2   running  1 of 2  1.5 %  0 %         no      0.5    2 of 6      2 of 99"},
		{"history libro", []string{`200 {"service":"libro","rollouts":[{"number":3,"lines":[{"verb":"start","share":150,"by":"ana","at":1000}]}]}`},
			exitOK, "", "3       1970-01-01 00:00:01  start    0     1.5 %  ana     0 of 0      0 of 0"},
		{"status --tries 0", []string{"200"}, exitUsage, "", "--tries"},
		{"dance", []string{"200"}, exitUsage, "", "dance"},
	} {
		s, at := serveAnswers(t, x.answers...)
		t.Setenv("CLOVERGAP_CONTROL", at)
		code, out, complaint := invoke(append([]string{"rollout"}, strings.Fields(x.args)...)...)
		must.Eq(t, x.code, code, must.Sprint(x.args, out, complaint))
		must.StrContains(t, out+complaint, x.out)
		if x.sent != "" {
			must.EqJSON(t, x.sent, s.received()[len(s.received())-1])
		}
	}
}
