package agent

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/settings"
	"sandbarrow.example/sandbarrow/wire"
)

func TestRunsBreakWithTheirUpstream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &Agent{
		admissions: newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler)),
		crashes:    crash.NewLog(boottime.Now), incarnation: "i", logger: slog.New(slog.DiscardHandler),
		settings: &settings.Settings{Agent: &settings.Agent{Upstream: settings.Upstream{ID: "u", URL: "http://" + listener.Addr().String()}}},
	}
	fatal, beside := crash.NewFingerprint([]byte("fatal")), crash.NewFingerprint([]byte("beside"))
	run := func(f crash.Fingerprint) *attempt {
		return &attempt{ctx: context.Background(), req: wire.AttemptRequest{Fingerprint: &f}, startedAt: boottime.Now()}
	}
	ends := func(f crash.Fingerprint) int { return a.crashes.Decide(f, 100).Crashes }
	a.noteBroken(t.Context(), run(fatal))
	assert.Equal(t, ends(fatal), 0, "it still listens")
	assert.NilError(t, listener.Close())
	late := run(beside)
	time.Sleep(time.Millisecond)
	a.noteBroken(t.Context(), run(fatal))
	assert.Equal(t, ends(fatal), 1)
	a.noteBroken(t.Context(), late)
	assert.Equal(t, ends(beside), 1)
	a.noteBroken(t.Context(), run(fatal))
	assert.Equal(t, ends(fatal), 1, "it is not back yet")
	for n := range 2 {
		boottime.Suspend(sameEnd)
		a.noteBroken(t.Context(), run(fatal))
		assert.Equal(t, ends(fatal), 2+n)
	}
	assert.Assert(t, a.crashes.Decide(fatal, 100).Refused)
	assert.Assert(t, !a.crashes.Decide(beside, 100).Refused)
	cancelled := run(beside)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cancelled.ctx = ctx
	a.noteBroken(t.Context(), cancelled)
	assert.Equal(t, ends(beside), 1, "its entry ended it")
}
