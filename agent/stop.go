package agent

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/boxlist"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/schedule"
	"sandbarrow.example/sandbarrow/settings"
)

const (
	// idlePause is the pause between looks whether all work has ended.
	idlePause = 20 * time.Millisecond
	// listPause is the pause between looks at the list of boxes.
	listPause = time.Second
	// restartPause is the pause between two looks whether an upstream that drains has ended: less
	// than a restart takes.
	restartPause = 200 * time.Millisecond
	// settlePause lets the last replies reach the entries.
	settlePause = 200 * time.Millisecond
)

func newBoxList(s *settings.Settings) sandbarrow.BoxList {
	if s.Platform.BoxList == "" {
		return nil
	}
	return boxlist.NewHTTP(s.Platform.BoxList)
}

// watchBoxList drains the agent when its box is said to be leaving.
func (a *Agent) watchBoxList(ctx context.Context) error {
	for a.list != nil && ctx.Err() == nil {
		boxes, err := a.list.Boxes(ctx)
		if err == nil && isDraining(boxes, a.settings.Box.ID) {
			a.drain("box is leaving")
		}
		select {
		case <-time.After(listPause):
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

// drain refuses new work from now on, gives back what has not started and lets
// finish what runs.
func (a *Agent) drain(why string) {
	a.mu.Lock()
	if a.draining {
		a.mu.Unlock()
		return
	}
	a.draining = true
	a.logger.Info("draining", "why", why)
	a.giveBack()
	a.mu.Unlock()
	a.broadcastStatus()
}

// upstreamDrains gives back what has not started, since the upstream has announced that it drains.
func (a *Agent) upstreamDrains() {
	a.mu.Lock()
	a.giveBack()
	a.mu.Unlock()
	a.broadcastStatus()
}

// giveBack refuses all attempts that have not started. The caller holds mu.
func (a *Agent) giveBack() {
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

// watchRestart watches, while the upstream drains, whether its process has ended and another one
// listens, until ctx ends. Services do not say which of their starts answers.
func (a *Agent) watchRestart(ctx context.Context) error {
	ended := false
	for ctx.Err() == nil {
		if a.admissions.draining() {
			refuses := refusesConnections(ctx, a.settings.Agent.Upstream.URL)
			if ended && !refuses {
				a.admissions.restarted()
				a.logger.Info("upstream started again")
				a.broadcastStatus()
			}
			ended = refuses
		}
		pause.For(ctx, restartPause)
	}
	return nil
}

// waitIdle waits until nothing runs, at most for grace.
func (a *Agent) waitIdle(grace time.Duration) {
	end := time.Now().Add(grace)
	for time.Now().Before(end) {
		a.mu.Lock()
		n := len(a.attempts)
		a.mu.Unlock()
		if n == 0 {
			time.Sleep(settlePause)
			return
		}
		time.Sleep(idlePause)
	}
	a.logger.Error("stopped with work in progress", "grace", grace.String())
}
