package readspeed

import "time"

// estimateNoise is the relative difference between the estimates of identical engines, since each
// follows only its last dozen responses. Differences up to this size say nothing about the engines,
// but would outweigh the cost of another failure domain.
const estimateNoise = 0.15

// ShrinkToward returns the speed moved toward a typical one by the noise of the estimates. A
// difference within the noise is removed.
func (s Speed) ShrinkToward(typical Speed) Speed {
	return Speed{Base: shrink(s.Base, typical.Base), PerToken: shrink(s.PerToken, typical.PerToken)}
}

func shrink(own, typical time.Duration) time.Duration {
	band := time.Duration(estimateNoise * float64(typical))
	switch {
	case own > typical+band:
		return own - band
	case own < typical-band:
		return own + band
	}
	return typical
}

// Mean is the mean of several speeds. Its zero value is empty.
type Mean struct {
	count time.Duration
	sum   Speed
}

// Add adds a speed to the mean.
func (m *Mean) Add(s Speed) {
	m.count++
	m.sum.Base += s.Base
	m.sum.PerToken += s.PerToken
}

// Speed returns the mean, or Prior if there is none.
func (m *Mean) Speed() Speed {
	if m.count == 0 {
		return Prior
	}
	return Speed{Base: m.sum.Base / m.count, PerToken: m.sum.PerToken / m.count}
}
