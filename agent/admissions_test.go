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

// naming is the head of an answer that names a limit.
func naming(limit string) http.Header {
	h := http.Header{}
	platform.UpstreamNotices{}.Write(h, sandbarrow.RawNotice{Limit: limit})
	return h
}

func TestAdmissionsUnderALimit(t *testing.T) {
	l := newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler))
	admit := func() bool { return l.admit(boottime.Now(), false).refusal == nil }
	assert.Assert(t, admit(), "no limit is named")
	before := boottime.Now()
	time.Sleep(2 * time.Millisecond)
	l.ResponseReceived(before, http.StatusOK, naming("0.5"))
	refused := l.admit(boottime.Now(), false).refusal
	assert.Assert(t, refused != nil && refused.RetryAfter > time.Second && refused.RetryAfter <= 2*time.Second, "%v", refused)
	l.ResponseReceived(before, http.StatusOK, naming(""))
	assert.Assert(t, !admit(), "its request was sent before the limit was named")
	l.ResponseReceived(boottime.Now(), http.StatusOK, naming("soon"))
	l.ResponseReceived(boottime.Now(), http.StatusInternalServerError, naming(""))
	assert.Assert(t, !admit(), "neither says anything")
	l.unused()
	assert.Assert(t, admit(), "one was given back")
	l.Resumed()
	assert.Assert(t, l.admit(boottime.Now(), false).refusal.RetryAfter > refused.RetryAfter, "a resumed stream counts")
	time.Sleep(2 * time.Millisecond)
	l.ResponseReceived(boottime.Now(), http.StatusOK, naming(""))
	assert.Assert(t, admit(), "the limit has ended")
}

func TestAdmissionsByAnnouncements(t *testing.T) {
	a := newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler))
	drains := 0
	a.drains = func() { drains++ }
	answer := func(status int, texts sandbarrow.RawNotice) {
		h := http.Header{}
		platform.UpstreamNotices{}.Write(h, texts)
		a.ResponseReceived(boottime.Now(), status, h)
	}
	answer(http.StatusServiceUnavailable, sandbarrow.RawNotice{Backoff: "soon", Limit: "-1"})
	assert.Assert(t, a.admit(boottime.Now(), false).refusal == nil, "malformed")
	answer(http.StatusServiceUnavailable, sandbarrow.RawNotice{Backoff: "2.5", Limit: "-1"})
	now := boottime.Now()
	for _, counted := range []bool{false, true} {
		refusal := a.admit(now, counted).refusal
		assert.Assert(t, refusal.Reason == sandbarrow.ReasonUpstreamBackoff && refusal.RetryAfter > 2*time.Second, "%v", refusal)
	}
	assert.Assert(t, a.wantsNone(now) && !a.draining())
	assert.Assert(t, a.admit(now.Add(2500*time.Millisecond), false).refusal == nil, "it is over")
	answer(http.StatusOK, sandbarrow.RawNotice{Draining: "1"})
	answer(http.StatusOK, sandbarrow.RawNotice{Draining: "1"})
	assert.Equal(t, a.admit(boottime.Now(), true).refusal.Reason, sandbarrow.ReasonDraining)
	assert.Equal(t, drains, 1)
	a.restarted()
	assert.Assert(t, a.admit(boottime.Now(), false).refusal == nil)
}
