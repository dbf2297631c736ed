package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// A seed bootstraps the core only if no new node with a disk has appeared for bootstrapQuietPeriod.
	bootstrapQuietPeriod = 500 * time.Millisecond
	// bootstrapTimeout is how long a seed waits for the number of founders that Config.ToleratedLosses requires, which is
	// 2*ToleratedLosses+1. After that time the seed bootstraps the core with fewer founders.
	bootstrapTimeout = 3 * time.Second
	// A seed waits before it may bootstrap the core. The wait is bootstrapSeedInterval times the number of seeds that precede this
	// seed in the settings.
	bootstrapSeedInterval = 2500 * time.Millisecond
	// bootstrapRestartDelay is added to this wait if the seed is not at its first start, because another node that holds a state of
	// the core may still appear.
	bootstrapRestartDelay = 6 * time.Second
	// bootstrapContactTimeout is the maximum age of the last frame from a seed that counts as reachable for a bootstrap. It is
	// less than livenessTimeout, because a node that was partitioned less than livenessTimeout ago still considers nodes live that
	// it no longer reaches. Such nodes must not count when the node decides whether to bootstrap the core.
	bootstrapContactTimeout = 1100 * time.Millisecond
	// bootstrapResendInterval is the time between two messages to a founder that has not accepted the bootstrap.
	bootstrapResendInterval = time.Second
)

// MaySendFounders reports whether the list of the founders of a cluster may be sent to a node. The list may be sent to seeds at any
// time, and each seed accepts the founders of a single cluster. The list may be sent to all other nodes once more than half of
// the seeds have stored it. So only the founders of a single cluster can be sent to nodes that are not seeds. A seed without a disk
// cannot store a list. While such a seed is live, it counts as if it had stored every list.
func (r *Roster) MaySendFounders(clusterID uint64, addr string) bool {
	seedsWithList := 0
	for _, seed := range r.config.Seeds {
		n, ok := r.Node(seed)
		if ok && (n.Disk != 0 && n.ClusterID == clusterID || n.Disk == 0 && r.IsLive(seed)) {
			seedsWithList++
		}
	}
	return 2*seedsWithList > len(r.config.Seeds) || slices.Contains(r.config.Seeds, addr)
}

// knowsExistingCluster reports whether this node has a hello from any node whose disk holds a state of the core.
func (r *Roster) knowsExistingCluster() bool {
	for _, p := range r.peers {
		if p.helloReceived && p.Bootstrapped {
			return true
		}
	}
	return false
}

// bootstrapIfNeeded creates the core at the first start of the deployment, if it is this node's turn. To create the core, a seed sends
// a bootstrap message with the list of founders to each founder. The founders are the nodes whose disks become the first members of
// the core, the replicated group that orders the configuration log. The first seed in the settings bootstraps the core once no new
// node with a disk has appeared for bootstrapQuietPeriod. A later seed bootstraps the core only if each of the preceding seeds is not
// live or is not at its first start.
//
// All seeds may be killed before the first bootstrap message is on disk. Then no seed is at its first start any more, and waiting
// for such a seed would never end. In this case the first live seed bootstraps the core after a longer delay. The seed requires at
// least 2*ToleratedLosses+1 empty disks, so that no earlier core can have acknowledged an entry.
//
// Nodes that hold a state of the core do not accept the message. A seed does not bootstrap the core if it has a hello from a node
// that holds a state of the core, or from a node that knows of such a node (Hello.ClusterExists). A seed also does not bootstrap the
// core without contact with more than half of the seeds, because the two sides of a partition must not create two clusters (see
// MaySendFounders).
//
// The founders are chosen once in an incarnation. The message is sent again to founders that do not hold a state of the core yet,
// because a link may have lost the message.
func (r *Roster) bootstrapIfNeeded() {
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

// chooseFounders returns the founders, sorted by address, if this node has to bootstrap the core now. It returns nil if this node
// must not bootstrap the core now.
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

// isSeedMajorityReachable reports whether more than half of the seeds are reachable. This node counts as reachable if it is a seed.
// Another seed counts if it is live and a frame came from it within bootstrapContactTimeout.
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

// founderCandidates returns the nodes that can be founders. It returns false if a state of the core is known to exist, or if a live
// seed that precedes this node in the settings has to bootstrap the core instead of this node. seedIndex is the index of this node
// in the seeds of the settings.
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
		// At the first start of the deployment, a node that is no longer live is a candidate too: its disk is empty in any incarnation.
		if p.Disk != 0 && (p.live || p.helloReceived && r.self.FirstStart) {
			founders = append(founders, Founder{p.Disk, addr})
		}
	}
	return founders, true
}
