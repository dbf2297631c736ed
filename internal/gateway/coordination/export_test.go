package coordination

import (
	"fmt"
	"time"

	"clovergap/internal/gateway/groups"
)

// Plant lets the states and services that are made from now on go without a defence.
func Plant(f fault) { planted = f }

// Sound is none of them.
const Sound = sound

// Faults are the defences that tests must miss, by name.
var Faults = map[string]fault{
	"the next holder gets the same fence":          sameFence,
	"any fence counts":                             anyFence,
	"a heartbeat counts after the time":            lateHeartbeat,
	"a shorter hold shortens the time":             shorterHold,
	"a late finish frees a lock asked for again":   finishAfterBegin,
	"a late copy takes a lock that was given back": copiesBegin,
	"a copy counts however late":                   lateCopies,
	"a leader keeps a clock of its own":            ownClock,
	"a new leader forgets holds":                   forgetsHolds,
	"a put counts whatever the revision":           anyRevision,
	"a repeated put is compared first":             revisionFirst,
	"a repeated put is a new one":                  putsAgain,
	"a conflict names the group's revision":        groupRevision,
	"a read asks no majority":                      readsAlone,
	"a watch asks no majority":                     watchesAlone,
	"a watch gives the last event alone":           lastEventOnly,
	"the history is too short":                     shortHistory,
	"numbers are counted in memory":                numbersInMemory,
	"an unclear end is told as refused":            promisesWrongly,
	"a snapshot lacks the puts":                    forgetsPuts,
	"a snapshot lacks the fence":                   forgetsFence,
	"a snapshot lacks the history":                 forgetsHistory,
}

// LogTime and Resume let the explorer begin anywhere: a leader goes on at that time of the log clock.
func (s *Service) LogTime(id groups.ID) time.Duration { return s.logTime(id) }

func (s *Service) BecomeLeaderAt(id groups.ID, clock time.Duration) {
	s.hosted[id].isLeader, s.hosted[id].anchorLogTime, s.hosted[id].anchoredAt = true, clock, s.host.Now()
}

// FaultsOfOrders are those that the explorer of orders is to notice; the days are to notice the others.
var FaultsOfOrders = []string{"any fence counts", "a late finish frees a lock asked for again", "a late copy takes a lock that was given back",
	"a copy counts however late", "a new leader forgets holds"}

// HeldLocks tells which locks are held, and until when by the log clock.
func (s *State) HeldLocks() string {
	text := ""
	for name, l := range s.locks {
		text += fmt.Sprint(name, l.holder, l.fencingToken, l.expiresAt, ";")
	}
	return text
}
