package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// metrics are the controller's figures.
type metrics struct {
	loads    prometheus.Histogram
	orders   *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		loads: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sandbarrow_controller_load_seconds", Help: "Time from the order to the loaded adapter.",
			Buckets: []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3},
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_orders_total", Help: "Orders to the engine, by operation and outcome.",
		}, []string{"operation", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_refusals_total", Help: "Refused uses of an adapter, by reason.",
		}, []string{"reason"}),
	}
	r.MustRegister(m.loads, m.orders, m.refusals)
	return m
}

func (m *metrics) order(o *sandbarrow.EngineOrder, outcome string) {
	operation := "unload"
	if o.Load {
		operation = "load"
	}
	m.orders.WithLabelValues(operation, outcome).Inc()
}

func (m *metrics) refused(r enginelink.RefuseReason) {
	m.refusals.WithLabelValues(string(r)).Inc()
}
