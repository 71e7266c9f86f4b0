package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// This file checks whether a part of a request's prompt crashes its upstreams, and lets few requests
// with a suspected part run at a time. Package crash decides.

const (
	// trialWait is for how long a request waits for the trial of another one with the same suspected
	// part: twice the time after which an upstream has proved that it responds.
	trialWait = 2 * minProvenRun
	// trialSpread bounds the random delay of a trial. The other gateways learn within it how the first
	// trial ends.
	trialSpread = 200 * time.Millisecond
)

// partCheck is what a call has found out about the parts of its prompt.
type partCheck struct {
	decision crash.PartDecision
	// parts are those that other requests may share. known is set once they have been read.
	parts []crash.Part
	known bool
	// trial is the part of which this call is the trial; zero if it is none.
	trial crash.Fingerprint
}

// sharedParts returns the parts of the prompt that other requests may share.
func (c *call) sharedParts() []crash.Part {
	if !c.part.known {
		c.part.parts = crash.Parts(c.service.ID, c.request.Header.Get(c.gateway.config.Headers.Prompt))
		c.part.known = true
	}
	return c.part.parts
}

// checkParts decides on the request by the parts of its prompt.
func (c *call) checkParts() crash.PartVerdict {
	if c.gateway.partCrashes.Records().Empty() {
		return crash.PartsUnsuspected
	}
	c.part.decision = c.gateway.partCrashes.Decide(c.sharedParts(), len(c.gateway.directory.View().All()))
	return c.part.decision.Verdict
}

// awaitTrial waits until a request with a suspected part may be sent, and returns false if it may not
// be. The call is then the only one of this gateway with that part in flight, until endTrial.
func (c *call) awaitTrial(ctx context.Context) bool {
	c.endTrial()
	if c.checkParts() == crash.PartsSuspected {
		pause.For(ctx, rand.N(min(trialSpread, max(1, c.timeLeft()/suspectWaitDivisor))))
	}
	until := time.Now().Add(min(trialWait, c.timeLeft()/suspectWaitDivisor))
	for {
		switch c.checkParts() {
		case crash.PartsUnsuspected:
			return true
		case crash.PartsRefused:
			return false
		}
		if c.gateway.trials.begin(c.part.decision.Part) {
			c.part.trial = c.part.decision.Part
			return true
		}
		if ctx.Err() != nil || !time.Now().Before(until) {
			return false
		}
		pause.For(ctx, crash.FollowPause)
	}
}

// endTrial ends the trial that this call is, if it is one.
func (c *call) endTrial() {
	if c.part.trial != (crash.Fingerprint{}) {
		c.gateway.trials.end(c.part.trial)
		c.part.trial = crash.Fingerprint{}
	}
}

// clearParts records that an upstream responds to the request. No part of its prompt crashes upstreams
// then.
func (c *call) clearParts() {
	if parts := c.sharedParts(); len(parts) > 0 {
		c.gateway.partCrashes.AddResponse(parts)
	}
}

// partAttributes returns the log attributes of crashes under a part of the prompt; none if there were
// none.
func (c *call) partAttributes() []slog.Attr {
	d := &c.part.decision
	if d.Verdict == crash.PartsUnsuspected {
		return nil
	}
	return []slog.Attr{
		slog.String("part", d.Part.String()), slog.Int("part_ends", d.Crashes), slog.Int("part_ends_needed", d.Needed),
		slog.Int64("part_retry_s", max(0, int64(d.ExpiresIn/time.Second))),
	}
}
