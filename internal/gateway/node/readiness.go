package node

import (
	"clovergap/internal/gateway/quorumcontact"
)

// Ready reports whether clients may come, as far as this node knows.
func (n *Node) Ready() bool { return len(n.unreadyReasons()) == 0 }

// unreadyReasons tells in words why no clients are wanted.
func (n *Node) unreadyReasons() (why []string) {
	say := func(is bool, what string) {
		if is {
			why = append(why, what)
		}
	}
	say(n.shuttingDown, "it is told to end")
	say(n.table.Version() == 0, "no configuration")
	say(!n.contact.SufficesFor(quorumcontact.ServeClients, n.loop.Now()), "not heard of the core of late")
	say(n.registry == nil, "no slot")
	say(n.registry != nil && !n.registry.HasReady(), "no backend is ready")
	return why
}

// Version is of the configuration that this node routes by; 0: none yet.
func (n *Node) Version() uint64 { return n.table.Version() }

// ConfigurationVersion and Serves are Version and Ready for who is not in a turn.
func (n *Node) ConfigurationVersion() (v uint64) {
	n.loop.Turn(func() { v = n.Version() })
	return v
}

// IsServing is Ready for callers outside of a turn.
func (n *Node) IsServing() (is bool) {
	n.loop.Turn(func() { is = n.Ready() })
	return is
}
