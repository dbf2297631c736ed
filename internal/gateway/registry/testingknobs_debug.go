//go:build debug || testingknobs

package registry

// TestingKnobs take defences out, for tests that show what these are for.
type TestingKnobs struct {
	// TrustUnconfirmedPeers counts a departure in any message as a copy at its sender, also in one that the sender's former
	// incarnation may have sent.
	TrustUnconfirmedPeers bool
}

func (t TestingKnobs) trustUnconfirmedPeers() bool { return t.TrustUnconfirmedPeers }
