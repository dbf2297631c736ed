// Read-only views of a replica: its leader, members and figures.

package replication

import "slices"

// ClusterID names the founding whose state this disk holds, synced; 0: none.
func (p *Replica) ClusterID() uint64 {
	if !p.held {
		return 0
	}
	return p.clusterID
}

// Elsewhere is up to which index all that is known here to be committed is on the disks of a majority of the members without
// this one, where it leaves, and Committed what is known to be: who leaves waits until the one has come up to the other.
func (p *Replica) Elsewhere() uint64 {
	switch {
	case p.role == leading:
		return p.heldWithout(p.me.ID)
	case !p.member(p.me.ID): // nothing rests on it
		return p.committed
	}
	return min(p.elsewhere, p.committed)
}

// Committed is up to which index entries are known to be committed.
func (p *Replica) Committed() uint64 { return p.committed }

// Leader is who leads, as far as is known here, and the view.
func (p *Replica) Leader() (Member, uint64, bool) {
	if p.leader == p.me.ID {
		return p.me, p.promise, true
	}
	if p.leader == 0 || p.now-p.heardAt > p.terms.Silence {
		return Member{}, p.promise, false
	}
	for _, c := range p.configs {
		if i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == p.leader }); i >= 0 {
			return c.members[i], p.promise, true
		}
	}
	return Member{}, p.promise, false
}

// Leading tells whether this member leads and has heard a majority of late. It says nothing for sure about
// this very moment: that takes a Read.
func (p *Replica) Leading() bool { return p.role == leading }

// Members is the newest list; nil before a founding.
func (p *Replica) Members() []Member { return p.configs[len(p.configs)-1].members }

// Founders are those of view 1, while nothing is known to be committed after the founding: one of them with an empty disk has
// missed the word, and may be handed it by any other. Nil otherwise.
func (p *Replica) Founders() []Member {
	if p.clusterID == 0 || p.snap.Index != 1 {
		return nil
	}
	return slices.Clone(p.snap.Members)
}

// Founded tells whether there is anything on this disk but the member's id.
func (p *Replica) Founded() bool { return p.clusterID != 0 }

// Status is for operators.
type Status struct {
	Me                          Member
	Role                        string
	View                        uint64
	Leader                      Member // zero if not known
	Members                     []Member
	Settled                     bool // the newest list is known to be committed
	Learner                     MemberID
	First, Last, Synced, Behind uint64 // the log; Behind: entries not committed here
	Waiting                     int    // proposals and reads
}

// Status is how things stand.
func (p *Replica) Status() Status {
	leader, _, _ := p.Leader()
	return Status{Me: p.me, Role: p.role.String(), View: p.promise, Leader: leader, Members: p.Members(),
		Settled: p.settled(), Learner: p.learner, First: p.snap.Index + 1, Last: p.last(), Synced: p.synced,
		Behind: p.last() - p.committed, Waiting: len(p.tokens) + len(p.reads)}
}
