package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
)

// status asks a node for its status; raw is the body as it came.
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

type nodesCmd struct {
	Ask bool `arg:"--ask" help:"ask each node for its own state"`
	caller
}

func (*nodesCmd) examples() string {
	return `  gateway nodes         all nodes, as known to the one that answers
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
	w := newTable(out, "NAME", "ZONE", "VERSION", "APPLIED", "STALE", "READY", "CORE", "IN FLIGHT", "CLIENTS", "NOT READY BECAUSE")
	for i, d := range s.Nodes {
		if o := states[i]; o == nil {
			w.row(d.Name, d.Zone, "", "", "", "", "", "", "", "no response")
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

// askAll gets the status of each node from itself, in one attempt; nil where that failed.
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
	w := newTable(out, "ID", "SERVICE", "ADDRESS", "ZONE", "GENERATION", "CAPACITY", "PHASE", "SLOW START", "OWNER",
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
	w = newTable(out, "MEMBER", "NAME", "ADDRESS", "LIVE", "LEADER")
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
		w.row("upstream replica", nodeStatus.Feeder)
	}
	if k := nodeStatus.Core; k != nil {
		w.row("core", fmt.Sprintf("%s, term %d, %d members, leader %s", k.Role, k.View, len(k.Members),
			orUnknown(k.Leader)))
	}
	w.row("nodes", fmt.Sprintf("%d, %d live", len(nodeStatus.Nodes), live))
	if b := nodeStatus.Registry; b != nil {
		w.row("backends", fmt.Sprintf("%d ready, %d draining, %d gone, %d owned here, %d without an owner", b.Ready,
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
