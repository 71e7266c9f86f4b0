package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/distance"
)

const (
	// crossDomainPenalty and crossRegionPenalty are the penalties for the traffic of a request to
	// another failure domain of the region, and to another region.
	crossDomainPenalty = 12 * time.Millisecond
	crossRegionPenalty = 36 * time.Millisecond
	// requestRoundTrips is how many round trips pass before the first event: one to acquire the
	// adapter, one for the request.
	requestRoundTrips = 2
)

// distancePenalties are the penalties for upstreams by their distance from one gateway.
type distancePenalties struct {
	domain     sandbarrow.FailureDomain
	regions    map[sandbarrow.FailureDomain]sandbarrow.Region
	roundTrips distance.RoundTrips
}

// distancePenalties returns the current penalties for upstreams by their distance.
func (g *Gateway) distancePenalties() distancePenalties {
	return distancePenalties{domain: g.config.Domain, regions: g.config.Regions, roundTrips: g.distances.RoundTrips()}
}

// to returns the penalty for an upstream in a failure domain: the network's delay until the first
// event, and a delay of equal value for the traffic.
func (d *distancePenalties) to(domain sandbarrow.FailureDomain) time.Duration {
	if domain == d.domain {
		return 0
	}
	penalty := crossDomainPenalty
	if d.regions[domain] != d.regions[d.domain] {
		penalty = crossRegionPenalty
	}
	return penalty + requestRoundTrips*d.roundTrips.To(domain)
}
