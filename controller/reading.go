package controller

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

// reading follows which prompts the engine has yet to read, from the grants of pins and
// the gateways' reports that an answer has begun, and learns the engine's speed from
// them. It is not safe for concurrent use: the controller's mu guards it.
type reading struct {
	speed readspeed.Estimator
	// published is the speed that gateways were told last.
	published readspeed.Speed
	// read counts the prompt tokens of all requests whose answer has begun.
	read int
	// unread are the granted pins whose answer has not begun, the oldest first.
	unread []*pin
}

// granted notes that the engine is about to get a request.
func (r *reading) granted(now time.Time, p *pin) {
	p.grantedAt, p.readBefore = now, r.read
	if len(r.unread) > 0 {
		// The engine is reading the oldest one; on average half of it is left.
		p.readBefore += r.unread[0].unread / 2
	}
	r.unread = append(r.unread, p)
}

// begun notes that the answer to a request has begun: since its grant the engine has
// read the prompts of all answers that have begun meanwhile. It returns false where that
// was known.
func (r *reading) begun(now time.Time, p *pin) bool {
	if !r.forget(p) {
		return false
	}
	r.read += p.unread
	r.speed.Observe(r.read-p.readBefore, now.Sub(p.grantedAt))
	return true
}

// forget drops a request that ends without an answer, and reports whether it was
// unread.
func (r *reading) forget(p *pin) bool {
	i := slices.Index(r.unread, p)
	if i < 0 {
		return false
	}
	r.unread = slices.Delete(r.unread, i, i+1)
	return true
}

// speedStep is by how much the speed must change before gateways are told, as a share: a choice
// does not turn on less, and each change is a long message to each gateway.
const speedStep = 0.08

// publishedSpeed is the speed that gateways are told: the last one until the estimate
// has moved by speedStep.
func (r *reading) publishedSpeed() readspeed.Speed {
	const tokens = 3000 // of a prompt of middling length
	now, last := r.speed.Speed(), r.published
	change := float64(now.TimeToFirstEvent(tokens)-last.TimeToFirstEvent(tokens)) / float64(now.TimeToFirstEvent(tokens))
	if change > speedStep || change < -speedStep {
		r.published = now
	}
	return r.published
}

// longestRead is how long after its grant a prompt is taken for unread at most: longer than the
// engines seen read one beside others. A gateway that is frozen or cut off does not report its
// begin, and must not hold up the prompts of others.
const longestRead = 2 * time.Second

// tokens is how many prompt tokens the engine has yet to read.
func (r *reading) tokens(now time.Time) int {
	n := 0
	for _, p := range r.unread {
		if now.Sub(p.grantedAt) < longestRead {
			n += p.unread
		}
	}
	return n
}

// waiting counts the prompts that the engine has yet to read.
func (r *reading) waiting() enginelink.Waiting {
	var w enginelink.Waiting
	for _, p := range r.unread {
		w.Add(p.priority, p.unread)
	}
	return w
}
