package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// This file decides when an engine copies the cached prefix of a prompt from another engine
// instead of prefilling it again. Engines don't verify the copied data. Only the checks in
// this file ensure that it was computed with the software and the weights that the engine runs.

const (
	// minMovedTokens is the shortest prefix that is worth a move, in tokens. A move has a cost
	// and delays other moves between the same engines.
	minMovedTokens = 1500
	// movePenaltyPerToken is the penalty for moving one token, beside the time it takes. It
	// stands for the operators' cost and for the bandwidth of both engines' links.
	movePenaltyPerToken = 8 * time.Microsecond
)

// moveOutcome is the outcome of a planned move.
type moveOutcome string

// Outcomes of a move.
const (
	// moveSent means that the request tells the engine to copy the cached prefix.
	moveSent moveOutcome = "sent"
	// moveNotCached means that the source, by its last known state, no longer has the prefix
	// cached, or does not accept work.
	moveNotCached moveOutcome = "source"
	// moveOtherSoftware means that the source runs other software than the engine, or that this is
	// not certain.
	moveOtherSoftware moveOutcome = "software"
	// moveOtherWeights means that the prefix was computed with other weights than the engine runs.
	moveOtherWeights moveOutcome = "weights"
)

// promptMove is the move of a cached prompt prefix from another engine. Its zero value moves
// nothing.
type promptMove struct {
	// outcome is empty until confirmMove has decided.
	outcome moveOutcome
	source  cachedSource
	tokens  int
}

// sourceAddress returns the address from which the engine copies the prefix. It is empty if
// nothing is moved or the move is not confirmed yet.
func (m *promptMove) sourceAddress() string {
	if m.outcome != moveSent {
		return ""
	}
	return m.source.instance.Address
}

// cachedSource is an engine that has a prefix of the prompt cached.
type cachedSource struct {
	instance *sandbarrow.Instance
	link     *controllerLink
	tokens   int
	// weights are the versions that the prefix was computed with and that the engine runs.
	weights sandbarrow.WeightsVersion
}

// cachedSources are the engines with the longest cached prefix, one for each version of the
// weights.
type cachedSources []cachedSource

// findSources returns the engines with the longest cached prefix of the prompt. There are none
// if engines can't move cached prompts or all prefixes are too short.
func findSources(list []candidate, n *requirements) cachedSources {
	var sources cachedSources
	if n.movePerToken <= 0 {
		return sources
	}
	for i := range list {
		e := &list[i]
		if e.linked && e.cached >= minMovedTokens && e.weights.Known(n.key) && e.instance.Software != "" {
			sources = sources.add(cachedSource{instance: e.instance, link: e.link, tokens: e.cached, weights: e.weights})
		}
	}
	return sources
}

// add adds a source, unless another one has as long a prefix for the same weights.
func (s cachedSources) add(source cachedSource) cachedSources {
	if same := s.find(source.instance.Software, source.weights); same != nil {
		if source.tokens > same.tokens {
			*same = source
		}
		return s
	}
	return append(s, source)
}

// find returns the source for versions of the software and of the weights, or nil.
func (s cachedSources) find(software sandbarrow.SoftwareVersion, v sandbarrow.WeightsVersion) *cachedSource {
	for i := range s {
		if s[i].weights == v && s[i].instance.Software.Matches(software) {
			return &s[i]
		}
	}
	return nil
}

// predictWeights predicts the versions of the weights with which the engine will run the
// request: the loaded ones, or those that it would load. newestVersion is the newest version
// of the adapter that any engine has loaded.
func (e *candidate) predictWeights(n *requirements, newestVersion sandbarrow.AdapterVersion) sandbarrow.WeightsVersion {
	if e.weights.Known(n.key) && e.weights.Adapter >= n.version {
		return e.weights
	}
	v := sandbarrow.WeightsVersion{Model: e.status.ModelVersion(n.key.Model)}
	if n.key.Adapter != "" {
		v.Adapter = max(n.version, newestVersion)
	}
	return v
}

// planMove decides whether the engine should copy a cached prefix of the prompt from another
// engine before it prefills the rest. It returns the time and penalty of the move.
// confirmMove makes the final decision once the granted weights are known.
//
// Inputs: the cached prefixes and weights of both engines by their last reports, the
// configured time to move a token, and the engine's prefill speed.
func (e *candidate) planMove(n *requirements, f *fleetStats) time.Duration {
	if !e.linked || len(f.sources) == 0 {
		return 0
	}
	source := f.sources.find(e.instance.Software, e.predictWeights(n, f.newestVersion))
	if source == nil {
		return 0
	}
	moved := source.tokens - e.cached
	if moved < minMovedTokens {
		return 0
	}
	cost := time.Duration(moved) * (n.movePerToken + movePenaltyPerToken)
	if cost >= e.speed().PrefillTime(moved) {
		return 0
	}
	e.move = promptMove{source: *source, tokens: moved}
	return cost
}

// confirmMove decides, right before the request is sent, whether the planned move is still
// valid. The plan was based on predictions: while the adapter was loaded, a newer version may
// have been named, or the source may have replaced its adapter. An engine that used a prefix
// computed with other weights would return wrong output that looks correct.
//
// Inputs: the granted versions and the last report of the source.
func (c *call) confirmMove(e *candidate) {
	if e.move.tokens == 0 {
		return
	}
	outcome := c.moveOutcomeFor(e)
	if outcome != moveSent {
		e.move = promptMove{}
	}
	e.move.outcome = outcome
	c.gateway.metrics.moveDecided(outcome)
}

func (c *call) moveOutcomeFor(e *candidate) moveOutcome {
	s := &e.move.source
	switch {
	case e.granted != s.weights:
		return moveOtherWeights
	case !c.gateway.upstreams.accepts(s.instance), s.link.cachedTokens(boottime.Now(), s.instance, c, e.granted) < minMovedTokens:
		return moveNotCached
	case !c.gateway.runningSoftwareNow(s.instance).Matches(c.gateway.runningSoftwareNow(e.instance)):
		return moveOtherSoftware
	}
	return moveSent
}
