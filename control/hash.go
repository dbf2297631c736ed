package control

// GoldenRatio64 is 2^64 divided by the golden ratio, rounded to an odd integer. Multiplication by this constant moves consecutive
// numbers far apart (Fibonacci hashing, Knuth, TAOCP 6.4).
const GoldenRatio64 = 0x9e3779b97f4a7c15

// Hash64 returns the hash of a number, computed with the output function of SplitMix64. The hash determines the owners of quota buckets
// and the rankings of backends, so all gateways of all versions must use the same function.
func Hash64(x uint64) uint64 {
	x += GoldenRatio64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
