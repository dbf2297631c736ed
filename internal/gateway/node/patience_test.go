package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/settings"
)

// While nobody leads, the word of each node with a disk is old, and a little older at one than at the other. A follower changed over to
// whichever was younger at the moment, again and again, and was told all the backends by each: with two hundred that did so,
// the nodes with a disk had no time left to agree on who leads.
func TestNobodyLeads(t *testing.T) {
	h := followerOf(t, "10.0.0.1:7110", "10.0.0.2:7110")
	now := h.e.Now()
	first := h.feeder
	other := map[string]string{"10.0.0.1:7110": "10.0.0.2:7110", "10.0.0.2:7110": "10.0.0.1:7110"}[first]
	for i := range 40 {
		now += lookEvery
		h.e.(*still).now = now
		h.roster.Now(now)
		for _, a := range []string{first, other} {
			h.roster.Heard(a)
			h.saysAt = now
			h.words[a] = word{now, never + time.Duration(i)*pingEvery, 0, 0} // it has just started and knows of no leader
		}
		h.words[other] = word{now, never - 10*time.Second, 0, 0} // this one did a while ago
		h.fedAt = now
		h.tendFeed()
		must.Eq(t, first, h.feeder)
	}
	// One that knows of a leader is changed over to.
	h.words[other] = word{now, 0, 0, 0}
	h.e.(*still).now = now + followAgain
	h.roster.Now(now + followAgain)
	h.tendFeed()
	must.Eq(t, other, h.feeder)
}

// A node that says something, but not yet what was asked, has much to do: it is waited for, and not for ever.
func TestBusyFeederIsWaitedFor(t *testing.T) {
	h := followerOf(t, "10.0.0.1:7110", "10.0.0.2:7110")
	first, asked := h.feeder, h.askedAt
	h.fedAt = asked - 1
	for now := asked; now <= asked+followLong+followMost; now += lookEvery {
		h.e.(*still).now = now
		h.roster.Now(now)
		for _, d := range h.roster.Addrs() {
			h.roster.Heard(d)
		}
		h.saysAt = now
		h.words[first] = word{now, 0, 0, 0}
		h.tendFeed()
		if now-asked < followLong {
			must.Eq(t, first, h.feeder)
			must.Eq(t, asked, h.askedAt) // nor asked again
		}
	}
	must.NotEq(t, asked, h.askedAt)
}

// still is a node's time that a test sets.
type still struct {
	Turns
	now time.Duration
}

func (s *still) Now() time.Duration { return s.now }

// lost takes what a node sends.
type lost struct{ Links }

func (lost) Send(string, *Frame) bool { return true }

// followerOf is a node without a disk that follows one of these.
func followerOf(t *testing.T, disks ...string) *Node {
	h := &Node{settings: &settings.Settings{NodeName: "node"}, log: newLog("node"), e: &still{now: time.Minute}, links: lost{}, words: map[string]word{},
		followers: map[string]*follower{}}
	h.roster = membership.New(membership.Node{Name: "node", Addr: "10.0.0.9:7110"}, membership.Terms{}, h.e.Now())
	for i, a := range disks {
		h.roster.Hello(a, membership.Hello{Door: membership.Node{Name: a, Addr: a, Disk: membership.Disk(i + 1), Life: 1, Founded: true}})
		h.roster.Up(a)
	}
	h.tendFeed()
	must.NotEq(t, "", h.feeder)
	return h
}
