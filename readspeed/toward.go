package readspeed

import "time"

// noise is the share by which the estimates of engines that are alike differ: each
// follows its last dozen answers. Differences up to it are not engines' own and outweigh
// the price of another failure domain.
const noise = 0.15

// ShrinkToward returns the speed without the part of its difference to a typical one that is
// within the noise of estimates.
func (s Speed) ShrinkToward(typical Speed) Speed {
	return Speed{Base: toward(s.Base, typical.Base), PerToken: toward(s.PerToken, typical.PerToken)}
}

func toward(own, typical time.Duration) time.Duration {
	band := time.Duration(noise * float64(typical))
	switch {
	case own > typical+band:
		return own - band
	case own < typical-band:
		return own + band
	}
	return typical
}

// Mean is the mean of speeds. Its zero value has none.
type Mean struct {
	count time.Duration
	sum   Speed
}

// Add counts one more speed.
func (m *Mean) Add(s Speed) {
	m.count++
	m.sum.Base += s.Base
	m.sum.PerToken += s.PerToken
}

// Speed returns the mean, or Prior of none.
func (m *Mean) Speed() Speed {
	if m.count == 0 {
		return Prior
	}
	return Speed{Base: m.sum.Base / m.count, PerToken: m.sum.PerToken / m.count}
}
