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

// This file notes under which requests the upstream has ended, and tells the entries: a run
// breaks for many reasons, and only the agent beside the upstream knows whether it ended.

const (
	// brokenLife is how long after it broke a run may turn out to have broken since the upstream
	// ended: one that crashes is back within some seconds.
	brokenLife = 10 * time.Second
	// sameEnd: an upstream that does not listen so soon after an end is the one that ended then:
	// less than a restart takes.
	sameEnd = time.Second
	// mostBroken bounds the runs that are remembered for that; more than run at once.
	mostBroken = 256
	// endDialTimeout bounds the look whether the upstream still listens, on the same box.
	endDialTimeout = 200 * time.Millisecond
)

// brokenRun is a run that broke without a complete answer.
type brokenRun struct {
	at    time.Time
	print crash.Fingerprint
	// began is when the run began.
	began time.Time
}

// lastEnd is the last end of the upstream.
type lastEnd struct {
	at time.Time
	// count numbers the ends that this process has seen.
	count int
	start sandbarrow.InstanceID
}

// noteBroken notes a run that broke, and finds out whether the upstream has ended.
func (a *Agent) noteBroken(ctx context.Context, at *attempt) {
	if at.req.Fingerprint == nil || at.ctx.Err() != nil || a.admissions.draining() { // one that drains ends as planned
		return
	}
	run := brokenRun{at: boottime.Now(), began: at.startedAt, print: *at.req.Fingerprint}
	a.mu.Lock()
	if a.ended.count > 0 && run.began.Before(a.ended.at) {
		start := a.ended.start
		a.mu.Unlock()
		a.crashes.AddCrash(start, run.at, run.print) // it broke with that end
		return
	}
	a.broken = append(a.broken, run)
	if len(a.broken) > mostBroken {
		a.broken = a.broken[1:]
	}
	a.mu.Unlock()
	if refusesConnections(ctx, a.settings.Agent.Upstream.URL) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.ended.count == 0 || run.at.Sub(a.ended.at) >= sameEnd {
			a.noteEnd(run.at)
		}
		return
	}
	if a.engine != nil {
		a.refreshState(ctx) // notes the end where the engine has another start
	}
}

// noteEnd notes that the upstream has ended, under all runs that broke lately. The caller
// holds mu.
func (a *Agent) noteEnd(now time.Time) {
	var prints []crash.Fingerprint
	for _, run := range a.broken {
		if now.Sub(run.at) < brokenLife {
			prints = append(prints, run.print)
		}
	}
	a.broken = nil
	if len(prints) == 0 {
		return
	}
	a.ended.count++
	a.ended.at = now
	a.ended.start = sandbarrow.InstanceID(string(a.settings.Agent.Upstream.ID) + " " + string(a.incarnation) + " " + strconv.Itoa(a.ended.count))
	a.logger.Warn("upstream ended under requests", "requests", len(prints), "ends", a.ended.count)
	a.crashes.AddCrash(a.ended.start, now, prints...)
}

// refusesConnections reports whether nothing listens at a URL's address. No answer says
// nothing.
func refusesConnections(ctx context.Context, base string) bool {
	u, err := url.Parse(base)
	return err == nil && listening.Dial(ctx, u.Host, endDialTimeout) == listening.Refuses
}
