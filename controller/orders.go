package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

const (
	// orderTimeout bounds one order. The engine is on the same box and answers within
	// milliseconds; an order without answer holds up those behind it, and the next
	// report shows what became of it.
	orderTimeout = 80 * time.Millisecond
	// conflictPause follows a failed order: the report after it shows what stands.
	conflictPause = 20 * time.Millisecond
	// identifyPause follows a failed look at which instance answers.
	identifyPause = 500 * time.Millisecond
)

// identify learns which instance answers, so that no order, however late, is
// carried out by the next one.
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
	if id != c.named {
		c.named = id
		c.late.renamed()
	}
	c.instance = sandbarrow.NewInstanceID(id, c.reported.Started)
	c.logger.Info("engine identified", "instance", string(c.instance))
	return true
}

// noteLateLoad notes an order that may yet load an adapter though it got no answer.
func (c *Controller) noteLateLoad(o *sandbarrow.EngineOrder, err error) {
	if !errors.Is(err, sandbarrow.ErrOrderUnknown) || !o.Load || o.Adapter == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late.sent(c.now(), o.Expected)
}

// giveOrders gives orders until none is due, and returns when to read the next
// report.
func (c *Controller) giveOrders(ctx context.Context, sequence uint64) time.Duration {
	if !c.wantsOrder() {
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
			c.noteLateLoad(&o, err)
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

// afterFailedOrder decides what follows a failed order, and when to look again. An
// order without answer is not retried blindly: the next report shows whether the
// sequence has moved, and any later order moves it, so that a late one no longer
// fits. A fenced one needs a newer token, a misdirected one another instance.
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

// backOff gives the engine no orders for a time. What would need one is refused, since another
// engine may serve it now.
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

// nextOrder decides the next order, if there is one and it may be given: not to an
// engine that drains or wants none, and not before the first fencing token and the operators'
// state are known. It names the sequence and the instance that must stand, so that a
// late order is carried out by nobody.
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
		// The engine came up empty: the base model comes first.
		o, ok = sandbarrow.EngineOrder{Load: true, Model: service.Engine.Models[0].ID}, true
	} else {
		now := c.now()
		c.noteRuns(now)
		o, ok = c.slots.nextOrder(now, !c.unreported.possible(now))
	}
	if o.Load && o.Adapter != "" {
		o.Version = max(o.Version, c.estate.View().MinVersion(sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}))
	}
	o.Expected, o.Holder, o.Instance, o.Token = sequence, c.box, c.instance, c.token
	return o, ok
}

// wantsOrder reports whether there may be an order to give.
func (c *Controller) wantsOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reported.Draining && !c.now().Before(c.backoffUntil) && (len(c.reported.Models) == 0 || len(c.slots.pending) > 0)
}
