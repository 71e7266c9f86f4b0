package placement

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/splitmix"
)

const (
	// maxCached bounds the cached rankings: three times the adapters of the two-year
	// plan, at 115 bytes each (docs/CAPACITY.md).
	maxCached = 32768
	// replicas is the number of upstreams that a model may spread over.
	replicas = 8
)

// rankKey names a cached ranking of a model.
type rankKey struct {
	base sandbarrow.BaseModelID
	hash uint64
}

// rank returns the upstreams of a request by rendezvous hashing, the first two
// in different failure domains. The caller holds mu.
func (f *Fleet) rank(r *sandbarrow.RouteRequest) []uint16 {
	if r.Service != "" {
		// Calls of services have a hash each; they would push out the models.
		return f.computeRank(r)
	}
	key := rankKey{base: r.BaseModel, hash: r.Hash}
	if ranked, ok := f.ranks[key]; ok {
		return ranked
	}
	if len(f.ranks) >= maxCached {
		clear(f.ranks)
	}
	ranked := f.computeRank(r)
	f.ranks[key] = ranked
	return ranked
}

func (f *Fleet) computeRank(r *sandbarrow.RouteRequest) []uint16 {
	ranked := make([]uint16, 0, replicas)
	scores := make([]uint64, 0, replicas)
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

// insertScore keeps the best scores in falling order.
func insertScore(ranked []uint16, scores []uint64, i uint16, score uint64) ([]uint16, []uint64) {
	at := len(scores)
	for at > 0 && scores[at-1] < score {
		at--
	}
	if at == replicas {
		return ranked, scores
	}
	if len(scores) < replicas {
		ranked = append(ranked, 0)
		scores = append(scores, 0)
	}
	copy(ranked[at+1:], ranked[at:])
	copy(scores[at+1:], scores[at:])
	ranked[at], scores[at] = i, score
	return ranked, scores
}

// spreadDomains brings the best upstream of another failure domain to the
// second place, so that losing a domain leaves a warm or next copy elsewhere.
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
