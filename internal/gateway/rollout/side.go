package rollout

import (
	"encoding/binary"
	"math/bits"
)

// Side is one of the two versions that a roll-out compares.
type Side uint8

// The sides. Baseline is also the side of requests to which no roll-out applies. Specs, API responses and logs call the sides old and new.
const (
	Baseline Side = iota
	Canary
)

// String returns the name of the side in API responses and logs.
func (s Side) String() string { return [...]string{"old", "new"}[s] }

// MayAttempt reports whether a request may have a later attempt on the side next after its first attempt was on the side first. A request
// never moves from the baseline to the canary.
func MayAttempt(first, next Side) bool { return next == Baseline || first == Canary }

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnv1a adds bytes to an FNV-1a hash and returns its new state. The initial state is fnvOffset.
func fnv1a[T string | []byte](state uint64, b T) uint64 {
	for i := range len(b) {
		state = (state ^ uint64(b[i])) * fnvPrime
	}
	return state
}

// hashSalt returns the initial hash state for the users of a roll-out. The state differs between roll-outs, so that each roll-out starts
// with other users.
func hashSalt(service string, n Number) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	return fnv1a(fnv1a(fnvOffset, service), b[:])
}

// mixBits makes each bit of the result depend on all bits of h. Without mixBits, the upper bits of FNV hashes are similar for texts
// that differ only in the last bytes. mixBits uses the shifts and multipliers of the MurmurHash3 finalizer by Appleby.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// userPosition returns the position of a user among all users, from 0 to FullShare-1. The position does not depend on the share, so a
// user on the canary stays there while the share grows. The position is the same at every node.
func userPosition(salt uint64, user []byte) int {
	hi, _ := bits.Mul64(mixBits(fnv1a(salt, user)), FullShare)
	return int(hi)
}

// CountCanaryUsers returns how many of the given users are on the canary in each step of roll-out n. Dry runs show these numbers, because
// the actual shares deviate from the configured ones if there are few users.
func (s *Spec) CountCanaryUsers(n Number, users [][]byte) []int {
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
