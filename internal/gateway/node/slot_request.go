package node

import (
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/statemachine"
)

// slotRequestInterval is how often a node without a slot asks for one.
const slotRequestInterval = time.Second

// slotRequester asks the leader for a slot while its node has none.
type slotRequester struct {
	node        *Node
	requestedAt time.Duration
}

// tick is the part of the node's periodic timer.
func (s *slotRequester) tick() {
	n := s.node
	if n.slot() != membership.NoSlot || n.now()-s.requestedAt < slotRequestInterval || !n.permitted(quorumcontact.RequestSlot) {
		return
	}
	s.requestedAt = n.now()
	entry := statemachine.EncodeAssignSlotEntry(membership.SlotHolder{Name: n.settings.NodeName, Addr: n.peerAddr, Control: n.settings.Bind.Control,
		Zone: n.settings.Zone})
	n.callLeader(statemachine.KindAssignSlot, entry[1:], 0, func(status int, body []byte) {
		if status != statusOK {
			n.logInfo(nodePart).Int("status", status).Str("reason", string(body)).Msg("no slot yet")
		}
	})
}
