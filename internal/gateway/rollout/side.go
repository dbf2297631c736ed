package rollout

import (
	"encoding/binary"
	"math/bits"
)

// Side is a version of a service.
type Side uint8

// Baseline is also the side of all requests that no roll-out concerns. Specs, answers and logs call the sides old and new.
const (
	Baseline Side = iota
	Canary
)

// String gives the side's name in answers and logs.
func (s Side) String() string { return [...]string{"old", "new"}[s] }

// MayAttempt reports whether a request whose first attempt was on one side may have an attempt on another: never from the baseline
// to the canary.
func MayAttempt(first, next Side) bool { return next == Baseline || first == Canary }

// FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnv1a hashes further bytes into a state that began with fnvOffset.
func fnv1a[T string | []byte](state uint64, b T) uint64 {
	for i := range len(b) {
		state = (state ^ uint64(b[i])) * fnvPrime
	}
	return state
}

// hashSalt makes every roll-out begin with other users.
func hashSalt(service string, n Number) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	return fnv1a(fnv1a(fnvOffset, service), b[:])
}

// mixBits spreads all bits over all: FNV alone leaves its upper bits alike for texts that end alike. Murmur3's finalizer (Appleby).
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// userPosition is a user's position among all, 0 to FullShare-1. It does not depend on shares, so whoever is on the canary stays
// there while they grow; and it is the same at every node.
func userPosition(salt uint64, user []byte) int {
	hi, _ := bits.Mul64(mixBits(fnv1a(salt, user)), FullShare)
	return int(hi)
}

// CountMoved counts how many of some users each step would move to the canary, for a dry run: where users are few, shares are rough.
func (s *Spec) CountMoved(n Number, users [][]byte) []int {
	counts, salt := make([]int, len(s.Steps)), hashSalt(s.Service, n)
	for _, user := range users {
		position := userPosition(salt, user)
		for i := range s.Steps {
			if position < s.Steps[i].Share {
				counts[i]++
			}
		}
	}
	return counts
}
