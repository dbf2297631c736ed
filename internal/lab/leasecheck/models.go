package leasecheck

import (
	"fmt"
	"slices"

	"clovergap/internal/frontdoor/lease"
)

// Models are the worlds that are walked through.
func Models() map[string]Model {
	restarts := Small()
	restarts.Restarts, restarts.Doubles, restarts.Ticks, restarts.Packets = 4, 3, 24, 10
	five := Small()
	five.TickOften, five.Nodes, five.Voters, five.Requesters, five.Fleets = 14, 5, 5, []lease.Node{0, 1}, []lease.Fleet{{Generation: 1, Members: 5}}
	five.Rates, five.Ticks, five.Doubles, five.Restarts, five.Drops, five.Packets = []float64{0.75, 1.25, 0.75, 1.25, 1}, 24, 4, 3, 2, 14
	drops := Small()
	drops.Drops, drops.Doubles, drops.Restarts, drops.Ticks, drops.Packets = 4, 4, 0, 20, 10
	stale := Small()
	stale.Restarts, stale.Ticks, stale.Doubles, stale.Packets = 0, 20, 2, 10
	stale.Stale = func(i int) bool { return i == 0 } // hears, and is given no time of its own
	moves := Small()
	moves.TickOften = 9
	moves.Nodes, moves.Requesters = 5, []lease.Node{0, 3, 4}
	moves.Fleets = []lease.Fleet{{Generation: 1, Members: 3}, {Generation: 2, Members: 5}, {Generation: 3, Members: 4}}
	moves.Rates, moves.Ticks, moves.Moves, moves.Restarts, moves.Doubles, moves.Packets = []float64{0.75, 1.25, 1, 0.75, 1.25}, 28, 10, 1, 2, 16
	permits := five
	permits.Permits, permits.Drops = 2, 3
	clocks := Small() // the voters' clocks as fast, a holder's as slow as they may be
	clocks.Restarts, clocks.Doubles, clocks.Ticks, clocks.Rates = 0, 0, 12, []float64{0.75, 1.25, 1.25}
	apart := Small() // the old and the new voters have nobody in common, and one front door hears late
	apart.Nodes, apart.Requesters, apart.Voters = 6, []lease.Node{0, 3}, 3
	apart.Fleets = []lease.Fleet{{Generation: 1, Members: 3}, {Generation: 2, Members: 6}, {Generation: 3, Members: 6}}
	apart.Rates, apart.Ticks, apart.Moves, apart.Restarts, apart.Doubles, apart.Packets = []float64{0.75, 1.25, 1.25, 0.75, 1.25}, 32, 10, 0, 1, 16
	for i := 0; ; i++ {
		apart.Task = lease.Task(fmt.Sprint("t", i))
		if v := lease.Voters(apart.Fleets[1], 3, apart.Task, 0); slices.Min(v) >= 3 {
			break
		}
	}
	return map[string]Model{"clocks": clocks, "voters apart": apart, "restarts": restarts, "five voters": five, "drops": drops, "a wisher without time": stale, "voters change": moves, "two permits": permits}
}
