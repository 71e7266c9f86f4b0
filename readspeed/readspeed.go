// Package readspeed estimates how fast an engine reads prompts, from what its answers
// show. It owns the estimate of one engine and relies on nothing; controllers keep one
// for their engine, and gateways choose engines by it. Engines of the users differ by
// a factor of two between deployments and of five while one is slow, so that no
// constant holds.
package readspeed

import (
	"math"
	"time"
)

// Speed is how long an engine takes to the first event of an answer.
type Speed struct {
	// Base is the time beside reading: the way, the queue's step, the first token.
	Base time.Duration `json:"base_ns"`
	// PerToken is the time for each prompt token that is read meanwhile.
	PerToken time.Duration `json:"per_token_ns"`
}

// TimeToFirstEvent is the time until so many prompt tokens have been read and the first event is
// there.
func (s Speed) TimeToFirstEvent(tokens int) time.Duration {
	return s.Base + s.PrefillTime(tokens)
}

// PrefillTime is the time for so many prompt tokens alone.
func (s Speed) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * s.PerToken
}

// Prior is what is assumed of an engine that nobody has seen answer yet: between the
// 26 and 52 µs a token of the engines seen.
var Prior = Speed{Base: 30 * time.Millisecond, PerToken: 40 * time.Microsecond}

const (
	// gain is how far one answer moves the estimate towards itself: some twenty answers show that
	// an engine has become five times as slow.
	gain = 0.16
	// mostSurprise bounds how far one answer counts, as the logarithm of its time over
	// the time expected (0.7 is a factor of two): with a bound on the logarithm the
	// estimate follows what most answers show, and one in ten that stalls moves it by
	// a tenth.
	mostSurprise = 0.7
	// scaleTokens is the length of prompt at which an answer moves Base and PerToken
	// alike; longer ones tell more of PerToken. About the mean of the prompts seen.
	scaleTokens = 3000
)

// The bounds of an estimate: a hundred times faster and thirty times slower than any
// engine seen.
const (
	leastPerToken = 500 * time.Nanosecond
	mostPerToken  = 1500 * time.Microsecond
	leastBase     = time.Millisecond
	mostBase      = 500 * time.Millisecond
)

// Estimator learns the speed of one engine. Its zero value knows nothing and expects
// Prior. It is not safe for concurrent use.
type Estimator struct {
	base, perToken float64 // nanoseconds
	observed       int
}

// Observe counts one answer: so many prompt tokens were read from the moment the
// engine had the request until its first event, which took so long.
func (e *Estimator) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.start(Prior)
	x := float64(tokens) / scaleTokens
	expected := e.base + e.perToken*float64(tokens)
	surprise := min(max(math.Log(float64(took)/expected), -mostSurprise), mostSurprise)
	step := gain * surprise * expected / (1 + x*x)
	e.base = min(max(e.base+step, float64(leastBase)), float64(mostBase))
	e.perToken = min(max(e.perToken+step*x/scaleTokens, float64(leastPerToken)), float64(mostPerToken))
	e.observed++
}

// Speed returns the estimate.
func (e *Estimator) Speed() Speed {
	if e.perToken == 0 {
		return Prior
	}
	return Speed{Base: time.Duration(e.base), PerToken: time.Duration(e.perToken)}
}

// Adopt starts from another's estimate, as long as nothing was observed here.
func (e *Estimator) Adopt(s Speed) {
	if e.observed == 0 && s.PerToken > 0 {
		e.perToken = 0
		e.start(s)
	}
}

// start takes an estimate to begin with, where there is none.
func (e *Estimator) start(s Speed) {
	if e.perToken > 0 {
		return
	}
	e.base = min(max(float64(s.Base), float64(leastBase)), float64(mostBase))
	e.perToken = min(max(float64(s.PerToken), float64(leastPerToken)), float64(mostPerToken))
}
