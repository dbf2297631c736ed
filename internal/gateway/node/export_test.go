package node

// Plant lets the nodes that are made from now on go without a defence.
func Plant(f fault) { planted = f }

// Faults are the defences that a simulated day must miss, by name.
var Faults = map[string]fault{"all have all rights": noAuthority, "word counts from when it came": byReceipt,
	"an end is acknowledged alone": endsAlone, "ready and sure with old word": readyAlone, "an order waits in vain": waitsAlone}

// HearsLeader is a defence that takes a cut one way to be missed.
const HearsLeader = hearsLeader

// Sound is none of them.
const Sound = sound
