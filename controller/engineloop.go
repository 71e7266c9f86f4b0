package controller

import (
	"context"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/route"
)

const (
	// reportTimeout bounds one report and one look at which instance answers: the engine is on the
	// same box.
	reportTimeout = 400 * time.Millisecond
	// idlePoll is the pause between two reports while nothing is under way, short enough to see a
	// drain or a restart in time.
	idlePoll = 250 * time.Millisecond
	// loadingPoll is the pause while an adapter is being loaded or replaced: short against a recall
	// (30 ms).
	loadingPoll = 15 * time.Millisecond
	// unreachablePoll is the pause after a failed report.
	unreachablePoll = 150 * time.Millisecond
	// unreachableAfter is how many reports in a row must fail for the engine to count as
	// unreachable: one alone may be lost.
	unreachableAfter = 2
)

// engineLoop reads reports and gives orders, one at a time, until ctx ends.
func (c *Controller) engineLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		report, err := c.report(ctx)
		pause := c.applyReport(report, err)
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

// applyReport brings the last known state in line with a report, or counts a failed
// one, and returns when to read the next.
func (c *Controller) applyReport(r sandbarrow.EngineReport, err error) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteRuns(c.now())
	if err != nil {
		c.countFailedReport(err)
		return unreachablePoll
	}
	if c.failedReports >= unreachableAfter {
		c.logger.Info("engine regained", "sequence", r.Sequence)
	}
	c.failedReports = 0
	if c.hasRestarted(&r) {
		c.logger.Warn("engine restarted", "sequence", r.Sequence, "before", c.sequence, "instance", string(c.instance))
		c.backoffUntil, c.instance = time.Time{}, ""
		c.late.restarted()
		c.slots.restarted(c.now())
	}
	if r.Draining && !c.reported.Draining {
		c.logger.Info("engine draining")
		c.slots.refuseAll(c.now(), enginelink.RefuseDraining)
	}
	now := c.now()
	c.logNewModels(r.Models)
	c.sequence = r.Sequence
	c.reported = r
	c.applyCapacity()
	c.slots.reconcile(now, r.Models, r.Loading)
	c.slots.grantLoaded(now)
	c.slots.admitPrompts(now)
	if c.slots.loading() > 0 || r.Busy {
		return loadingPoll
	}
	return idlePoll
}

// noteRuns notes that this process runs, and writes a line where it did not for a while.
// The caller holds mu.
func (c *Controller) noteRuns(now time.Time) {
	if frozen := c.unreported.runs(now); frozen > 0 {
		c.logger.Warn("controller did not run, unloads wait", "took_ms", frozen.Milliseconds())
	}
}

// hasRestarted reports whether a report is of a later start of the engine than the last
// one: it says so, its count of orders began anew, or it holds no base model any more,
// which none is ever ordered to unload. The caller holds mu.
func (c *Controller) hasRestarted(r *sandbarrow.EngineReport) bool {
	if r.Started != 0 && c.reported.Started != 0 && r.Started != c.reported.Started {
		return true
	}
	return r.Sequence < c.sequence || len(r.Models) == 0 && len(c.reported.Models) > 0
}

// logNewModels writes a line for each base model that the last report did not have at
// its version. The caller holds mu.
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

// countFailedReport counts a report without answer. The engine may have restarted
// meanwhile, so that its instance is not known any more. The caller holds mu.
func (c *Controller) countFailedReport(err error) {
	c.failedReports++
	c.instance = ""
	if c.failedReports == unreachableAfter {
		c.logger.Warn("engine lost", "error", err.Error())
		c.slots.refuseAll(c.now(), enginelink.RefuseUnreachable)
	}
}

// applyCapacity applies what the operators' state says of the engine's size; before that
// is known it counts as nothing. The caller holds mu.
func (c *Controller) applyCapacity() {
	c.slots.capacity = 0
	if service := c.ownService(); service != nil && service.Engine != nil {
		c.slots.capacity = max(1, service.Engine.AdapterSlots-c.late.possible(c.now(), c.sequence))
		c.slots.kept.SetCapacity(service.Engine.KVCacheTokens)
	}
}

// ownService is the engine's service by the operators' state, or nil where it is not
// known.
func (c *Controller) ownService() *route.Service {
	view := c.estate.View()
	if view == nil {
		return nil
	}
	return view.Table.Services[c.service]
}
