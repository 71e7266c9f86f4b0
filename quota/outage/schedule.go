package outage

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/retry"
)

const (
	// rankTime is the time over which the workspaces return. Most are small and return in its first
	// part; the few with the most requests return last.
	rankTime = 500 * time.Millisecond
	// maxInterval bounds the time between two retries of a workspace at one gateway. The share of
	// a small limit would otherwise be less than a request in some seconds, while the few requests
	// of its callers arrive at one gateway as well.
	maxInterval = time.Second
)

// Schedule places the retries of refused requests after the end of a time without leaders:
// workspaces with a small limit first, and each workspace no faster than its limit allows. Its
// size is bounded by the number of workspaces. It is not safe for concurrent use.
type Schedule struct {
	// returns are the callers of each workspace that were told when to come back.
	returns map[sandbarrow.WorkspaceID]*retry.Returns
	// ranks are from 0 for the smallest limit to 1 for the largest.
	ranks map[sandbarrow.WorkspaceID]float64
}

// NewSchedule returns an empty schedule for the workspaces with a limit.
func NewSchedule(workspaces []*access.Workspace) *Schedule {
	s := &Schedule{returns: map[sandbarrow.WorkspaceID]*retry.Returns{}, ranks: map[sandbarrow.WorkspaceID]float64{}}
	var rates []float64
	for _, w := range workspaces {
		if w.Limit.Limited() {
			rates = append(rates, w.Limit.PerSecond)
		}
	}
	slices.Sort(rates)
	for _, w := range workspaces {
		if smaller, _ := slices.BinarySearch(rates, w.Limit.PerSecond); w.Limit.Limited() && len(rates) > 1 {
			s.ranks[w.ID] = float64(smaller) / float64(len(rates)-1)
		}
	}
	return s
}

// Place returns after which time the caller of a refused request should retry. end is the forecast end,
// units are what the request costs, and follow is for how long the caller follows Retry-After. gateways is
// the number of gateways that share the limit.
func (s *Schedule) Place(now, end time.Time, w *access.Workspace, units int64, gateways int, follow time.Duration) time.Duration {
	r := s.returns[w.ID]
	if r == nil {
		r = &retry.Returns{}
		s.returns[w.ID] = r
	}
	room := end.Add(time.Duration(s.ranks[w.ID] * float64(rankTime)))
	seconds := float64(units) * float64(max(gateways, 1)) / w.Limit.PerSecond
	each := time.Duration(min(seconds, maxInterval.Seconds()) * float64(time.Second))
	after, _ := r.Add(now, room, each, follow)
	return after
}
