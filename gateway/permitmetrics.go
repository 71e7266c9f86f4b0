package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
)

// permitMetrics are the metrics of permits for contended plain upstreams.
type permitMetrics struct {
	asks        *prometheus.CounterVec
	waitSeconds *prometheus.HistogramVec
}

func newPermitMetrics(r prometheus.Registerer, contended func() float64) *permitMetrics {
	m := &permitMetrics{
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_permit_asks_total", Help: "Requests for permits to send to contended plain upstreams, by outcome.",
		}, []string{"service", "outcome"}),
		waitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sandbarrow_gateway_permit_wait_seconds", Help: "Time to the decision on a permit.", Buckets: []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1},
		}, []string{"service"}),
	}
	r.MustRegister(m.asks, m.waitSeconds, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sandbarrow_gateway_contended_upstreams", Help: "Plain upstreams that count as contended.",
	}, contended))
	return m
}

// asked counts a request for a permit: granted, refused, uncontended, or left by its caller.
func (m *permitMetrics) asked(service sandbarrow.ServiceID, outcome string, waited time.Duration) {
	m.asks.WithLabelValues(string(service), outcome).Inc()
	m.waitSeconds.WithLabelValues(string(service)).Observe(waited.Seconds())
}
