// Package rendezvous gives the scores of rendezvous hashing, by which processes
// that don't ask each other agree on the order of targets for a key: the target
// with the highest score of key xor target's hash comes first, and when one goes
// only its own keys move.
package rendezvous

// Mix spreads the bits of x (the finalizer of splitmix64): the xor of two
// hashes alone would order targets alike for keys that are close.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
