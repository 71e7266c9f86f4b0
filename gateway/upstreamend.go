package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/listening"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// probeWindow is how long after a broken attempt its upstream is watched for signs that it has
	// ended: one that crashes is back within some seconds, and the list shows that after a
	// heartbeat more.
	probeWindow = 10 * time.Second
	// probePause is the pause between two probes: short against the time that an upstream takes to be
	// back.
	probePause = 100 * time.Millisecond
	// aliveWindow is the same where something still listened when the attempt broke: an upstream
	// that is back at once is listed within that time, and one that ends later has not ended under
	// the attempt: a heartbeat and the pace of the list.
	aliveWindow = 2 * time.Second
	// probeTimeout is how long a retry waits for the dial: a round trip to any box, where something or
	// nothing listens there. A box that is silent says nothing.
	probeTimeout = 60 * time.Millisecond
	// maxPendingProbes bounds the upstreams that wait to be looked at; of more that break at one
	// moment, some are passed over.
	maxPendingProbes = 256
	// provenRun: an attempt that has passed events for so long did not end its upstream by
	// beginning there, which clears its request as an answer does. Ends come some 0.1 s after the beginning.
	provenRun = 500 * time.Millisecond
)

// brokenAttempt is an attempt whose connection ended without a complete answer.
type brokenAttempt struct {
	at      time.Time
	print   crash.Fingerprint
	request sandbarrow.RequestID
}

// endProbe is one watch whether an upstream has ended.
type endProbe struct {
	instance *sandbarrow.Instance
	// dialled is closed once the upstream's address has been dialled.
	dialled chan struct{}
	// evidence and broken are guarded by the mutex of upstreamEnds.
	evidence availability.ExitEvidence
	broken   []brokenAttempt
}

// upstreamEnds finds out whether the upstreams of broken attempts have ended. A connection
// breaks for many reasons; only an upstream that has ended counts against the requests that
// it ran. It is safe for concurrent use.
type upstreamEnds struct {
	gateway *Gateway
	due     chan *endProbe

	mu     sync.Mutex
	probes map[sandbarrow.InstanceID]*endProbe
}

func newUpstreamEnds(g *Gateway) *upstreamEnds {
	return &upstreamEnds{due: make(chan *endProbe, maxPendingProbes), gateway: g, probes: map[sandbarrow.InstanceID]*endProbe{}}
}

// broke notes an attempt that broke at an upstream, and returns a channel that closes once
// the upstream's address has been dialled.
func (u *upstreamEnds) broke(in *sandbarrow.Instance, b brokenAttempt) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.probes[in.ID]
	if l == nil {
		l = &endProbe{dialled: make(chan struct{}), instance: in}
		select {
		case u.due <- l:
			u.probes[in.ID] = l
		default:
			u.gateway.logger.Warn("end of an upstream not looked at", "upstream", string(in.ID), "waiting", maxPendingProbes)
			close(l.dialled)
			return l.dialled
		}
	}
	if l.evidence != "" {
		u.ended(l, b)
	}
	l.broken = append(l.broken, b)
	return l.dialled
}

// noteMisdirected notes that an upstream's address answers for another instance, where the
// upstream is being looked at: one that is back at once never refuses a connection.
func (u *upstreamEnds) noteMisdirected(in *sandbarrow.Instance) {
	u.mu.Lock()
	l := u.probes[in.ID]
	u.mu.Unlock()
	if l != nil {
		u.conclude(l, availability.ExitMisdirected)
	}
}

// run looks at upstreams until ctx ends.
func (u *upstreamEnds) run(ctx context.Context) error {
	for {
		select {
		case l := <-u.due:
			go u.probe(ctx, l) // ends with ctx, or with probeWindow
		case <-ctx.Done():
			return nil
		}
	}
}

// probe watches one upstream until there is evidence of its end, or probeWindow has passed.
func (u *upstreamEnds) probe(ctx context.Context, l *endProbe) {
	began := time.Now()
	until := began.Add(probeWindow)
	var evidence availability.ExitEvidence
	switch listening.Dial(ctx, l.instance.Address, forward.DialTimeout) {
	case listening.Listens:
		until = began.Add(aliveWindow)
	case listening.Refuses:
		evidence = availability.ExitRefused
	}
	u.conclude(l, evidence)
	close(l.dialled)
	for ctx.Err() == nil && time.Now().Before(until) {
		if evidence == "" {
			u.conclude(l, u.restarted(l.instance))
			evidence = u.evidenceOf(l)
		}
		if listed := u.gateway.directory.View().At(l.instance.Address); evidence != "" && (listed == nil || listed.ID != l.instance.ID) {
			break // nothing is sent to it any more
		}
		pause.For(ctx, probePause)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.probes, l.instance.ID)
}

// evidenceOf is the evidence that a look has found so far.
func (u *upstreamEnds) evidenceOf(l *endProbe) availability.ExitEvidence {
	u.mu.Lock()
	defer u.mu.Unlock()
	return l.evidence
}

// conclude notes evidence, if there is any, against the attempts that broke so far.
func (u *upstreamEnds) conclude(l *endProbe, evidence availability.ExitEvidence) {
	if evidence == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.evidence != "" {
		return
	}
	l.evidence = evidence
	u.gateway.metrics.ends.WithLabelValues(string(l.instance.Service), string(evidence)).Inc()
	u.ended(l, l.broken...)
}

// ended notes that attempts broke since their upstream ended.
func (u *upstreamEnds) ended(l *endProbe, broken ...brokenAttempt) {
	prints := make([]crash.Fingerprint, len(broken))
	for i, b := range broken {
		prints[i] = b.print
		u.logEnded(l, b)
	}
	u.gateway.crashes.AddCrash(l.instance.ID, broken[0].at, prints...)
}

func (u *upstreamEnds) logEnded(l *endProbe, b brokenAttempt) {
	u.gateway.logger.LogAttrs(context.Background(), slog.LevelWarn, "upstream ended",
		slog.String("upstream", string(l.instance.ID)), slog.String("evidence", string(l.evidence)), slog.String("request", string(b.request)),
		slog.String("fingerprint", b.print.String()), slog.Int64("broken_ms", boottime.Since(b.at).Milliseconds()))
}

// restarted looks for another start of an upstream, in the list and in the reports of its
// controller.
func (u *upstreamEnds) restarted(in *sandbarrow.Instance) availability.ExitEvidence {
	status, linked := u.gateway.engines.link(in.Address).lastStatus(boottime.Now())
	return availability.DetectExit(in, u.gateway.directory.View().At(in.Address), reportOf(&status, linked))
}

// noteBroken notes that the upstream may have ended under the attempt, unless this gateway
// or the caller ended the attempt, or the upstream drains and ends as planned. It waits
// until that is known, for probeTimeout at most, so that it counts before the request is sent
// again.
func (c *call) noteBroken(ctx context.Context, in *sandbarrow.Instance) {
	if ctx.Err() != nil || c.request.Context().Err() != nil {
		return
	}
	if c.gateway.upstreams.drains(in) {
		return
	}
	dialled := c.gateway.ends.broke(in, brokenAttempt{at: boottime.Now(), print: c.fingerprint(), request: sandbarrow.RequestID(c.id)})
	select {
	case <-dialled:
	case <-time.After(probeTimeout):
	case <-ctx.Done():
	}
}
