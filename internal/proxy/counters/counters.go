// Package counters counts what a front door takes in, sends and answers.
package counters

import (
	"fmt"
	"strings"
)

// ID names one counter.
type ID int

// What is counted.
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
	GaveUpTime // for want of time, and so on, in the order of the module's reasons
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
	EndAnswered
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
	FramesSent // of leases
	FramesTaken
	FramesUnsent
	Grants
	GrantsGone
	Steps
	StepsStale
	NoSuchKey
	UnknownYet
	Truncated
	count
)

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
	"unknown keys", "not known yet", "answers cut short"}

// Set is one front door's counters. One owner at a time counts.
type Set [count]uint64

// Add counts one.
func (s *Set) Add(id ID) { s[id]++ }

// Text lists all that are not nought.
func (s *Set) Text() string {
	var b strings.Builder
	for id, n := range s {
		if n > 0 {
			fmt.Fprintf(&b, "%s %d, ", names[id], n)
		}
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// Name is a counter's.
func Name(id ID) string { return names[id] }
