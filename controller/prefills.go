package controller

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

// prefills tracks which prompts the engine has yet to prefill. It uses the grants of
// pins and the gateways' reports that a response has started, and estimates the engine's
// prefill speed from them. It is not safe for concurrent use; the controller's mu guards
// it.
type prefills struct {
	speed readspeed.Estimator
	// lastPublished is the speed that was last published to gateways.
	lastPublished readspeed.Speed
	// prefilledTokens counts the prompt tokens of all requests whose response has started.
	prefilledTokens int
	// toPrefill holds the granted pins whose response has not started, oldest first.
	toPrefill []*pin
}

// add records that the engine is about to receive a request.
func (r *prefills) add(now time.Time, p *pin) {
	p.grantedAt, p.prefilledAtGrant = now, r.prefilledTokens
	if len(r.toPrefill) > 0 {
		// The engine is prefilling the oldest prompt. On average half of it is left.
		p.prefilledAtGrant += r.toPrefill[0].toPrefill / 2
	}
	r.toPrefill = append(r.toPrefill, p)
}

// responseStarted records that the response to a request has started. Since its grant, the
// engine has prefilled the prompts of all responses that have started in the meantime. It
// returns false if the start was already recorded.
func (r *prefills) responseStarted(now time.Time, p *pin) bool {
	if !r.remove(p) {
		return false
	}
	r.prefilledTokens += p.toPrefill
	r.speed.Observe(r.prefilledTokens-p.prefilledAtGrant, now.Sub(p.grantedAt))
	return true
}

// remove removes a request that ends without a response, and reports whether it was still
// to prefill.
func (r *prefills) remove(p *pin) bool {
	i := slices.Index(r.toPrefill, p)
	if i < 0 {
		return false
	}
	r.toPrefill = slices.Delete(r.toPrefill, i, i+1)
	return true
}

// minSpeedChange is the relative change of the speed from which it is published again.
// Smaller changes do not affect the gateways' choices, and each change costs a long message
// to each gateway.
const minSpeedChange = 0.08

// publishedSpeed returns the speed to publish to gateways. It stays the same until the
// estimate has changed by minSpeedChange.
func (r *prefills) publishedSpeed() readspeed.Speed {
	const tokens = 3000 // a prompt of medium length
	now, last := r.speed.Speed(), r.lastPublished
	change := float64(now.TimeToFirstEvent(tokens)-last.TimeToFirstEvent(tokens)) / float64(now.TimeToFirstEvent(tokens))
	if change > minSpeedChange || change < -minSpeedChange {
		r.lastPublished = now
	}
	return r.lastPublished
}

// maxPrefillTime is the longest time after its grant for which a prompt counts as still to
// prefill. It is longer than the engines seen take to prefill one prompt beside others. A gateway
// that is frozen or cut off does not report the start of its response, and must not delay
// the prompts of others.
const maxPrefillTime = 2 * time.Second

// pendingTokens returns the number of prompt tokens that the engine has yet to prefill.
func (r *prefills) pendingTokens(now time.Time) int {
	n := 0
	for _, p := range r.toPrefill {
		if now.Sub(p.grantedAt) < maxPrefillTime {
			n += p.toPrefill
		}
	}
	return n
}

// waiting counts the prompts that the engine has yet to prefill.
func (r *prefills) waiting() enginelink.Waiting {
	var w enginelink.Waiting
	for _, p := range r.toPrefill {
		w.Add(p.priority, p.toPrefill)
	}
	return w
}
