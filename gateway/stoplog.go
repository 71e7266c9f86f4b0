package gateway

import (
	"cmp"
	"log/slog"
	"net/http"

	"sandbarrow.example/sandbarrow/httpserve"
)

// upstreamPhase is how far the upstream of a call's last attempt is known to be.
type upstreamPhase string

// The phases of an upstream.
const (
	// phaseNotSent is a call that no upstream has received.
	phaseNotSent upstreamPhase = "not-sent"
	// phaseWaiting is an upstream that has the request and has not responded.
	phaseWaiting upstreamPhase = "waiting"
	// phaseResponding is an upstream that has sent the header of its response.
	phaseResponding upstreamPhase = "responding"
	// phaseResponded is an upstream whose response has been read to its end.
	phaseResponded upstreamPhase = "responded"
)

// stopOutcome is how a call ended in a planned stop.
type stopOutcome string

// The outcomes of a call in a planned stop.
const (
	// stopCut is a call that ran when the stop ended all that did.
	stopCut stopOutcome = "cut"
	// stopFailed is a call that an upstream may have run, and that got no complete response of it.
	stopFailed stopOutcome = "failed"
	// stopFinished is a call that ended with a response of its upstream.
	stopFinished stopOutcome = "finished"
	// stopLeft is a call whose caller left or stalled before.
	stopLeft stopOutcome = "left"
	// stopRefused is a call that ended with a response of the gateway and was not run.
	stopRefused stopOutcome = "refused"
)

// The connections on which a call can come.
const (
	newConnection  = "new"
	keptConnection = "kept"
)

// stopOutcomeOf decides how a call ended in a planned stop.
//
// Inputs: the status of its response, 0 without one; why it ended, "" with a response of its upstream;
// whether the response was written; whether the stop has ended what still ran; and how far the upstream was.
func stopOutcomeOf(status int, why reason, written, ended bool, phase upstreamPhase) stopOutcome {
	complete := status != 0 && written
	switch {
	case ended && !complete, why == reasonStopping && phase != phaseNotSent:
		return stopCut
	case why == "" && complete:
		return stopFinished
	case why == "", why == reasonCallerLeft, why == reasonCallerStalled:
		return stopLeft
	case !complete, status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
		return stopFailed
	}
	return stopRefused
}

// connectionKind tells whether a call came on a new connection or on a kept one.
func (c *call) connectionKind() string {
	if conn := httpserve.RequestConn(c.request); conn != nil && conn.Use().Requests > 1 {
		return keptConnection
	}
	return newConnection
}

// recordStop counts a call that ended in a planned stop and returns its log attributes; none at other
// times. They tell when it came, on what connection, how much time it had until its deadline and until
// the end of the stop, how it ended, and how far its upstream was.
func (c *call) recordStop(status int, why reason) []slog.Attr {
	s := c.gateway.stopping.Load()
	if s == nil {
		return nil
	}
	kind, phase := c.connectionKind(), cmp.Or(c.phase, phaseNotSent)
	outcome := stopOutcomeOf(status, why, !c.writeFailed, s.ended(), phase)
	s.count(outcome)
	c.gateway.metrics.stopRequests.WithLabelValues(kind, string(outcome), string(phase)).Inc()
	attrs := []slog.Attr{
		slog.Int64("stop_arrival_ms", c.began.Sub(s.began).Milliseconds()), slog.Int64("stop_left_ms", s.callsEnd.Sub(c.began).Milliseconds()),
		slog.String("stop_outcome", string(outcome)), slog.String("connection", kind), slog.String("upstream_phase", string(phase)),
	}
	if !c.deadline.IsZero() {
		attrs = append(attrs, slog.Int64("deadline_ms", c.deadline.Sub(c.began).Milliseconds()))
	}
	return attrs
}
