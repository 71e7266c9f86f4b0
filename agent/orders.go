package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/schedule"
)

const (
	// maxLoadTimeout bounds a load because an engine may hang.
	maxLoadTimeout = 20 * time.Second
	// loadTimeoutFactor is the number of usual load times that a load may take. The timeout is at
	// least minLoadTimeout.
	loadTimeoutFactor = 8
	minLoadTimeout    = 2 * time.Second
	// unloadTimeout bounds an unload.
	unloadTimeout = 5 * time.Second
)

// startLoads begins the loads that the lease and the load budget permit. The
// caller holds mu.
func (a *Agent) startLoads(now time.Time) {
	_, mayLoad := a.fencingToken(false)
	_, mayUnload := a.fencingToken(true)
	for mayLoad && !now.Before(a.nextOrderAt) {
		o, ok := a.scheduler.NextOrder(now, mayUnload)
		if !ok {
			return
		}
		ok, wait := a.budget.Acquire(now)
		if !ok {
			a.nextOrderAt = now.Add(wait)
			return
		}
		a.scheduler.BeginOrder(now, o)
		go a.execute(o)
	}
}

// fencingToken returns the fencing token under which an order may be sent now. During a
// store outage no other agent can have obtained a newer token, so an upstream that checks
// tokens still accepts this one. An upstream that does not check them only receives loads
// into free slots, which can't undo another agent's orders.
func (a *Agent) fencingToken(unload bool) (sandbarrow.FencingToken, bool) {
	g := a.lease.Check()
	checks := a.settings.Agent.Upstream.ChecksToken
	switch g.State {
	case lease.Held:
		return g.Token, true
	case lease.Outage:
		if checks {
			return g.Token, g.Token != 0
		}
		return g.Token, !unload
	}
	return 0, false
}

// execute executes an order: it unloads the adapter to evict, if any, then loads the new one.
func (a *Agent) execute(o schedule.Order) {
	if !o.Evict.IsZero() && !a.unload(o) {
		a.endOrder(o, errors.Annotate(sandbarrow.ErrUpstreamRefused, "adapter to evict was not unloaded"))
		return
	}
	if !a.isCurrent(o) {
		a.endOrder(o, errors.Annotate(sandbarrow.ErrUpstreamRefused, "engine restarted"))
		return
	}
	fencingToken, ok := a.fencingToken(false)
	if !ok {
		a.endOrder(o, errors.Annotate(sandbarrow.ErrUpstreamRefused, "lease not held"))
		return
	}
	ctx, cancel := context.WithTimeout(a.runCtx, a.loadTimeout())
	defer cancel()
	err := a.engine.Load(ctx, sandbarrow.Order{Model: o.Model, Token: fencingToken, Weights: o.Weights})
	a.endOrder(o, err)
}

// isCurrent reports whether an order was made for the engine's last known start.
func (a *Agent) isCurrent(o schedule.Order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.IsCurrent(o)
}

func (a *Agent) loadTimeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(maxLoadTimeout, max(minLoadTimeout, loadTimeoutFactor*a.scheduler.Stats(boottime.Now()).LoadTime))
}

func (a *Agent) unload(o schedule.Order) bool {
	fencingToken, ok := a.fencingToken(true)
	if ok {
		ctx, cancel := context.WithTimeout(a.runCtx, unloadTimeout)
		defer cancel()
		err := a.engine.Unload(ctx, sandbarrow.Order{Model: o.Evict, Token: fencingToken})
		ok = err == nil || errors.Is(err, sandbarrow.ErrUpstreamNotLoaded)
		a.metrics.orders.WithLabelValues("unload", orderResult(err)).Inc()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.EvictDone(o, ok)
	a.residentChanges++
	return ok
}

// endOrder reports the result of an order to the scheduler and the load budget.
func (a *Agent) endOrder(o schedule.Order, err error) {
	a.metrics.orders.WithLabelValues("load", orderResult(err)).Inc()
	if err != nil {
		a.logger.Warn("load failed", "adapter", o.Model.String(), "error", err.Error())
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	refused := errors.Is(err, sandbarrow.ErrUpstreamRefused)
	a.budget.Release(now, refused)
	if refused {
		a.scheduler.Postpone(now, o)
	} else {
		for _, t := range a.scheduler.LoadDone(now, o, err == nil) {
			a.endWaiting(t, sandbarrow.NotRun(sandbarrow.ReasonLoadFailed, "the adapter did not load", 2*defaultRetryAfter))
		}
	}
	if err != nil || !a.scheduler.IsCurrent(o) {
		// The order may have taken effect, or an earlier order whose reply was lost. An
		// order from before a restart may have reached the old or the new process.
		go a.mergeEngineState(a.runCtx)
	}
	a.residentChanges++
	a.advance(now)
}

func orderResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, sandbarrow.ErrUpstreamFenced):
		return "fenced"
	case errors.Is(err, sandbarrow.ErrUpstreamRefused):
		return "refused"
	}
	return "failed"
}
