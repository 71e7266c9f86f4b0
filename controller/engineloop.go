package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/route"
)

const (
	// orderTimeout bounds one order. The engine is on the same box and answers
	// within milliseconds; an order without answer holds up those behind it, and
	// the next report tells what became of it.
	orderTimeout = 80 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// idlePoll, comingPoll and silentPoll are the pauses between reports while
	// nothing is under way, while an adapter comes and while the engine is silent.
	idlePoll   = 250 * time.Millisecond
	comingPoll = 15 * time.Millisecond
	silentPoll = 150 * time.Millisecond
	// silentAfter is how many failed reports make the engine silent.
	silentAfter = 2
	// conflictPause follows an order that conflicts with another.
	conflictPause = 20 * time.Millisecond
	// identifyPause follows a failed look at which instance answers.
	identifyPause = 500 * time.Millisecond
)

// engineLoop reads reports and gives orders, one at a time, until ctx ends.
func (c *Controller) engineLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		report, err := c.report(ctx)
		pause := c.takeReport(report, err)
		if err == nil {
			pause = min(pause, c.giveOrders(ctx, report.Sequence))
		}
		c.published.announce()
		select {
		case <-time.After(pause):
		case <-c.wake:
		case <-ctx.Done():
		}
	}
	return nil
}

func (c *Controller) report(ctx context.Context) (sandbarrow.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.control.Report(ctx)
}

// takeReport brings the belief in line with the engine and returns when to look again.
func (c *Controller) takeReport(r sandbarrow.EngineReport, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failedReports++
		c.instance = ""
		if c.failedReports == silentAfter {
			c.logger.Warn("engine lost", "error", err.Error())
			c.slots.refuseAll(enginelink.RefuseUnreachable)
		}
		return silentPoll
	}
	if c.failedReports >= silentAfter {
		c.logger.Info("engine regained", "sequence", r.Sequence)
	}
	c.failedReports = 0
	if r.Sequence < c.sequence {
		c.logger.Warn("engine restarted", "sequence", r.Sequence, "before", c.sequence, "instance", string(c.instance))
		c.instance = ""
	}
	if r.Draining && !c.reported.Draining {
		c.logger.Info("engine leaves")
		c.slots.refuseAll(enginelink.RefuseDraining)
	}
	now := c.now()
	c.sequence = r.Sequence
	c.reported = r
	c.slots.capacity = c.capacity()
	c.slots.take(now, r.Models, r.Coming)
	c.slots.settle(now)
	if c.slots.coming() > 0 || r.Busy {
		return comingPoll
	}
	return idlePoll
}

// capacity is the number of the engine's slots by the estate, 0 before it is
// known. The caller holds mu.
func (c *Controller) capacity() int {
	service := c.ownService()
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.AdapterSlots
}

// ownService is the engine's service by the estate, or nil where it is not known.
func (c *Controller) ownService() *route.Service {
	view := c.estate.View()
	if view == nil {
		return nil
	}
	return view.Table.Services[c.service]
}

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
	c.logger.Info("engine identified", "instance", string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instance = id
	return true
}

// giveOrders gives orders until none is due and returns when to look again.
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
			return c.afterFailedOrder(ctx, err)
		}
		c.logOrder(&o, "taken", nil)
		c.mu.Lock()
		if o.Adapter != "" && (!o.Load || !done) {
			c.slots.ordered(c.now(), &o, done)
		}
		c.mu.Unlock()
		if done && o.Load || o.Adapter == "" {
			return comingPoll
		}
		sequence++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots.coming() > 0 {
		return comingPoll
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

// afterFailedOrder decides when to look again. An order without answer is not
// repeated blindly: the next report tells whether the sequence has moved, and
// any later order moves it, so that a late one no longer fits.
func (c *Controller) afterFailedOrder(ctx context.Context, err error) time.Duration {
	switch {
	case errors.Is(err, sandbarrow.ErrOrderFenced):
		c.renewToken(ctx)
	case errors.Is(err, sandbarrow.ErrOrderMisdirected):
		c.mu.Lock()
		c.instance = ""
		c.mu.Unlock()
	}
	return conflictPause
}

// nextOrder chooses the next order, if there is one and it may be given.
func (c *Controller) nextOrder(sequence uint64) (sandbarrow.EngineOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 || c.reported.Draining {
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
		o, ok = sandbarrow.EngineOrder{Load: true, Model: service.Engine.Models[0].ID}, true
	} else {
		o, ok = c.slots.next(c.now())
	}
	if o.Load && o.Adapter != "" {
		key := sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}
		o.Version = max(o.Version, c.estate.View().Version(key))
	}
	o.Expected, o.Holder, o.Instance, o.Token = sequence, c.box, c.instance, c.token
	return o, ok
}

// wantsOrder reports whether there may be an order to give.
func (c *Controller) wantsOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reported.Draining && (len(c.reported.Models) == 0 || len(c.slots.wants) > 0)
}
