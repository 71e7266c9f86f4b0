package controller

import (
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
)

// pinExpirySlack is how much longer than its request a pin is kept, for an unpin that is on its way.
const pinExpirySlack = time.Second

// expiryOf decides until when a pin may last: a request ends at its deadline, whatever becomes of the
// unpin. A pin that its gateway reports again lasts as long once more. The zero time means that the
// gateway has not named the deadline, as one of a former build.
func expiryOf(now time.Time, q *enginelink.Acquire) time.Time {
	if q.DeadlineMS <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(q.DeadlineMS)*time.Millisecond + pinExpirySlack)
}

// hasExpired reports whether the pin's request has ended.
func (p *pin) hasExpired(now time.Time) bool {
	return !p.expires.IsZero() && now.After(p.expires)
}

// expirePins releases the pins of requests that have ended. The caller holds mu.
func (c *Controller) expirePins(l *link) {
	now := c.now()
	for id, p := range l.pins {
		if !p.hasExpired(now) {
			continue
		}
		delete(l.pins, id)
		c.slots.unpin(now, p)
		c.metrics.expiredPins.Inc()
		c.published.markChanged()
		c.wakeEngineLoop()
	}
}
