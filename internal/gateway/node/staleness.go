package node

import (
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/proxy/counters"
)

// checkStaleness counts and logs when this member's contact with a majority is too old although its links to a majority are up.
func (n *Node) checkStaleness() {
	bounds := quorumcontact.StalenessBounds{InTouch: n.settings.Bounds.InTouch, ApplyWithin: n.settings.Bounds.ApplyWithin}
	if n.staleness.Observe(n.loop.Now(), n.isLinkedToMajority(), n.contactAge(), bounds) {
		n.counters.Add(counters.StaleInContact)
		n.logWarn(nodePart).Int64("stale_ms", n.contactAge().Milliseconds()).Msg("contact with a majority is old, links to a majority are up")
	}
}

// isLinkedToMajority reports whether the links of this member to a majority of the members, itself included, are up.
func (n *Node) isLinkedToMajority() bool {
	members := n.core.replica.Members()
	linked := 0
	for _, member := range members {
		if addr := n.memberAddr(member); addr == n.peerAddr || n.roster.IsLinkUp(addr) {
			linked++
		}
	}
	return 2*linked > len(members)
}
