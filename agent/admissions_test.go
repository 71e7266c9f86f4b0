package agent

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/platform"
)

// limitHeader returns a response header that names a limit.
func limitHeader(limit string) http.Header {
	h := http.Header{}
	platform.UpstreamNotices{}.Write(h, sandbarrow.RawNotice{Limit: limit})
	return h
}

func TestAdmissionsApplyNamedLimit(t *testing.T) {
	l := newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler))
	admit := func() bool { return l.admit(boottime.Now(), false).refusal == nil }
	assert.Assert(t, admit(), "no limit is named")
	before := boottime.Now()
	time.Sleep(2 * time.Millisecond)
	l.ResponseReceived(before, http.StatusOK, limitHeader("0.5"))
	refused := l.admit(boottime.Now(), false).refusal
	assert.Assert(t, refused != nil && refused.RetryAfter > time.Second && refused.RetryAfter <= 2*time.Second, "%v", refused)
	l.ResponseReceived(before, http.StatusOK, limitHeader(""))
	assert.Assert(t, !admit(), "its request was sent before the limit was named")
	l.ResponseReceived(boottime.Now(), http.StatusOK, limitHeader("soon"))
	l.ResponseReceived(boottime.Now(), http.StatusInternalServerError, limitHeader(""))
	assert.Assert(t, !admit(), "a malformed limit and an error response do not change the limit")
	l.refundSend()
	assert.Assert(t, admit(), "one send was refunded")
	l.Resumed()
	assert.Assert(t, l.admit(boottime.Now(), false).refusal.RetryAfter > refused.RetryAfter, "a resumed stream counts against the limit")
	time.Sleep(2 * time.Millisecond)
	l.ResponseReceived(boottime.Now(), http.StatusOK, limitHeader(""))
	assert.Assert(t, admit(), "the limit was removed")
}

func TestAdmissionsApplyNotices(t *testing.T) {
	a := newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler))
	drainStarted := 0
	a.drainStarted = func() { drainStarted++ }
	respond := func(status int, notice sandbarrow.RawNotice) {
		h := http.Header{}
		platform.UpstreamNotices{}.Write(h, notice)
		a.ResponseReceived(boottime.Now(), status, h)
	}
	respond(http.StatusServiceUnavailable, sandbarrow.RawNotice{Backoff: "soon", Limit: "-1"})
	assert.Assert(t, a.admit(boottime.Now(), false).refusal == nil, "a malformed backoff is ignored")
	respond(http.StatusServiceUnavailable, sandbarrow.RawNotice{Backoff: "2.5", Limit: "-1"})
	now := boottime.Now()
	for _, counted := range []bool{false, true} {
		refusal := a.admit(now, counted).refusal
		assert.Assert(t, refusal.Reason == sandbarrow.ReasonUpstreamBackoff && refusal.RetryAfter > 2*time.Second, "%v", refusal)
	}
	assert.Assert(t, a.rejectsWork(now) && !a.draining())
	assert.Assert(t, a.admit(now.Add(2500*time.Millisecond), false).refusal == nil, "the backoff has expired")
	respond(http.StatusOK, sandbarrow.RawNotice{Draining: "1"})
	respond(http.StatusOK, sandbarrow.RawNotice{Draining: "1"})
	assert.Equal(t, a.admit(boottime.Now(), true).refusal.Reason, sandbarrow.ReasonDraining)
	assert.Equal(t, drainStarted, 1)
	a.clearNotices()
	assert.Assert(t, a.admit(boottime.Now(), false).refusal == nil)
}
