package node

import (
	"time"

	"clovergap/internal/gateway/settings"
)

// Authority: what a node may do without word of a majority. A node's word of the core (contact) is an age: all that was acknowledged
// so long ago has been applied here. A member has it from the log (replica/contact.go), a node without a disk from the one that
// it follows, counted from when it asked and not from when the answer came, so that what stood on a link or came while this
// process stood still is as old as it is. The age runs by the steady clock alone, and is looked at anew for each
// decision: after a standstill nothing that was fresh before it still is.
//
// Nothing is written, confirmed or read by it: that takes a majority, whatever the age. Here is stated the rest, in one table.

// standing is how a node stands to the core, for a right that ends at some age.
type standing uint8

const (
	leads       standing = 1 << iota // it leads, and a majority was in contact within the age
	follows                          // its word of whoever leads is within the age
	leadsParted                      // it leads, its word is older
	parted                           // it does not lead, its word is older
	starting                         // no word in this life, which is no older than an election takes
	alone                            // no word in this life

	inContact = leads | follows
)

// right is something that a node does for others.
type right uint8

const (
	beReady   right = iota // clients are wanted here
	deny                   // 401 and 404, and 400 to a change that is wrong in itself, by its own state
	takeCalls              // an order or a read is taken or passed on; otherwise it ends at once
	feedFresh              // its followers need not look for another node
	ackBeats               // a beat is acknowledged
	ackEnds                // a draining or Leave is, once enough others have it
	askSlot                // it asks for a slot
)

// rights is the table: who has a right, within which age at a node with a disk and at one without, whose word is older by up to the time
// between two pings, and whether it takes a configuration. What is not named here needs no word of a majority: serving
// by the configuration that is there (2xx), its buckets' share by the nodes in reach, 200 to an order that is in its own
// committed log, feeding what it has to who knows nothing newer. And what needs a majority has it from the log itself,
// whatever the age: taking, confirming and refusing (412) an order, reading, giving a slot, members.
var rights = [...]struct {
	who        standing
	member     age
	follower   age
	configured bool
}{
	beReady:   {inContact, settings.Bounds.ReadyMaxAge, settings.Bounds.ReadyMaxAge, true},
	deny:      {inContact, settings.Bounds.AuthoritativeMaxAge, settings.Bounds.AuthoritativeMaxAge, true},
	takeCalls: {inContact | starting, settings.Bounds.PartitionedAge, settings.Bounds.ReadyMaxAge, false},
	feedFresh: {inContact, settings.Bounds.PartitionedAge, settings.Bounds.PartitionedAge, false},
	ackBeats:  {inContact | starting, settings.Bounds.PartitionedAge, settings.Bounds.ReadyMaxAge, false},
	ackEnds:   {inContact, settings.Bounds.PartitionedAge, settings.Bounds.PartitionedAge, false},
	askSlot:   {inContact, settings.Bounds.ReadyMaxAge, settings.Bounds.ReadyMaxAge, false},
}

// age is a bound on that of a node's word, from the settings.
type age func(settings.Bounds) time.Duration

// may tells whether this node has a right now.
func (h *Node) may(r right) bool {
	return (!rights[r].configured || h.table.Version() > 0) && h.stands(r)
}

// stands tells whether its word of a majority is enough for a right.
func (h *Node) stands(r right) bool {
	within := rights[r].member
	if h.core == nil {
		within = rights[r].follower
	}
	switch without := h.fault; {
	case without == endsAlone && r == ackEnds, without == waitsAlone && r == takeCalls,
		without == readyAlone && (r == beReady || r == deny), without == noAuthority:
		return true
	}
	return rights[r].who&h.standing(within(h.settings.Bounds)) != 0
}

// standing is this node's, for a right that ends at an age.
func (h *Node) standing(within time.Duration) standing {
	leading := h.leading() // the clock first
	age, _, ok := h.contact()
	switch {
	case !ok && h.e.Now()-h.beganAt < within:
		return starting
	case !ok:
		return alone
	case leading && age < within:
		return leads
	case leading:
		return leadsParted
	case age < within:
		return follows
	}
	return parted
}

// leading tells whether this node leads: the clock runs first, since one that stood still does not know that it was missed.
func (h *Node) leading() bool {
	if h.core == nil {
		return false
	}
	h.core.p.Tick(h.e.Now())
	return h.core.p.IsLeader()
}

// contact is how old this node's word of a majority is at the most, and the view that it is of; false: none came in this life.
func (h *Node) contact() (age time.Duration, view uint64, ok bool) {
	if h.core != nil {
		if _, view, ok := h.core.p.Leader(); ok && h.fault == hearsLeader {
			return 0, view, true
		}
		return h.core.p.QuorumContact(h.e.Now())
	}
	return h.e.Now() - h.known.at, h.known.view, h.known.at > -never
}

// stale is that age; never and more if there is none.
func (h *Node) stale() time.Duration {
	if age, _, ok := h.contact(); ok {
		return age
	}
	return never
}

// known is a node's word without a disk.
type known struct {
	at   time.Duration // all that was acknowledged before it has been applied
	view uint64        // the newest that a feeder's word was of
}

// learn takes the feeder's word, once what it had applied is applied here. Word of an older view is not taken after a newer one's, nor
// what came back from another life. A feeder of the version before gives nothing back: then it is when it came.
func (h *Node) learn(age time.Duration, view uint64, echo uint32, index uint64) {
	now := h.e.Now()
	at, ok := h.clock.SentAt(echo, now)
	switch {
	case h.core != nil || age >= neverHeard || index > h.applied:
		return
	case view == 0 || h.fault == byReceipt:
		at = now
	case !ok || view < h.known.view && h.fault != oldViews:
		return
	}
	if at -= age; at > h.known.at {
		h.known = known{at, max(h.known.view, view)}
	}
}

// Defences that tests take out; planted is what new nodes go without.
const (
	noAuthority fault = 100 + iota // all have all rights
	byReceipt                      // word counts from when it came
	oldViews                       // word of an older view is taken after a newer one's
	endsAlone                      // an end is acknowledged by who cannot pass it on, on whatever copies there are
	readyAlone                     // who has old word is ready, and denies
	waitsAlone                     // an order waits where nobody can take it
	hearsLeader                    // a node with a disk goes by that it hears a leader, whoever hears it
	feederTells                    // who lives is told by the feeder, however old its word
)

var planted = sound
