package gatewaystandin

import (
	"time"

	"clovergap/internal/history"
)

// Kinds of events of cuts: nothing that the node Who says to the node At gets there, until they are joined.
const (
	Parted history.Kind = "parted"
	Joined history.Kind = "joined"
)

// Part lets nothing that the node says get to another, or lets it again. The nodes must be debug builds.
func (n *Node) Part(to *Node, off bool) {
	note := func(k history.Kind) { n.t.Terms.History.Add(history.Event{Who: n.Name, At: to.Name, Kind: k}) }
	if off {
		note(Parted)
	}
	n.Cut(to.Host, off)
	if !off {
		note(Joined)
	}
}

// gap is a time when what one node says did not get to another.
type gap struct {
	who, at  string
	from, to time.Duration
}

// gapsOf are all gaps; faults that overlap may part two nodes twice.
func gapsOf(h []history.Event) (all []gap) {
	open := map[[2]string][]time.Duration{}
	for _, e := range h {
		way := [2]string{e.Who, e.At}
		switch from := open[way]; {
		case e.Kind == Parted:
			open[way] = append(from, e.T)
		case e.Kind == Joined && len(from) > 0:
			if open[way] = from[1:]; len(from) == 1 {
				all = append(all, gap{e.Who, e.At, from[0], e.T})
			} else {
				open[way][0] = from[0]
			}
		}
	}
	for way, from := range open {
		if len(from) > 0 {
			all = append(all, gap{way[0], way[1], from[0], always})
		}
	}
	return all
}

// between tells whether it parts two nodes, one way or the other.
func (g gap) between(a, b string) bool { return g.who == a && g.at == b || g.who == b && g.at == a }

// joined tells whether two nodes had a path both ways: all of the time, or else at least some of it.
func (c *calm) joined(a, b string, from, to time.Duration, allOfIt bool) bool {
	for _, g := range c.gaps {
		if g.between(a, b) && (allOfIt && g.from <= to && g.to >= from || g.from <= from && g.to >= to) {
			return false
		}
	}
	return true
}

// reaches tells whether a machine of the core had a path to more than half of it.
func (c *calm) reaches(who string, from, to time.Duration, allOfIt bool) bool {
	n := 0
	for _, o := range c.cores {
		if o == who || !c.off.meets(o, from, to) && c.joined(who, o, from, to, allOfIt) {
			n++
		}
	}
	return 2*n > len(c.cores)
}
