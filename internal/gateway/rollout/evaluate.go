package rollout

import (
	"math"
	"slices"
)

// Chances of a wrong pull-back, over a whole roll-out: by the fleet, and by one node alone.
const (
	FleetFalsePositiveRate = 1.0 / 200
	NodeFalsePositiveRate  = 1e-5
	doubtWealth            = 20 // times the stake: no next step by itself
)

// Shares of the stake that the tests have; together 1.
const (
	overallStake = 0.15 // each kind, failing
	latencyStake = 0.10 // each kind, slow
	groupStake   = 0.25 / (2 * tenantGroups)
	zoneStake    = 0.25 / (2 * maxZones)
	maxZones     = 8
)

func stakeOf(test int) float64 {
	switch {
	case test >= latencyTests:
		return latencyStake
	case test%failureTests == 0:
		return overallStake
	}
	return groupStake
}

// found is what one life of a node found.
type found struct {
	*evidence
	node           NodeID // several lives of one may have been heard
	zone           string
	canaryBackends int // of the new version, that it saw at work
	excluded       bool
}

// wealth is what the bets came to in a window, from a stake of 1, without one backend's failures (0: with all).
func wealth(list []*found, w int, without uint64) float64 {
	var sum logWealth
	zones := map[string]*[2][ratioCount]float64{}
	for _, f := range list {
		if f.excluded {
			continue
		}
		v := f.total[w]
		if b := f.perBackend[without]; b != nil {
			for t := range v {
				for i := range v[t] {
					v[t][i] -= b[w][t][i]
				}
			}
		}
		z := zones[f.zone]
		if z == nil && len(zones) < maxZones {
			z = new([2][ratioCount]float64)
			zones[f.zone] = z
		}
		for t := range v {
			for i := range v[t] {
				sum[t][i] += v[t][i]
			}
		}
		for k := 0; z != nil && k < 2; k++ {
			for i := range ratioCount {
				z[k][i] += v[k*failureTests][i]
			}
		}
	}
	total := 0.0
	for t := range sum {
		total += stakeOf(t) * mixtureWealth(&sum[t])
	}
	for _, z := range zones {
		total += zoneStake * (mixtureWealth(&z[0]) + mixtureWealth(&z[1]))
	}
	return total + max(0, 0.25-2*zoneStake*float64(len(zones))) // what is not staked stays
}

func mixtureWealth(l *[ratioCount]float64) (sum float64) {
	if *l == ([ratioCount]float64{}) {
		return 1
	}
	for _, x := range l {
		if x > -30 { // below that it is nothing
			sum += math.Exp(min(x, 600)) / ratioCount
		}
	}
	return sum
}

// evaluate tells by how much the evidence passes what the stated chance asks for: 1 and more is a verdict. It must
// hold without any one backend, and without any one node: what befalls one machine is not the version's. The
// chance is split over both windows and over all steps and laps: the k-th of them has 1/(k(k+1)) of a half.
func evaluate(list []*found, step, lap int, wrong float64) (score, doubt float64) {
	backs := map[uint64]bool{}
	var nodes []NodeID
	many := 0
	for _, f := range list {
		if !slices.Contains(nodes, f.node) {
			nodes = append(nodes, f.node)
		}
		many = max(many, f.canaryBackends)
		for b := range f.perBackend {
			backs[b] = true
		}
	}
	for w, k := range [windowCount]float64{float64(step), float64(lap)} {
		asked := 2 * k * (k + 1) / wrong
		least := wealth(list, w, 0)
		doubt = max(doubt, least/doubtWealth)
		if least < asked {
			continue
		}
		if many > 1 || len(backs) > 1 {
			for b := range backs {
				least = min(least, wealth(list, w, b))
			}
		}
		for _, but := range nodes {
			for _, f := range list {
				f.excluded = f.node == but && len(nodes) > 1
			}
			least = min(least, wealth(list, w, 0))
		}
		for _, f := range list {
			f.excluded = false
		}
		score = max(score, least/asked)
	}
	return score, doubt
}
