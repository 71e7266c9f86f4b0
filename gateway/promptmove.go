package gateway

import "time"

// This file decides when an engine takes what another one keeps of a prompt, in place of
// reading it again.

const (
	// leastMoved is the least part of a prompt that is worth a move, in tokens: a move
	// has its price and holds up others between the same engines. Estimate, not measured
	// by itself; moves of 1,500 tokens and more gained 0.009 ± 0.004 of worth over 15
	// days with trouble whose prompts share 6,300 tokens.
	leastMoved = 1500
	// movePrice is the price of moving one token beside its time: memory moved costs the
	// operators, and both engines' links.
	movePrice = 8 * time.Microsecond
)

// keptSource is the engine that keeps most of a prompt among those seen.
type keptSource struct {
	address string
	tokens  int
	// perToken is the time to move one token.
	perToken time.Duration
}

// sourceOf finds the engine that keeps most of the prompt; one without address where
// memory can't be moved or none keeps enough. perToken is the time to move one token, 0
// where it can't be.
func sourceOf(list []candidate, perToken time.Duration) keptSource {
	s := keptSource{perToken: perToken}
	if perToken <= 0 {
		return s
	}
	for i := range list {
		e := &list[i]
		if e.linked && e.kept >= leastMoved && e.kept > s.tokens {
			s.address, s.tokens = e.instance.Address, e.kept
		}
	}
	return s
}

// considerMove decides whether the engine is to take kept memory of the prompt from the
// source before it reads the rest, and returns the time and price of that.
//
// Inputs: what both keep, as old as their last reports, the time to move a token by the
// operators' document, and the engine's reading speed.
func (e *candidate) considerMove(s *keptSource) time.Duration {
	more := s.tokens - e.kept
	if s.address == "" || s.address == e.instance.Address || more < leastMoved {
		return 0
	}
	cost := time.Duration(more) * (s.perToken + movePrice)
	if cost >= e.speed().Tokens(more) {
		return 0
	}
	e.moved, e.moveFrom = more, s.address
	return cost
}
