package agent

import (
	"context"
	"log/slog"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/boxlist"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/schedule"
	"sandbarrow.example/sandbarrow/settings"
)

const (
	// idlePollInterval is the pause between checks whether all work has finished.
	idlePollInterval = 20 * time.Millisecond
	// boxListPollInterval is the pause between reads of the box list.
	boxListPollInterval = time.Second
	// restartPollInterval is the pause between two checks whether a draining upstream has exited.
	// It is shorter than a restart takes.
	restartPollInterval = 200 * time.Millisecond
	// replyFlushDelay is the delay that lets the last replies reach the entries.
	replyFlushDelay = 200 * time.Millisecond
)

func newBoxList(s *settings.Settings, logger *slog.Logger) sandbarrow.BoxList {
	if s.Platform.BoxList == "" {
		return nil
	}
	return boxlist.NewHTTP(s.Platform.BoxList, logger)
}

// watchBoxList drains the agent when the box list reports its box as draining.
func (a *Agent) watchBoxList(ctx context.Context) error {
	for a.boxList != nil && ctx.Err() == nil {
		boxes, err := a.boxList.Boxes(ctx)
		if err == nil && isDraining(boxes, a.settings.Box.ID) {
			a.drain("box is draining")
		}
		select {
		case <-time.After(boxListPollInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

func isDraining(boxes []sandbarrow.Box, id sandbarrow.BoxID) bool {
	for _, b := range boxes {
		if b.ID == id {
			return b.State == sandbarrow.BoxDraining
		}
	}
	return false
}

// drain refuses new work from now on and refuses attempts that have not started.
// Running attempts finish.
func (a *Agent) drain(why string) {
	a.mu.Lock()
	if a.draining {
		a.mu.Unlock()
		return
	}
	a.draining = true
	a.logger.Info("draining", "why", why)
	a.refuseQueued()
	a.mu.Unlock()
	a.broadcastStatus()
}

// onUpstreamDrain refuses attempts that have not started, after a drain notice of the upstream.
func (a *Agent) onUpstreamDrain() {
	a.mu.Lock()
	a.refuseQueued()
	a.mu.Unlock()
	a.broadcastStatus()
}

// refuseQueued refuses all attempts that have not started. The caller holds mu.
func (a *Agent) refuseQueued() {
	waiting := make([]*schedule.Ticket, 0, len(a.byTicket))
	for t, at := range a.byTicket {
		if at.state == attemptQueued {
			waiting = append(waiting, t)
		}
	}
	for _, t := range waiting {
		a.scheduler.Remove(t)
		a.endWaiting(t, drainingRefusal())
	}
}

// watchRestart checks, while the upstream is draining, whether its process has exited and a new one
// listens. It runs until ctx ends. Services don't report a start ID, so a restart shows only as
// refused connections followed by accepted ones.
func (a *Agent) watchRestart(ctx context.Context) error {
	exited := false
	for ctx.Err() == nil {
		if a.admissions.draining() {
			refuses := refusesConnections(ctx, a.settings.Agent.Upstream.URL)
			if exited && !refuses {
				a.admissions.clearNotices()
				a.logger.Info("upstream started again")
				a.broadcastStatus()
			}
			exited = refuses
		}
		pause.For(ctx, restartPollInterval)
	}
	return nil
}

// waitIdle waits until no attempt is left, but at most for the grace period.
func (a *Agent) waitIdle(grace time.Duration) {
	end := time.Now().Add(grace)
	for time.Now().Before(end) {
		a.mu.Lock()
		n := len(a.attempts)
		a.mu.Unlock()
		if n == 0 {
			time.Sleep(replyFlushDelay)
			return
		}
		time.Sleep(idlePollInterval)
	}
	a.logger.Error("stopped with work in progress", "grace", grace.String())
}
