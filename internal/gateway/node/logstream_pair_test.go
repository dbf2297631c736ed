package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/statemachine"
)

// streamPair is a sender and a receiver over fake hosts, with what is under way between them.
type streamPair struct {
	now       time.Duration
	member    fakeStreamHost
	learner   fakeStreamHost
	sender    *streamSender
	receiver  *streamReceiver
	toLearner []*streamData
	toMember  []*streamRequest
}

// fakeStreamHost is one end's node.
type fakeStreamHost struct {
	pair    *streamPair
	applied []string // data by index, from 1 on
	states  int      // that were installed
	chosen  []string
	failed  int
}

func (f *fakeStreamHost) Now() time.Duration   { return f.pair.now }
func (f *fakeStreamHost) AppliedIndex() uint64 { return uint64(len(f.applied)) }
func (f *fakeStreamHost) SendStreamData(_ string, d *streamData) {
	f.pair.toLearner = append(f.pair.toLearner, d)
}
func (f *fakeStreamHost) SendStreamRequest(_ string, r *streamRequest) {
	f.pair.toMember = append(f.pair.toMember, r)
}
func (f *fakeStreamHost) InstallState(index uint64, _ *statemachine.Machine) {
	f.states++
	f.applied = make([]string, index)
}
func (f *fakeStreamHost) ApplyEntry(_ uint64, data []byte) {
	f.applied = append(f.applied, string(data))
}
func (f *fakeStreamHost) UpstreamChanged(addr string)    { f.chosen = append(f.chosen, addr) }
func (f *fakeStreamHost) StreamUnreadable(uint64, error) { f.failed++ }

// fakeLog is the member's log, of which the first entries may be compacted.
type fakeLog struct {
	host  *fakeStreamHost
	first uint64 // index of the first entry that the log has
}

func (f *fakeLog) Bootstrapped() bool  { return true }
func (f *fakeLog) CommitIndex() uint64 { return f.host.AppliedIndex() }
func (f *fakeLog) EntriesAfter(index, upto uint64) (all []replication.Entry, ok bool) {
	for i := index + 1; i <= upto; i++ {
		all = append(all, replication.Entry{Index: i, Kind: replication.EntryNormal, Data: []byte(f.host.applied[i-1])})
	}
	return all, index+1 >= f.first
}
func (f *fakeLog) BlobToSend(uint64, []*replication.Blob) *replication.Blob {
	return replication.NewBlob(f.first-1, 1, nil)
}

// oneMember is a roster in which one member lives.
type oneMember struct{}

func (oneMember) IsLive(string) bool { return true }
func (oneMember) LiveDiskNodes() []membership.Node {
	return []membership.Node{{Addr: "member", Disk: 1, Bootstrapped: true}}
}
func (o oneMember) LinkedDiskNodes() []membership.Node { return o.LiveDiskNodes() }

// newStreamPair has a member with so many entries of a size, and a learner that has just started.
func newStreamPair(entries, size int) *streamPair {
	p := &streamPair{now: time.Minute}
	p.member.pair, p.learner.pair = p, p
	bounds := settings.DefaultBounds()
	fresh := func(incarnation uint64) *quorumcontact.Tracker {
		return quorumcontact.New(quorumcontact.Config{Bounds: &bounds, Incarnation: incarnation, StartedAt: p.now})
	}
	p.sender = newStreamSender(&p.member, &fakeLog{&p.member, 1}, fresh(1))
	p.receiver = &streamReceiver{host: &p.learner, roster: oneMember{}, contact: fresh(2), knobs: &TestingKnobs{}, addr: "learner",
		reports: map[string]upstreamReport{}}
	p.append(entries, size)
	return p
}

// append has the member apply entries.
func (s *streamPair) append(entries, size int) {
	for range entries {
		s.member.applied = append(s.member.applied, fmt.Sprintf("%0*d", size, len(s.member.applied)))
		s.sender.entryApplied(false)
	}
}

// deliver carries what is under way until nothing is, except what is lost.
func (s *streamPair) deliver(lost func() bool) {
	for len(s.toMember) > 0 || len(s.toLearner) > 0 {
		if len(s.toMember) > 0 {
			r := s.toMember[0]
			s.toMember = s.toMember[1:]
			if !lost() && s.sender.receiveRequest("learner", r) != requestIgnored && s.sender.isLearner("learner") {
				s.sender.respond("learner")
			}
		}
		if len(s.toLearner) > 0 {
			d := s.toLearner[0]
			s.toLearner = s.toLearner[1:]
			if !lost() {
				s.receiver.receive("member", d)
			}
		}
	}
}

func loseNothing() bool { return false }

// A learner chooses the member, gets all entries in order, and each new one as it is applied: small ones as they are, large ones in chunks.
func TestStreamBringsAllEntriesInOrder(t *testing.T) {
	for _, size := range []int{10, 1000, 40 << 10} {
		p := newStreamPair(50, size)
		p.receiver.check()
		must.Eq(t, []string{"member"}, p.learner.chosen)
		p.deliver(loseNothing)
		must.Eq(t, p.member.applied, p.learner.applied)
		p.append(3, size)
		p.deliver(loseNothing)
		must.Eq(t, p.member.applied, p.learner.applied)
		must.Zero(t, p.learner.states)
		must.Zero(t, p.learner.failed)
	}
}

// A learner that the log has no entries for any more gets a state, and what follows it.
func TestStreamBeginsWithAState(t *testing.T) {
	p := newStreamPair(50, 10)
	p.sender.log.(*fakeLog).first = 21
	p.receiver.check()
	p.deliver(loseNothing)
	must.Eq(t, 1, p.learner.states)
	must.Eq(t, slices.Concat(make([]string, 20), p.member.applied[20:]), p.learner.applied)
}

// Whatever is lost, the learner has all entries in the end, each once and in order: it asks again, and the member sends again.
func TestStreamRecoversFromLoss(t *testing.T) {
	for _, size := range []int{10, 1000, 40 << 10} {
		for seed := range uint64(10) {
			p, chance := newStreamPair(20, size), rand.New(rand.NewPCG(seed, 1))
			for range 300 { // 30 s, in the first 20 of which a third is lost
				p.receiver.tick(p.now)
				p.receiver.check()
				if len(p.member.applied) < 40 {
					p.append(1, size)
				}
				p.deliver(func() bool { return p.now < 80*time.Second && chance.IntN(3) == 0 })
				p.now += tickInterval
			}
			must.Eq(t, p.member.applied, p.learner.applied, must.Sprint(size, seed))
		}
	}
}

// A learner that ends its stream is sent nothing any more; one that begins anew is told apart from one that goes on.
func TestLearnersJoinAndLeave(t *testing.T) {
	p := newStreamPair(1, 10)
	must.Eq(t, learnerJoined, p.sender.receiveRequest("learner", &streamRequest{begins: true}))
	must.Eq(t, learnerContinues, p.sender.receiveRequest("learner", &streamRequest{after: 1}))
	must.Eq(t, learnerRestarted, p.sender.receiveRequest("learner", &streamRequest{begins: true}))
	must.Eq(t, learnerLeft, p.sender.receiveRequest("learner", &streamRequest{ends: true}))
	p.append(1, 10)
	must.SliceEmpty(t, p.toLearner)
	p.sender.log = nil // a node without a disk
	must.Eq(t, requestIgnored, p.sender.receiveRequest("learner", &streamRequest{begins: true}))
}
