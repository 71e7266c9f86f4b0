package placement

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/splitmix"
)

const (
	// maxCachedRankings bounds the number of cached rankings: three times the adapters of the two-year
	// plan, at 115 bytes each (docs/CAPACITY.md).
	maxCachedRankings = 32768
	// maxReplicas is the largest number of upstreams that a model spreads over.
	maxReplicas = 8
)

// rankKey is the cache key of a model's ranking.
type rankKey struct {
	base sandbarrow.BaseModelID
	hash uint64
}

// rank returns the upstreams for a request, ordered by rendezvous hashing. The first two
// are in different failure domains, if there are several. The caller holds mu.
func (f *Fleet) rank(r *sandbarrow.RouteRequest) []uint16 {
	if r.Service != "" {
		// Each call of a service has its own hash. Caching these rankings would evict those
		// of the models.
		return f.computeRank(r)
	}
	key := rankKey{base: r.BaseModel, hash: r.Hash}
	if ranked, ok := f.ranks[key]; ok {
		return ranked
	}
	if len(f.ranks) >= maxCachedRankings {
		clear(f.ranks)
	}
	ranked := f.computeRank(r)
	f.ranks[key] = ranked
	return ranked
}

func (f *Fleet) computeRank(r *sandbarrow.RouteRequest) []uint16 {
	ranked := make([]uint16, 0, maxReplicas)
	scores := make([]uint64, 0, maxReplicas)
	for i := range f.upstreams {
		u := &f.upstreams[i]
		if u.info.BaseModel != r.BaseModel || u.info.Service != r.Service {
			continue
		}
		ranked, scores = insertScore(ranked, scores, uint16(i), splitmix.Finalize(u.hash^r.Hash))
	}
	f.spreadDomains(ranked)
	return ranked
}

// insertScore inserts a score if it is among the best, and keeps the scores in descending
// order.
func insertScore(ranked []uint16, scores []uint64, i uint16, score uint64) ([]uint16, []uint64) {
	position := len(scores)
	for position > 0 && scores[position-1] < score {
		position--
	}
	if position == maxReplicas {
		return ranked, scores
	}
	if len(scores) < maxReplicas {
		ranked = append(ranked, 0)
		scores = append(scores, 0)
	}
	copy(ranked[position+1:], ranked[position:])
	copy(scores[position+1:], scores[position:])
	ranked[position], scores[position] = i, score
	return ranked, scores
}

// spreadDomains moves the best upstream of another failure domain to the second rank. When
// a domain fails, a loaded copy or the next rank is then available in another domain.
func (f *Fleet) spreadDomains(ranked []uint16) {
	if len(ranked) < 2 {
		return
	}
	first := f.upstreams[ranked[0]].info.FailureDomain
	for k := 1; k < len(ranked); k++ {
		if f.upstreams[ranked[k]].info.FailureDomain == first {
			continue
		}
		moved := ranked[k]
		copy(ranked[2:k+1], ranked[1:k])
		ranked[1] = moved
		return
	}
}
