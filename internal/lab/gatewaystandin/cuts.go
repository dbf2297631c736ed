package gatewaystandin

import (
	"time"

	"clovergap/internal/history"
)

// Kinds of events of cuts: nothing that the node Who says to the node At gets there, until they are joined.
const (
	LinkDown history.Kind = "parted"
	LinkUp   history.Kind = "joined"
)

// SetLinkDown lets nothing that the node sends get to another, or lets it again. That includes acknowledgements: connections that the other node has
// opened stall, and go on with their next retransmission. The nodes must be debug builds.
func (n *Node) SetLinkDown(to *Node, off bool) {
	note := func(k history.Kind) {
		n.deployment.Config.History.Add(history.Event{Who: n.Name, Target: to.Name, Kind: k})
	}
	if off {
		note(LinkDown)
	}
	n.BlockHost(to.Host, off)
	to.LoseAcknowledgements(n.Host, off)
	if !off {
		note(LinkUp)
	}
}

// linkOutage is a time when what one node says did not get to another.
type linkOutage struct {
	source, destination string
	from, to            time.Duration
}

// linkOutages are all gaps; faults that overlap may part two nodes twice.
func linkOutages(h []history.Event) (all []linkOutage) {
	open := map[[2]string][]time.Duration{}
	for _, e := range h {
		way := [2]string{e.Who, e.Target}
		switch from := open[way]; {
		case e.Kind == LinkDown:
			open[way] = append(from, e.Time)
		case e.Kind == LinkUp && len(from) > 0:
			if open[way] = from[1:]; len(from) == 1 {
				all = append(all, linkOutage{e.Who, e.Target, from[0], e.Time})
			} else {
				open[way][0] = from[0]
			}
		}
	}
	for way, from := range open {
		if len(from) > 0 {
			all = append(all, linkOutage{way[0], way[1], from[0], always})
		}
	}
	return all
}

// between tells whether it parts two nodes, one way or the other.
func (l linkOutage) between(a, b string) bool {
	return l.source == a && l.destination == b || l.source == b && l.destination == a
}

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
