package rollout

import (
	"math"
	"slices"
)

// Chances that a good version is rolled back, over a whole roll-out: by all nodes together, and by one node for itself.
const (
	FleetFalsePositiveRate = 1.0 / 200
	NodeFalsePositiveRate  = 1e-5
)

// doubtWealth times the stake: in doubt, no next step by itself.
const doubtWealth = 20

// Parts of the stake that the tests have; together 1.
const (
	overallStake = 0.15 // each kind of request, failing
	latencyStake = 0.10 // each kind, slow
	groupStake   = 0.25 / (2 * tenantGroups)
	zonesStake   = 0.25 // all zones
	zoneStake    = zonesStake / (2 * maxZones)
	maxZones     = 8
)

// stakeOf is the part of the stake that a test has.
func stakeOf(test int) float64 {
	switch {
	case test >= latencyTests:
		return latencyStake
	case test%failureTests == 0:
		return overallStake
	}
	return groupStake
}

// findings are what one incarnation of a node found in a step.
type findings struct {
	*evidence
	node           NodeID // several incarnations of one may have reported
	zone           string
	canaryBackends int  // that it saw at work
	excluded       bool // left out, to see whether a verdict rests on one node
}

// wealthOf gives the logarithms of one node's wealth in a window, without one backend's failures (0: with all).
func (f *findings) wealthOf(window int, without uint64) logWealth {
	wealth := f.total[window]
	if backend := f.perBackend[without]; backend != nil {
		for test := range wealth {
			for i := range wealth[test] {
				wealth[test][i] -= backend[window][test][i]
			}
		}
	}
	return wealth
}

// wealth is what the bets came to in a window, from a stake of 1, without one backend's failures (0: with all).
func wealth(list []*findings, window int, without uint64) float64 {
	var sum logWealth
	zones := map[string]*[2][ratioCount]float64{} // of both kinds of requests
	for _, f := range list {
		if f.excluded {
			continue
		}
		logs := f.wealthOf(window, without)
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
	return total + max(0, zonesStake-2*zoneStake*float64(len(zones))) // what is not staked stays
}

// Logarithms of wealth beyond these are nothing, and too much to be a float64.
const (
	minLogWealth = -30
	maxLogWealth = 600
)

// mixtureWealth is the mean wealth of the bets on all ratios, by their logarithms.
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

// evaluate tells by how much the evidence passes what the false positive rate asks for: a score of 1 and more is a verdict against the
// canary; a doubt of 1 and more holds off the next step. The verdict must hold without any one backend, and without any one node: what
// befalls one machine is not the version's. The rate is split over both windows and over all steps and laps: the k-th of them
// has 1/(k(k+1)) of a half.
func evaluate(list []*findings, step, lap int, falsePositiveRate float64) (score, doubt float64) {
	for window, k := range [windowCount]float64{stepWindow: float64(step), lapWindow: float64(lap)} {
		required := 2 * k * (k + 1) / falsePositiveRate
		least := wealth(list, window, 0)
		doubt = max(doubt, least/doubtWealth)
		if least < required {
			continue
		}
		least = min(least, wealthWithoutAnyBackend(list, window), wealthWithoutAnyNode(list, window))
		score = max(score, least/required)
	}
	return score, doubt
}

// wealthWithoutAnyBackend is the least wealth without one backend's failures; where the canary has only one, there is none to leave out.
func wealthWithoutAnyBackend(list []*findings, window int) float64 {
	failing, seen := map[uint64]bool{}, 0
	for _, f := range list {
		seen = max(seen, f.canaryBackends)
		for id := range f.perBackend {
			failing[id] = true
		}
	}
	least := math.Inf(1)
	if seen > 1 || len(failing) > 1 {
		for id := range failing {
			least = min(least, wealth(list, window, id))
		}
	}
	return least
}

// wealthWithoutAnyNode is the least wealth without one node's findings, all its incarnations; where there is only one, with them.
func wealthWithoutAnyNode(list []*findings, window int) float64 {
	var nodes []NodeID
	for _, f := range list {
		if !slices.Contains(nodes, f.node) {
			nodes = append(nodes, f.node)
		}
	}
	least := math.Inf(1)
	for _, node := range nodes {
		for _, f := range list {
			f.excluded = f.node == node && len(nodes) > 1
		}
		least = min(least, wealth(list, window, 0))
	}
	for _, f := range list {
		f.excluded = false
	}
	return least
}
