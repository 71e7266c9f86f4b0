package agent

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/listening"
)

// This file records which requests were running when the upstream exited and reports them to the
// entries. A run fails for many reasons, and only the agent on the upstream's box can check whether
// the process exited.

const (
	// failedRunWindow is how long after a failed run an exit of the upstream is still taken as its
	// cause. A crashed upstream restarts within some seconds.
	failedRunWindow = 10 * time.Second
	// sameExitWindow is how long after an exit refused connections still count as that exit. It is
	// shorter than a restart takes.
	sameExitWindow = time.Second
	// maxFailedRuns bounds the failed runs that are remembered. It exceeds the number of concurrent runs.
	maxFailedRuns = 256
	// exitDialTimeout bounds the check whether the upstream, on the same box, still listens.
	exitDialTimeout = 200 * time.Millisecond
)

// failedRun is a run that failed without a complete response.
type failedRun struct {
	at    time.Time
	print crash.Fingerprint
	// began is when the run began.
	began time.Time
}

// exitRecord is the last exit of the upstream.
type exitRecord struct {
	at time.Time
	// count is the number of exits that this process has detected.
	count int
	start sandbarrow.InstanceID
}

// recordFailedRun records a failed run and checks whether the upstream has exited.
func (a *Agent) recordFailedRun(ctx context.Context, at *attempt) {
	if at.req.Fingerprint == nil || at.ctx.Err() != nil || a.admissions.draining() { // a draining upstream exits as planned
		return
	}
	run := failedRun{at: boottime.Now(), began: at.startedAt, print: *at.req.Fingerprint}
	a.mu.Lock()
	if a.lastExit.count > 0 && run.began.Before(a.lastExit.at) {
		start := a.lastExit.start
		a.mu.Unlock()
		a.crashes.AddCrash(start, run.at, run.print) // the run failed because of that exit
		return
	}
	a.failedRuns = append(a.failedRuns, run)
	if len(a.failedRuns) > maxFailedRuns {
		a.failedRuns = a.failedRuns[1:]
	}
	a.mu.Unlock()
	if refusesConnections(ctx, a.settings.Agent.Upstream.URL) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.lastExit.count == 0 || run.at.Sub(a.lastExit.at) >= sameExitWindow {
			a.recordExit(run.at)
		}
		return
	}
	if a.engine != nil {
		a.refreshState(ctx) // records an exit if the engine has restarted
	}
}

// recordExit records an exit of the upstream as a crash of all recently failed runs. The
// caller holds mu.
func (a *Agent) recordExit(now time.Time) {
	var fingerprints []crash.Fingerprint
	for _, run := range a.failedRuns {
		if now.Sub(run.at) < failedRunWindow {
			fingerprints = append(fingerprints, run.print)
		}
	}
	a.failedRuns = nil
	if len(fingerprints) == 0 {
		return
	}
	a.lastExit.count++
	a.lastExit.at = now
	a.lastExit.start = sandbarrow.InstanceID(string(a.settings.Agent.Upstream.ID) + " " + string(a.incarnation) + " " + strconv.Itoa(a.lastExit.count))
	a.logger.Warn("upstream ended under requests", "requests", len(fingerprints), "ends", a.lastExit.count)
	a.crashes.AddCrash(a.lastExit.start, now, fingerprints...)
}

// refusesConnections reports whether the address of a URL refuses connections. A timeout
// does not count as a refusal.
func refusesConnections(ctx context.Context, base string) bool {
	u, err := url.Parse(base)
	return err == nil && listening.Dial(ctx, u.Host, exitDialTimeout) == listening.Refused
}
