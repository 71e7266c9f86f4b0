package gateway

import (
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/forward"
)

// metrics are the gateway's metrics.
type metrics struct {
	blockedSends      *prometheus.CounterVec
	exits             *prometheus.CounterVec
	firstEventSeconds *prometheus.HistogramVec
	loadClaims        *prometheus.CounterVec
	permitRequests    *prometheus.CounterVec
	limitedSends      *prometheus.CounterVec
	moves             *prometheus.CounterVec
	oversized         *prometheus.CounterVec
	panics            prometheus.Counter
	quota             *prometheus.CounterVec
	quotaRequests     *prometheus.CounterVec
	requests          *prometheus.CounterVec
	resumes           *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	sent              *prometheus.CounterVec
	stalledCallers    prometheus.Counter
	stopRequests      *prometheus.CounterVec
	unrecordedStreams prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	buckets := []float64{0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1, 2, 4, 8, 16}
	m := &metrics{
		blockedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_blocked_sends_total", Help: "Requests given to upstreams that had announced to accept none, by what they announced.",
		}, []string{"service", "announced"}),
		exits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_upstream_ends_total", Help: "Upstreams that were found to have ended under a request, by the evidence.",
		}, []string{"service", "evidence"}),
		firstEventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sandbarrow_gateway_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: buckets,
		}, []string{"service"}),
		loadClaims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_load_claims_total", Help: "Questions which engine loads an adapter, by the answer.",
		}, []string{"service", "outcome"}),
		permitRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_limited_asks_total", Help: "Questions for a send to an upstream that names a limit, by the answer.",
		}, []string{"service", "outcome"}),
		limitedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_limited_sends_total", Help: "Requests given to upstreams that name a limit.",
		}, []string{"service"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_moves_total", Help: "Moves of prompt memory between engines that were chosen, by what came of them.",
		}, []string{"outcome"}),
		oversized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_oversized_responses_total", Help: "Responses of upstreams that were broken off because a part of them was too large, by part.",
		}, []string{"service", "part"}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_panics_total", Help: "Requests whose handler panicked.",
		}),
		quota: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_quota_units_total", Help: "Units that requests count against their workspaces' limits, by what came of asking for them.",
		}, []string{"workspace", "outcome"}),
		quotaRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_quota_requests_total", Help: "Requests that count against limits, by the priority of the route and outcome.",
		}, []string{"priority", "outcome"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_requests_total", Help: "Ended requests, by kind of route, status and reason.",
		}, []string{"kind", "status", "reason"}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_resumed_streams_total", Help: "Streams that callers resumed, by whether it was known where they began.",
		}, []string{"origin"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sandbarrow_gateway_request_seconds", Help: "Time to the end of a request.", Buckets: buckets,
		}, []string{"kind"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_sent_total", Help: "Requests given to upstreams, by service and whether it was the first time.",
		}, []string{"service", "first"}),
		stalledCallers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_stalled_callers_total", Help: "Callers that were disconnected because they read nothing of their response for too long.",
		}),
		stopRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_stop_requests_total", Help: "Requests that ended in a planned stop, by the connection on which they came, how they ended, and how far their upstream was.",
		}, []string{"connection", "outcome", "upstream"}),
		unrecordedStreams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sandbarrow_gateway_unrecorded_streams_total", Help: "Streams of which no other process was told where they began.",
		}),
	}
	r.MustRegister(m.blockedSends, m.exits, m.firstEventSeconds, m.loadClaims, m.permitRequests, m.limitedSends, m.moves, m.oversized, m.panics, m.quota, m.quotaRequests, m.requests, m.requestSeconds, m.resumes, m.sent, m.stalledCallers, m.stopRequests, m.unrecordedStreams)
	return m
}

// attemptFailed counts a failed attempt if a part of the response was too large.
func (m *metrics) attemptFailed(service sandbarrow.ServiceID, err error) {
	var tooLarge *forward.TooLargeError
	if errors.As(err, &tooLarge) {
		m.oversized.WithLabelValues(string(service), string(tooLarge.Part)).Inc()
	}
}

// blockedSend counts a request sent to an upstream whose notice in force said that it accepts none.
func (m *metrics) blockedSend(service sandbarrow.ServiceID, n *availability.Notice) {
	if n.Draining {
		m.blockedSends.WithLabelValues(string(service), "draining").Inc()
	}
	if n.Backoff > 0 {
		m.blockedSends.WithLabelValues(string(service), "backoff").Inc()
	}
}

func (m *metrics) firstEvent(c *call, took time.Duration) {
	m.firstEventSeconds.WithLabelValues(string(c.service.ID)).Observe(took.Seconds())
}

// quotaDecided counts the units that a request needed from its workspace's limit, by outcome:
// granted, refused or leaderless.
func (m *metrics) quotaDecided(c *call, outcome string) {
	m.quota.WithLabelValues(string(c.workspace.ID), outcome).Add(float64(c.quota.units))
	m.quotaRequests.WithLabelValues(strconv.Itoa(c.route.Priority), outcome).Inc()
}

// moveDecided counts a move by its outcome.
func (m *metrics) moveDecided(o moveOutcome) {
	m.moves.WithLabelValues(string(o)).Inc()
}

// finished counts a finished call.
func (m *metrics) finished(c *call, status int, why reason, took time.Duration) {
	kind := "none"
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	m.requests.WithLabelValues(kind, strconv.Itoa(status), string(why)).Inc()
	m.requestSeconds.WithLabelValues(kind).Observe(took.Seconds())
	if c.service != nil && c.sent > 0 {
		m.sent.WithLabelValues(string(c.service.ID), "true").Inc()
		m.sent.WithLabelValues(string(c.service.ID), "false").Add(float64(c.sent - 1))
	}
}
