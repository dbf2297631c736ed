package node

import "clovergap/internal/gateway/quorumcontact"

var (
	grantAll      = TestingKnobs{Contact: quorumcontact.TestingKnobs{GrantAll: true}}
	ackDrainAlone = TestingKnobs{Contact: quorumcontact.TestingKnobs{AckDrainWithoutContact: true}, AckDrainWithoutCopies: true}
)

// SetKnobs lets the nodes that are made from now on go without a defence.
func SetKnobs(knobs TestingKnobs) { newNodeKnobs = knobs }

// MissedDefences are those that a simulated day must miss, by name.
var MissedDefences = map[string]TestingKnobs{
	"all have all rights":           grantAll,
	"word counts from when it came": {Contact: quorumcontact.TestingKnobs{CountFromReceipt: true}},
	"an end is acknowledged alone":  ackDrainAlone,
	"ready and sure with old word":  {Contact: quorumcontact.TestingKnobs{ServeWithoutContact: true}},
	"an order waits in vain":        {Contact: quorumcontact.TestingKnobs{QueueWithoutContact: true}},
}

// TrustHeardLeader takes out a defence that takes a partition one way to be missed.
var TrustHeardLeader = TestingKnobs{Contact: quorumcontact.TestingKnobs{TrustHeardLeader: true}}
