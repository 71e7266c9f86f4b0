package gateway

import (
	"context"
	"log/slog"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/httpserve"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// maxLoggedBytes bounds text of a caller in a log line. It is enough to recognise a host or path.
const maxLoggedBytes = 80

// logAttempt logs a failed attempt, with the state of the upstream by which it was chosen.
func (c *call) logAttempt(id sandbarrow.InstanceID, result, cause string, e *candidate) {
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.String("upstream", string(id)), slog.String("result", result), slog.String("cause", cause),
		slog.Int64("after_ms", c.elapsed().Milliseconds()), slog.Int("sent", c.sent), slog.Int("events", c.events),
	}
	if c.digest != nil {
		attrs = append(attrs, slog.String("fingerprint", c.digest.String()))
	}
	if c.position.lastEvent != "" {
		attrs = append(attrs, slog.String("last_event", clip(c.position.lastEvent)))
	}
	if id == c.lastUpstream {
		attrs = append(attrs, slog.String("software", string(c.lastSoftware)))
		attrs = append(attrs, noticeAttributes(&c.notice)...)
	}
	attrs = append(attrs, e.attributes()...)
	c.gateway.logger.LogAttrs(context.Background(), slog.LevelInfo, "attempt", attrs...)
}

// finish records the metrics of the call and logs it.
func (c *call) finish(status int, why reason) {
	c.extendWriteDeadline() // for what the server writes after the handler
	took := c.elapsed()
	c.gateway.metrics.finished(c, status, why, took)
	if c.sent > 0 && (why == "" || why == reasonDeadline) {
		c.gateway.routeTimes.observe(c.route.Name, took)
		c.gateway.workTimes.observe(c.route.Name, boottime.Since(c.sentAt))
	}
	level := slog.LevelInfo
	if why != "" {
		level = slog.LevelWarn
	}
	attrs := append(c.attributes(status, why, took), c.recordStop(status, why)...)
	c.gateway.logger.LogAttrs(context.Background(), level, "request", attrs...)
}

// attributes returns the log attributes of the end of the call and its reasons.
func (c *call) attributes(status int, why reason, took time.Duration) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("status", status), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int("sent", c.sent), slog.Int("ran", c.ran), slog.String("upstream", string(c.lastUpstream)),
	}
	if c.position.lastEvent != "" && (why != "" || c.sent > 1 || c.resumed()) {
		attrs = append(attrs, slog.String("software", string(c.lastSoftware)))
	}
	attrs = append(attrs, c.resumeAttributes()...)
	if why != "" {
		attrs = append(attrs, slog.String("reason", string(why)))
	}
	attrs = append(attrs, c.connectionAttributes(why)...)
	if c.namedLimit > 0 {
		attrs = append(attrs, slog.Float64("upstream_limit", c.namedLimit))
	}
	attrs = append(attrs, noticeAttributes(&c.notice)...)
	if c.workspace != nil {
		attrs = append(attrs, slog.String("workspace", string(c.workspace.ID)))
		attrs = append(attrs, c.quota.attributes()...)
		attrs = append(attrs, c.quota.leaderlessAttributes()...)
	}
	attrs = append(attrs, c.plain.attributes()...)
	attrs = append(attrs, c.crashAttributes()...)
	attrs = append(attrs, c.partAttributes()...)
	if c.view != nil {
		attrs = append(attrs, slog.Uint64("config", c.view.Table.Version), slog.Int64("config_age_ms", time.Since(c.view.InForceSince).Milliseconds()))
		attrs = append(attrs, c.gateway.trustAttributes()...)
	}
	if c.route != nil {
		attrs = append(attrs, slog.String("route", c.route.Name))
	} else {
		attrs = append(attrs, slog.String("host", clip(c.request.Host)), slog.String("path", clip(c.request.URL.Path)))
		attrs = append(attrs, c.gateway.stateAttributes()...)
	}
	if c.service != nil && c.service.Engine != nil {
		attrs = append(attrs, slog.String("adapter", string(c.key.Adapter)), slog.Uint64("version", uint64(c.version)),
			slog.Int("tokens", c.tokens), slog.Int64("acquire_ms", c.acquired.Milliseconds()),
			slog.Int64("first_ms", c.first.Milliseconds()), slog.Int("events", c.events), slog.Int64("longest_pause_ms", c.longestPause.Milliseconds()))
		attrs = append(attrs, c.chosen.attributes()...)
	}
	return attrs
}

// connectionAttributes returns the log attributes of the caller's connection if it ended before the
// response was complete: which side closed it, how many requests it carried, and how long it was idle
// before this one.
func (c *call) connectionAttributes(why reason) []slog.Attr {
	conn := httpserve.RequestConn(c.request)
	if conn == nil || why != reasonCallerLeft && why != reasonCallerStalled {
		return nil
	}
	use := conn.Use()
	return []slog.Attr{
		slog.String("closed_by", string(use.Closed)), slog.Int("connection_requests", use.Requests), slog.Int64("rested_ms", use.Rested.Milliseconds()),
	}
}

// resumed reports whether the request resumes a stream.
func (c *call) resumed() bool {
	return c.request.Header.Get(c.gateway.config.Headers.LastEvent) != ""
}

// resumeAttributes returns the log attributes of a request that resumes a stream; none for others.
func (c *call) resumeAttributes() []slog.Attr {
	if !c.resumed() {
		return nil
	}
	return []slog.Attr{
		slog.String("resumes", clip(c.request.Header.Get(c.gateway.config.Headers.Resumes))),
		slog.String("resumed_after", clip(c.request.Header.Get(c.gateway.config.Headers.LastEvent))),
	}
}

// noticeAttributes returns the log attributes of the notice in force when the request was sent.
// There are none if the upstream had sent no notice.
func noticeAttributes(n *availability.Notice) []slog.Attr {
	var attrs []slog.Attr
	if n.Draining {
		attrs = append(attrs, slog.Int64("upstream_draining_ms", n.DrainingFor.Milliseconds()))
	}
	if n.Backoff > 0 {
		attrs = append(attrs, slog.Int64("upstream_backoff_ms", n.Backoff.Milliseconds()))
	}
	return attrs
}

// attributes returns the log attributes of an engine in its state when it was chosen, and of the
// prompt move that it was asked to make. A nil candidate has none.
func (e *candidate) attributes() []slog.Attr {
	if e == nil {
		return nil
	}
	attrs := []slog.Attr{
		slog.Bool("linked", e.linked), slog.Bool("held", e.loadedOrLoading), slog.Int("free", e.status.Free), slog.Int("running", e.status.Running),
		slog.Int("kept_tokens", e.cached), slog.Int("waiting_tokens", e.waitingTokens), slog.Int64("cost_ms", e.cost.Milliseconds()),
		slog.Float64("event_ms", e.status.EventTimes.EventTime(e.status.Running).Seconds()*1000),
		slog.Float64("token_us", float64(e.speed().PerToken)/float64(time.Microsecond)), slog.Int64("base_ms", e.speed().Base.Milliseconds()),
		slog.Int64("status_age_ms", e.link.age().Milliseconds()), slog.Uint64("granted_version", uint64(e.granted.Adapter)),
		slog.Uint64("model_version", uint64(e.granted.Model)),
	}
	if e.loadClaim != "" {
		attrs = append(attrs, slog.String("load_claim", string(e.loadClaim)))
	}
	return append(attrs, e.move.attributes()...)
}

// attributes returns the log attributes of the outcome of a move. There are none without a move or
// before its outcome is decided.
func (m *promptMove) attributes() []slog.Attr {
	switch m.outcome {
	case "":
		return nil
	case moveSent:
		return []slog.Attr{
			slog.String("move", string(m.outcome)), slog.String("moved_from", m.sourceAddress()),
			slog.String("moved_from_upstream", string(m.source.instance.ID)), slog.Int("moved_tokens", m.tokens),
		}
	}
	return []slog.Attr{slog.String("move", string(m.outcome))}
}

// clip truncates text of a caller for a log line.
func clip(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}
