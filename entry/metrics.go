package entry

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the entry's metrics.
type metrics struct {
	added    prometheus.Histogram
	requests *prometheus.CounterVec
	retries  prometheus.Counter
}

func newMetrics(r prometheus.Registerer, e *Entry) *metrics {
	m := &metrics{
		added: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "sandbarrow_first_part_seconds",
			Help:    "Time from a request to the first part of its answer.",
			Buckets: []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.31, 1, 3, 10, 30},
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_requests_total",
			Help: "Requests of callers by class, outcome and reason.",
		}, []string{"class", "outcome", "reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandbarrow_retries_total",
			Help: "Attempts after the first.",
		}),
	}
	r.MustRegister(m.added, m.requests, m.retries, e.tracker,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_agents_connected",
			Help: "Agents with a live connection.",
		}, func() float64 { return float64(e.Connected()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_configuration_revision",
			Help: "The configuration revision in force.",
		}, func() float64 { return float64(e.follower.Watermark().Revision) }),
	)
	return m
}
