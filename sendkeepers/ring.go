package sendkeepers

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
	"sandbarrow.example/sandbarrow/internal/splitmix"
)

const (
	// ringLifetime is how long a ring is used. Building one costs a hash for each process.
	ringLifetime = 100 * time.Millisecond
	// ringPoints is the number of points of one process, which spreads the records evenly enough.
	ringPoints = 8
)

// ring is a consistent-hashing ring of keepers. It is immutable.
type ring struct {
	built  time.Time
	points []ringPoint
}

// ringPoint is one of the points at which a keeper stands on a ring.
type ringPoint struct {
	at     uint64
	keeper OriginKeeper
}

func newRing(now time.Time, list []OriginKeeper) *ring {
	r := &ring{built: now}
	for _, keeper := range list {
		for n := range ringPoints {
			r.points = append(r.points, ringPoint{at: ringPosition(strconv.Itoa(n), keeper.Name()), keeper: keeper})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.keeper.Name(), b.keeper.Name()))
	})
	return r
}

// ringPosition returns a position on a ring. Rank alone differs little between similar names.
func ringPosition(purpose, name string) uint64 {
	return splitmix.Finalize(rendezvous.Rank(purpose, name))
}

// keepers returns the keepers that follow the position of a stream, each once.
func (r *ring) keepers(id sandbarrow.RequestID, most int) []OriginKeeper {
	at := ringPosition("stream", string(id))
	first, _ := slices.BinarySearchFunc(r.points, at, func(p ringPoint, at uint64) int { return cmp.Compare(p.at, at) })
	list := make([]OriginKeeper, 0, most)
	for i := range r.points {
		keeper := r.points[(first+i)%len(r.points)].keeper
		if !slices.ContainsFunc(list, func(k OriginKeeper) bool { return k.Name() == keeper.Name() }) {
			list = append(list, keeper)
		}
		if len(list) == most {
			break
		}
	}
	return list
}
