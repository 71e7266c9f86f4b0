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

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash is the hash of a purpose or an address, for EvenRank.
type Hash uint64

// HashOf returns the hash of a text, without allocating memory.
func HashOf(text string) Hash {
	h := uint64(fnvOffset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return Hash(h)
}

// EvenRank returns an address's rank for a purpose, as Rank does. Unlike Rank, it ranks each of many
// similar addresses highest for about as many purposes. Processes of both builds use Rank to agree on
// coordinators, which is why Rank stays as it is.
func EvenRank(purpose, address Hash) uint64 {
	rank := uint64(purpose) + 0x9e3779b97f4a7c15*uint64(address)
	rank = (rank ^ rank>>30) * 0xbf58476d1ce4e5b9
	rank = (rank ^ rank>>27) * 0x94d049bb133111eb
	return rank ^ rank>>31
}
