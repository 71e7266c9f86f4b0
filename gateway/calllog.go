package gateway

import (
	"context"
	"log/slog"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
)

// maxLogged bounds a caller's text in a log line, in bytes: enough to recognise a host or path.
const maxLogged = 80

// logAttempt writes a line for an attempt that failed, with the view of the
// upstream by which it was chosen.
func (c *call) logAttempt(id sandbarrow.InstanceID, result, cause string, e *candidate) {
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.String("upstream", string(id)), slog.String("result", result), slog.String("cause", cause),
		slog.Int64("after_ms", c.elapsed().Milliseconds()), slog.Int("sent", c.sent), slog.Int("events", c.events),
	}
	if c.digest != nil {
		attrs = append(attrs, slog.String("fingerprint", c.digest.String()))
	}
	if id == c.last {
		attrs = append(attrs, noticeAttributes(&c.notice)...)
	}
	attrs = append(attrs, e.attributes()...)
	c.gateway.logger.LogAttrs(context.Background(), slog.LevelInfo, "attempt", attrs...)
}

// finish counts the call and writes its line.
func (c *call) finish(status int, why reason) {
	took := c.elapsed()
	c.gateway.metrics.finished(c, status, why, took)
	level := slog.LevelInfo
	if why != "" {
		level = slog.LevelWarn
	}
	c.gateway.logger.LogAttrs(context.Background(), level, "request", c.attributes(status, why, took)...)
}

// attributes describe the end of the call and what decided it.
func (c *call) attributes(status int, why reason, took time.Duration) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("status", status), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int("sent", c.sent), slog.Int("ran", c.ran), slog.String("upstream", string(c.last)),
	}
	if why != "" {
		attrs = append(attrs, slog.String("reason", string(why)))
	}
	if c.limit > 0 {
		attrs = append(attrs, slog.Float64("upstream_limit", c.limit))
	}
	attrs = append(attrs, noticeAttributes(&c.notice)...)
	if c.workspace != nil {
		attrs = append(attrs, slog.String("workspace", string(c.workspace.ID)))
		attrs = append(attrs, c.quota.attributes()...)
	}
	attrs = append(attrs, c.crashAttributes()...)
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
			slog.Int64("first_ms", c.first.Milliseconds()), slog.Int("events", c.events), slog.Int64("longest_pause_ms", c.paused.Milliseconds()))
		attrs = append(attrs, c.chosen.attributes()...)
	}
	return attrs
}

// noticeAttributes describe what an upstream had announced when it got the request; none where
// that was nothing.
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

// attributes describe an engine as it was seen when it was chosen, and what it was told to
// take of the prompt; nil has none.
func (e *candidate) attributes() []slog.Attr {
	if e == nil {
		return nil
	}
	attrs := []slog.Attr{
		slog.Bool("linked", e.linked), slog.Bool("held", e.loadedOrLoading), slog.Int("free", e.status.Free), slog.Int("running", e.status.Running),
		slog.Int("kept_tokens", e.kept), slog.Int("waiting_tokens", e.waitingTokens), slog.Int64("cost_ms", e.cost.Milliseconds()),
		slog.Float64("token_us", float64(e.speed().PerToken)/float64(time.Microsecond)), slog.Int64("base_ms", e.speed().Base.Milliseconds()),
		slog.Int64("status_age_ms", e.link.age().Milliseconds()), slog.Uint64("granted_version", uint64(e.granted.Adapter)),
		slog.Uint64("model_version", uint64(e.granted.Model)),
	}
	return append(attrs, e.move.attributes()...)
}

// attributes describe what came of a move; none where there was none, or it was not settled.
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

// clip bounds a caller's text in a log line.
func clip(text string) string {
	return text[:min(len(text), maxLogged)]
}
