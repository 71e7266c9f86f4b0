package controller

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
)

// newPermits returns the coordinator of send permits for contended plain upstreams, of any service, and
// registers its metrics.
func (c *Controller) newPermits(r prometheus.Registerer) *enginelink.PermitCoordinator {
	permits := enginelink.NewPermitCoordinator(c.broadcastContended)
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_contended_upstreams", Help: "Plain upstreams to which this controller grants send permits.",
		}, func() float64 {
			contended, _, _ := permits.Counts()
			return float64(contended)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_send_permits", Help: "Outstanding send permits that this controller has granted or was told of.",
		}, func() float64 {
			_, outstanding, _ := permits.Counts()
			return float64(outstanding)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_send_permits_waiting", Help: "Requests that wait for a send permit.",
		}, func() float64 {
			_, _, waiting := permits.Counts()
			return float64(waiting)
		}),
	)
	return permits
}

// handlePermit processes a message about send permits.
func (l *link) handlePermit(r *jsonrpc2.Request) (any, error) {
	reply, handled, err := l.controller.permits.Handle(l.rpc, r)
	if !handled {
		return l.handleQuota(r)
	}
	return reply, err
}

// broadcastContended tells all gateways of upstreams that have become contended.
func (c *Controller) broadcastContended(m enginelink.Contended) {
	for _, id := range m.Instances {
		c.logger.Info("upstream contended", "upstream", string(id))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		go func() { _ = l.rpc.Notify(context.Background(), enginelink.MethodContended, m) }() // a closed link needs no notice
	}
}
