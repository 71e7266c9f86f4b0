package config

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// ErrVersionChanged is the error of a document that gives a version other weights than
// the configuration in force.
const ErrVersionChanged = errors.ConstError("config: a version's weights must not change")

// checkVersions refuses a snapshot that gives a version of the current head other
// weights. Engines, agents and answers know weights by adapter and version alone, so that
// a name must never get another content. The swap of the head at the revision that was
// compared makes it hold for racing operators too. Followers do not check it: what was
// accepted must be in force.
func checkVersions(ctx context.Context, s sandbarrow.Store, current Head, next Snapshot) error {
	before := map[sandbarrow.ModelRef]string{}
	for _, digest := range changedShards(current, next.Head) {
		part, err := readShard(ctx, s, digest)
		if err != nil {
			return err
		}
		addWeights(before, part.Adapters)
	}
	for _, value := range next.Shards {
		var part Document
		if err := json.Unmarshal(value, &part); err != nil {
			return errors.Annotatef(ErrInvalid, "shard: %v", err)
		}
		if err := compareWeights(before, part.Adapters); err != nil {
			return err
		}
	}
	return nil
}

// changedShards lists the shards of a head that the next one does not hold.
func changedShards(current, next Head) []sandbarrow.Digest {
	kept := map[sandbarrow.Digest]bool{}
	for _, digest := range next.Shards {
		kept[digest] = true
	}
	var changed []sandbarrow.Digest
	for _, digest := range current.Shards {
		if !kept[digest] {
			changed = append(changed, digest)
		}
	}
	return changed
}

// readShard reads one shard; one that does not match its digest can't be compared.
func readShard(ctx context.Context, s sandbarrow.Store, digest sandbarrow.Digest) (Document, error) {
	var part Document
	var item sandbarrow.Item
	err := retried(ctx, func() (err error) {
		item, err = s.Get(ctx, shardKey(digest))
		return err
	})
	if err != nil {
		return part, errors.Annotatef(err, "shard %.12s in force", digest)
	}
	if sandbarrow.DigestOf(item.Value) != digest {
		return part, errors.Annotatef(ErrInvalid, "shard %.12s in force does not match its digest", digest)
	}
	if err := json.Unmarshal(item.Value, &part); err != nil {
		return part, errors.Annotatef(ErrInvalid, "shard %.12s in force: %v", digest, err)
	}
	return part, nil
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
