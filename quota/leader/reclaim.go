package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/quota"
)

const (
	// minReclaimPause is the pause after the first attempt to list the shards' keys that failed. It
	// doubles with each further one.
	minReclaimPause = 100 * time.Millisecond
	// maxReclaimPause is the longest pause between two attempts. With callTimeout and the calls for a
	// lease, a shard is led within 1 s of the store's return. Each controller that starts in an
	// outage makes these calls.
	maxReclaimPause = 400 * time.Millisecond
)

// reclaim nominates this process for the shards that its predecessor on this box has led. It
// waits until the configuration has callers' keys, because there are no limits without them.
// Gateways that start at the same time do not know the last leaders. Without reclaim, two of
// eight shards had no leader for 1.8 s longer after a restart of all processes.
func (l *Leader) reclaim(ctx context.Context) error {
	if !l.awaitKeys(ctx) {
		return nil
	}
	wait := minReclaimPause
	for attempts := 1; ctx.Err() == nil; attempts++ {
		owned, err := l.ownedShards(ctx)
		if err == nil {
			for _, s := range owned {
				l.Nominate(enginelink.Lead{Shard: s})
			}
			if attempts > 1 || len(owned) > 0 {
				l.config.Logger.Info("quota shards of before known", "shards", len(owned), "attempts", attempts)
			}
			return nil
		}
		if attempts == 1 {
			l.config.Logger.Info("quota shards of before not known", "error", err.Error())
		}
		pause.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, maxReclaimPause)
	}
	return nil
}

// awaitKeys waits until the configuration has callers' keys. It returns false if ctx ends before.
func (l *Leader) awaitKeys(ctx context.Context) bool {
	for {
		view := l.config.Estate.View()
		if view != nil && view.Table.Keys != nil {
			return true
		}
		_, changed := l.config.Estate.Watermark()
		if l.config.Estate.View() != view {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// ownedShards returns the shards whose keys in the store have this box as their owner.
func (l *Leader) ownedShards(ctx context.Context) ([]quota.Shard, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := l.config.Keys.Range(ctx, quota.KeyPrefix)
	if err != nil {
		return nil, err
	}
	var owned []quota.Shard
	for _, it := range items {
		if s, ok := quota.ShardOfKey(it.Key); ok && lease.IsOwnedBy(it.Value, string(l.config.Box)) {
			owned = append(owned, s)
		}
	}
	return owned, nil
}
