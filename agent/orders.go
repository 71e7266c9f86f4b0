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
	// loadTimeout bounds a load; an engine may hang.
	loadTimeout = 20 * time.Second
	// loadPatience is how many times the usual load time a load may take, but not less than
	// loadTimeoutMin.
	loadPatience   = 8
	loadTimeoutMin = 2 * time.Second
	// unloadTimeout bounds an unload.
	unloadTimeout = 5 * time.Second
)

// pumpOrders begins the loads that the lease and the budget permit. The
// caller holds mu.
func (a *Agent) pumpOrders(now time.Time) {
	_, mayLoad := a.token(false)
	_, mayUnload := a.token(true)
	for mayLoad && !now.Before(a.ordered) {
		o, ok := a.scheduler.NextOrder(now, mayUnload)
		if !ok {
			return
		}
		ok, wait := a.budget.Acquire(now)
		if !ok {
			a.ordered = now.Add(wait)
			return
		}
		a.scheduler.BeginOrder(now, o)
		go a.execute(o)
	}
}

// token returns the fencing token under which an order may be sent now. In an
// outage of the store nobody can have got a newer token; an upstream that
// checks tokens keeps taking ours. One that does not check gets only loads into
// free slots, which undo nothing that another agent did.
func (a *Agent) token(unload bool) (sandbarrow.FencingToken, bool) {
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

// execute carries out an order: the unload of its victim, then its load.
func (a *Agent) execute(o schedule.Order) {
	if !o.Evict.IsZero() && !a.unload(o) {
		a.endOrder(o, errors.Annotate(sandbarrow.ErrUpstreamRefused, "victim not unloaded"))
		return
	}
	if !a.isCurrent(o) {
		a.endOrder(o, errors.Annotate(sandbarrow.ErrUpstreamRefused, "engine restarted"))
		return
	}
	token, ok := a.token(false)
	if !ok {
		a.endOrder(o, errors.Annotate(sandbarrow.ErrUpstreamRefused, "lease not held"))
		return
	}
	ctx, cancel := context.WithTimeout(a.runCtx, a.loadLimit())
	defer cancel()
	err := a.engine.Load(ctx, sandbarrow.Order{Model: o.Model, Token: token, Weights: o.Weights})
	a.endOrder(o, err)
}

// isCurrent reports whether an order was decided for the engine's start as far as known.
func (a *Agent) isCurrent(o schedule.Order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.IsCurrent(o)
}

func (a *Agent) loadLimit() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(loadTimeout, max(loadTimeoutMin, loadPatience*a.scheduler.Stats(boottime.Now()).LoadTime))
}

func (a *Agent) unload(o schedule.Order) bool {
	token, ok := a.token(true)
	if ok {
		ctx, cancel := context.WithTimeout(a.runCtx, unloadTimeout)
		defer cancel()
		err := a.engine.Unload(ctx, sandbarrow.Order{Model: o.Evict, Token: token})
		ok = err == nil || errors.Is(err, sandbarrow.ErrUpstreamNotLoaded)
		a.metrics.orders.WithLabelValues("unload", orderResult(err)).Inc()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.EvictDone(o, ok)
	a.resident++
	return ok
}

// endOrder tells the scheduler and the budget how an order ended.
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
			a.endWaiting(t, sandbarrow.NotRun(sandbarrow.ReasonLoadFailed, "the adapter did not load", 2*retryPause))
		}
	}
	if err != nil || !a.scheduler.IsCurrent(o) {
		// The order may have taken effect, or an earlier one whose reply was lost; one
		// from before a restart may have reached either start.
		go a.adoptUnknown(a.runCtx)
	}
	a.resident++
	a.pump(now)
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
