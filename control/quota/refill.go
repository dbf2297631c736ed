package quota

// refillBucket adds the refill since the last call to a bucket that this gateway owns. The level rises to the burst at most.
//
// Without strict mode, the bucket is refilled at the whole rate. In strict mode, each gateway has an equal part of the rate, and the bucket
// is refilled with the parts of the reachable gateways.
//
// An unreachable gateway may consume its part without asking the owner. So may a gateway that has sent reports and then no more messages.
// The parts of these gateways are withheld, which means that they are kept out of the bucket. When a message from such a gateway
// arrives, the withheld part is released, less the units that the gateway consumed. After reporterLostAfter, the host has found every
// lost gateway unreachable. A gateway that has sent no message for that time but is still reachable had nothing to report, so its
// withheld part is released.
func (l *Limiter) refillBucket(a *Account) {
	period := l.now - a.levelAt
	if period < 0 {
		return
	}
	a.levelAt = l.now
	if !l.config.Strict {
		a.level = min(a.limit.Burst, a.level+a.limit.Rate*period.Seconds())
		return
	}
	part, parts, withheld := a.limit.Rate*period.Seconds()/float64(l.gatewayCount), l.effectiveReachableCount(), 0.0
	for _, r := range a.reporterStates {
		switch l.contactWith(a, r) {
		case contactResumed:
			parts++
		case contactDoubtful:
			parts--
		case contactIdle:
			l.releaseWithheld(a, r, r.withheld)
		}
		withheld += r.withheld
	}
	a.level = min(a.limit.Burst, a.level+part*float64(max(1, parts)))
	l.withholdParts(a, part, a.limit.Burst-a.level-withheld)
}

// withholdParts withholds the part of each gateway that may be isolated, as far as there is room. A bucket that is full without these parts
// loses them like any other refill. If they were kept, a customer could consume them in addition to a full bucket.
func (l *Limiter) withholdParts(a *Account, part, room float64) {
	for _, r := range a.reporterStates {
		if room <= 0 {
			return
		}
		if contact := l.contactWith(a, r); contact == contactLost || contact == contactDoubtful {
			units := min(part, room)
			r.withheld, room = r.withheld+units, room-units
		}
	}
}

// limitWithheld reduces the withheld parts to the room that they have in the bucket.
func (a *Account) limitWithheld(room float64) {
	for _, r := range a.reporterStates {
		r.withheld = min(r.withheld, max(0, room))
		room -= r.withheld
	}
}

// contact is the owner's view of a reporter's connection.
type contact int

const (
	contactGood     contact = iota
	contactResumed          // a message has just arrived, so the host's finding that the reporter is unreachable is outdated
	contactLost             // the host has found the reporter unreachable
	contactDoubtful         // the reporter may be isolated, and the host may not have found it unreachable yet
	contactIdle             // the reporter is reachable and has had nothing to report
)

// contactWith returns the owner's view of a reporter's connection. The reachable gateways of effectiveReachableCount include the reporters in
// doubtful contact and not the resumed ones.
func (l *Limiter) contactWith(a *Account, r *reporterState) contact {
	silentFor := l.now - max(r.receivedAt, l.pausedUntil)
	switch {
	case l.peers[r.from].unreachableSince > 0:
		if silentFor <= reporterQuietAfter && r.inFlight == 0 {
			return contactResumed
		}
		return contactLost
	case silentFor >= reporterLostAfter:
		return contactIdle
	case (r.inFlight > 0 || silentFor > reporterQuietAfter) && l.withholdsEarly(a):
		return contactDoubtful
	}
	return contactGood
}

// withholdsEarly reports whether parts of the rate are withheld from the time at which the messages of a gateway stop, before the host
// finds the gateway unreachable. At a small rate, the part for so short a time is negligible, and withholding it would only delay the
// customer.
func (l *Limiter) withholdsEarly(a *Account) bool {
	return a.limit.Rate >= minWithholdRate*float64(l.gatewayCount)
}

// releaseWithheld returns units that were withheld for a reporter to the bucket.
func (l *Limiter) releaseWithheld(a *Account, r *reporterState, units float64) {
	if units = min(units, r.withheld); units > 0 {
		a.level, r.withheld = min(a.limit.Burst, a.level+units), r.withheld-units
	}
}
