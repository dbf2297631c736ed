package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/routing"
)

// visibleKeyChars is how much of a tenant's key is printed.
const visibleKeyChars = 4

// table writes aligned columns.
type table struct{ *tabwriter.Writer }

func newTable(out io.Writer, heads ...any) table {
	t := table{tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		if texts[i] = printable(fmt.Sprint(c)); texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t, strings.Join(texts, "\t"))
}

// printable keeps a text from moving the cursor: names come from afar.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func optionalNumber[N int | int64](n *N) string {
	if n == nil {
		return ""
	}
	return strconv.FormatInt(int64(*n), 10)
}

func optionalAge(ms *int64) string {
	if ms == nil {
		return "never"
	}
	return (time.Duration(*ms) * time.Millisecond).String()
}

// ago words an age.
func ago(ms *int64) string {
	if ms == nil {
		return optionalAge(ms)
	}
	return optionalAge(ms) + " ago"
}

// printJSON writes JSON as it is, with an end of line.
func printJSON(out io.Writer, text []byte) error {
	_, err := out.Write(append(bytes.TrimRight(text, "\n"), '\n'))
	return err
}

// status asks how things stand; raw is the answer as it came.
func (c *caller) status() (s *controlapi.NodeStatus, raw []byte, err error) {
	nodes, err := c.nodes()
	if err != nil {
		return nil, nil, err
	}
	return c.statusOf(nodes, c.Attempts)
}

func (c *caller) statusOf(nodes []string, tries int) (*controlapi.NodeStatus, []byte, error) {
	return readAs[controlapi.NodeStatus](c.callNodes(nodes, tries, "/api/Node.Status", nil))
}

// readAs reads an answer; raw is it as it came.
func readAs[T any](a response, err error) (t *T, raw []byte, _ error) {
	if err != nil {
		return nil, nil, err
	}
	t = new(T)
	if err := json.Unmarshal(a.body, t); err != nil {
		return nil, nil, a.malformedError(err)
	}
	return t, a.body, nil
}

// config reads the newest configuration; raw is the answer as it came.
func (c *caller) config() (b *routing.Config, raw []byte, err error) {
	a, err := c.call("/api/Config.Read", nil)
	if err != nil {
		return nil, nil, err
	}
	if len(bytes.TrimSpace(a.body)) == 0 {
		return nil, nil, errors.New("no configuration is in force yet")
	}
	b = new(routing.Config)
	if err := json.Unmarshal(a.body, b); err != nil {
		return nil, nil, a.malformedError(err)
	}
	return b, a.body, nil
}

type readCmd struct{ caller }

func (*readCmd) examples() string {
	return `  gateway read                     what the newest configuration holds, in numbers
  gateway read --json > now.json   all of it, to be changed and applied; it holds the keys`
}

func (r *readCmd) run(out io.Writer) error {
	b, raw, err := r.config()
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(out, raw)
	}
	t := routing.NewTable(b)
	l := t.Limits()
	w := newTable(out, "VERSION", "PARENT", "HOSTS", "ROUTES", "SERVICES", "TENANTS", "HEAD", "BODY", "HEAD IN",
		"IDLE")
	w.row(b.Generation, b.ParentVersion, len(b.Vhosts), len(t.Routes()), len(b.Services), len(b.Tenants),
		l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeout, l.IdleTimeout)
	return w.Flush()
}

type routesCmd struct{ caller }

func (*routesCmd) examples() string {
	return `  gateway routes          as nodes route by them, with what the configuration leaves out filled in
  gateway routes --json   as they were sent`
}

func (r *routesCmd) run(out io.Writer) error {
	b, raw, err := r.config()
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(out, section(raw, "vhosts"))
	}
	w := newTable(out, "NAME", "HOST", "PREFIX", "VARIANT", "TARGETS", "DEADLINE", "AIM", "TRIES", "PRIORITY",
		"PUBLIC")
	for _, route := range routing.NewTable(b).Routes() {
		variant := routing.Pure
		if route.Effectful {
			variant = routing.Effectful
		}
		var to []string
		for _, t := range route.Targets {
			if len(route.Targets) > 1 {
				to = append(to, t.Service+" "+strconv.Itoa(t.Weight))
			} else {
				to = append(to, t.Service)
			}
		}
		w.row(route.Name, route.Host, route.Prefix, variant, strings.Join(to, ", "), route.Deadline, route.LatencyTarget, route.MaxAttempts,
			route.Priority, yesNo(route.Public))
	}
	return w.Flush()
}

// section is one field of an object as it was written.
func section(raw []byte, name string) []byte {
	var all map[string]json.RawMessage
	if json.Unmarshal(raw, &all) == nil {
		for field, value := range all {
			if strings.EqualFold(field, name) {
				return value
			}
		}
	}
	return []byte("[]")
}

type tenantsCmd struct {
	Keys bool `arg:"--keys" help:"print keys whole"`
	caller
}

func (*tenantsCmd) examples() string {
	return `  gateway tenants          keys by their first four characters
  gateway tenants --keys   whole keys`
}

func (t *tenantsCmd) run(out io.Writer) error {
	b, _, err := t.config()
	if err != nil {
		return err
	}
	if !t.Keys {
		for i := range b.Tenants {
			for j, k := range b.Tenants[i].ApiKeys {
				b.Tenants[i].ApiKeys[j] = redact(k)
			}
		}
	}
	if t.JSON {
		if b.Tenants == nil {
			b.Tenants = []routing.ConfigTenant{}
		}
		return json.NewEncoder(out).Encode(b.Tenants)
	}
	w := newTable(out, "NAME", "PRIORITY", "A SECOND", "BURST", "KEYS")
	for _, configTenant := range b.Tenants {
		rate := "no limit"
		if configTenant.RatePerS > 0 {
			rate = strconv.FormatFloat(configTenant.RatePerS, 'g', -1, 64)
		}
		w.row(configTenant.Name, configTenant.Priority, rate, configTenant.Burst, strings.Join(configTenant.ApiKeys, ", "))
	}
	return w.Flush()
}

// redact is what may be seen of a key; of a short one, less.
func redact(key string) string {
	n := min(visibleKeyChars, len(key)/2)
	for n > 0 && !utf8.RuneStart(key[n]) {
		n--
	}
	return key[:n] + "..."
}

type nodesCmd struct {
	Ask bool `arg:"--ask" help:"ask each node for its own state, too"`
	caller
}

func (*nodesCmd) examples() string {
	return `  gateway nodes         all nodes as the one that answers knows them
  gateway nodes --ask   each node's configuration, how long ago it heard of the core, whether it wants clients`
}

func (n *nodesCmd) run(out io.Writer) error {
	s, raw, err := n.status()
	if err != nil {
		return err
	}
	if !n.Ask {
		if n.JSON {
			return printJSON(out, section(raw, "nodes"))
		}
		w := newTable(out, "NAME", "ZONE", "ADDRESS", "CONTROL", "SLOT", "DISK", "LIVE")
		for _, d := range s.Nodes {
			w.row(d.Name, d.Zone, d.Address, d.Control, optionalNumber(d.Slot), yesNo(d.Disk), yesNo(d.Live))
		}
		return w.Flush()
	}
	states := n.askAll(s.Nodes)
	if n.JSON {
		return json.NewEncoder(out).Encode(states)
	}
	w := newTable(out, "NAME", "ZONE", "VERSION", "APPLIED", "STALE", "READY", "CORE", "IN FLIGHT", "CLIENTS", "WHY NOT")
	for i, d := range s.Nodes {
		if o := states[i]; o == nil {
			w.row(d.Name, d.Zone, "", "", "", "", "", "", "", "no answer")
		} else {
			role := ""
			if o.Core != nil {
				role = o.Core.Role
			}
			w.row(o.Node, o.Zone, o.Generation, o.Applied, optionalAge(o.StaleMs), yesNo(o.Ready), role, o.Held,
				o.Clients, strings.Join(o.Unready, ", "))
		}
	}
	return w.Flush()
}

// askAll asks nodes for their own state, each once; nil where none came.
func (c *caller) askAll(nodes []controlapi.StatusNode) []*controlapi.NodeStatus {
	const atOnce = 16
	states, turn := make([]*controlapi.NodeStatus, len(nodes)), make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, d := range nodes {
		if d.Control == "" {
			continue
		}
		turn <- struct{}{}
		all.Go(func() {
			states[i], _, _ = c.statusOf([]string{d.Control}, 1)
			<-turn
		})
	}
	all.Wait()
	return states
}

type backendsCmd struct {
	Service string `arg:"--service" help:"those of one service only"`
	caller
}

func (*backendsCmd) examples() string {
	return `  gateway backends
  gateway backends --service huvo11a`
}

func (b *backendsCmd) run(out io.Writer) error {
	s, _, err := b.status()
	if err != nil {
		return err
	}
	some := []controlapi.StatusBackend{}
	for _, statusBackend := range s.Backends {
		if b.Service == "" || statusBackend.Target == b.Service {
			some = append(some, statusBackend)
		}
	}
	if b.JSON {
		return json.NewEncoder(out).Encode(some)
	}
	w := newTable(out, "ID", "SERVICE", "ADDRESS", "ZONE", "SOFTWARE", "CAPACITY", "PHASE", "SLOW START", "OWNER",
		"SEQ")
	for _, item := range some {
		w.row(item.Id, item.Target, item.Address, item.Zone, item.Generation, item.Capacity, item.Phase, item.ColdLeft, item.Registrar, item.CallSeq)
	}
	return w.Flush()
}

type coreCmd struct{ caller }

func (*coreCmd) examples() string {
	return `  gateway core    its term, leader, members, log; asked of a node with a disk`
}

func (c *coreCmd) run(out io.Writer) error {
	s, _, err := c.status()
	if err != nil {
		return err
	}
	for i := 0; s.Core == nil; i++ { // a node without a disk knows those with one
		var with []controlapi.StatusNode
		for _, d := range s.Nodes {
			if d.Disk && d.Control != "" {
				with = append(with, d)
			}
		}
		if i >= len(with) {
			return errors.New("no node with a disk answers")
		}
		if o, _, err := c.statusOf([]string{with[i].Control}, 1); err == nil && o.Core != nil {
			s = o
		}
	}
	k := s.Core
	if c.JSON {
		return json.NewEncoder(out).Encode(k)
	}
	w := newTable(out, "NODE", "ROLE", "TERM", "LEADER", "MEMBERS COMMITTED", "LOG", "SYNCED", "UNCOMMITTED", "PENDING",
		"LEARNER")
	w.row(s.Node, k.Role, k.View, k.Leader, yesNo(k.Settled), fmt.Sprintf("%d to %d", k.First, k.Last), k.Synced,
		k.Behind, k.Waiting, k.Learner)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	w = newTable(out, "MEMBER", "NAME", "ADDRESS", "LIVE", "LEADS")
	for _, m := range k.Members {
		name := ""
		for _, d := range s.Nodes {
			if d.Address == m.Address {
				name = d.Name
			}
		}
		w.row(m.Id, name, m.Address, yesNo(m.Live), yesNo(m.Address == k.Leader))
	}
	return w.Flush()
}

type statusCmd struct{ caller }

func (*statusCmd) examples() string {
	return `  gateway status
  gateway status --control 10.1.0.37:8381 --json`
}

func (s *statusCmd) run(out io.Writer) error {
	nodeStatus, raw, err := s.status()
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(out, raw)
	}
	live := 0
	for _, d := range nodeStatus.Nodes {
		if d.Live {
			live++
		}
	}
	w := newTable(out, "node", nodeStatus.Node+" in "+nodeStatus.Zone)
	w.row("slot", optionalNumber(nodeStatus.Slot))
	if nodeStatus.Ready {
		w.row("ready", "yes")
	} else {
		w.row("ready", "no: "+strings.Join(nodeStatus.Unready, ", "))
	}
	w.row("configuration", nodeStatus.Generation)
	w.row("log applied", nodeStatus.Applied)
	w.row("quorum contact", ago(nodeStatus.StaleMs))
	if nodeStatus.Feeder != "" {
		w.row("follows", nodeStatus.Feeder)
	}
	if k := nodeStatus.Core; k != nil {
		w.row("core", fmt.Sprintf("%s, term %d, %d members, leader %s", k.Role, k.View, len(k.Members),
			orUnknown(k.Leader)))
	}
	w.row("nodes", fmt.Sprintf("%d, %d live", len(nodeStatus.Nodes), live))
	if b := nodeStatus.Registry; b != nil {
		w.row("backends", fmt.Sprintf("%d ready, %d draining, %d gone, %d owned here, %d unwatched", b.Ready,
			b.Draining, b.Gone, b.Kept, b.Unwatched))
	}
	w.row("requests in flight", nodeStatus.Held)
	w.row("clients", nodeStatus.Clients)
	w.row("counters", nodeStatus.Counters)
	return w.Flush()
}

func orUnknown(s string) string {
	if s == "" {
		return "not known"
	}
	return s
}
