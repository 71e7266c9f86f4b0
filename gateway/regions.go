package gateway

import (
	"slices"

	"sandbarrow.example/sandbarrow"
)

// allowsRegion decides whether upstreams of a region may serve a request. The lists of its route and
// of its workspace both apply; an empty list allows all regions. An upstream whose region is unknown
// serves unrestricted requests only.
func allowsRegion(region sandbarrow.Region, byRoute, byWorkspace []sandbarrow.Region) bool {
	return (len(byRoute) == 0 || region != "" && slices.Contains(byRoute, region)) &&
		(len(byWorkspace) == 0 || region != "" && slices.Contains(byWorkspace, region))
}

// mayServeIn decides whether upstreams of a failure domain may serve the call. Such an upstream also
// caches the prompt, and may copy it only from another one that may serve the call.
func (c *call) mayServeIn(domain sandbarrow.FailureDomain) bool {
	var byWorkspace []sandbarrow.Region
	if c.workspace != nil {
		byWorkspace = c.workspace.Regions
	}
	if len(c.route.Regions) == 0 && len(byWorkspace) == 0 {
		return true
	}
	return allowsRegion(c.gateway.config.Regions[domain], c.route.Regions, byWorkspace)
}
