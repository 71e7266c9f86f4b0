// Package engineload predicts how an engine's load affects its running streams. It learns the time
// between two events of a stream from the engine's reports, and estimates from it the chance that a
// stream pauses for too long. It owns the estimate of one engine and depends on nothing. Controllers
// maintain one for their engine, and gateways choose engines by it.
package engineload

import "time"

// Curve is the time between two events of a stream by the number of running requests, without the
// time that the engine spends on prompts in between. Its zero value is unknown.
type Curve struct {
	// Base is the time without other requests.
	Base time.Duration `json:"b"`
	// PerRunning is what each running request adds.
	PerRunning time.Duration `json:"r"`
}

// EventTime is the time between two events with so many running requests.
func (c Curve) EventTime(running int) time.Duration {
	return c.Base + time.Duration(max(running, 0))*c.PerRunning
}

// Known reports whether the curve has been learnt.
func (c Curve) Known() bool {
	return c.Base > 0
}

// Scale returns the curve of an engine that is slower by a factor.
func (c Curve) Scale(factor float64) Curve {
	return Curve{Base: time.Duration(float64(c.Base) * factor), PerRunning: time.Duration(float64(c.PerRunning) * factor)}
}

// typicalRunning is the number of running requests at which curves are compared. Engines under load
// run 8 to 35.
const typicalRunning = 16

// TypicalEventTime is the time between two events under usual load, by which curves are compared.
func (c Curve) TypicalEventTime() time.Duration {
	return c.EventTime(typicalRunning)
}

// Prior is the assumed curve of an engine before its first reports.
var Prior = Curve{Base: 30 * time.Millisecond, PerRunning: 400 * time.Microsecond}
