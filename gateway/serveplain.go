package gateway

import (
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

const (
	// hedgeObjectives is after how many objectives a repeatable request without an answer is sent
	// elsewhere: an answer as late as that has lost its credit.
	hedgeObjectives = 2
	// serviceDelay is the assumed time of a request at a plain service; it weighs requests in
	// flight against failures and domains.
	serviceDelay = 30 * time.Millisecond
)

// servePlain serves a request of a plain service.
func (c *call) servePlain(ctx context.Context) {
	excluded := map[sandbarrow.InstanceID]bool{}
	why := reasonNoUpstream
	for ctx.Err() == nil && c.left() > leastSend {
		c.holdSuspect(ctx)
		in := c.gateway.choosePlain(c, excluded)
		if in == nil {
			break
		}
		excluded[in.ID] = true
		permit, granted := c.permitSend(ctx, in)
		if !granted {
			continue
		}
		if refusal := c.refusalBeforeSend(); refusal != "" {
			permit.unused()
			why = refusal
			break
		}
		if !c.maySend() {
			permit.unused()
			break
		}
		got, err := c.tryPlain(ctx, in)
		c.logPlainAttempt(in.ID, got, err)
		switch {
		case errors.Is(err, forward.ErrNotSent):
			permit.unused()
			why = reasonNoUpstream
			continue
		case err != nil:
			c.ran++
			why = reasonBroken
			continue
		case c.notRun(got.answer):
			if got.answer.Status == http.StatusMisdirectedRequest {
				c.gateway.ends.noteMisdirected(in)
			}
			why = reasonRefused
			continue
		}
		c.ran++
		if got.answer.Status < http.StatusInternalServerError {
			c.pass(got)
			return
		}
		c.failure = got
	}
	if c.failure != nil {
		c.pass(c.failure)
		return
	}
	c.giveUp(ctx, why)
}

// logPlainAttempt writes a line for an attempt that did not end the call well.
func (c *call) logPlainAttempt(id sandbarrow.InstanceID, got *wholeAnswer, err error) {
	switch {
	case err != nil:
		c.logAttempt(id, "failed", err.Error(), nil)
	case got.answer.Status >= http.StatusInternalServerError || c.notRun(got.answer):
		c.logAttempt(id, "status "+strconv.Itoa(got.answer.Status), "", nil)
	}
}

// tryPlain sends the request to one upstream and reads the complete answer. Where
// another upstream may still run the request, it does not wait for much longer
// than the objective.
func (c *call) tryPlain(ctx context.Context, in *sandbarrow.Instance) (*wholeAnswer, error) {
	if c.route.Retryable() && c.ran+1 < c.route.MaxAttempts && c.route.Objective > 0 && c.route.Kind != route.KindStream {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hedgeObjectives*c.route.Objective)
		defer cancel()
	}
	c.gateway.upstreams.begin(in.ID)
	got, err := c.exchange(ctx, in)
	if err != nil && !errors.Is(err, forward.ErrNotSent) {
		c.noteBroken(ctx, in)
	}
	c.gateway.crashes.CountAttempt()
	left := c.request.Context().Err() != nil
	c.gateway.upstreams.end(in.ID, !left && (err != nil || got.answer.Status >= http.StatusInternalServerError))
	return got, err
}

// exchange makes the exchange of one attempt.
func (c *call) exchange(ctx context.Context, in *sandbarrow.Instance) (*wholeAnswer, error) {
	a, sent, err := c.send(ctx, in, 0)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	c.gateway.upstreams.observe(in, sent, a)
	body, err := a.Body(maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	return &wholeAnswer{answer: a, body: body}, nil
}

// choosePlain decides which upstream of a plain service gets a request: the one
// with the least expected delay, or nil.
//
// Inputs: whether it accepts requests now, this gateway's requests in flight there for each slot,
// the penalty for recent failures, and the failure domain. The load from other gateways is not
// known. It begins with any of them: of those that cost the same the first is chosen, and gateways
// that know the same must not all choose the same one.
func (g *Gateway) choosePlain(c *call, excluded map[sandbarrow.InstanceID]bool) *sandbarrow.Instance {
	now := boottime.Now()
	c.blocked.choose()
	var best *sandbarrow.Instance
	var bestCost time.Duration
	list := g.directory.View().Service(c.service.ID)
	first := rand.IntN(max(1, len(list)))
	for i := range list {
		in := list[(first+i)%len(list)]
		look, may := c.look(now, in, availability.Report{}, excluded)
		if !may {
			continue
		}
		cost := look.Penalty + time.Duration(look.InFlight)*serviceDelay/time.Duration(max(1, in.Slots))
		if in.FailureDomain != g.config.Domain {
			cost += domainDelay
		}
		if best == nil || cost < bestCost {
			best, bestCost = in, cost
		}
	}
	return best
}
