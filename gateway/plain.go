package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/route"
)

// hedgeObjectives is after how many objectives a repeatable request without an
// answer is sent elsewhere.
const hedgeObjectives = 2

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	answer *forward.Answer
	body   []byte
}

// servePlain serves a request of a plain service.
func (c *call) servePlain(ctx context.Context) {
	excluded := map[sandbarrow.InstanceID]bool{}
	why := reasonNoUpstream
	var failure *wholeAnswer
	for ctx.Err() == nil && time.Until(c.ends) > leastSend {
		in := c.gateway.choosePlain(c, excluded)
		if in == nil || !c.mayRepeat() {
			break
		}
		excluded[in.ID] = true
		got, err := c.tryPlain(ctx, in)
		c.logPlainAttempt(in.ID, got, err)
		switch {
		case errors.Is(err, forward.ErrNotSent):
			why = reasonNoUpstream
			continue
		case err != nil:
			c.ran++
			why = reasonBroken
			continue
		case c.notRun(got.answer):
			why = reasonRefused
			continue
		}
		c.ran++
		if got.answer.Status < http.StatusInternalServerError {
			c.pass(got)
			return
		}
		failure = got
	}
	if failure != nil {
		c.pass(failure)
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

// tryPlain sends the request to one upstream and reads the whole answer.
func (c *call) tryPlain(ctx context.Context, in *sandbarrow.Instance) (*wholeAnswer, error) {
	if c.route.Repeatable() && c.ran+1 < c.route.MaxAttempts && c.route.Objective > 0 && c.route.Kind != route.KindStream {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hedgeObjectives*c.route.Objective)
		defer cancel()
	}
	c.gateway.health.begin(in.ID)
	got, err := c.exchange(ctx, in)
	left := c.request.Context().Err() != nil
	c.gateway.health.end(in.ID, !left && (err != nil || got.answer.Status >= http.StatusInternalServerError))
	return got, err
}

func (c *call) exchange(ctx context.Context, in *sandbarrow.Instance) (*wholeAnswer, error) {
	a, err := c.gateway.pool(in).Send(ctx, c.upstreamRequest(in, 0))
	if !errors.Is(err, forward.ErrNotSent) {
		c.sent++
		c.last = in.ID
	}
	if err != nil {
		return nil, err
	}
	defer a.Close()
	body, err := a.Body(maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	return &wholeAnswer{answer: a, body: body}, nil
}

// pass gives a whole answer to the caller.
func (c *call) pass(got *wholeAnswer) {
	c.copyHead(got.answer)
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	c.writer.WriteHeader(got.answer.Status)
	_, _ = c.writer.Write(got.body) // a caller that left needs no answer
	c.finish(got.answer.Status, "")
}
