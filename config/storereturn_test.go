package config

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/standin"
	"sandbarrow.example/sandbarrow/store"
)

// snapshot returns the n-th of a sequence of configurations, each applied after the previous one.
func snapshot(era sandbarrow.StoreEra, n int) Snapshot {
	change := func(n int) Change {
		return Change{Digest: sandbarrow.Digest("d" + string(rune('a'+n))), Revision: sandbarrow.Revision(n), Token: "t" + string(rune('a'+n))}
	}
	s := Snapshot{Era: era, Head: Head{Change: change(n)}}
	for past := n - 1; past > 0 && len(s.Head.History) < historyLength; past-- {
		s.Head.History = append(s.Head.History, change(past))
	}
	return s
}

func TestSupersedes(t *testing.T) {
	other := snapshot(2, 3)
	other.Head.Token = "another"
	for name, c := range map[string]struct {
		s, other Snapshot
		want     bool
	}{
		"first configuration":                      {snapshot(0, 1), Snapshot{}, true},
		"later in the same era":                    {snapshot(1, 4), snapshot(1, 3), true},
		"earlier in the same era":                  {snapshot(1, 3), snapshot(1, 4), false},
		"restored copy":                            {snapshot(2, 3), snapshot(1, 4), false},
		"restored copy older than the history":     {snapshot(2, 3), snapshot(1, 60), false},
		"same configuration in a later era":        {snapshot(2, 4), snapshot(1, 4), false},
		"different change after the restore":       {other, snapshot(1, 4), true},
		"peer's change from before the restore":    {snapshot(1, 4), snapshot(2, 3), true},
		"peer's change replaced after the restore": {snapshot(1, 4), other, false},
	} {
		assert.Equal(t, c.s.supersedes(c.other), c.want, name)
	}
}

func TestChangesAfterStoreRestoreComeIntoForce(t *testing.T) {
	kv := standin.NewKV(standin.KVLimits{})
	server := httptest.NewServer(kv)
	t.Cleanup(server.Close)
	operator := store.NewHTTP(server.URL)
	apply := func(n int) {
		head, _, err := ReadHead(t.Context(), operator)
		assert.NilError(t, err)
		result, _, err := Apply(t.Context(), operator, document(n), head.Revision)
		assert.NilError(t, err)
		assert.Equal(t, result, ApplyAccepted)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(stop)
	start := func() *Follower {
		f := NewFollower(store.NewHTTP(server.URL), slog.New(slog.DiscardHandler))
		running.Go(func() { _ = f.Run(ctx) }) // ends with ctx
		return f
	}
	inForce := func(f *Follower, n int) bool {
		s, err := split(document(n))
		assert.NilError(t, err)
		return f.Watermark().Digest == s.Head.Digest
	}
	f := start()
	apply(1)
	kv.Set(standin.Faults{Copy: true})
	apply(2)
	apply(3)
	await.Until(t, 2*time.Second, "the third configuration", func() bool { return inForce(f, 3) })
	kv.Set(standin.Faults{Down: true, Restore: true})
	server.CloseClientConnections()
	kv.Set(standin.Faults{})
	fresh := start()
	await.Until(t, 2*time.Second, "the restored copy at a new follower", func() bool { return inForce(fresh, 1) })
	assert.Assert(t, inForce(f, 3), "the restored copy replaced the third configuration")
	assert.Assert(t, fresh.MayLack(f.Watermark()) && fresh.Offer(f.Snapshot()) == nil)
	assert.Assert(t, inForce(fresh, 3), "not learned from the peer")
	apply(4)
	await.Until(t, 2*time.Second, "a change after the restore", func() bool { return inForce(f, 4) && inForce(fresh, 4) })
	assert.Equal(t, f.Watermark().Revision, sandbarrow.Revision(2), "the revision is assigned a second time")
}
