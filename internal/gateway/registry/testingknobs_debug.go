//go:build debug || testingknobs

package registry

// TestingKnobs disables safeguards, for tests that show which failures the safeguards prevent.
type TestingKnobs struct {
	// If TrustUnconfirmedPeers is true, a departure in any message counts as a copy at the message's sender, even if a former
	// incarnation of the sender may have sent the message.
	TrustUnconfirmedPeers bool
}

// trustUnconfirmedPeers returns the value of TrustUnconfirmedPeers.
func (t TestingKnobs) trustUnconfirmedPeers() bool { return t.TrustUnconfirmedPeers }
