package agent

import (
	"context"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

const (
	// inheritGrace protects adapters whose requests from a previous agent may still be running.
	inheritGrace = 10 * time.Second
	// statePollInterval is the pause between two reads of the engine's state.
	statePollInterval = 500 * time.Millisecond
	// stateTimeout bounds one read of the state.
	stateTimeout = 2 * time.Second
	// unreadyAfter is how many reads in a row must fail before new work is refused.
	unreadyAfter = 2
)

// stateLoop polls the engine's state. It detects restarts that lost the loaded adapters,
// an unreachable engine, and runs that this agent did not start.
func (a *Agent) stateLoop(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if a.refreshState(ctx) {
			failures = 0
		} else {
			failures++
		}
		a.setUnready(failures >= unreadyAfter)
		select {
		case <-time.After(statePollInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

func (a *Agent) setUnready(unready bool) {
	a.mu.Lock()
	changed := a.unready != unready
	a.unready = unready
	a.mu.Unlock()
	if changed {
		a.logger.Warn("upstream readiness changed", "unready", unready)
		a.broadcastStatus()
	}
}

// refreshState reads the engine's state and replaces the list of loaded adapters after a
// restart. It returns false if the engine does not respond.
func (a *Agent) refreshState(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.logger.Debug("engine state not read", "error", err.Error()) // setUnready logs changes of readiness
		return false
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.Start != a.upstreamStart {
		a.resetToEngineState(now, state)
	}
	for model, running := range state.Loaded {
		if running > 0 {
			a.scheduler.Protect(model, now.Add(cancelGrace))
		}
	}
	return true
}

// mergeEngineState adds adapters that the engine reports as loaded and the agent doesn't
// track, after an order whose effect is unknown. The engine's list may lag. An adapter
// that is no longer loaded is removed by forgetAdapter when the engine refuses a run.
func (a *Agent) mergeEngineState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.logger.Debug("engine state not read", "error", err.Error()) // stateLoop reads the state again
		return
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.Start != a.upstreamStart {
		return // the list is of another start; the next read shows which start is newer
	}
	for model := range state.Loaded {
		a.scheduler.Adopt(now, model)
	}
	a.residentChanges++
	a.advance(now)
}

// forgetAdapter removes an adapter for which the engine refused a run.
func (a *Agent) forgetAdapter(model sandbarrow.ModelRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Forget(model)
	a.residentChanges++
}

// resetToEngineState replaces the list of loaded adapters by the engine's list after the
// agent or the engine has started. The caller holds mu.
func (a *Agent) resetToEngineState(now time.Time, state sandbarrow.UpstreamState) {
	var protectedUntil time.Time
	if a.upstreamStart == "" {
		protectedUntil = now.Add(inheritGrace)
	} else {
		a.logger.Warn("engine restarted", "start", state.Start, "loaded", len(state.Loaded))
		a.recordExit(now)
		a.admissions.clearNotices()
	}
	a.upstreamStart = state.Start
	models := make([]sandbarrow.ModelRef, 0, len(state.Loaded))
	for model := range state.Loaded {
		models = append(models, model)
	}
	slices.SortFunc(models, func(x, y sandbarrow.ModelRef) int { return slices.Compare([]byte(x.String()), []byte(y.String())) })
	a.scheduler.Reset(now, models, protectedUntil)
	a.residentChanges++
	a.advance(now)
}
