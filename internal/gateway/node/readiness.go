package node

import (
	"clovergap/internal/gateway/quorumcontact"
)

// Ready reports whether clients may come.
func (n *Node) Ready() bool { return len(n.unreadyReasons()) == 0 }

// unreadyReasons are why clients may not come, for operators; none: they may.
func (n *Node) unreadyReasons() (reasons []string) {
	check := func(applies bool, reason string) {
		if applies {
			reasons = append(reasons, reason)
		}
	}
	check(n.shuttingDown, "it is told to end")
	check(n.table.Version() == 0, "no configuration")
	check(!n.contact.ContactSuffices(quorumcontact.ServeClients, n.loop.Now()), "not heard of the core of late")
	check(n.registry == nil, "no slot")
	check(n.registry != nil && !n.registry.HasReadyBackend(), "no backend is ready")
	return reasons
}

// Version is that of the configuration that this node routes by; 0: none yet.
func (n *Node) Version() uint64 { return n.table.Version() }

// ConfigurationVersion is Version for callers outside of a turn.
func (n *Node) ConfigurationVersion() (v uint64) {
	n.loop.Turn(func() { v = n.Version() })
	return v
}

// IsServing is Ready for callers outside of a turn.
func (n *Node) IsServing() (is bool) {
	n.loop.Turn(func() { is = n.Ready() })
	return is
}
