package gateway

import (
	"context"
	"time"
)

// evacuatedRetryAfter is the mean delay after which a caller may retry a request that only upstreams
// of evacuated failure domains could serve. Operators end an evacuation after seconds at the
// earliest.
const evacuatedRetryAfter = time.Second

// followEvacuations cancels the waits of calls at upstreams whose failure domain is evacuated, until
// ctx ends. These calls choose another upstream. Calls that have been sent are not affected.
func (g *Gateway) followEvacuations(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := g.estate.Watermark()
		for _, domain := range g.estate.View().EvacuatedDomains() {
			g.upstreams.cancelWaitsIn(domain)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}
