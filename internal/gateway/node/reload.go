package node

import (
	"clovergap/internal/gateway/settings"
)

// Reload reads the settings again. A file that can't be read or is invalid changes nothing, and settings that need a restart keep their
// values. It is not for a turn.
func (n *Node) Reload(path string) {
	loaded, err := settings.Load(path)
	n.loop.Turn(func() {
		if err != nil {
			n.logWarn(nodePart).Err(err).Msg("settings rejected, the former ones stay")
			return
		}
		if fixed := n.settings.ChangedRestartFields(loaded); len(fixed) > 0 {
			n.logWarn(nodePart).Strs("settings", fixed).Msg("settings need a restart")
		}
		n.roster.Tick(n.loop.Now())
		n.roster.SetSeeds(n.peerAddrs(loaded.SeedAddrs))
		n.settings.SeedAddrs, n.settings.Bounds, n.settings.Tolerance = loaded.SeedAddrs, loaded.Bounds, loaded.Tolerance
		n.logInfo(nodePart).Msg("settings reloaded")
	})
}
