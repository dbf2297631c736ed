package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// serveByPath is a node that answers by path; it keeps what it was asked.
func serveByPath(t *testing.T, answers map[string]string) (address string, asked *[]string) {
	asked = new([]string)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*asked = append(*asked, r.Method+" "+r.URL.RequestURI())
		text, ok := answers[r.URL.RequestURI()]
		if !ok {
			w.WriteHeader(404)
			return
		}
		w.Write([]byte(strings.ReplaceAll(text, "$HOST", r.Host)))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), asked
}

// The locks of all groups are listed together, by name.
func TestLocks(t *testing.T) {
	answers := map[string]string{"/api/Locks.Read/l1": `{"locks":[{"name":"l1","holder":"a","fence":3,"left_ms":1500}]}`}
	for _, id := range "01234567" {
		answers["/api/Locks.List/"+string(id)] = `{"locks":[{"name":"l` + string('9'-id+'0') + `","holder":"a","fence":3,"left_ms":10}]}`
	}
	at, _ := serveByPath(t, answers)
	code, out, _ := invoke("locks", "list", "--control", at)
	must.Eq(t, exitOK, code)
	must.Eq(t, 9, strings.Count(out, "\n"))
	must.Less(t, strings.Index(out, "l9"), strings.Index(out, "l2"))
	code, out, _ = invoke("locks", "holder", "--control", at, "l1")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "1.5s")
	code, _, _ = invoke("locks")
	must.Eq(t, exitUsage, code)
}

// Keys are read, put and watched from revision to revision.
func TestKeys(t *testing.T) {
	at, asked := serveByPath(t, map[string]string{
		"/api/Cells.Read/g.1":                  `{"value":"x","revision":7}`,
		"/api/Cells.Replace/g.1":               `{"revision":8}`,
		"/api/watch/g.?after=0&wait_ms=500":    `{"events":[],"revision":7}`,
		"/api/watch/g.?after=7&wait_ms=500":    `{"events":[{"name":"g.1","value":"y","revision":8}],"revision":8}`,
		"/api/watch/g.?after=8&wait_ms=500":    `{"events":[{"name":"g.2","value":"z","revision":9}],"revision":9}`,
		"/api/Cells.Read/" + "a%2Fb":           `{"value":"x","revision":1}`,
		"/api/Cells.Read/" + "g.1?after=never": ``,
	})
	code, out, _ := invoke("keys", "get", "--control", at, "g.1")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "7")
	code, out, _ = invoke("keys", "put", "--control", at, "--revision", "7", "g.1", "y")
	must.Eq(t, exitOK, code)
	must.Eq(t, "g.1 has revision 8\n", out)
	code, out, _ = invoke("keys", "watch", "--control", at, "--count", "2", "g.")
	must.Eq(t, exitOK, code)
	must.Eq(t, "8 g.1 y\n9 g.2 z\n", out)
	must.SliceLen(t, 5, *asked)
	code, _, _ = invoke("keys", "get", "--control", at, "--tries", "1", "g.none")
	must.Eq(t, exitFailed, code)
}

// A group is moved by the node that leads it.
func TestGroupsCommand(t *testing.T) {
	at, asked := serveByPath(t, map[string]string{
		"/api/Groups.List": `{"node":"n","calls":{},"groups":[{"group":0,"leader":"","leads":false},
			{"group":3,"leader":"10.0.0.1:7000","control":"$HOST","leads":true,"view":4,"members":["a","b"]}]}`,
		"/api/Groups.Move/3": `{}`,
	})
	code, out, _ := invoke("groups", "list", "--control", at)
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "10.0.0.1:7000")
	code, _, _ = invoke("groups", "move", "--control", at, "3", "10.0.0.2:7000")
	must.Eq(t, exitOK, code)
	must.SliceContains(t, *asked, "POST /api/Groups.Move/3")
	code, _, _ = invoke("groups", "move", "--control", at, "0", "10.0.0.2:7000")
	must.Eq(t, exitFailed, code)
	code, _, _ = invoke("groups", "move", "--control", at, "9", "10.0.0.2:7000")
	must.Eq(t, exitUsage, code)
}
