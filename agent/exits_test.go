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

func TestUpstreamExitCountsAsCrashOfFailedRuns(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &Agent{
		admissions: newAdmissions("u", platform.UpstreamNotices{}, slog.New(slog.DiscardHandler)),
		crashes:    crash.NewLog(boottime.Now), incarnation: "i", logger: slog.New(slog.DiscardHandler),
		settings: &settings.Settings{Agent: &settings.Agent{Upstream: settings.Upstream{ID: "u", URL: "http://" + listener.Addr().String()}}},
	}
	fatal, unrelated := crash.NewFingerprint([]byte("fatal")), crash.NewFingerprint([]byte("beside"))
	run := func(f crash.Fingerprint) *attempt {
		return &attempt{ctx: context.Background(), req: wire.AttemptRequest{Fingerprint: &f}, startedAt: boottime.Now()}
	}
	crashCount := func(f crash.Fingerprint) int { return a.crashes.Decide(f, 100).Crashes }
	a.recordFailedRun(t.Context(), run(fatal))
	assert.Equal(t, crashCount(fatal), 0, "the upstream still listens")
	assert.NilError(t, listener.Close())
	late := run(unrelated)
	time.Sleep(time.Millisecond)
	a.recordFailedRun(t.Context(), run(fatal))
	assert.Equal(t, crashCount(fatal), 1)
	a.recordFailedRun(t.Context(), late)
	assert.Equal(t, crashCount(unrelated), 1)
	a.recordFailedRun(t.Context(), run(fatal))
	assert.Equal(t, crashCount(fatal), 1, "the upstream has not restarted yet")
	for n := range 2 {
		boottime.Suspend(sameExitWindow)
		a.recordFailedRun(t.Context(), run(fatal))
		assert.Equal(t, crashCount(fatal), 2+n)
	}
	assert.Assert(t, a.crashes.Decide(fatal, 100).Refused)
	assert.Assert(t, !a.crashes.Decide(unrelated, 100).Refused)
	canceled := run(unrelated)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	canceled.ctx = ctx
	a.recordFailedRun(t.Context(), canceled)
	assert.Equal(t, crashCount(unrelated), 1, "the entry canceled the run")
}
