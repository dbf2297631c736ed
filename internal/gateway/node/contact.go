package node

import (
	"time"

	"clovergap/internal/gateway/quorumcontact"
)

// newContact makes the tracker of this node's contact with a majority, in the turn in which it starts.
func (n *Node) newContact() *quorumcontact.Tracker {
	config := quorumcontact.Config{Bounds: &n.settings.Bounds, Incarnation: n.incarnation, StartedAt: n.loop.Now(), Knobs: &n.knobs.Contact}
	if n.core != nil {
		config.Replica = n.core.replica
	}
	return quorumcontact.New(config)
}

// permitted reports whether this node has a permission now.
func (n *Node) permitted(p quorumcontact.Permission) bool {
	return n.contact.Permits(p, n.table.Version() > 0, n.loop.Now())
}

// isLeader reports whether this node leads the configuration log.
func (n *Node) isLeader() bool { return n.contact.IsLeader(n.loop.Now()) }

// contactAge is how old this node's knowledge of the configuration log is at the most; quorumcontact.UnknownAge without contact.
func (n *Node) contactAge() time.Duration { return n.contact.ContactAge(n.loop.Now()) }
