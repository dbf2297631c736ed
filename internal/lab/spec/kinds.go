package spec

import "slices"

// Worlds is a set of the places where faults are played.
type Worlds uint8

// The places.
const (
	Emulator   Worlds = 1 << iota // front doors in simulated time
	FrontDoors                    // real processes of the front door
	Simulation                    // the gateway in simulated time
	Gateways                      // real processes of the gateway

	anywhere = Emulator | FrontDoors // what an experiment's file may name, if it is to be played in both
	gateways = Simulation | Gateways
)

// Fields is a set of the fields that a kind of fault must have in an experiment's file.
type Fields uint8

// The fields.
const (
	NeedsShare Fields = 1 << iota
	NeedsBy
	NeedsDelay
	NeedsZone
	NeedsShape
	NeedsLink
	NeedsPoint
)

// Moment is what a fault of the gateway waits for, beside its time.
type Moment string

// The moments. A fault without one comes at its time.
const (
	Acknowledged Moment = "a configuration was acknowledged"
	Drained      Moment = "a drain was acknowledged"
	Deregistered Moment = "a leave was acknowledged"
	ViewChange   Moment = "a member asks for another view"
	Writes       Moment = "a disk has begun to write"
	PassesOn     Moment = "a node passes on a call"
)

// Target is which nodes a fault hits.
type Target uint8

// The targets. All but the last four are drawn, by the fault's share.
const (
	NoNode    Target = iota
	SomeNodes        // of all
	SomeDisks        // of those with a disk
	AllNodes
	LeaderNode  // that leads the core
	DrainerNode // that has just acknowledged a drain
	CallerNode  // that has just passed on a call
)

// Effect is what a fault does. Each world says how, in a Table.
type Effect uint8

// The effects.
const (
	_ Effect = iota

	KillNodes      // processes end at once, and start again when the fault is over
	PowerOffNodes  // and nothing tells the others
	KillOrPowerOff // the one or the other, by the fault's By
	WipeNodes      // and what is on their disks is lost
	ReplaceNodes   // new machines with empty disks come in their place
	StallNodes     // processes stand still
	TerminateNodes // processes are told to end
	ReloadNodes    // processes are told to read their settings again
	ResetNodes     // all connections of their machines are reset, again and again
	RollNodes      // processes are restarted in waves
	RestartCaller  // killed and started again, some times, each within the time of a call that it passed on
	StartLate      // processes start later than the others
	SlowNodes      // processes get a share of a core
	SameSeed       // the next life takes the seed, and so the epoch, of the last one
	MoveDiscovery  // a new configuration names another list of backends
	FewSockets
	LittleMemory
	StallAtPoint // processes stand still at a named point of their code
	ExitAtPoint  // or end there

	PartitionNodes  // some nodes do not hear the others, or are not heard, or both
	PartitionLeader // a node with a disk is parted from the others with one, and its callers look on
	PartitionZone   // no word gets in or out of a zone
	LoseZone        // a zone's backends, and maybe its nodes, end
	LoseFrames      // a share of what travels is lost
	RepeatCalls     // calls and replies between nodes come again, late

	PartitionPeers // of datagrams between front doors
	LosePeers
	DelayPeers
	RepeatPeers
	ReorderPeers
	LimitPeers
	SpoilPeers

	SlowDisks
	HangDisks
	FillDisks

	SlowBackends
	FailBackends
	SilenceBackends
	LoseAnswers
	ResetSubmissions
	GarbleAnswers
	CrashBackends
	DrainBackends
	LeaveBackends // backends deregister without draining first, and serve on for a while

	DelayLists // of discovery
	RaiseLoad
	RushTenant // one tenant sends many times its usual

	PartitionLinks // between a front door and what it calls
	DelayLinks
	LimitLinks

	CounterDown // of the shared counter
	CounterBusy
	CounterSpoilt
	CounterMute
	CounterLate
	CounterReset
)

// kind is one kind of fault.
type kind struct {
	name   string
	needs  Fields
	worlds Worlds
	moment Moment
	target Target
	effect Effect
}

// kinds are all faults, in the order in which seeds draw from them.
var kinds = []kind{
	{name: "burst", needs: NeedsBy, worlds: anywhere | gateways, effect: RaiseLoad},
	{name: "counter-busy", needs: NeedsShare, worlds: anywhere, effect: CounterBusy},
	{name: "counter-down", worlds: anywhere, effect: CounterDown},
	{name: "counter-late", needs: NeedsDelay, worlds: anywhere, effect: CounterLate},
	{name: "counter-mute", needs: NeedsShare, worlds: anywhere, effect: CounterMute},
	{name: "counter-reset", worlds: anywhere, effect: CounterReset},
	{name: "counter-spoilt", needs: NeedsShare, worlds: anywhere, effect: CounterSpoilt},
	{name: "crash", needs: NeedsShare, worlds: anywhere | gateways, effect: CrashBackends},
	{name: "node-config", needs: NeedsShare, worlds: FrontDoors, target: SomeNodes, effect: MoveDiscovery},
	{name: "node-sockets", needs: NeedsShare | NeedsBy, worlds: FrontDoors, target: SomeNodes, effect: FewSockets},
	{name: "node-kill", needs: NeedsShare, worlds: anywhere | gateways, target: SomeNodes, effect: KillNodes},
	{name: "node-late", needs: NeedsShare, worlds: FrontDoors, target: SomeNodes, effect: StartLate},
	{name: "node-memory", needs: NeedsShare | NeedsBy, worlds: FrontDoors, target: SomeNodes, effect: LittleMemory},
	{name: "node-roll", needs: NeedsShare, worlds: anywhere, target: SomeNodes, effect: RollNodes},
	{name: "node-seed", needs: NeedsShare, worlds: FrontDoors, target: SomeNodes, effect: SameSeed},
	{name: "node-reload", needs: NeedsShare, worlds: Gateways, target: SomeNodes, effect: ReloadNodes},
	{name: "node-slow", needs: NeedsShare | NeedsBy, worlds: FrontDoors, target: SomeNodes, effect: SlowNodes},
	{name: "node-stall", needs: NeedsShare, worlds: anywhere | gateways, target: SomeNodes, effect: StallNodes},
	{name: "node-term", needs: NeedsShare, worlds: FrontDoors | gateways, target: SomeNodes, effect: TerminateNodes},
	{name: "drain", needs: NeedsShare, worlds: anywhere | gateways, effect: DrainBackends},
	{name: "exit-at", needs: NeedsShare | NeedsPoint, worlds: FrontDoors, target: SomeNodes, effect: ExitAtPoint},
	{name: "failing", needs: NeedsShare | NeedsBy, worlds: anywhere | Simulation, effect: FailBackends},
	{name: "zone-cut", needs: NeedsZone, worlds: anywhere | Simulation, effect: PartitionZone},
	{name: "zone-loss", needs: NeedsZone, worlds: anywhere, effect: LoseZone},
	{name: "late-lists", worlds: anywhere, effect: DelayLists},
	{name: "link-cut", needs: NeedsShare | NeedsLink, worlds: FrontDoors, target: SomeNodes, effect: PartitionLinks},
	{name: "link-delay", needs: NeedsShare | NeedsLink | NeedsDelay, worlds: FrontDoors, target: SomeNodes, effect: DelayLinks},
	{name: "link-rate", needs: NeedsShare | NeedsLink | NeedsBy, worlds: FrontDoors, target: SomeNodes, effect: LimitLinks},
	{name: "lost-answers", needs: NeedsShare, worlds: anywhere | gateways, effect: LoseAnswers},
	{name: "peer-cut", needs: NeedsShape, worlds: anywhere, effect: PartitionPeers},
	{name: "peer-delay", needs: NeedsDelay, worlds: anywhere, effect: DelayPeers},
	{name: "peer-double", needs: NeedsShare, worlds: anywhere, effect: RepeatPeers},
	{name: "peer-loss", needs: NeedsShare, worlds: anywhere, effect: LosePeers},
	{name: "peer-rate", needs: NeedsBy, worlds: anywhere, effect: LimitPeers},
	{name: "peer-reorder", needs: NeedsShare | NeedsDelay, worlds: anywhere, effect: ReorderPeers},
	{name: "peer-spoil", needs: NeedsShare, worlds: anywhere, effect: SpoilPeers},
	{name: "release", needs: NeedsShare, worlds: anywhere, effect: DrainBackends},
	{name: "resets", needs: NeedsShare, worlds: anywhere | gateways, effect: ResetSubmissions},
	{name: "silent", needs: NeedsShare, worlds: anywhere, effect: SilenceBackends},
	{name: "slow", needs: NeedsShare | NeedsBy, worlds: anywhere | gateways, effect: SlowBackends},
	{name: "stall-at", needs: NeedsShare | NeedsPoint, worlds: FrontDoors, target: SomeNodes, effect: StallAtPoint},

	// Of the gateway alone.
	{name: "ack-cut", worlds: gateways, moment: Acknowledged, target: SomeDisks, effect: PartitionNodes},
	{name: "ack-kill", worlds: gateways, moment: Acknowledged, target: SomeDisks, effect: KillNodes},
	{name: "ack-power", worlds: gateways, moment: Acknowledged, target: SomeDisks, effect: PowerOffNodes},
	{name: "ack-replace", worlds: Simulation, moment: Acknowledged, target: SomeDisks, effect: ReplaceNodes},
	{name: "ack-stall", worlds: gateways, moment: Acknowledged, target: SomeDisks, effect: StallNodes},
	{name: "ack-wipe", worlds: gateways, moment: Acknowledged, target: SomeDisks, effect: WipeNodes},
	{name: "call-kill", worlds: Simulation, moment: PassesOn, target: CallerNode, effect: RestartCaller},
	{name: "call-power", worlds: Simulation, moment: PassesOn, target: CallerNode, effect: RestartCaller},
	{name: "copies", worlds: Simulation, effect: RepeatCalls},
	{name: "core-cut", worlds: gateways, target: SomeDisks, effect: PartitionNodes},
	{name: "core-kill", worlds: gateways, target: SomeDisks, effect: KillNodes},
	{name: "core-part", worlds: Simulation, target: SomeDisks, effect: PartitionLeader},
	{name: "core-power", worlds: gateways, target: SomeDisks, effect: PowerOffNodes},
	{name: "core-replace", worlds: Simulation, target: SomeDisks, effect: ReplaceNodes},
	{name: "core-reset", worlds: Simulation, target: SomeDisks, effect: ResetNodes},
	{name: "core-stall", worlds: gateways, target: SomeDisks, effect: StallNodes},
	{name: "core-term", worlds: gateways, target: SomeDisks, effect: TerminateNodes},
	{name: "disk-full", worlds: gateways, target: SomeDisks, effect: FillDisks},
	{name: "disk-hang", worlds: Simulation, target: SomeDisks, effect: HangDisks},
	{name: "disk-slow", worlds: Simulation, target: SomeDisks, effect: SlowDisks},
	{name: "disk-wipe", worlds: gateways, target: SomeDisks, effect: WipeNodes},
	{name: "node-cut", worlds: gateways, target: SomeNodes, effect: PartitionNodes},
	{name: "node-power", needs: NeedsShare, worlds: gateways, target: SomeNodes, effect: PowerOffNodes},
	{name: "node-reset", worlds: Simulation, target: SomeNodes, effect: ResetNodes},
	{name: "drain-cut", worlds: Simulation, moment: Drained, target: DrainerNode, effect: PartitionNodes},
	{name: "drain-kill", worlds: Simulation, moment: Drained, target: DrainerNode, effect: KillOrPowerOff},
	{name: "garble", worlds: Gateways, effect: GarbleAnswers},
	{name: "all-kill", worlds: gateways, target: AllNodes, effect: KillNodes},
	{name: "hot", worlds: Simulation, effect: RushTenant},
	{name: "lead-kill", worlds: Gateways, target: LeaderNode, effect: KillNodes},
	{name: "lead-stall", worlds: Gateways, target: LeaderNode, effect: StallNodes},
	{name: "lead-term", worlds: Gateways, target: LeaderNode, effect: TerminateNodes},
	{name: "long-cut", worlds: Simulation, target: SomeDisks, effect: PartitionNodes},
	{name: "loss", worlds: Simulation, effect: LoseFrames},
	{name: "sync-kill", worlds: Simulation, moment: Writes, target: SomeDisks, effect: KillNodes},
	{name: "sync-power", worlds: Simulation, moment: Writes, target: SomeDisks, effect: PowerOffNodes},
	{name: "sync-replace", worlds: Simulation, moment: Writes, target: SomeDisks, effect: ReplaceNodes},
	{name: "view-kill", worlds: Simulation, moment: ViewChange, target: SomeDisks, effect: KillNodes},
	{name: "leave", needs: NeedsShare, worlds: gateways, effect: LeaveBackends},
	{name: "leave-kill", worlds: gateways, moment: Deregistered, target: AllNodes, effect: KillNodes},
	{name: "leave-power", worlds: Simulation, moment: Deregistered, target: AllNodes, effect: PowerOffNodes},
	{name: "view-stall", worlds: Simulation, moment: ViewChange, target: SomeDisks, effect: StallNodes},
}

// byName are the kinds by their names.
var byName = func() map[string]*kind {
	all := make(map[string]*kind, len(kinds))
	for i := range kinds {
		all[kinds[i].name] = &kinds[i]
	}
	return all
}()

// kindOf gives a fault's kind; one that does nothing anywhere, if there is none of the name.
func kindOf(name string) *kind {
	if k := byName[name]; k != nil {
		return k
	}
	return &kind{name: name}
}

// Kinds lists the faults that some world can play.
func Kinds(in Worlds) (all []string) {
	for _, k := range kinds {
		if k.worlds&in != 0 {
			all = append(all, k.name)
		}
	}
	return all
}

// PlayedIn tells whether any of some worlds can play a kind of fault.
func PlayedIn(in Worlds, name string) bool { return kindOf(name).worlds&in != 0 }

// Moment is what the fault waits for at its time; none: nothing.
func (f *Fault) Moment() Moment { return kindOf(f.Kind).moment }

// Target is which nodes the fault hits.
func (f *Fault) Target() Target { return kindOf(f.Kind).target }

// Effect is what the fault does.
func (f *Fault) Effect() Effect { return kindOf(f.Kind).effect }

// Has tells whether the fault's effect is one of some.
func (f *Fault) Has(effects ...Effect) bool { return slices.Contains(effects, f.Effect()) }
