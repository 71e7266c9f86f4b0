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

func TestLeaderGrantsNothingAfterSuspension(t *testing.T) {
	s := store.NewMemory(store.WithMemoryClock(boottime.Now))
	l, stop := start(t, s, "a")
	defer stop()
	shard := quota.ShardsOf("red")[0]
	l.Nominate(enginelink.Lead{Shard: shard})
	acquire := func() enginelink.QuotaGrant { return l.AcquireQuota(&enginelink.AcquireQuota{Shard: shard, Units: 1, Workspace: "red"}) }
	await.Until(t, 5*time.Second, "a grant", func() bool { return acquire().Granted })
	boottime.Suspend(ttl)
	reply := acquire()
	assert.Check(t, !reply.Granted)
	assert.Check(t, reply.NotLeader)
}
