package permit

import (
	"math"
	"time"
)

const (
	// defaultService is the service time of an upstream without any estimate.
	defaultService = 20 * time.Millisecond
	minService     = time.Millisecond
	// serviceWeight is the weight of one sample. The mean follows a change within some 20 requests.
	serviceWeight = 0.05
	// maxSampleFactor bounds the effect of one sample: it counts as at most this many times the
	// estimate, and at least one part in as many.
	maxSampleFactor = 4
	// initialDeviationDivisor is the part of the first sample that is taken for its deviation, as for TCP's
	// round trips (RFC 6298).
	initialDeviationDivisor = 2
)

// serviceTime estimates the time that a request occupies a slot of an upstream: its mean, and its mean
// deviation from it.
type serviceTime struct{ mean, deviation time.Duration }

// likely returns the time within which a request ends that takes so many mean deviations longer than the
// estimate. prior is used as by estimate.
func (s *serviceTime) likely(prior time.Duration, deviations int) time.Duration {
	deviation := s.deviation
	if s.mean == 0 {
		deviation = s.estimate(prior) / initialDeviationDivisor
	}
	return s.estimate(prior) + time.Duration(deviations)*deviation
}

// estimate returns the estimate of the mean. prior is used until the first sample; 0 if there is none.
func (s *serviceTime) estimate(prior time.Duration) time.Duration {
	switch {
	case s.mean > 0:
		return s.mean
	case prior > 0:
		return max(prior, minService)
	}
	return defaultService
}

// observe adds a sample: how long a request took, and how many were outstanding per slot when it was
// sent. With more than one, the request has waited at the upstream in proportion.
func (s *serviceTime) observe(took time.Duration, perSlot float64) time.Duration {
	sample := float64(took) / max(1, perSlot)
	if s.mean == 0 {
		s.mean = max(time.Duration(sample), minService)
		s.deviation = s.mean / initialDeviationDivisor
		return s.mean
	}
	mean := float64(s.mean)
	sample = min(max(sample, mean/maxSampleFactor), mean*maxSampleFactor)
	s.deviation += time.Duration(serviceWeight * (math.Abs(sample-mean) - float64(s.deviation)))
	s.mean = max(time.Duration(mean+serviceWeight*(sample-mean)), minService)
	return time.Duration(sample)
}
