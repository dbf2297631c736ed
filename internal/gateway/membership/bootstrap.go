package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// bootstrapQuietPeriod is how long no further node with a disk must have come before the core is bootstrapped.
	bootstrapQuietPeriod = 500 * time.Millisecond
	// bootstrapTimeout is when it is bootstrapped with fewer founders than ToleratedLosses needs.
	bootstrapTimeout = 3 * time.Second
	// bootstrapSeedInterval is how much later each seed's turn is than that of the one before it.
	bootstrapSeedInterval = 2500 * time.Millisecond
	// bootstrapRestartDelay is how much later the turn of a seed is that has run before: others may still come with a state.
	bootstrapRestartDelay = 6 * time.Second
	// bootstrapContactTimeout is how recently seeds must have been heard to count: less than livenessTimeout, as one that has just been
	// partitioned must not bootstrap by nodes that it no longer reaches.
	bootstrapContactTimeout = 1100 * time.Millisecond
	// bootstrapResendInterval is between two messages to a founder that has not taken the bootstrap.
	bootstrapResendInterval = time.Second
)

// MayBootstrap tells whether a node may be sent the founders of a cluster: seeds first, each of which accepts one cluster alone, and all others
// once more than half of the seeds hold it, so that no two clusters ever come that far. A seed without a disk can hold none: it counts
// where it is live.
func (r *Roster) MayBootstrap(clusterID uint64, addr string) bool {
	holding := 0
	for _, seed := range r.config.Seeds {
		n, ok := r.Node(seed)
		if ok && (n.Disk != 0 && n.ClusterID == clusterID || n.Disk == 0 && r.Live(seed)) {
			holding++
		}
	}
	return 2*holding > len(r.config.Seeds) || slices.Contains(r.config.Seeds, addr)
}

// clusterExists tells whether a node that was met holds a state of the core.
func (r *Roster) clusterExists() bool {
	for _, p := range r.peers {
		if p.introduced && p.Bootstrapped {
			return true
		}
	}
	return false
}

// bootstrap begins the core at the first start of all: the first seed does, once no further node with a disk comes. The next seed
// does only where those before it are not live, or have run before. If all of them were killed before the first message was on disk,
// none is at its first start any more, and none may wait for ever: then the first live seed begins it, later, where as many disks are
// empty as a core needs, so that nothing can have been acknowledged. Nodes that have a state take no such message, and nobody begins
// anything where a node that was met has a state or knows of one that has, or without more than half of the seeds: the two sides of a
// partition must not begin two clusters (see MayBootstrap). The founders are chosen once in an incarnation; the message goes again to
// those that have not taken it, since a link may have lost it.
func (r *Roster) bootstrap() {
	if r.founders == nil {
		if r.founders = r.chooseFounders(); r.founders == nil {
			return
		}
	}
	clusterID := r.config.ClusterID(r.founders)
	for _, f := range r.founders {
		sentAt, sent := r.bootstrapSentAt[f.Addr]
		if !r.MayBootstrap(clusterID, f.Addr) || sent && r.now-sentAt < bootstrapResendInterval {
			continue
		}
		p := r.peers[f.Addr]
		if f.Addr == r.self.Addr && !r.self.Bootstrapped || p != nil && p.linkUp && p.Disk == f.Disk && !p.Bootstrapped {
			r.bootstrapSentAt[f.Addr] = r.now
			r.push(Action{Kind: Bootstrap, Addr: f.Addr, Founders: r.founders})
		}
	}
}

// chooseFounders names the founders if this node is to begin the core now, in the order of their addresses; else nil.
func (r *Roster) chooseFounders() []Founder {
	rank := slices.Index(r.config.Seeds, r.self.Addr)
	turn := time.Duration(rank) * bootstrapSeedInterval
	if !r.self.FirstStart {
		turn += bootstrapRestartDelay
	}
	age := r.now - r.startedAt
	if r.self.Bootstrapped || rank < 0 || age < turn || !r.reachesSeedMajority() {
		return nil
	}
	founders, ok := r.emptyDisks(rank)
	if !ok || len(founders) == 0 {
		return nil
	}
	if r.now-r.lastDiskAt < bootstrapQuietPeriod || age < bootstrapQuietPeriod {
		return nil
	}
	tooFew := len(founders) < 2*r.config.ToleratedLosses+1
	if tooFew && (age < bootstrapTimeout+turn || !r.self.FirstStart) {
		return nil
	}
	slices.SortFunc(founders, func(a, b Founder) int { return strings.Compare(a.Addr, b.Addr) })
	return founders
}

// reachesSeedMajority tells whether this node and the seeds that it has heard just now are more than half of the seeds.
func (r *Roster) reachesSeedMajority() bool {
	reached := 0
	for _, seed := range r.config.Seeds {
		p := r.peers[seed]
		if seed == r.self.Addr || p != nil && p.live && r.now-p.receivedAt < bootstrapContactTimeout {
			reached++
		}
	}
	return 2*reached > len(r.config.Seeds)
}

// emptyDisks gives the nodes whose disks can found the core. It is not ok where a state of the core is known of, or where a seed before
// this one is to begin.
func (r *Roster) emptyDisks(rank int) (founders []Founder, ok bool) {
	if r.self.Disk != 0 {
		founders = append(founders, Founder{r.self.Disk, r.self.Addr})
	}
	seedsBefore := r.config.Seeds[:rank]
	for addr, p := range r.peers {
		clusterKnown := p.introduced && (p.Bootstrapped || p.knowsCluster)
		goesFirst := slices.Contains(seedsBefore, addr) && p.live && (p.FirstStart || !r.self.FirstStart)
		if clusterKnown || goesFirst {
			return nil, false
		}
		if p.Disk != 0 && (p.live || p.introduced && r.self.FirstStart) { // empty, whichever incarnation this is
			founders = append(founders, Founder{p.Disk, addr})
		}
	}
	return founders, true
}
