package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/store"
)

// A machine may be suspended for seconds: its steady clock stands still meanwhile, while
// what others hold runs on (a lease in the store, a caller's patience, the other end of a
// link). An age that the steady clock counts is then too young, and guards nothing.
//
// A leader whose lease ran out while it was suspended grants nothing.
func TestSuspension(t *testing.T) {
	s := store.NewMemory(store.WithMemoryClock(boottime.Now))
	l, stop := start(t, s, "a")
	defer stop()
	shard := quota.ShardsOf("red")[0]
	l.Nominate(shard)
	take := func() enginelink.Taken { return l.Take(&enginelink.Take{Shard: shard, Units: 1, Workspace: "red"}) }
	await.Until(t, 5*time.Second, "a grant", func() bool { return take().Granted })
	boottime.Suspend(ttl)
	taken := take()
	assert.Check(t, !taken.Granted)
	assert.Check(t, taken.NotLeading)
}
