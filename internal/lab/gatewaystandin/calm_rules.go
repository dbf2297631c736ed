// When nodes were in touch and the core was settled: rules that rest on it hold nobody else.

package gatewaystandin

import (
	"slices"
	"time"

	"clovergap/internal/history"
)

// Trouble on a node's machine or its links, by whoever brings it.
const (
	Troubled history.Kind = "trouble"
	Eased    history.Kind = "eased"
)

// Backends is who played a history, as far as the rules ask.
type Backends struct {
	Nodes    map[string]string // names, by where they take control calls
	Cores    []string          // those with a disk
	Services map[string]string // of every backend that ever was
	Versions map[uint64]Version
}

// Backends names who played.
func (d *Deployment) Backends() *Backends {
	c := &Backends{Nodes: map[string]string{}, Services: map[string]string{}, Versions: d.Operator.Versions()}
	for _, node := range d.Nodes {
		c.Nodes[node.Control] = node.Name
	}
	for _, otherNode := range d.Cores() {
		c.Cores = append(c.Cores, otherNode.Name)
	}
	for _, l := range d.All() {
		c.Services[l.ID] = l.Service
	}
	return c
}

// calm tells when nodes were in touch, by what the rig did to them.
type calm struct {
	events map[string][]time.Duration // of each node: ends, starts, stops, goes
	core   []time.Duration
	off    off
	gaps   []linkOutage
	cores  []string
}

const always = time.Duration(1<<63 - 1)

func newCalm(h []history.Event, t *Backends) *calm {
	c := &calm{events: map[string][]time.Duration{}, off: newOff(h), gaps: linkOutages(h), cores: t.Cores}
	nodes := map[string]bool{}
	for _, name := range t.Nodes {
		nodes[name] = true
	}
	for _, e := range h {
		switch core := slices.Contains(c.cores, e.Who); e.Kind {
		case history.Down, history.Paused, history.Up, history.Resumed, Terminates, Troubled, Eased:
			if !nodes[e.Who] {
				continue
			}
			c.events[e.Who] = append(c.events[e.Who], e.Time)
			if core {
				c.core = append(c.core, e.Time)
			}
		case LinkDown, LinkUp: // of a cut, both ends must be of the core to unsettle it
			if core && slices.Contains(c.cores, e.Target) {
				c.core = append(c.core, e.Time)
			}
		}
	}
	return c
}

// off is when nodes were down, stood still or were in trouble.
type off map[string][][2]time.Duration

// newOff reads it from a history; what else ends a node may be named.
func newOff(h []history.Event, downs ...history.Kind) off {
	o, open := off{}, map[string]map[history.Kind]time.Duration{}
	for _, e := range h {
		begins, ends := history.Kind(""), history.Kind("")
		switch {
		case e.Kind == history.Down || slices.Contains(downs, e.Kind):
			begins = history.Down
		case e.Kind == history.Paused || e.Kind == Troubled:
			begins = e.Kind
		case e.Kind == history.Up:
			ends = history.Down
		case e.Kind == history.Resumed:
			ends = history.Paused
		case e.Kind == Eased:
			ends = Troubled
		default:
			continue
		}
		if open[e.Who] == nil {
			open[e.Who] = map[history.Kind]time.Duration{}
		}
		if _, is := open[e.Who][begins]; begins != "" && !is { // a kill is told when it is sent, and when it is seen
			open[e.Who][begins] = e.Time
		}
		if from, is := open[e.Who][ends]; is {
			o[e.Who] = append(o[e.Who], [2]time.Duration{from, e.Time})
			delete(open[e.Who], ends)
		}
	}
	for who, kinds := range open {
		for _, from := range kinds {
			o[who] = append(o[who], [2]time.Duration{from, always})
		}
	}
	return o
}

// graceNear is how close to its end a node has used up its grace.
const graceNear = 1500 * time.Millisecond

// OutOfGrace tells whether a node that was told to end did so about then, with its grace used up: what takes longer
// than that can't be waited for.
func OutOfGrace(h []history.Event, node string, at time.Duration) bool {
	told := always
	for _, e := range h {
		switch {
		case e.Who != node:
		case e.Kind == Terminates:
			told = min(told, e.Time)
		case e.Kind == history.Down:
			if e.Time-told > Bounds().ShutdownGrace-graceNear && e.Time-at < graceNear/3 && at-e.Time < graceNear/3 {
				return true
			}
			told = always
		}
	}
	return false
}

// meets tells whether a node was off at any moment of a time.
func (o off) meets(who string, from, to time.Duration) bool {
	return slices.ContainsFunc(o[who], func(s [2]time.Duration) bool { return s[0] <= to && s[1] >= from })
}

func between(all []time.Duration, from, to time.Duration) bool {
	return slices.ContainsFunc(all, func(t time.Duration) bool { return t >= from && t <= to })
}

// coreStable tells whether the core was, for a whole time.
func (c *calm) coreStable(from, to time.Duration) bool {
	begin := from - Bounds().InTouch
	return !between(c.core, begin, to) && slices.ContainsFunc(c.cores, func(who string) bool {
		return !c.off.meets(who, begin, to) && c.reaches(who, begin, to, true)
	})
}

// touch tells whether a node was in touch for a whole time.
func (c *calm) touch(node string, from, to time.Duration) bool {
	begin := from - Bounds().InTouch
	return !between(c.events[node], begin, to) && !c.off.meets(node, begin, to) && c.coreStable(from, to) &&
		!slices.ContainsFunc(c.cores, func(o string) bool { // without a path to one that has to do with most of the core
			return !c.off.meets(o, begin, to) && c.reaches(o, begin, to, false) && !c.joined(node, o, begin, to, true)
		})
}
