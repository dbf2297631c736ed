package coordination

// fault is a defence that tests take out, to see that they find what it guards against.
type fault uint8

const (
	sound            fault = iota
	sameFence              // the next holder of a lock gets the fence of the one before
	anyFence               // a heartbeat or a finish counts whatever its fence
	lateHeartbeat          // a heartbeat after the time lengthens it
	shorterHold            // a heartbeat with a shorter hold shortens the time
	finishAfterBegin       // a late finish frees a lock that its holder asked for again
	copiesBegin            // a late copy of a call takes a lock that was given back
	lateCopies             // a copy of a call counts however late it is
	forgetsHolds           // a new leader's clock begins beyond all holds
	ownClock               // a node that led goes on by its own clock whatever others stamped since
	anyRevision            // a put counts whatever the key's revision
	revisionFirst          // a put that is repeated is compared like a new one
	putsAgain              // a put that is repeated is a new one
	groupRevision          // a conflict names the group's revision
	readsAlone             // a read asks no majority
	watchesAlone           // a watch's answer asks no majority
	lastEventOnly          // a watch gives the newest event alone
	shortHistory           // the history is too short
	numbersInMemory        // numbers are counted by whoever leads
	promisesWrongly        // an unclear end is told as one that did nothing
	forgetsPuts            // the state that members are given lacks which puts there were
	forgetsFence           // and the last fence
	forgetsHistory         // and the history, without saying so
)

// planted is what new states and services go without.
var planted = sound
