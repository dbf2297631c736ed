package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
)

const config = `{"generation":7, "parent_version":5,"odd":1.0,"services":[{"name":"s"}],
"tenants":[{"name":"huka","api_keys":["2b9wu3fexd9d","abc"],"rate_per_s":47}],
"vhosts":[{"hostname":"H.example","path_list":[{"name":"r","path_prefix":"/a/","variant":"pure","target":"s"}]}]}`

// stubNode is a node that answers by a list, the last answer again and again; it keeps what came.
type stubNode struct {
	t       *testing.T
	answers []string // status and body
	mu      sync.Mutex
	bodies  []string
}

func (s *stubNode) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies
}

func (s *stubNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	must.NoError(s.t, err)
	s.mu.Lock()
	now := s.answers[min(len(s.bodies), len(s.answers)-1)]
	s.bodies = append(s.bodies, string(body))
	s.mu.Unlock()
	status, text, _ := strings.Cut(now, " ")
	switch status {
	case "close":
		panic(http.ErrAbortHandler)
	case "307":
		w.Header().Set("Location", text)
		w.WriteHeader(307)
	default:
		n := 0
		must.NoError(s.t, json.Unmarshal([]byte(status), &n))
		w.WriteHeader(n)
		_, _ = io.WriteString(w, text)
	}
}

func serveAnswers(t *testing.T, answers ...string) (*stubNode, string) {
	s := &stubNode{t: t, answers: answers}
	srv := httptest.NewServer(s)
	srv.Config.ErrorLog = nil
	t.Cleanup(srv.Close)
	return s, strings.TrimPrefix(srv.URL, "http://")
}

func invoke(args ...string) (code int, out, complaint string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestCallMovesOnAndSendsTheSame(t *testing.T) {
	a, at := serveAnswers(t, "close", "503 busy", "429")
	b, bt := serveAnswers(t, "500", "408", "200")
	var pauses []time.Duration
	c := caller{Control: at + ", " + bt, Attempts: 10, sleep: func(d time.Duration) { pauses = append(pauses, d) }}
	got, err := c.call("/api/Config.Replace", []byte(config))
	must.NoError(t, err)
	must.Eq(t, 6, got.attempts)
	must.Eq(t, bt, got.node)
	for _, body := range append(a.received(), b.received()...) {
		must.Eq(t, config, body)
	}
	must.SliceLen(t, 5, pauses)
	must.Eq(t, 100*time.Millisecond, pauses[0])
	must.Eq(t, 1600*time.Millisecond, pauses[4])
}

func TestCallEnds(t *testing.T) {
	for _, c := range []struct {
		answer string
		kind   failureKind
		tries  int
		open   bool
	}{
		{`412 {"error":"conflict","place":"parent_version","detail":"is 5, but 6 is current"}`, conflict, 1, false},
		{"400", invalid, 1, false},
		{"413", tooLarge, 1, false},
		{"404", notFound, 3, false},
		{"429", overloaded, 4, false},
		{"503", ambiguous, 4, true},
		{"503;429", overloaded, 4, true}, // the first try may have been taken
		{"close;412", conflict, 2, false},
		{"204", succeeded, 1, false},
		{"302 elsewhere", malformed, 4, true},
		{"close", noResponse, 4, true},
	} {
		s, at := serveAnswers(t, strings.Split(c.answer, ";")...)
		call := caller{Control: at, Attempts: 4, sleep: func(time.Duration) {}}
		_, err := call.call("/api/Config.Replace", []byte(config))
		must.SliceLen(t, c.tries, s.received(), must.Sprint(c.answer))
		if c.kind == succeeded {
			must.NoError(t, err)
			continue
		}
		var f *callError
		must.True(t, errors.As(err, &f))
		must.Eq(t, c.kind, f.kind, must.Sprint(c.answer))
		must.Eq(t, c.open, strings.Contains(f.Error(), mayHaveBeenApplied), must.Sprint(c.answer))
		if strings.Contains(c.answer, "detail") {
			must.StrContains(t, f.Error(), "at parent_version: is 5, but 6 is current")
		}
	}
}

func TestCallFollowsTwice(t *testing.T) {
	end, et := serveAnswers(t, "200")
	_, second := serveAnswers(t, "307 http://"+et+"/api/Config.Amend")
	_, first := serveAnswers(t, "307 http://"+second+"/api/Config.Amend")
	_, zeroth := serveAnswers(t, "307 http://"+first+"/api/Config.Amend")
	c := caller{Control: first, Attempts: 1}
	_, err := c.call("/api/Config.Amend", []byte(config))
	must.NoError(t, err)
	must.Eq(t, []string{config}, end.received())
	c.Control = zeroth
	_, err = c.call("/api/Config.Amend", []byte(config))
	must.Error(t, err)
}

func TestApply(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.json")
	must.NoError(t, os.WriteFile(file, []byte(config), 0o600))
	s, at := serveAnswers(t, "200", "412")
	code, out, _ := invoke("apply", "--control", at, "--parent", "6", file)
	must.Eq(t, exitOK, code)
	must.StrHasPrefix(t, "version 7 accepted", out)
	must.Eq(t, strings.Replace(config, `"parent_version":5`, `"parent_version":6`, 1), s.received()[0])
	code, _, complaint := invoke("apply", "--control", at, file)
	must.Eq(t, exitFailed, code)
	must.StrContains(t, complaint, "Another version is current")

	for body, want := range map[string]string{
		`{}`:                           `{"parent_version":9}`,
		` { "generation" : 1 }`:        ` {"parent_version":9, "generation" : 1 }`,
		`{"a":{"parent_version":1}}`:   `{"parent_version":9,"a":{"parent_version":1}}`,
		`{"a":1,"Parent_Version": 3 }`: `{"a":1,"Parent_Version": 9 }`,
	} {
		got, err := withParent([]byte(body), 9)
		must.NoError(t, err)
		must.Eq(t, want, string(got))
	}
	_, err := withParent([]byte(`[]`), 9)
	must.Error(t, err)
}

func TestCalledWrongly(t *testing.T) {
	t.Setenv("CLOVERGAP_CONTROL", "")
	for _, args := range [][]string{{}, {"dance"}, {"apply"}, {"read"}, {"check"}, {"read", "--control", "nowhere"},
		{"read", "--control", "127.0.0.1:1", "--tries", "0"}, {"serve", "--settings", ""}} {
		code, out, _ := invoke(args...)
		must.Eq(t, exitUsage, code, must.Sprint(args))
		must.Eq(t, "", out)
	}
	code, out, _ := invoke("apply", "--help")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "Examples:")
}

func TestConfigTables(t *testing.T) {
	_, at := serveAnswers(t, "200 "+config)
	_, out, _ := invoke("tenants", "--control", at)
	must.Eq(t, "NAME  PRIORITY  RATE  BURST  KEYS\nhuka  0         47/s  0      2b9w..., a...\n", out)
	_, out, _ = invoke("tenants", "--control", at, "--json")
	must.StrNotContains(t, out, "2b9wu3")
	_, out, _ = invoke("tenants", "--control", at, "--keys")
	must.StrContains(t, out, "2b9wu3fexd9d, abc")
	_, out, _ = invoke("routes", "--control", at)
	must.StrContains(t, out, "r     h.example  /a/     pure     s        30s       30s             2             0         no")
	_, out, _ = invoke("read", "--control", at, "--json")
	must.Eq(t, config+"\n", out)

	_, none := serveAnswers(t, "200")
	code, _, complaint := invoke("read", "--control", none)
	must.Eq(t, exitFailed, code)
	must.StrContains(t, complaint, "no configuration")
}

func TestStatusTables(t *testing.T) {
	slot := 1
	with := controlapi.NodeStatus{Node: "b", Core: &controlapi.StatusCore{Role: "leading", View: 3, Leader: "b:1",
		Members: []controlapi.StatusMember{{Id: "01", Address: "b:1", Live: true}}, First: 5, Last: 9}}
	_, bt := serveAnswers(t, "200 "+marshal(t, with))
	without := controlapi.NodeStatus{Node: "a", Zone: "z", Unready: []string{"no slot"},
		Nodes: []controlapi.StatusNode{{Name: "a", Address: "a:1", Live: true},
			{Name: "b\x1b[2J", Address: "b:1", Control: bt, Slot: &slot, Disk: true}},
		Backends: []controlapi.StatusBackend{{Id: "i-1", Target: "s"}, {Id: "i-2", Target: "t"}}}
	_, at := serveAnswers(t, "200 "+marshal(t, without))

	_, out, _ := invoke("status", "--control", at)
	must.StrContains(t, out, "no: no slot")
	must.StrContains(t, out, "never")
	_, out, _ = invoke("nodes", "--control", at)
	must.StrContains(t, out, "b?[2J")
	_, out, _ = invoke("nodes", "--control", at, "--ask")
	must.StrContains(t, out, "no response") // a's control address is not known
	must.StrContains(t, out, "leading")
	_, out, _ = invoke("backends", "--control", at, "--service", "t")
	must.StrContains(t, out, "i-2")
	must.StrNotContains(t, out, "i-1")
	_, out, _ = invoke("core", "--control", at) // by way of b
	must.StrContains(t, out, "5 to 9")
	must.StrContains(t, out, "01")
}

func marshal(t *testing.T, v any) string {
	b, err := json.Marshal(v)
	must.NoError(t, err)
	return string(b)
}
