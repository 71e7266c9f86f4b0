package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

// candidate is a snapshot of one engine that accepts new work, with the estimates that
// estimateCost derives from it for one request.
type candidate struct {
	instance *sandbarrow.Instance
	link     *controllerLink
	linkView
	// distancePenalty is the penalty for the engine's distance; 0 in this gateway's failure domain.
	distancePenalty time.Duration
	// inFlight is the number of this gateway's requests in flight at the engine.
	inFlight int

	// loadedOrLoading is set if the engine has loaded, or is loading, the weights that the
	// request needs.
	loadedOrLoading bool
	// newCopy is set if the adapter would have to be loaded here from the weight store, and there are
	// other candidates. copies is the number of candidates that have it or are going to load it.
	newCopy bool
	copies  int
	// loadClaim is how it was decided that this engine loads the adapter; empty if no coordinator
	// was asked.
	loadClaim loadClaimOutcome
	// others is the number of other candidates that could serve the request.
	others int
	// granted are the versions of the weights that the engine's controller granted.
	granted sandbarrow.WeightsVersion
	// move is the part of the prompt cache that the engine copies from another engine.
	move promptMove
	// late is set if the work is expected to begin too late to end in the time left.
	late bool
	// cost is the expected delay including all penalties. Before estimateCost it holds only
	// the penalties for recent failures and for an upstream that names a limit.
	cost time.Duration
	// spareTokens is how many more prompt tokens may wait at this engine before another one
	// is the better choice; 0 if there is no other.
	spareTokens int
}

// candidatePool recycles the candidate lists of finished choices.
var candidatePool = sync.Pool{New: func() any { return new([]candidate) }}

// eligible appends a snapshot of each engine that accepts new work to list. It starts at a
// random engine: of engines with equal cost the first is chosen, and gateways with the same
// state must not all choose the same one.
func (g *Gateway) eligible(c *call, now time.Time, excluded map[sandbarrow.InstanceID]bool, list []candidate) []candidate {
	c.blocked.reset()
	members := g.engines.members(c.service.ID)
	penalties := g.distancePenalties()
	first := rand.IntN(max(1, len(members)))
	for i := range members {
		m := &members[(first+i)%len(members)]
		e := candidate{instance: m.instance, link: m.link, linkView: m.link.view(now, c)}
		check, allowed := c.check(now, m.instance, e.report(), excluded)
		if !allowed {
			continue
		}
		e.distancePenalty = penalties.to(m.instance.FailureDomain)
		e.inFlight, e.cost = check.InFlight, check.Penalty
		list = append(list, e)
	}
	return list
}

// isLoadedOrLoading reports whether the engine has loaded, or is loading, the weights that
// the request needs.
func (e *candidate) isLoadedOrLoading(n *requirements) bool {
	if !e.linked {
		return listedAsLoaded(e.instance.Models, n) || e.recallable
	}
	if n.key.Adapter == "" {
		return slices.Contains(e.status.Models, n.key.Model)
	}
	slot := e.status.Slot(n.key)
	return slot != nil && slot.Version >= n.version
}

// listedAsLoaded reports whether the models listed for an engine include the weights that
// the request needs.
func listedAsLoaded(models []sandbarrow.LoadedModel, n *requirements) bool {
	for _, m := range models {
		if m.Model != n.key.Model {
			continue
		}
		if n.key.Adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a.Adapter == n.key.Adapter && a.Version >= n.version {
				return true
			}
		}
	}
	return false
}

// uncachedTokens returns how many of a prompt's tokens the engine has to prefill. A nil
// candidate has none of them cached.
func (e *candidate) uncachedTokens(tokens int) int {
	if e == nil {
		return tokens
	}
	return max(0, tokens-e.cached-e.move.tokens)
}

// speed returns the engine's prefill speed as its controller estimates it. A nil candidate
// has the default speed.
func (e *candidate) speed() readspeed.Speed {
	if e == nil {
		return readspeed.Prior
	}
	return statusSpeed(&e.status)
}

// statusSpeed returns the prefill speed in a status, or the default if it has none.
func statusSpeed(s *enginelink.Status) readspeed.Speed {
	if s.Speed.PerToken <= 0 {
		return readspeed.Prior
	}
	return s.Speed
}

// maxWaitingTokens returns the number of waiting prompt tokens up to which this engine is
// the best choice; 0 if there is no bound.
func (e *candidate) maxWaitingTokens() int {
	if e.spareTokens == 0 {
		return 0
	}
	return e.waitingTokens + e.spareTokens
}
