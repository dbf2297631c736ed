package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// bootstrapQuietPeriod is how long no further node with a disk must have appeared before the core is bootstrapped.
	bootstrapQuietPeriod = 500 * time.Millisecond
	// bootstrapTimeout is how long a seed waits for as many founders as ToleratedLosses needs. After it, the seed bootstraps the
	// core with fewer.
	bootstrapTimeout = 3 * time.Second
	// bootstrapSeedInterval is the delay between the turns of consecutive seeds.
	bootstrapSeedInterval = 2500 * time.Millisecond
	// bootstrapRestartDelay is added to the delay of a seed that has run before, because another node may still appear with a
	// state of the core.
	bootstrapRestartDelay = 6 * time.Second
	// bootstrapContactTimeout is the maximum age of the last frame from a seed that counts as reached. It is less than
	// livenessTimeout, because a node that was partitioned less than livenessTimeout ago still counts nodes as live that it no
	// longer reaches. Such nodes must not count when the node decides to bootstrap the core (the replicated group of nodes that
	// orders the configuration log).
	bootstrapContactTimeout = 1100 * time.Millisecond
	// bootstrapResendInterval is the time between two messages to a founder that has not accepted the bootstrap.
	bootstrapResendInterval = time.Second
)

// MaySendFounders reports whether the list of the founders of a cluster may be sent to a node. A seed holds a cluster if the list of
// its founders is stored on the seed's disk. The list may be sent to seeds at any time, and each seed accepts only one cluster. The
// list may be sent to all other nodes once more than half of the seeds hold the cluster. So at most one cluster can be sent to
// nodes that are not seeds. A seed without a disk cannot hold a cluster. It counts as holding every cluster while it is live.
func (r *Roster) MaySendFounders(clusterID uint64, addr string) bool {
	holding := 0
	for _, seed := range r.config.Seeds {
		n, ok := r.Node(seed)
		if ok && (n.Disk != 0 && n.ClusterID == clusterID || n.Disk == 0 && r.IsLive(seed)) {
			holding++
		}
	}
	return 2*holding > len(r.config.Seeds) || slices.Contains(r.config.Seeds, addr)
}

// clusterExists reports whether any node that this one has met holds a state of the core.
func (r *Roster) knowsExistingCluster() bool {
	for _, p := range r.peers {
		if p.helloReceived && p.Bootstrapped {
			return true
		}
	}
	return false
}

// bootstrap creates the core at the first start of the deployment. To do so, a seed sends a bootstrap message with the list of
// founders to each founder. The first seed in the settings bootstraps the core once no further node with a disk has appeared for
// bootstrapQuietPeriod. A later seed does so only if the seeds before it are not live or have run before.
//
// All seeds may be killed before the first bootstrap message is on disk. Then no seed is at its first start any more, and waiting
// for a first start would never end. In this case the first live seed bootstraps the core after a longer delay. It requires as many
// empty disks as a core needs, so that no earlier core can have acknowledged anything.
//
// Nodes that hold a state of the core do not accept the message. A seed does not bootstrap the core if a node that it has met holds
// a state of the core, or knows of a node that does. A seed also does not bootstrap the core without contact with more than half of
// the seeds, because the two sides of a partition must not create two clusters (see MaySendFounders).
//
// The founders are chosen once in an incarnation. The message is sent again to founders that have not accepted it, because a link
// may have lost the message.
func (r *Roster) bootstrap() {
	if r.founders == nil {
		if r.founders = r.chooseFounders(); r.founders == nil {
			return
		}
	}
	clusterID := r.config.ClusterID(r.founders)
	for _, f := range r.founders {
		sentAt, sent := r.bootstrapSentAt[f.Addr]
		if !r.MaySendFounders(clusterID, f.Addr) || sent && r.now-sentAt < bootstrapResendInterval {
			continue
		}
		p := r.peers[f.Addr]
		if f.Addr == r.self.Addr && !r.self.Bootstrapped || p != nil && p.linkUp && p.Disk == f.Disk && !p.Bootstrapped {
			r.bootstrapSentAt[f.Addr] = r.now
			r.addAction(Action{Kind: Bootstrap, Addr: f.Addr, Founders: r.founders})
		}
	}
}

// chooseFounders returns the founders, sorted by address, if this node has to bootstrap the core now. Otherwise it returns nil.
func (r *Roster) chooseFounders() []Founder {
	seedIndex := slices.Index(r.config.Seeds, r.self.Addr)
	startDelay := time.Duration(seedIndex) * bootstrapSeedInterval
	if !r.self.FirstStart {
		startDelay += bootstrapRestartDelay
	}
	age := r.now - r.startedAt
	if r.self.Bootstrapped || seedIndex < 0 || age < startDelay || !r.isSeedMajorityReachable() {
		return nil
	}
	founders, ok := r.founderCandidates(seedIndex)
	if !ok || len(founders) == 0 {
		return nil
	}
	if r.now-r.lastDiskAt < bootstrapQuietPeriod || age < bootstrapQuietPeriod {
		return nil
	}
	tooFew := len(founders) < 2*r.config.ToleratedLosses+1
	if tooFew && (age < bootstrapTimeout+startDelay || !r.self.FirstStart) {
		return nil
	}
	slices.SortFunc(founders, func(a, b Founder) int { return strings.Compare(a.Addr, b.Addr) })
	return founders
}

// reachesSeedMajority reports whether this node, if it is a seed, and the seeds heard from within bootstrapContactTimeout are
// together more than half of the seeds.
func (r *Roster) isSeedMajorityReachable() bool {
	reached := 0
	for _, seed := range r.config.Seeds {
		p := r.peers[seed]
		if seed == r.self.Addr || p != nil && p.live && r.now-p.receivedAt < bootstrapContactTimeout {
			reached++
		}
	}
	return 2*reached > len(r.config.Seeds)
}

// founderCandidates returns the nodes whose disks can found the core. It returns false if a state of the core is known to exist,
// or if a seed before this one has to bootstrap first.
func (r *Roster) founderCandidates(seedIndex int) (founders []Founder, ok bool) {
	if r.self.Disk != 0 {
		founders = append(founders, Founder{r.self.Disk, r.self.Addr})
	}
	seedsBefore := r.config.Seeds[:seedIndex]
	for addr, p := range r.peers {
		clusterKnown := p.helloReceived && (p.Bootstrapped || p.knowsCluster)
		goesFirst := slices.Contains(seedsBefore, addr) && p.live && (p.FirstStart || !r.self.FirstStart)
		if clusterKnown || goesFirst {
			return nil, false
		}
		// The disk is empty, whichever incarnation of the node this is.
		if p.Disk != 0 && (p.live || p.helloReceived && r.self.FirstStart) {
			founders = append(founders, Founder{p.Disk, addr})
		}
	}
	return founders, true
}
