// Package splitmix mixes the bits of a number. Numbers that differ little then rank differently. It
// keeps no state; the rankings of gateways and entries use it.
package splitmix

// Finalize applies the finalizer of SplitMix64 to x.
func Finalize(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
