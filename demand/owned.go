package demand

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
	"sandbarrow.example/sandbarrow/internal/splitmix"
)

// Owned returns the adapters of a list that one engine preloads: those for which it ranks first by
// rendezvous hashing among the engines that are up, the busiest first. engines are their addresses.
func (l List) Owned(self string, engines []string) []sandbarrow.AdapterKey {
	var owned []sandbarrow.AdapterKey
	for _, e := range l {
		if first(e.Key, self, engines) {
			owned = append(owned, e.Key)
		}
	}
	return owned
}

// first reports whether an engine ranks first for an adapter.
func first(key sandbarrow.AdapterKey, self string, engines []string) bool {
	own := rank(key, self)
	for _, other := range engines {
		if other != self && rank(key, other) > own {
			return false
		}
	}
	return true
}

// rank returns the rank of an engine for an adapter. The hash of addresses that differ in one digit
// is mixed further, as they would otherwise rank alike for many adapters.
func rank(key sandbarrow.AdapterKey, engine string) uint64 {
	return splitmix.Finalize(rendezvous.Rank(string(key.Model)+"/"+string(key.Adapter), engine))
}
