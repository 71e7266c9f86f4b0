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

// candidate is one engine that accepts new work: what was seen of it at one moment,
// and what appraise concludes from that for one request.
type candidate struct {
	instance *sandbarrow.Instance
	link     *controllerLink
	linkView
	// remote says that the engine is in another failure domain.
	remote bool
	// inFlight counts this gateway's requests there.
	inFlight int

	// held says that the engine has what the request needs, or loads it.
	held bool
	// full says that the adapter would wait for a slot to come free.
	full bool
	// granted are the versions of the weights that its controller granted.
	granted sandbarrow.WeightsVersion
	// move is what the engine takes of the prompt from another one.
	move promptMove
	// late says that the answer is expected to miss its objective.
	late bool
	// cost is the expected delay with all prices; before appraise the penalty for
	// recent failures, and the price of an engine that names a limit.
	cost time.Duration
	// spareTokens is how many more prompt tokens may wait here before another engine
	// is the better choice; 0 where there is no other.
	spareTokens int
}

// candidates keeps the lists of choices that are done.
var candidates = sync.Pool{New: func() any { return new([]candidate) }}

// eligible appends the engines that accept new work to list, as they are now. It begins
// with any of them: of engines that cost the same the first is chosen, and gateways that
// know the same must not all choose the same one.
func (g *Gateway) eligible(c *call, now time.Time, excluded map[sandbarrow.InstanceID]bool, list []candidate) []candidate {
	c.blocked.choose()
	members := g.engines.members(c.service.ID)
	first := rand.IntN(max(1, len(members)))
	for i := range members {
		m := &members[(first+i)%len(members)]
		e := candidate{instance: m.instance, link: m.link, linkView: m.link.view(now, c)}
		look, may := c.look(now, m.instance, e.report(), excluded)
		if !may {
			continue
		}
		e.remote = m.instance.FailureDomain != g.config.Domain
		e.inFlight, e.cost = look.InFlight, look.Penalty
		list = append(list, e)
	}
	return list
}

// holds reports whether the engine has what the request needs, or loads it.
func (e *candidate) holds(n *need) bool {
	if !e.linked {
		return holdsModel(e.instance.Models, n) || e.recallable
	}
	if n.key.Adapter == "" {
		return slices.Contains(e.status.Models, n.key.Model)
	}
	slot := e.status.Slot(n.key)
	return slot != nil && slot.Version >= n.version
}

// holdsModel reports whether an engine that is listed with these models holds what
// the request needs.
func holdsModel(models []sandbarrow.LoadedModel, n *need) bool {
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

// unread is how much of a prompt of so many tokens the engine has to read.
func (e *candidate) unread(tokens int) int {
	if e == nil {
		return tokens
	}
	return max(0, tokens-e.kept-e.move.tokens)
}

// speed is how fast the engine reads prompts, as its controller estimates it; nil is
// any engine.
func (e *candidate) speed() readspeed.Speed {
	if e == nil {
		return readspeed.Prior
	}
	return statusSpeed(&e.status)
}

// statusSpeed is the speed of a status, or what is assumed where there is none.
func statusSpeed(s *enginelink.Status) readspeed.Speed {
	if s.Speed.PerToken <= 0 {
		return readspeed.Prior
	}
	return s.Speed
}

// mostWaitingTokens is up to how many waiting prompt tokens this engine is the best
// choice; 0 in any case.
func (e *candidate) mostWaitingTokens() int {
	if e.spareTokens == 0 {
		return 0
	}
	return e.waitingTokens + e.spareTokens
}
