package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

const (
	// orderTimeout bounds one order. The engine is on the same box and responds within
	// milliseconds. An order without a response delays those behind it, and the next report
	// shows whether it was carried out.
	orderTimeout = 80 * time.Millisecond
	// conflictPause follows a failed order. The next report then shows the engine's actual
	// state.
	conflictPause = 20 * time.Millisecond
	// identifyPause follows a failed request for the engine's identity.
	identifyPause = 500 * time.Millisecond
)

// identify queries the engine's instance ID. Orders name it, which prevents a late order
// from being carried out by the next instance.
func (c *Controller) identify(ctx context.Context) bool {
	service := c.ownService()
	c.mu.Lock()
	known := c.instance != ""
	c.mu.Unlock()
	if known {
		return true
	}
	if service == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	id, err := c.control.Identify(ctx, service.HealthPath)
	if err != nil {
		c.logger.Warn("engine not identified", "error", err.Error())
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != c.lastListedID {
		c.lastListedID = id
		c.late.instanceIDChanged()
	}
	c.instance = sandbarrow.NewInstanceID(id, c.reported.Started)
	c.logger.Info("engine identified", "instance", string(c.instance))
	return true
}

// recordLateLoad records a load order without a response that may still be carried out.
func (c *Controller) recordLateLoad(o *sandbarrow.EngineOrder, err error) {
	if !errors.Is(err, sandbarrow.ErrOrderUnknown) || !o.Load || o.Adapter == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late.add(c.now(), o.Expected)
}

// sendOrders sends orders until none is due, and returns the pause before the next report.
func (c *Controller) sendOrders(ctx context.Context, sequence uint64) time.Duration {
	if !c.mayNeedOrder() {
		return idlePoll
	}
	if !c.identify(ctx) {
		return identifyPause
	}
	for ctx.Err() == nil {
		o, ok := c.nextOrder(sequence)
		if !ok {
			break
		}
		done, err := c.order(ctx, &o)
		if err != nil {
			c.logOrder(&o, "failed", err)
			c.recordLateLoad(&o, err)
			c.dropPreload(&o)
			return c.afterFailedOrder(ctx, err)
		}
		c.logOrder(&o, "taken", nil)
		c.mu.Lock()
		if o.Adapter != "" && (!o.Load || !done) {
			c.slots.applyOrder(c.now(), &o, done)
		}
		c.mu.Unlock()
		if done && o.Load || o.Adapter == "" {
			return loadingPoll
		}
		sequence++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots.loading() > 0 {
		return loadingPoll
	}
	return idlePoll
}

func (c *Controller) logOrder(o *sandbarrow.EngineOrder, outcome string, err error) {
	level := c.logger.Info
	attrs := []any{"load", o.Load, "model", string(o.Model), "adapter", string(o.Adapter), "version", uint64(o.Version),
		"expected", o.Expected, "token", uint64(o.Token), "outcome", outcome}
	if err != nil {
		level = c.logger.Warn
		attrs = append(attrs, "error", err.Error())
	}
	level("order", attrs...)
	c.metrics.order(o, outcome)
}

func (c *Controller) order(ctx context.Context, o *sandbarrow.EngineOrder) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.control.Order(ctx, *o)
}

// afterFailedOrder handles a failed order and returns the pause before the next report. An
// order without a response is not retried blindly. The next report shows whether the
// sequence has advanced. Any later order advances it, and a late order then no longer
// matches. A fenced order needs a newer token, and a misdirected one needs the engine to be
// identified again.
func (c *Controller) afterFailedOrder(ctx context.Context, err error) time.Duration {
	var backoff *sandbarrow.BackoffError
	switch {
	case errors.As(err, &backoff):
		c.backOff(backoff.Wait)
	case errors.Is(err, sandbarrow.ErrOrderFenced):
		c.renewToken(ctx)
	case errors.Is(err, sandbarrow.ErrOrderMisdirected):
		c.mu.Lock()
		c.instance = ""
		c.mu.Unlock()
	}
	return conflictPause
}

// backOff stops orders to the engine for a time. Requests that would need an order are
// refused, because another engine may be able to serve them now.
func (c *Controller) backOff(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if until := now.Add(wait); until.After(c.backoffUntil) {
		c.backoffUntil = until
	}
	c.slots.refuseUnordered(enginelink.RefuseBackoff)
	c.logger.Info("engine wants no orders", "backoff_ms", wait.Milliseconds())
}

// nextOrder returns the next order, if one is due and allowed. No orders are sent to an
// engine that is draining or in backoff, or before the first fencing token and the
// operators' state are known. An order names the expected sequence and instance, so the
// engine refuses it if it arrives late. lateLoads covers the loads that are still possible.
func (c *Controller) nextOrder(sequence uint64) (sandbarrow.EngineOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 || c.reported.Draining || c.now().Before(c.backoffUntil) {
		return sandbarrow.EngineOrder{}, false
	}
	service := c.ownService()
	if service == nil || service.Engine == nil {
		return sandbarrow.EngineOrder{}, false
	}
	var o sandbarrow.EngineOrder
	ok := false
	if len(c.reported.Models) == 0 {
		if c.reported.Busy || len(service.Engine.Models) == 0 {
			return o, false
		}
		// The engine started without a base model, which must be loaded first.
		o, ok = sandbarrow.EngineOrder{Load: true, Model: service.Engine.Models[0].ID}, true
	} else {
		now := c.now()
		c.checkSuspension(now)
		o, ok = c.slots.nextOrder(now, !c.unreported.mayExist(now))
	}
	if o.Load && o.Adapter != "" {
		o.Version = max(o.Version, c.estate.View().MinVersion(sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}))
	}
	o.Expected, o.Holder, o.Instance, o.Token = sequence, c.box, c.instance, c.token
	return o, ok
}

// mayNeedOrder reports whether an order may be due.
func (c *Controller) mayNeedOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reported.Draining && !c.now().Before(c.backoffUntil) && (len(c.reported.Models) == 0 || len(c.slots.pending)+len(c.slots.preloads) > 0)
}
