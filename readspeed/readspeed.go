// Package readspeed estimates an engine's prefill speed from its responses. It owns the estimate of
// one engine and depends on nothing. Controllers maintain one for their engine, and gateways choose
// engines by it. No constant fits: the users' engines differ by a factor of two between
// deployments, and by a factor of five while one is slow.
package readspeed

import (
	"math"
	"time"
)

// Speed describes an engine's time to the first event of a response.
type Speed struct {
	// Base is the time without prefill: network, the engine's queue step and the first token.
	Base time.Duration `json:"base_ns"`
	// PerToken is the prefill time of each prompt token that the engine processes in the meantime.
	PerToken time.Duration `json:"per_token_ns"`
}

// TimeToFirstEvent is the time to prefill so many prompt tokens and send the first event.
func (s Speed) TimeToFirstEvent(tokens int) time.Duration {
	return s.Base + s.PrefillTime(tokens)
}

// PrefillTime is the time to prefill so many prompt tokens alone.
func (s Speed) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * s.PerToken
}

// Prior is the assumed speed of an engine before its first response: between the 26 and 52 µs a
// token of the engines seen.
var Prior = Speed{Base: 30 * time.Millisecond, PerToken: 40 * time.Microsecond}

const (
	// gain is the weight of one response in the estimate. About twenty responses are enough to
	// detect that an engine has become five times slower.
	gain = 0.16
	// maxLogError bounds the effect of one response. It applies to the logarithm of the ratio of
	// actual to expected time; 0.7 is a factor of two. With this bound the estimate follows the
	// majority of responses: one stalled response in ten moves it by a tenth.
	maxLogError = 0.7
	// scaleTokens is the prompt length at which a response moves Base and PerToken by the same
	// ratio. Longer prompts move PerToken more. It is about the mean length of the prompts seen.
	scaleTokens = 3000
)

// The bounds of an estimate: a hundred times faster and thirty times slower than any engine seen.
const (
	minPerToken = 500 * time.Nanosecond
	maxPerToken = 1500 * time.Microsecond
	minBase     = time.Millisecond
	maxBase     = 500 * time.Millisecond
)

// Estimator learns the speed of one engine. Its zero value returns Prior. It is not safe for
// concurrent use.
type Estimator struct {
	base, perToken float64 // nanoseconds
	observed       int
}

// Observe updates the estimate with one response. tokens is the number of prompt tokens that the
// engine prefilled between receiving the request and sending the first event, and took is the time
// between the two.
func (e *Estimator) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.initialize(Prior)
	x := float64(tokens) / scaleTokens
	expected := e.base + e.perToken*float64(tokens)
	logError := min(max(math.Log(float64(took)/expected), -maxLogError), maxLogError)
	step := gain * logError * expected / (1 + x*x)
	e.base = min(max(e.base+step, float64(minBase)), float64(maxBase))
	e.perToken = min(max(e.perToken+step*x/scaleTokens, float64(minPerToken)), float64(maxPerToken))
	e.observed++
}

// Speed returns the estimate.
func (e *Estimator) Speed() Speed {
	if e.perToken == 0 {
		return Prior
	}
	return Speed{Base: time.Duration(e.base), PerToken: time.Duration(e.perToken)}
}

// Adopt starts from an estimate of another process, unless a response was already observed.
func (e *Estimator) Adopt(s Speed) {
	if e.observed == 0 && s.PerToken > 0 {
		e.perToken = 0
		e.initialize(s)
	}
}

// initialize sets the initial estimate if there is none yet.
func (e *Estimator) initialize(s Speed) {
	if e.perToken > 0 {
		return
	}
	e.base = min(max(float64(s.Base), float64(minBase)), float64(maxBase))
	e.perToken = min(max(float64(s.PerToken), float64(minPerToken)), float64(maxPerToken))
}
