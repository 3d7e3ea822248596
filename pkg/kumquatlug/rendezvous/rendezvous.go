// Package rendezvous computes scores for rendezvous hashing, by which processes agree
// on the order of targets for a key without communicating: the target with the highest
// score of key xor the target's hash comes first. When a target is removed, only its
// own keys move.
package rendezvous

// Mix spreads the bits of x with the finalizer of splitmix64. The plain xor of two
// hashes would order targets alike for similar keys.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
