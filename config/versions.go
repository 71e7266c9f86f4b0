package config

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// ErrVersionChanged means that a document changes the weights of a version in the configuration in force.
const ErrVersionChanged = errors.ConstError("config: a version's weights must not change")

// checkVersions refuses a snapshot that changes the weights of a version in the current head. Engines, agents
// and responses identify weights by adapter and version alone; the content behind such a name must never change.
// The rule also holds for concurrent operators, because the head is swapped at the revision that was compared.
// Followers don't check it: an accepted configuration must come into force.
func checkVersions(ctx context.Context, s sandbarrow.Store, current Head, next Snapshot) error {
	before := map[sandbarrow.ModelRef]string{}
	for _, digest := range changedShards(current, next.Head) {
		shard, err := readShard(ctx, s, digest)
		if err != nil {
			return err
		}
		addWeights(before, shard.Adapters)
	}
	for _, value := range next.Shards {
		var shard Document
		if err := json.Unmarshal(value, &shard); err != nil {
			return errors.Annotatef(ErrInvalid, "shard: %v", err)
		}
		if err := compareWeights(before, shard.Adapters); err != nil {
			return err
		}
	}
	return nil
}

// changedShards returns the shards of the current head that the next one does not contain.
func changedShards(current, next Head) []sandbarrow.Digest {
	inNext := map[sandbarrow.Digest]bool{}
	for _, digest := range next.Shards {
		inNext[digest] = true
	}
	var changed []sandbarrow.Digest
	for _, digest := range current.Shards {
		if !inNext[digest] {
			changed = append(changed, digest)
		}
	}
	return changed
}

// readShard reads one shard in force. It fails if the shard does not match its digest.
func readShard(ctx context.Context, s sandbarrow.Store, digest sandbarrow.Digest) (Document, error) {
	var shard Document
	var item sandbarrow.Item
	err := withRetry(ctx, func() (err error) {
		item, err = s.Get(ctx, shardKey(digest))
		return err
	})
	if err != nil {
		return shard, errors.Annotatef(err, "shard %.12s in force", digest)
	}
	if sandbarrow.DigestOf(item.Value) != digest {
		return shard, errors.Annotatef(ErrInvalid, "shard %.12s in force does not match its digest", digest)
	}
	if err := json.Unmarshal(item.Value, &shard); err != nil {
		return shard, errors.Annotatef(ErrInvalid, "shard %.12s in force: %v", digest, err)
	}
	return shard, nil
}

func addWeights(weights map[sandbarrow.ModelRef]string, adapters []Adapter) {
	for _, a := range adapters {
		for _, v := range a.Versions {
			weights[sandbarrow.ModelRef{Adapter: a.ID, Version: v.ID}] = v.Weights
		}
	}
}

func compareWeights(before map[sandbarrow.ModelRef]string, adapters []Adapter) error {
	for _, a := range adapters {
		for _, v := range a.Versions {
			old, ok := before[sandbarrow.ModelRef{Adapter: a.ID, Version: v.ID}]
			if ok && old != v.Weights {
				return errors.Annotatef(ErrVersionChanged, "adapter %q, version %q: %q is in force, not %q; name a new version",
					a.ID, v.ID, old, v.Weights)
			}
		}
	}
	return nil
}
