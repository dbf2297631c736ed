package rollout

import (
	"math"
	"slices"
)

// Upper bounds of the probability that a good version is rolled back during a whole roll-out. FleetFalsePositiveRate applies to a
// rollback by all nodes together, NodeFalsePositiveRate to a local rollback by one node.
const (
	FleetFalsePositiveRate = 1.0 / 200
	NodeFalsePositiveRate  = 1e-5
)

// suspicionWealth is the total wealth of all bets, as a multiple of their total stake, at which the coordinator no longer advances to the
// next step.
const suspicionWealth = 20

// Fractions of the total stake with which the bets of the tests start. The fractions add up to 1 over all tests, groups and zones.
const (
	overallStake  = 0.15                           // failures of each kind of request
	latencyStake  = 0.10                           // slow responses of each kind of request
	groupStake    = 0.25 / (2 * tenantGroups)      // failures of each kind of request in each group of tenants
	allZonesStake = 0.25                           // failures by zone, for all zones together
	zoneStake     = allZonesStake / (2 * maxZones) // failures of each kind of request in each zone
	maxZones      = 8                              // number of zones with bets of their own
)

// stakeOf returns the fraction of the initial stake with which the bets of a test start.
func stakeOf(test int) float64 {
	switch {
	case test >= latencyTests:
		return latencyStake
	case test%failureTests == 0:
		return overallStake
	}
	return groupStake
}

// findings holds the evidence that one incarnation of a node gathered in a step.
type findings struct {
	*evidence
	node           NodeID // a node with several incarnations has several findings
	zone           string // zone of the node
	canaryBackends int    // number of backends of the canary with at least one outcome at this node
	excluded       bool   // totalWealth skips these findings, to check whether a decision depends on one node
}

// logWealthWithout returns the logarithms of one node's wealth in a window, without the failures of excludedBackend. If excludedBackend
// is 0, the failures of all backends count.
func (f *findings) logWealthWithout(window int, excludedBackend uint64) logWealth {
	wealth := f.total[window]
	if backend := f.perBackend[excludedBackend]; backend != nil {
		for test := range wealth {
			for i := range wealth[test] {
				wealth[test][i] -= backend[window][test][i]
			}
		}
	}
	return wealth
}

// totalWealth returns the total wealth of all bets in a window, without the failures of excludedBackend. The total stake is 1. If
// excludedBackend is 0, the failures of all backends count.
func totalWealth(list []*findings, window int, excludedBackend uint64) float64 {
	var sum logWealth
	zones := map[string]*[2][ratioCount]float64{} // by kind of request
	for _, f := range list {
		if f.excluded {
			continue
		}
		logs := f.logWealthWithout(window, excludedBackend)
		zone := zones[f.zone]
		if zone == nil && len(zones) < maxZones {
			zone = new([2][ratioCount]float64)
			zones[f.zone] = zone
		}
		for test := range logs {
			for i := range logs[test] {
				sum[test][i] += logs[test][i]
			}
		}
		for kind := 0; zone != nil && kind < 2; kind++ {
			for i := range ratioCount {
				zone[kind][i] += logs[kind*failureTests][i]
			}
		}
	}
	total := 0.0
	for test := range sum {
		total += stakeOf(test) * mixtureWealth(&sum[test])
	}
	for _, zone := range zones {
		total += zoneStake * (mixtureWealth(&zone[0]) + mixtureWealth(&zone[1]))
	}
	// The stakes that are reserved for further zones belong to no bet, so they count unchanged.
	return total + max(0, allZonesStake-2*zoneStake*float64(len(zones)))
}

// Limits of the logarithm of wealth. If the logarithm is at most minLogWealth, the wealth counts as 0. A logarithm above maxLogWealth is
// replaced by maxLogWealth, because the wealth could exceed the range of a float64.
const (
	minLogWealth = -30
	maxLogWealth = 600
)

// mixtureWealth returns the mean wealth of the bets on all ratios, given the logarithm of the wealth of each bet.
func mixtureWealth(logs *[ratioCount]float64) (sum float64) {
	if *logs == ([ratioCount]float64{}) {
		return 1
	}
	for _, log := range logs {
		if log > minLogWealth {
			sum += math.Exp(min(log, maxLogWealth)) / ratioCount
		}
	}
	return sum
}

// evaluate compares the wealth of the bets with the wealth that the false positive rate requires. The score is the wealth divided by the
// required wealth, or 0 if the total wealth is below the required wealth. A score of 1 or more means that the canary fails and is to be
// rolled back. The suspicion is the total wealth divided by suspicionWealth. If the suspicion is 1 or more, the roll-out does not advance to
// the next step. Each result is the larger one of the values for the two windows.
//
// evaluate also computes the score without the failures of each single backend and without the findings of each single node, and returns
// the lowest score. A fault of one machine is not a fault of the version. Each of the two windows gets half of the false positive rate.
// Within a window, the k-th step or lap gets the fraction 1/(k(k+1)) of that half.
func evaluate(list []*findings, step, lap int, falsePositiveRate float64) (score, suspicion float64) {
	for window, k := range [windowCount]float64{stepWindow: float64(step), lapWindow: float64(lap)} {
		required := 2 * k * (k + 1) / falsePositiveRate
		minWealth := totalWealth(list, window, 0)
		suspicion = max(suspicion, minWealth/suspicionWealth)
		if minWealth < required {
			continue
		}
		minWealth = min(minWealth, minWealthWithoutOneBackend(list, window), minWealthWithoutOneNode(list, window))
		score = max(score, minWealth/required)
	}
	return score, suspicion
}

// minWealthWithoutOneBackend returns the lowest wealth that remains when the failures of one backend are excluded. It returns infinity
// if no backend can be excluded because the canary has only one.
func minWealthWithoutOneBackend(list []*findings, window int) float64 {
	failing, seen := map[uint64]bool{}, 0
	for _, f := range list {
		seen = max(seen, f.canaryBackends)
		for id := range f.perBackend {
			failing[id] = true
		}
	}
	minWealth := math.Inf(1)
	if seen > 1 || len(failing) > 1 {
		for id := range failing {
			minWealth = min(minWealth, totalWealth(list, window, id))
		}
	}
	return minWealth
}

// minWealthWithoutOneNode returns the lowest wealth that remains when the findings of one node, in all its incarnations, are excluded.
// If there is only one node, its findings are included.
func minWealthWithoutOneNode(list []*findings, window int) float64 {
	var nodes []NodeID
	for _, f := range list {
		if !slices.Contains(nodes, f.node) {
			nodes = append(nodes, f.node)
		}
	}
	minWealth := math.Inf(1)
	for _, node := range nodes {
		for _, f := range list {
			f.excluded = f.node == node && len(nodes) > 1
		}
		minWealth = min(minWealth, totalWealth(list, window, 0))
	}
	for _, f := range list {
		f.excluded = false
	}
	return minWealth
}
