package controller

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// metrics holds the controller's metrics.
type metrics struct {
	eventBase       prometheus.Gauge
	eventPerRunning prometheus.Gauge
	expiredPins     prometheus.Counter
	holds           *prometheus.CounterVec
	linkEnds        *prometheus.CounterVec
	responseBase    prometheus.Gauge
	demandWrites    *prometheus.CounterVec
	loadClaims      *prometheus.CounterVec
	loads           prometheus.Histogram
	modelVersion    *prometheus.GaugeVec
	orders          *prometheus.CounterVec
	preloads        prometheus.Counter
	prefillPerToken prometheus.Gauge
	prefillWindow   prometheus.Gauge
	refusals        *prometheus.CounterVec
	tokensWaiting   prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		eventBase: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_event_base_seconds", Help: "Estimated time between two events of a stream without other requests.",
		}),
		eventPerRunning: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_event_seconds_per_running", Help: "Estimated time that each running request adds between two events of a stream.",
		}),
		expiredPins: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandbarrow_controller_expired_pins_total", Help: "Pins that were released since their request had ended by its deadline.",
		}),
		holds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_prompt_holds_total", Help: "Prompts that had to wait for the engine's streams, slots or memory, by reason.",
		}, []string{"reason"}),
		linkEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_link_ends_total", Help: "Links of gateways that the controller has closed, by reason.",
		}, []string{"reason"}),
		responseBase: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_answer_base_seconds", Help: "Estimated time to an answer's first event beside reading the prompt.",
		}),
		demandWrites: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_demand_writes_total", Help: "Writes of the demand for adapters to the store, by outcome.",
		}, []string{"outcome"}),
		loadClaims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_load_claims_total", Help: "Questions of gateways which engine loads an adapter, by whether the gateway's own choice was taken.",
		}, []string{"first"}),
		loads: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sandbarrow_controller_load_seconds", Help: "Time from the order to the loaded adapter.",
			Buckets: []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3},
		}),
		modelVersion: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_model_version", Help: "Version of the base model's weights that the engine runs.",
		}, []string{"model"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_orders_total", Help: "Orders to the engine, by operation and outcome.",
		}, []string{"operation", "outcome"}),
		preloads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandbarrow_controller_preloads_total", Help: "Adapters chosen to be loaded before they are requested.",
		}),
		prefillPerToken: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_read_seconds_per_token", Help: "Estimated time for the engine to read one prompt token.",
		}),
		prefillWindow: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_read_window_tokens", Help: "Prompt tokens that the engine may have to read at once.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_controller_refusals_total", Help: "Refused uses of an adapter, by reason.",
		}, []string{"reason"}),
		tokensWaiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sandbarrow_controller_waiting_tokens", Help: "Prompt tokens that the engine has yet to read.",
		}),
	}
	r.MustRegister(m.eventBase, m.eventPerRunning, m.expiredPins, m.holds, m.linkEnds, m.responseBase, m.demandWrites, m.preloads, m.loadClaims, m.loads, m.modelVersion, m.orders, m.prefillPerToken, m.prefillWindow, m.refusals, m.tokensWaiting)
	return m
}

// modelLoaded sets the version of a base model that the engine has loaded.
func (m *metrics) modelLoaded(l sandbarrow.LoadedModel) {
	m.modelVersion.WithLabelValues(string(l.Model)).Set(float64(l.Version))
}

func (m *metrics) order(o *sandbarrow.EngineOrder, outcome string) {
	operation := "unload"
	if o.Load {
		operation = "load"
	}
	m.orders.WithLabelValues(operation, outcome).Inc()
}

// published sets the engine's speed and queue from a status, and the size of its prefill
// window in tokens.
func (m *metrics) published(s *enginelink.Status, prefillWindow int) {
	m.prefillWindow.Set(float64(prefillWindow))
	m.eventBase.Set(s.EventTimes.Base.Seconds())
	m.eventPerRunning.Set(s.EventTimes.PerRunning.Seconds())
	m.responseBase.Set(s.Speed.Base.Seconds())
	m.prefillPerToken.Set(s.Speed.PerToken.Seconds())
	m.tokensWaiting.Set(float64(s.WaitingTokens))
}

// demandWritten counts a write of the demand by its result.
func (m *metrics) demandWritten(err error) {
	outcome := "stored"
	switch {
	case errors.Is(err, sandbarrow.ErrStoreConflict):
		outcome = "conflict"
	case err != nil:
		outcome = "failed"
	}
	m.demandWrites.WithLabelValues(outcome).Inc()
}

// loadClaimed counts a question which engine loads an adapter.
func (m *metrics) loadClaimed(first bool) {
	m.loadClaims.WithLabelValues(strconv.FormatBool(first)).Inc()
}

// held counts a prompt that has to wait.
func (m *metrics) held(r holdReason) {
	m.holds.WithLabelValues(string(r)).Inc()
}

func (m *metrics) refused(r enginelink.RefuseReason) {
	m.refusals.WithLabelValues(string(r)).Inc()
}
