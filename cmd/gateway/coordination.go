package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/groups"
)

// locksCmd is `gateway locks`.
type locksCmd struct {
	List  *locksListCmd  `arg:"subcommand:list" help:"list the locks that have an owner"`
	Owner *locksOwnerCmd `arg:"subcommand:holder" help:"show the owner of a lock"`
}

func (*locksCmd) run(io.Writer) error { return usageErrorf("give list or holder") }

func (*locksCmd) examples() string {
	return `  gateway locks list
  gateway locks holder lot-4711`
}

type locksListCmd struct{ caller }

func (l *locksListCmd) run(out io.Writer) error {
	var all []controlapi.LockStatus
	for id := range groups.Count {
		list, _, err := readAs[controlapi.LockList](l.call("/api/Locks.List/"+strconv.Itoa(id), nil))
		if err != nil {
			return errors.Wrapf(err, "group %d", id)
		}
		all = append(all, list.Locks...)
	}
	slices.SortFunc(all, func(a, b controlapi.LockStatus) int { return compareNames(a.Name, b.Name) })
	return l.show(out, all)
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// show prints locks.
func (c *caller) show(out io.Writer, all []controlapi.LockStatus) error {
	if c.JSON {
		text, err := json.Marshal(controlapi.LockList{Locks: all})
		if err != nil {
			return err
		}
		return printJSON(out, text)
	}
	t := newTable(out, "LOCK", "OWNER", "FENCING TOKEN", "TIME LEFT")
	for _, l := range all {
		t.row(l.Name, l.Holder, l.Fence, time.Duration(l.LeftMs)*time.Millisecond)
	}
	return t.Flush()
}

type locksOwnerCmd struct {
	caller
	Name string `arg:"positional,required" placeholder:"LOCK"`
}

func (l *locksOwnerCmd) run(out io.Writer) error {
	list, _, err := readAs[controlapi.LockList](l.call("/api/Locks.Read/"+url.PathEscape(l.Name), nil))
	if err != nil {
		return err
	}
	return l.show(out, list.Locks)
}

// keysCmd is `gateway keys`.
type keysCmd struct {
	Get   *keysGetCmd   `arg:"subcommand:get" help:"read a key"`
	Put   *keysPutCmd   `arg:"subcommand:put" help:"put a key's value"`
	Watch *keysWatchCmd `arg:"subcommand:watch" help:"print the puts in a group of keys as they come"`
}

func (*keysCmd) run(io.Writer) error { return usageErrorf("give get, put or watch") }

func (*keysCmd) examples() string {
	return `  gateway keys get feature.colour
  gateway keys put --revision 12 feature.colour green-7f3a
  gateway keys watch feature.`
}

type keysGetCmd struct {
	caller
	Key string `arg:"positional,required" placeholder:"KEY"`
}

func (k *keysGetCmd) run(out io.Writer) error {
	v, raw, err := readAs[controlapi.KeyValue](k.call("/api/Cells.Read/"+url.PathEscape(k.Key), nil))
	if err != nil {
		return err
	}
	if k.JSON {
		return printJSON(out, raw)
	}
	t := newTable(out, "KEY", "REVISION", "VALUE")
	t.row(k.Key, v.Revision, v.Value)
	return t.Flush()
}

type keysPutCmd struct {
	caller
	Revision *uint64 `arg:"--revision" placeholder:"N" help:"the revision that the key must have; 0: never put; omitted: any"`
	Key      string  `arg:"positional,required" placeholder:"KEY"`
	Value    string  `arg:"positional,required" placeholder:"VALUE" help:"one that the key never had: a repeated put of the same value is idempotent"`
}

func (k *keysPutCmd) run(out io.Writer) error {
	body, err := json.Marshal(controlapi.KeyReplace{Value: k.Value, Topic: k.Revision})
	if err != nil {
		return err
	}
	v, raw, err := readAs[controlapi.KeyRevision](k.call("/api/Cells.Replace/"+url.PathEscape(k.Key), body))
	if err != nil {
		return err
	}
	if k.JSON {
		return printJSON(out, raw)
	}
	_, err = fmt.Fprintln(out, printable(k.Key), "has revision", v.Revision)
	return err
}

type keysWatchCmd struct {
	caller
	After uint64 `arg:"--after" placeholder:"REVISION" help:"print the puts above it; 0: those from now on"`
	Count int    `arg:"--count" placeholder:"N" help:"end after so many puts; 0: go on"`
	Group string `arg:"positional,required" placeholder:"GROUP." help:"the keys' name up to the first dot, with the dot"`
}

// watchTimeout is how long a watch waits at a node; less than responseTimeout, or another node would be tried.
const watchTimeout = 500 * time.Millisecond

func (k *keysWatchCmd) run(out io.Writer) error {
	after := k.After
	for seen := 0; ; {
		path := fmt.Sprintf("/api/watch/%s?after=%d&wait_ms=%d", url.PathEscape(k.Group), after, watchTimeout.Milliseconds())
		all, _, err := readAs[controlapi.KeyEvents](k.call(path, nil))
		if err != nil {
			return err
		}
		for _, e := range all.Events {
			if k.JSON {
				text, err := json.Marshal(e)
				if err != nil {
					return err
				}
				if err := printJSON(out, text); err != nil {
					return err
				}
			} else if _, err := fmt.Fprintln(out, e.Revision, printable(e.Name), printable(e.Value)); err != nil {
				return err
			}
			if seen++; k.Count > 0 && seen == k.Count {
				return nil
			}
		}
		after = all.Revision
		if after == 0 { // a group without a put has no revision to wait after
			time.Sleep(watchTimeout)
		}
	}
}

// groupsCmd is `gateway groups`.
type groupsCmd struct {
	List     *groupsListCmd     `arg:"subcommand:list" help:"list the groups, as known to the node that answers"`
	Leader   *groupsLeaderCmd   `arg:"subcommand:leader" help:"show the leader of a name's group"`
	Transfer *groupsTransferCmd `arg:"subcommand:move" help:"transfer the leadership of a group to another member"`
}

func (*groupsCmd) run(io.Writer) error { return usageErrorf("give list, leader or move") }

func (*groupsCmd) examples() string {
	return `  gateway groups list
  gateway groups leader lot-4711
  gateway groups move 3 10.2.0.31:7240`
}

type groupsListCmd struct{ caller }

func (g *groupsListCmd) run(out io.Writer) error {
	list, raw, err := g.groups()
	if err != nil {
		return err
	}
	if g.JSON {
		return printJSON(out, raw)
	}
	t := newTable(out, "GROUP", "LEADER", "TERM", "SYNCED", "MEMBERS", "LOCKS", "COUNTERS", "KEYS", "BYTES")
	for _, groupStatus := range list.Groups {
		t.row(groupStatus.Group, groupStatus.Leader, groupStatus.View, groupStatus.Synced, len(groupStatus.Members), groupStatus.Locks, groupStatus.Numbers, groupStatus.Keys, groupStatus.KeyBytes+groupStatus.HistoryBytes)
	}
	return t.Flush()
}

// groups gets the status of the groups from a node.
func (c *caller) groups() (*controlapi.GroupList, []byte, error) {
	return readAs[controlapi.GroupList](c.call("/api/Groups.List", nil))
}

type groupsLeaderCmd struct {
	caller
	Name string `arg:"positional,required" placeholder:"NAME" help:"of a lock, a counter or a key"`
	Key  bool   `arg:"--key" help:"the name is a key's, or that of a group of keys"`
}

func (g *groupsLeaderCmd) run(out io.Writer) error {
	list, _, err := g.groups()
	if err != nil {
		return err
	}
	id := groups.GroupOf(g.Name)
	if g.Key {
		id = groups.GroupOf(groups.KeyGroup(g.Name))
	}
	for _, groupStatus := range list.Groups {
		if groupStatus.Group == int(id) {
			t := newTable(out, "NAME", "GROUP", "LEADER", "CONTROL")
			t.row(g.Name, groupStatus.Group, groupStatus.Leader, groupStatus.Control)
			return t.Flush()
		}
	}
	return errors.Errorf("%s has no status of group %d", list.Node, id)
}

type groupsTransferCmd struct {
	caller
	Group  int    `arg:"positional,required" placeholder:"GROUP"`
	Target string `arg:"positional,required" placeholder:"ADDR" help:"inner address of a member: see groups list --json"`
}

// run calls the node that leads the group, which alone can transfer the leadership.
func (g *groupsTransferCmd) run(out io.Writer) error {
	list, _, err := g.groups()
	if err != nil {
		return err
	}
	at := slices.IndexFunc(list.Groups, func(groupStatus controlapi.GroupStatus) bool { return groupStatus.Group == g.Group })
	if at < 0 {
		return usageErrorf("there is no group %d", g.Group)
	}
	leader := list.Groups[at]
	if leader.Control == "" {
		return errors.Errorf("%s knows no leader of group %d", list.Node, g.Group)
	}
	body, err := json.Marshal(controlapi.GroupMove{To: g.Target})
	if err != nil {
		return err
	}
	if _, err = g.callNodes([]string{leader.Control}, 1, "/api/Groups.Move/"+strconv.Itoa(g.Group), body); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "asked", printable(g.Target), "to lead group", g.Group)
	return err
}
