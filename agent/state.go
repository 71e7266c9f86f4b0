package agent

import (
	"context"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

const (
	// inheritGrace protects what a previous agent may still be running.
	inheritGrace = 10 * time.Second
	// statePause is the pause between two looks at the engine.
	statePause = 500 * time.Millisecond
	// stateTimeout bounds one look.
	stateTimeout = 2 * time.Second
	// unreadyAfter is how many looks must fail before new work is refused.
	unreadyAfter = 2
)

// stateLoop watches the engine for empty restarts, for silence and for runs
// that are not ours.
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
		case <-time.After(statePause):
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

// refreshState compares what is loaded as far as known with the engine's list. It
// returns false when the engine does not answer.
func (a *Agent) refreshState(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.logger.Debug("engine state not read", "error", err.Error()) // a change of readiness is logged as such
		return false
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.Start != a.start {
		a.adopt(now, state)
	}
	for model, running := range state.Loaded {
		if running > 0 {
			a.scheduler.Protect(model, now.Add(cancelGrace))
		}
	}
	return true
}

// adoptUnknown takes in what the engine holds without our knowledge, after an
// order whose effect is not known. The list may lag: an adapter that is gone
// shows when a run is refused for it, see forget.
func (a *Agent) adoptUnknown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.logger.Debug("engine state not read", "error", err.Error()) // the next look takes the list in
		return
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.Start != a.start {
		return // a list of another start; the next look finds out which one is newer
	}
	for model := range state.Loaded {
		a.scheduler.Adopt(now, model)
	}
	a.resident++
	a.pump(now)
}

// forget drops an adapter for which the engine refused a run.
func (a *Agent) forget(model sandbarrow.ModelRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.Forget(model)
	a.resident++
}

// adopt replaces what is loaded by the engine's list after a start of either side.
// The caller holds mu.
func (a *Agent) adopt(now time.Time, state sandbarrow.UpstreamState) {
	var keepUntil time.Time
	if a.start == "" {
		keepUntil = now.Add(inheritGrace)
	} else {
		a.logger.Warn("engine restarted", "start", state.Start, "loaded", len(state.Loaded))
		a.noteEnd(now)
		a.admissions.restarted()
	}
	a.start = state.Start
	models := make([]sandbarrow.ModelRef, 0, len(state.Loaded))
	for model := range state.Loaded {
		models = append(models, model)
	}
	slices.SortFunc(models, func(x, y sandbarrow.ModelRef) int { return slices.Compare([]byte(x.String()), []byte(y.String())) })
	a.scheduler.Reset(now, models, keepUntil)
	a.resident++
	a.pump(now)
}
