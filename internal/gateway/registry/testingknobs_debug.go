//go:build debug || testingknobs

package registry

// TestingKnobs disables safeguards, for tests that show which failures the safeguards prevent.
type TestingKnobs struct {
	// If TrustUnconfirmedPeers is true, a departure in any message counts as known to the message's sender, and a report of a
	// stored departure counts as a copy, even if a former incarnation of the sender may have sent the message.
	TrustUnconfirmedPeers bool
	// If CountUnstoredCopies is true, a copy of a departure counts before it is on the disk of its node.
	CountUnstoredCopies bool
}

// trustUnconfirmedPeers returns the value of TrustUnconfirmedPeers.
func (t TestingKnobs) trustUnconfirmedPeers() bool { return t.TrustUnconfirmedPeers }

// countUnstoredCopies returns the value of CountUnstoredCopies.
func (t TestingKnobs) countUnstoredCopies() bool { return t.CountUnstoredCopies }
