// Package rendezvous ranks addresses for a purpose by rendezvous hashing. All processes that know
// the same addresses prefer the same ones.
package rendezvous

import "hash/fnv"

// Rank returns an address's rank for a purpose; the highest is preferred.
func Rank(purpose, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose + " " + address)) // never fails
	return h.Sum64()
}
