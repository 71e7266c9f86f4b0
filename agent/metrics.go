package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/schedule"
)

// metrics holds the agent's metrics.
type metrics struct {
	attempts *prometheus.CounterVec
	orders   *prometheus.CounterVec
	stalls   prometheus.Histogram
}

func newMetrics(r prometheus.Registerer, a *Agent) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_attempts_total",
			Help: "Attempts by how they ended.",
		}, []string{"outcome"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_orders_total",
			Help: "Orders to the engine by kind and result.",
		}, []string{"order", "result"}),
		stalls: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "sandbarrow_load_stall_seconds",
			Help:    "Time that requests waited for their adapter.",
			Buckets: []float64{0.001, 0.01, 0.1, 0.3, 1, 3, 10, 30},
		}),
	}
	gauge := func(name, help string, value func(schedule.Stats) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(value(a.scheduler.Stats(boottime.Now())))
		})
	}
	r.MustRegister(m.attempts, m.orders, m.stalls,
		gauge("sandbarrow_queued", "Waiting requests.", func(s schedule.Stats) int { return s.Queued }),
		gauge("sandbarrow_running", "Running requests.", func(s schedule.Stats) int { return s.Running }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sandbarrow_configuration_revision",
			Help: "The configuration revision in force.",
		}, func() float64 { return float64(a.follower.Watermark().Revision) }),
	)
	return m
}
