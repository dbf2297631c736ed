// Package counters counts what a front door or a node takes in, sends and answers. The names that it shows are those of earlier
// releases, since dashboards and docs/on-call.md have them; the identifiers are the current terms.
package counters

import (
	"fmt"
	"strings"
)

// ID identifies a counter.
type ID int

// The counters. GaveUpTime and what follows it are in the order of control.Reason, EndAnswered and what follows it in the order of
// control.Ending: the gate adds one of these to the first. docs/on-call.md explains each.
const (
	ClientsOpened ID = iota
	ClientsClosed
	ClientsEvicted
	ClientsStuck
	ClientsIdle
	ClientsRefused
	TxnsTaken
	TxnsLeft
	Answered
	Rejected
	Failed
	GaveUpTime // the first of control.Reason
	GaveUpUnits
	GaveUpSnapshot
	GaveUpSlots
	GaveUpHardLimit
	GaveUpBackends
	Undeliverable // answers whose client had left
	BadRequest
	BadPlan
	BadProduct
	BadQuota
	BadID
	BadFraming
	TooLarge
	HeadTooLarge
	NoMemory
	NoSuchPath
	NoSuchMethod
	TooMany
	Ups
	Submissions
	Reused
	Dials
	DialsFailed
	EndAnswered // the first of control.Ending
	EndErrored
	EndFull
	EndTimedOut
	EndUnreachable
	EndBroken
	EndCalledOff
	EndNotSent
	BadAnswer
	OtherAnswer
	BackendsEvicted
	Reloads
	ReloadsBad
	ListsTaken
	ListsBad
	WatchesLost
	DatagramsSent
	DatagramsTaken
	DatagramsBad
	DatagramsUnsent
	AcceptErrors
	Turns
	FramesSent // the front door's lease frames
	FramesTaken
	FramesUnsent
	Grants
	GrantsGone
	Steps
	StepsStale
	NoSuchKey
	UnknownYet
	Truncated
	Unread         // connections that were cut off because the other side did not read
	StaleInContact // times at which a member was not up to date, though its links to a majority were up
	DatagramsLate  // dropped, since they had waited unread for too long
	count          // number of counters
)

// names are shown; their order is the counters'.
var names = [count]string{"clients opened", "clients closed", "clients evicted", "clients stuck",
	"clients idle", "clients refused", "txns taken", "txns left",
	"settled", "declined", "voided", "gave up: time", "gave up: units", "gave up: view", "gave up: slots",
	"gave up: ceiling", "gave up: backends", "answers unheard", "bad requests", "unknown plans", "unknown products",
	"bad quotas", "ids of open txns", "bad framing", "bodies too large", "heads too large",
	"without memory", "unknown paths", "unknown methods",
	"too many held", "ups", "submissions", "connections reused", "dials", "dials failed", "ended settled",
	"ended errored", "ended full", "ended timed out", "ended unreachable", "ended broken", "ended called off",
	"ended not sent", "bad answers",
	"answers to others", "backend connections evicted", "configurations taken",
	"configurations bad", "lists taken", "lists bad", "watches lost",
	"datagrams sent", "datagrams taken", "datagrams bad", "datagrams unsent", "accept errors", "turns",
	"lease frames sent", "lease frames taken", "lease frames unsent", "leases granted", "leases over", "steps under leases", "stale steps refused",
	"unknown keys", "not known yet", "answers cut short", "answers not read", "stale in contact", "datagrams late"}

// Set is the counters of a process. It is used in turns alone.
type Set [count]uint64

// Add increments a counter.
func (s *Set) Add(id ID) { s[id]++ }

// Text lists all counters that are not 0.
func (s *Set) Text() string {
	var b strings.Builder
	for id, n := range s {
		if n > 0 {
			fmt.Fprintf(&b, "%s %d, ", names[id], n)
		}
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// Name is the name that is shown for a counter.
func Name(id ID) string { return names[id] }
