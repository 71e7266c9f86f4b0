package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// This file decides when an engine takes what another one keeps of a prompt, in place of
// reading it again. Engines check nothing of what they take: that it was made with the
// weights that run is decided here alone.

const (
	// leastMoved is the least part of a prompt that is worth a move, in tokens: a move has its
	// price and holds up others between the same engines.
	leastMoved = 1500
	// movePrice is the price of moving one token beside its time: memory moved costs the
	// operators, and both engines' links.
	movePrice = 8 * time.Microsecond
)

// moveOutcome says what came of a move that was chosen.
type moveOutcome string

// The outcomes of a move.
const (
	// moveSent means that the engine was told to take the memory.
	moveSent moveOutcome = "sent"
	// moveSource means that the other engine keeps the memory no longer, as far as known.
	moveSource moveOutcome = "source"
	// moveWeights means that the engine runs other weights than made the memory.
	moveWeights moveOutcome = "weights"
)

// promptMove is what an engine takes of a prompt from another one. Its zero value takes
// nothing.
type promptMove struct {
	// outcome is empty until the move is settled.
	outcome moveOutcome
	source  keptSource
	tokens  int
}

// from is the address from which the engine is told to take memory; empty where nothing is
// taken, and before that is settled.
func (m *promptMove) from() string {
	if m.outcome != moveSent {
		return ""
	}
	return m.source.instance.Address
}

// keptSource is an engine that keeps a part of a prompt.
type keptSource struct {
	instance *sandbarrow.Instance
	link     *controllerLink
	tokens   int
	// weights are the versions that made what is kept, and that the engine runs.
	weights sandbarrow.WeightsVersion
}

// keptSources are the engines that keep most of a prompt, one for each version of the
// weights.
type keptSources []keptSource

// sourcesOf finds the engines that keep most of the prompt; none where memory can't be
// moved or too little is kept.
func sourcesOf(list []candidate, n *need) keptSources {
	var sources keptSources
	if n.movePerToken <= 0 {
		return sources
	}
	for i := range list {
		e := &list[i]
		if e.linked && e.kept >= leastMoved && e.weights.Known(n.key) {
			sources = sources.with(keptSource{instance: e.instance, link: e.link, tokens: e.kept, weights: e.weights})
		}
	}
	return sources
}

// with adds a source, where none keeps as much for the same weights.
func (s keptSources) with(more keptSource) keptSources {
	if same := s.of(more.weights); same != nil {
		if more.tokens > same.tokens {
			*same = more
		}
		return s
	}
	return append(s, more)
}

// of returns the source for weights of a version, or nil.
func (s keptSources) of(v sandbarrow.WeightsVersion) *keptSource {
	for i := range s {
		if s[i].weights == v {
			return &s[i]
		}
	}
	return nil
}

// runsWith predicts the versions of the weights with which the engine will run the
// request: those that it holds, or what a load brings. newest is the newest version of the
// adapter that any engine holds.
func (e *candidate) runsWith(n *need, newest sandbarrow.AdapterVersion) sandbarrow.WeightsVersion {
	if e.weights.Known(n.key) && e.weights.Adapter >= n.version {
		return e.weights
	}
	v := sandbarrow.WeightsVersion{Model: e.status.ModelVersion(n.key.Model)}
	if n.key.Adapter != "" {
		v.Adapter = max(n.version, newest)
	}
	return v
}

// considerMove decides whether the engine is to take kept memory of the prompt from
// another one before it reads the rest, and returns the time and price of that. settleMove
// has the last word once it is known which weights run.
//
// Inputs: what both keep and which weights they run, as old as their last reports, the
// time to move a token by the operators' document, and the engine's reading speed.
func (e *candidate) considerMove(n *need, f *fleetSurvey) time.Duration {
	if !e.linked || len(f.sources) == 0 {
		return 0
	}
	source := f.sources.of(e.runsWith(n, f.newest))
	if source == nil {
		return 0
	}
	more := source.tokens - e.kept
	if more < leastMoved {
		return 0
	}
	cost := time.Duration(more) * (n.movePerToken + movePrice)
	if cost >= e.speed().PrefillTime(more) {
		return 0
	}
	e.move = promptMove{source: *source, tokens: more}
	return cost
}

// settleMove decides, right before the request is sent, whether the engine is told to take
// the memory after all. The choice was made by predictions: while the adapter was loaded,
// a newer version may have come, or the other engine may have replaced its own. An
// engine that ran on memory of other weights would give wrong answers that look sound.
//
// Inputs: the versions of the grant and the last report of the other engine.
func (c *call) settleMove(e *candidate) {
	if e.move.tokens == 0 {
		return
	}
	outcome := c.outcomeOf(&e.move, e.granted)
	if outcome != moveSent {
		e.move = promptMove{}
	}
	e.move.outcome = outcome
	c.gateway.metrics.moveSettled(outcome)
}

func (c *call) outcomeOf(m *promptMove, granted sandbarrow.WeightsVersion) moveOutcome {
	s := &m.source
	switch {
	case granted != s.weights:
		return moveWeights
	case !c.gateway.upstreams.accepts(s.instance), s.link.keeps(boottime.Now(), s.instance, c, granted) < leastMoved:
		return moveSource
	}
	return moveSent
}
