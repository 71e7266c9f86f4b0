package controller

import (
	"context"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/route"
)

const (
	// reportTimeout bounds one report and one request for the engine's identity. The engine
	// is on the same box.
	reportTimeout = 400 * time.Millisecond
	// idlePoll is the pause between two reports while no load is in progress. It is short
	// enough to detect a drain or a restart in time.
	idlePoll = 250 * time.Millisecond
	// loadingPoll is the pause while an adapter is being loaded or replaced. It is short
	// compared with a recall (30 ms).
	loadingPoll = 15 * time.Millisecond
	// unreachablePoll is the pause after a failed report.
	unreachablePoll = 150 * time.Millisecond
	// unreachableAfter is the number of consecutive failed reports after which the engine
	// counts as unreachable. A single report may be lost.
	unreachableAfter = 2
)

// engineLoop reads reports and sends orders, one at a time, until ctx is done.
func (c *Controller) engineLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		report, err := c.report(ctx)
		pause := c.applyReport(report, err)
		if err == nil {
			pause = min(pause, c.sendOrders(ctx, report.Sequence))
		}
		c.published.markChanged()
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

// applyReport updates the cached state from a report, or counts a failed one. It returns
// the pause before the next report.
func (c *Controller) applyReport(r sandbarrow.EngineReport, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSuspension(c.now())
	if err != nil {
		c.countFailedReport(err)
		return unreachablePoll
	}
	if c.failedReports >= unreachableAfter {
		c.logger.Info("engine regained", "sequence", r.Sequence)
	}
	c.failedReports = 0
	restarted := c.hasRestarted(&r)
	c.preloader.observe(&r, restarted)
	if restarted {
		c.logger.Warn("engine restarted", "sequence", r.Sequence, "before", c.sequence, "instance", string(c.instance))
		c.backoffUntil, c.instance = time.Time{}, ""
		c.late.engineRestarted()
		c.slots.engineRestarted(c.now())
	}
	if r.Draining && !c.reported.Draining {
		c.logger.Info("engine draining")
		c.slots.refuseAll(c.now(), enginelink.RefuseDraining)
	}
	c.refuseIfEvacuated()
	now := c.now()
	c.logNewModels(r.Models)
	c.sequence = r.Sequence
	c.reported = r
	c.applyCapacity()
	c.slots.observeLoadReport(now, &r.Load)
	c.slots.reconcile(now, r.Models, r.Loading)
	c.slots.grantLoaded(now)
	c.slots.admitPrompts(now)
	if c.slots.loading() > 0 || r.Busy {
		return loadingPoll
	}
	return c.slots.pollInterval()
}

// checkSuspension records that this process is running, and logs a line if it was
// suspended. The caller holds mu.
func (c *Controller) checkSuspension(now time.Time) {
	if suspended := c.unreported.recordRun(now); suspended > 0 {
		c.logger.Warn("controller did not run, unloads wait", "took_ms", suspended.Milliseconds())
	}
}

// hasRestarted reports whether a report comes from a later start of the engine than the
// last one. Either the start time differs, the order sequence began again, or the engine no
// longer has a base model. The controller never orders the unload of a base model. The
// caller holds mu.
func (c *Controller) hasRestarted(r *sandbarrow.EngineReport) bool {
	if r.Started != 0 && c.reported.Started != 0 && r.Started != c.reported.Started {
		return true
	}
	return r.Sequence < c.sequence || len(r.Models) == 0 && len(c.reported.Models) > 0
}

// logNewModels logs each base model that was missing from the last report or had another
// version there. The caller holds mu.
func (c *Controller) logNewModels(models []sandbarrow.LoadedModel) {
	for _, m := range models {
		known := slices.ContainsFunc(c.reported.Models, func(old sandbarrow.LoadedModel) bool {
			return old.Model == m.Model && old.Version == m.Version
		})
		if !known {
			c.logger.Info("base model loaded", "model", string(m.Model), "model_version", uint64(m.Version), "instance", string(c.instance))
			c.metrics.modelLoaded(m)
		}
	}
}

// countFailedReport counts a failed report. The engine may have restarted in the meantime,
// so its instance is unknown from here on. The caller holds mu.
func (c *Controller) countFailedReport(err error) {
	c.failedReports++
	c.slots.curve.estimator.Age(c.now())
	c.instance = ""
	if c.failedReports == unreachableAfter {
		c.logger.Warn("engine lost", "error", err.Error())
		c.slots.refuseAll(c.now(), enginelink.RefuseUnreachable)
	}
}

// applyCapacity applies the engine's size from the operators' state. The capacity is zero
// until that state is known. The caller holds mu.
func (c *Controller) applyCapacity() {
	c.slots.capacity = 0
	if service := c.ownService(); service != nil && service.Engine != nil {
		c.slots.capacity = max(1, service.Engine.AdapterSlots-c.late.slotsToReserve(c.now(), c.sequence))
		c.slots.room.maxRunning = service.Engine.MaxRunning
		c.slots.followEngineLoad(c.learnsEngineLoad && engineload.Applies(service.Engine.EventTokens))
		c.slots.cached.SetCapacity(service.Engine.KVCacheTokens)
	}
}

// ownService returns the engine's service from the operators' state, or nil if it is
// unknown.
func (c *Controller) ownService() *route.Service {
	view := c.estate.View()
	if view == nil {
		return nil
	}
	return view.Table.Services[c.service]
}
