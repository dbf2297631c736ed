package node

// handleReady ends a turn: it carries out what the parts decided. The log goes first, since all else depends on what is applied.
func (n *Node) handleReady() {
	if n.core != nil {
		n.core.handleReady()
		n.groups.handleReady()
		n.coordination.NotifyWatchers()
		n.groups.handleReady() // what the watchers that were notified ask for next
	}
	n.handleRosterActions()
	n.handleRegistryActions()
	if n.core != nil {
		n.core.disk.flush() // also the departures that the registry has just received
	}
	n.gate.RunDecisions()
}

// tickTimer is the one periodic timer of a node.
type tickTimer Node

// Live is always true: the timer runs as long as the node.
func (t *tickTimer) Live(uint32) bool { return true }

// Due does the periodic work of the parts, each tickInterval.
func (t *tickTimer) Due(uint32) {
	n := (*Node)(t)
	now := n.loop.Now()
	n.loop.At(now+tickInterval, t, 0)
	n.streamReceiver.tick(now)
	if now-n.heartbeatAt >= heartbeatInterval {
		urgent := n.heartbeatAt == 0
		n.heartbeatAt = now
		n.sendHeartbeats(urgent)
	} else {
		n.sendOverdueLiveness()
	}
	n.streamSender.tick()
	n.calls.chunks.tick()
	n.streamReceiver.check()
	n.slotRequest.tick()
	n.rollouts.tick()
	n.groups.requestFounding()
	if n.core != nil {
		n.groups.maintain()
		n.scheduleRegistrySave()
		n.checkStaleness()
	}
	n.logStateChanges()
}
