package throttle

import "time"

const (
	// burstSeconds and maxBurst bound how many sends may be granted at once after a pause: one, and
	// those that accrue in burstSeconds. The burst lets unevenly arriving requests use the whole
	// limit.
	burstSeconds = 0.5
	maxBurst     = 3.0
	// maxDebt bounds, in sends, how far sends that were granted elsewhere or ahead of time may
	// delay the next one.
	maxDebt = 3.0
)

// bucket is a token bucket for the sends to one upstream, refilled at a rate in requests a second.
// A new bucket is empty, because earlier grants are not known.
type bucket struct {
	refilledAt time.Time
	tokens     float64
}

// burst is how many sends may be granted at once.
func burst(rate float64) float64 {
	return min(1+rate*burstSeconds, maxBurst)
}

// refill adds the tokens that have accrued since the last refill.
func (b *bucket) refill(now time.Time, rate float64) {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens += passed.Seconds() * rate
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, burst(rate))
}

// acquire grants one send if it can take place within a time. It returns the delay until the
// granted send, or until one can be granted.
func (b *bucket) acquire(now time.Time, rate float64, within time.Duration) (granted bool, wait time.Duration) {
	b.refill(now, rate)
	wait = b.wait(rate)
	if wait > within || b.tokens-1 < -maxDebt {
		return false, wait
	}
	b.tokens--
	return true, wait
}

// wait is the time until the next send is possible.
func (b *bucket) wait(rate float64) time.Duration {
	return time.Duration(max(0, 1-b.tokens) / rate * float64(time.Second))
}

// spend counts sends that were granted elsewhere. A negative number returns unused ones.
func (b *bucket) spend(now time.Time, rate float64, sends int) {
	b.refill(now, rate)
	b.tokens = min(max(b.tokens-float64(sends), -maxDebt), burst(rate))
}
