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
	// probeWindow is how long after a broken attempt its upstream is checked for signs of an exit.
	// An upstream that crashes is back within some seconds, and the list shows this after another
	// heartbeat.
	probeWindow = 10 * time.Second
	// probePause is the pause between two checks. It is short compared with the restart time of an
	// upstream.
	probePause = 100 * time.Millisecond
	// aliveWindow replaces probeWindow if the address still accepted connections when the attempt
	// broke. An upstream that restarts at once is listed within this time: a heartbeat plus the
	// interval at which the list is read. One that exits later has not exited under the attempt.
	aliveWindow = 2 * time.Second
	// probeTimeout is how long a retry waits for the dial. It covers a round trip to any box that
	// accepts or refuses the connection. A box that does not respond is no evidence.
	probeTimeout = 60 * time.Millisecond
	// maxPendingProbes bounds the upstreams that wait to be checked. If more break at the same
	// time, some are not checked.
	maxPendingProbes = 256
	// minProvenRun is the time after which an attempt that keeps passing events counts as proof
	// that starting the request does not crash an upstream. It clears the request as a complete
	// response does. Crashes come some 0.1 s after the start.
	minProvenRun = 500 * time.Millisecond
)

// brokenAttempt is an attempt whose connection ended without a complete response.
type brokenAttempt struct {
	at      time.Time
	parts   []crash.Part
	print   crash.Fingerprint
	request sandbarrow.RequestID
	// sent is when the request was sent.
	sent time.Time
}

// exitProbe checks whether one upstream has exited.
type exitProbe struct {
	instance *sandbarrow.Instance
	// dialled is closed once the upstream's address has been dialled.
	dialled chan struct{}
	// evidence and broken are guarded by the mutex of exitDetector.
	evidence availability.ExitEvidence
	broken   []brokenAttempt
}

// exitDetector finds out whether the upstreams of broken attempts have exited. A connection breaks
// for many reasons; only an exit of the upstream counts against the requests that it ran. It is
// safe for concurrent use.
type exitDetector struct {
	gateway *Gateway
	due     chan *exitProbe

	mu     sync.Mutex
	probes map[sandbarrow.InstanceID]*exitProbe
}

func newExitDetector(g *Gateway) *exitDetector {
	return &exitDetector{due: make(chan *exitProbe, maxPendingProbes), gateway: g, probes: map[sandbarrow.InstanceID]*exitProbe{}}
}

// addBroken records an attempt that broke at an upstream. It returns a channel that is closed once
// the upstream's address has been dialled.
func (d *exitDetector) addBroken(in *sandbarrow.Instance, b brokenAttempt) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.probes[in.ID]
	if p == nil {
		p = &exitProbe{dialled: make(chan struct{}), instance: in}
		select {
		case d.due <- p:
			d.probes[in.ID] = p
		default:
			d.gateway.logger.Warn("end of an upstream not looked at", "upstream", string(in.ID), "waiting", maxPendingProbes)
			close(p.dialled)
			return p.dialled
		}
	}
	if p.evidence != "" {
		d.recordExit(p, b)
	}
	p.broken = append(p.broken, b)
	return p.dialled
}

// recordMisdirected records that another instance responds at an upstream's address, if the
// upstream is being checked. An upstream that restarts at once never refuses a connection.
func (d *exitDetector) recordMisdirected(in *sandbarrow.Instance) {
	d.mu.Lock()
	p := d.probes[in.ID]
	d.mu.Unlock()
	if p != nil {
		d.conclude(p, availability.ExitMisdirected)
	}
}

// run checks upstreams until ctx ends.
func (d *exitDetector) run(ctx context.Context) error {
	for {
		select {
		case p := <-d.due:
			go d.probe(ctx, p) // ends with ctx or after probeWindow
		case <-ctx.Done():
			return nil
		}
	}
}

// probe checks one upstream until it is known to have exited and no longer listed, or until the
// time is over.
func (d *exitDetector) probe(ctx context.Context, p *exitProbe) {
	began := time.Now()
	until := began.Add(probeWindow)
	var evidence availability.ExitEvidence
	switch listening.Dial(ctx, p.instance.Address, forward.DialTimeout) {
	case listening.Accepted:
		until = began.Add(aliveWindow)
	case listening.Refused:
		evidence = availability.ExitRefused
	}
	d.conclude(p, evidence)
	close(p.dialled)
	for ctx.Err() == nil && time.Now().Before(until) {
		if evidence == "" {
			d.conclude(p, d.detectExit(p.instance))
			evidence = d.evidenceOf(p)
		}
		if listed := d.gateway.directory.View().At(p.instance.Address); evidence != "" && (listed == nil || listed.ID != p.instance.ID) {
			break // no more requests are sent to it
		}
		pause.For(ctx, probePause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probes, p.instance.ID)
}

// evidenceOf returns the evidence that a probe has found so far.
func (d *exitDetector) evidenceOf(p *exitProbe) availability.ExitEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.evidence
}

// conclude records the evidence, if there is any, against the attempts that have broken so far.
func (d *exitDetector) conclude(p *exitProbe, evidence availability.ExitEvidence) {
	if evidence == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.evidence != "" {
		return
	}
	p.evidence = evidence
	d.gateway.metrics.exits.WithLabelValues(string(p.instance.Service), string(evidence)).Inc()
	d.recordExit(p, p.broken...)
}

// recordExit records that attempts broke because their upstream exited.
func (d *exitDetector) recordExit(p *exitProbe, broken ...brokenAttempt) {
	fingerprints, runs := make([]crash.Fingerprint, len(broken)), make([]crash.BrokenRun, len(broken))
	for i, b := range broken {
		fingerprints[i], runs[i] = b.print, crash.BrokenRun{Parts: b.parts, Sent: b.sent}
		d.logExit(p, b)
	}
	d.gateway.crashes.AddCrash(p.instance.ID, broken[0].at, fingerprints...)
	d.gateway.partCrashes.AddCrash(p.instance.ID, broken[0].at, runs...)
}

func (d *exitDetector) logExit(p *exitProbe, b brokenAttempt) {
	d.gateway.logger.LogAttrs(context.Background(), slog.LevelWarn, "upstream ended",
		slog.String("upstream", string(p.instance.ID)), slog.String("evidence", string(p.evidence)), slog.String("request", string(b.request)),
		slog.String("fingerprint", b.print.String()), slog.Any("parts", partTexts(b.parts)), slog.Int64("broken_ms", boottime.Since(b.at).Milliseconds()))
}

// partTexts returns the fingerprints of parts for a log line.
func partTexts(parts []crash.Part) []string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = p.Fingerprint().String()
	}
	return texts
}

// detectExit checks the list and the reports of the controller for another instance of an upstream.
func (d *exitDetector) detectExit(in *sandbarrow.Instance) availability.ExitEvidence {
	status, linked := d.gateway.engines.link(in.Address).lastStatus(boottime.Now())
	return availability.DetectExit(in, d.gateway.directory.View().At(in.Address), reportOf(&status, linked))
}

// recordBroken records that the upstream may have exited under the attempt. It does nothing if this
// gateway or the caller ended the attempt, or if the upstream drains and exits as planned. It waits
// up to probeTimeout for the result, so that an exit counts before the request is retried.
func (c *call) recordBroken(ctx context.Context, in *sandbarrow.Instance, sent time.Time) {
	if ctx.Err() != nil || c.request.Context().Err() != nil {
		return
	}
	if c.gateway.upstreams.drains(in) {
		return
	}
	dialled := c.gateway.exits.addBroken(in, brokenAttempt{at: boottime.Now(), parts: c.sharedParts(), print: c.fingerprint(), request: sandbarrow.RequestID(c.id), sent: sent})
	select {
	case <-dialled:
	case <-time.After(probeTimeout):
	case <-ctx.Done():
	}
}
