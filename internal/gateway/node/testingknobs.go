package node

import (
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/quorumcontact"
)

// TestingKnobs are what tests change in a node: most take out one defence, to see that it is needed. The zero value is what runs in service.
type TestingKnobs struct {
	Contact quorumcontact.TestingKnobs
	// AckDrainWithoutCopies acknowledges the drain of a backend on however few copies there are.
	AckDrainWithoutCopies bool
	// TrustStaleUpstream has a node without a disk believe its upstream on which nodes live, however old the upstream's contact is.
	TrustStaleUpstream bool
	// MatchRepliesBySequence has a reply end whichever call bears its sequence number, whoever sent it and to which incarnation.
	MatchRepliesBySequence bool
	// GroupApplications makes what the coordination groups order, instead of the coordination service.
	GroupApplications interface{ NewApplication() groups.Application }
}

// newNodeKnobs are those of nodes that are made from now on.
var newNodeKnobs TestingKnobs
