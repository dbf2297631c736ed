//go:build debug || testingknobs

package registry

// TestingKnobs disable safeguards, for tests that show which failures the safeguards prevent.
type TestingKnobs struct {
	// TrustUnconfirmedPeers counts a departure in any message as a copy at its sender, even if a former incarnation of the
	// sender may have sent the message.
	TrustUnconfirmedPeers bool
}

func (t TestingKnobs) trustUnconfirmedPeers() bool { return t.TrustUnconfirmedPeers }
