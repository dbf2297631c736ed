package control

// GoldenRatio64 is 2^64 over the golden ratio: multiplied by it, numbers that follow each other lie far apart (Knuth, TAOCP 6.4).
const GoldenRatio64 = 0x9e3779b97f4a7c15

// Hash64 is a hash of one number (the output function of SplitMix64). Ownership of buckets and rankings of backends go by it, so all
// gateways of all versions must have the same.
func Hash64(x uint64) uint64 {
	x += GoldenRatio64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
