package controller

import (
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/wire"
)

// handleDemand serves a message about loads or the demand for adapters; handled is false for any
// other message.
func (c *Controller) handleDemand(r *jsonrpc2.Request) (result any, handled bool, err error) {
	if c.demand == nil || r.Method != enginelink.MethodReportDemand {
		return c.loadClaims.handle(r)
	}
	var q enginelink.ReportDemand
	if err := wire.Decode(r, &q); err != nil {
		return nil, true, err
	}
	c.demand.report(&q)
	return nil, true, nil
}
