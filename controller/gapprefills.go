package controller

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/readspeed"
)

// gapPrefills tells which prompts the engine has prefilled, as soon as that is known. A gateway
// reports the start of a stream, but of a response that is no stream only the end, and until then
// its prompt would count as to be prefilled. It is not safe for concurrent use; the controller's mu
// guards it.
type gapPrefills struct {
	// prefilled counts the prompt tokens of all pins that have been prefilled.
	prefilled int
}

const (
	// slowPrefill is how much longer than usual a prefill may take, as in a slow period.
	slowPrefill = 2.5
	// prefillStart is the longest time from a grant until the engine begins to prefill an only
	// prompt.
	prefillStart = 100 * time.Millisecond
)

// markPrefilled counts a prompt as prefilled, once.
func (g *gapPrefills) markPrefilled(p *pin) {
	if !p.prefilled {
		p.prefilled = true
		g.prefilled += p.toPrefill
	}
}

// applyReport marks the prompts that a report of the engine shows as prefilled: if each run has made
// an event and none is queued, all those that had arrived by then. It also marks those for which the
// engine must have had enough time.
func (g *gapPrefills) applyReport(now time.Time, load *sandbarrow.EngineLoad, pins []*pin, speed readspeed.Speed) {
	idle := load.Running != nil && len(load.Runs) == *load.Running && (load.Queued == nil || *load.Queued == 0)
	for i := range load.Runs {
		idle = idle && load.Runs[i].Events > 0
	}
	ahead := 0
	for _, p := range pins {
		ahead += p.toPrefill
		most := prefillStart + time.Duration(slowPrefill*float64(speed.PrefillTime(ahead)))
		age := now.Sub(p.grantedAt)
		if idle && age > sendTime || age > most {
			g.markPrefilled(p)
		}
	}
}

// pending returns the number of prompt tokens that the engine has yet to prefill.
func (g *gapPrefills) pending(pins []*pin) int {
	n := 0
	for _, p := range pins {
		if !p.prefilled {
			n += p.toPrefill
		}
	}
	return n
}

// observeLoadReport applies the load in a report of the engine.
func (s *slots) observeLoadReport(now time.Time, load *sandbarrow.EngineLoad) {
	speed := s.prefills.speed.Speed()
	s.room.at, s.room.load = now, *load
	s.gapPrefills.applyReport(now, load, s.prefills.toPrefill, speed)
	s.curve.observe(now, load.Runs, s.gapPrefills.prefilled, s.gapPrefills.pending(s.prefills.toPrefill), speed)
}
