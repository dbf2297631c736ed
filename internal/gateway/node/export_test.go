package node

// PlantFault lets the nodes that are made from now on go without a defence.
func PlantFault(f fault) { plantedFault = f }

// Faults are the defences that a simulated day must miss, by name.
var Faults = map[string]fault{"all have all rights": grantAllPermissions, "word counts from when it came": countFromReceipt,
	"an end is acknowledged alone": ackDrainAlone, "ready and sure with old word": readyWithoutContact, "an order waits in vain": queueWithoutContact}

// TrustLeaderAlone is a defence that takes a cut one way to be missed.
const TrustLeaderAlone = trustLeaderAlone

// NoFault is none of them.
const NoFault = noFault
