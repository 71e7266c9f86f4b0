package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

// plainRequestDelay is the assumed duration of a request at a plain service. It weighs
// requests in flight against penalties for failures and for other failure domains.
const plainRequestDelay = 30 * time.Millisecond

// servePlain serves a request for a plain service.
func (c *call) servePlain(ctx context.Context) {
	excluded := map[sandbarrow.InstanceID]bool{}
	why := reasonNoUpstream
	for ctx.Err() == nil && c.timeLeft() > minSendTime {
		if !c.delaySuspect(ctx) {
			why = reasonCrashesUpstreams
			break
		}
		in := c.gateway.choosePlain(c, excluded)
		if in == nil {
			break
		}
		excluded[in.ID] = true
		permits, refusal := c.permitsForPlain(ctx, in)
		if permits == nil {
			why = cmp.Or(refusal, why)
			continue
		}
		if refusal := c.refusalBeforeSend(); refusal != "" {
			permits.release()
			why = refusal
			break
		}
		if !c.maySend() {
			permits.release()
			break
		}
		got, err := c.tryPlain(ctx, in, permits.slot)
		c.logPlainAttempt(in.ID, got, err)
		if errors.Is(err, forward.ErrNotSent) {
			permits.send.release()
		}
		if failed := c.endPlainAttempt(in, got, err); failed != "" {
			why = failed
			continue
		}
		if got.response.Status < http.StatusInternalServerError {
			c.writeResponse(got)
			return
		}
		c.failure = got
	}
	if c.failure != nil {
		c.writeResponse(c.failure)
		return
	}
	c.giveUp(ctx, why)
}

// endPlainAttempt counts an attempt, and returns why it brought no response that the caller may get,
// or "" if it did.
func (c *call) endPlainAttempt(in *sandbarrow.Instance, got *completeResponse, err error) reason {
	switch {
	case errors.Is(err, forward.ErrNotSent):
		return reasonNoUpstream
	case err != nil:
		c.ran++
		return reasonBroken
	case c.notRun(got.response):
		if got.response.Status == http.StatusMisdirectedRequest {
			c.gateway.exits.recordMisdirected(in)
		}
		return reasonRefused
	}
	c.ran++
	if err := c.beginPlainStream(in, got); err != nil {
		c.logAttempt(in.ID, "failed", err.Error(), nil)
		return reasonBroken
	}
	return ""
}

// permitsForSend are the permits for one send to a plain upstream.
type permitsForSend struct {
	// send is for an upstream that names a limit, slot for a contended one.
	send *sendPermit
	slot *plainPermit
}

// release returns the permits of a request that was not sent.
func (p *permitsForSend) release() {
	p.send.release()
	p.slot.release()
}

// permitsForPlain acquires the permits for a send to a plain upstream. It returns nil if the upstream
// accepts no request now, with the reason if that is contention.
func (c *call) permitsForPlain(ctx context.Context, in *sandbarrow.Instance) (*permitsForSend, reason) {
	send, granted := c.permitSend(ctx, in)
	if !granted {
		return nil, ""
	}
	slot, refusal := c.permitPlain(ctx, in)
	if slot == nil {
		send.release()
		return nil, refusal
	}
	return &permitsForSend{send: send, slot: slot}, ""
}

// logPlainAttempt logs an attempt that did not complete the call successfully.
func (c *call) logPlainAttempt(id sandbarrow.InstanceID, got *completeResponse, err error) {
	switch {
	case err != nil:
		c.gateway.metrics.attemptFailed(c.service.ID, err)
		c.logAttempt(id, "failed", err.Error(), nil)
	case got.response.Status >= http.StatusInternalServerError || c.notRun(got.response):
		c.logAttempt(id, "status "+strconv.Itoa(got.response.Status), "", nil)
	}
}

// attemptTime returns how long an attempt at an upstream may take before the request is sent to another
// one: an equal part of the time that is left for each attempt that its route allows, but not less than
// such requests usually take, so that an upstream that is sound has the time to respond.
//
// Inputs: the time until the request's deadline, the attempts that are left with this one, and how long
// requests of the route take from the moment they are sent, if known is set.
func attemptTime(left time.Duration, attempts int, work durationEstimate, known bool) time.Duration {
	part := left / time.Duration(max(1, attempts))
	if known {
		part = max(part, work.within(safeDeviations))
	}
	return part
}

// tryPlain sends the request to one upstream and reads the complete response. If the request
// may still be sent to another upstream, the attempt leaves time for that. It returns the permit.
func (c *call) tryPlain(ctx context.Context, in *sandbarrow.Instance, slot *plainPermit) (*completeResponse, error) {
	if attempts := c.route.MaxAttempts - c.ran; c.route.Retryable() && attempts > 1 && c.route.Kind != route.KindStream {
		work, known := c.gateway.workTimes.usual(c.route.Name)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTime(c.timeLeft(), attempts, work, known))
		defer cancel()
	}
	c.gateway.upstreams.beginRequest(in.ID)
	began := boottime.Now()
	got, err := c.exchange(ctx, in)
	c.endPlain(in, slot, boottime.Since(began), got)
	if err != nil && !errors.Is(err, forward.ErrNotSent) {
		c.recordBroken(ctx, in, began)
	}
	c.countAttempt()
	left := c.request.Context().Err() != nil
	c.gateway.upstreams.endRequest(in.ID, !left && (err != nil || got.response.Status >= http.StatusInternalServerError))
	return got, err
}

// exchange sends the request of one attempt and reads the response.
func (c *call) exchange(ctx context.Context, in *sandbarrow.Instance) (*completeResponse, error) {
	a, sent, err := c.send(ctx, in, 0, nil)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	c.gateway.upstreams.observeResponse(in, sent, a)
	body, err := a.Body(maxResponseBytes)
	if err != nil {
		return nil, err
	}
	c.phase = phaseResponded
	if isStream(a) && !forward.EndsWithEvent(body) {
		return nil, errEventTruncated
	}
	return &completeResponse{response: a, body: body}, nil
}

// choosePlain decides which upstream of a plain service gets a request: the one with the lowest
// expected delay, or nil.
//
// Inputs: whether an upstream accepts requests now, this gateway's requests in flight there per
// slot, the penalty for recent failures, the failure domain, and the last known wait for a permit if
// the upstream is contended. The load from other gateways is unknown otherwise. The search starts at
// a random upstream: of upstreams with equal cost the first is chosen, and gateways with the same
// state must not all choose the same one.
func (g *Gateway) choosePlain(c *call, excluded map[sandbarrow.InstanceID]bool) *sandbarrow.Instance {
	now := boottime.Now()
	c.blocked.reset()
	var best *sandbarrow.Instance
	var bestCost time.Duration
	list := g.directory.View().Service(c.service.ID)
	first := rand.IntN(max(1, len(list)))
	penalties := g.distancePenalties()
	for i := range list {
		in := list[(first+i)%len(list)]
		check, allowed := c.check(now, in, availability.Report{}, excluded)
		if !allowed {
			continue
		}
		cost := check.Penalty + time.Duration(check.InFlight)*plainRequestDelay/time.Duration(max(1, in.Slots))
		cost += penalties.to(in.FailureDomain) + g.plainPermits.delay(now, in.ID)
		if best == nil || cost < bestCost {
			best, bestCost = in, cost
		}
	}
	return best
}
