package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// ApplyResult says how an apply ended.
type ApplyResult string

// The results of an apply.
const (
	// ApplyAccepted means that the configuration is the newest.
	ApplyAccepted ApplyResult = "accepted"
	// ApplyConflict means that another revision than expected was in force; nothing changed.
	ApplyConflict ApplyResult = "conflict"
	// ApplyRefused means that the store refused, the text is not valid or it gives a
	// version other weights; nothing changed.
	ApplyRefused ApplyResult = "refused"
	// ApplySuperseded means that it was accepted and a later one has followed.
	ApplySuperseded ApplyResult = "superseded"
	// ApplyUnknown means that it may have been accepted.
	ApplyUnknown ApplyResult = "unknown"
)

// Store attempts of one step of an apply.
const (
	applyTries = 5
	applyPause = 200 * time.Millisecond
)

// ReadHead reads the head. A store without one gives a zero head.
func ReadHead(ctx context.Context, s sandbarrow.Store) (Head, sandbarrow.StoreRevision, error) {
	item, err := s.Get(ctx, HeadKey)
	if errors.Is(err, sandbarrow.ErrStoreNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.Trace(err)
	}
	h, err := decodeHead(item.Value)
	return h, item.Revision, err
}

func decodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return h, errors.Annotatef(ErrInvalid, "head: %v", err)
	}
	if h.Revision == 0 || headDigest(h.Shards) != h.Digest {
		return h, errors.Annotate(ErrInvalid, "head does not match its digest")
	}
	return h, nil
}

// ReadSnapshot reads a head's shards, those in known without a call.
func ReadSnapshot(ctx context.Context, s sandbarrow.Store, h Head, known map[sandbarrow.Digest][]byte) (Snapshot, error) {
	snapshot := Snapshot{Head: h, Shards: make(map[sandbarrow.Digest][]byte, len(h.Shards))}
	for _, digest := range h.Shards {
		if value, ok := known[digest]; ok {
			snapshot.Shards[digest] = value
			continue
		}
		if _, ok := snapshot.Shards[digest]; ok {
			continue
		}
		item, err := s.Get(ctx, shardKey(digest))
		if err != nil {
			return snapshot, errors.Trace(err)
		}
		snapshot.Shards[digest] = item.Value
	}
	return snapshot, nil
}

// Apply makes d the configuration after the expected revision. A lost reply is
// settled by reading back.
func Apply(ctx context.Context, s sandbarrow.Store, d *Document, expected sandbarrow.Revision) (ApplyResult, Head, error) {
	snapshot, err := split(d)
	if err != nil {
		return ApplyRefused, Head{}, err
	}
	current, previous, err := readHeadRetried(ctx, s)
	if err != nil {
		return ApplyRefused, Head{}, errors.Annotate(err, "nothing was changed")
	}
	if current.Revision != expected {
		return ApplyConflict, current, errors.Errorf("revision %d is in force, expected %d", current.Revision, expected)
	}
	if err := checkVersions(ctx, s, current, snapshot); err != nil {
		return ApplyRefused, current, errors.Annotate(err, "nothing was changed")
	}
	if err := writeShards(ctx, s, snapshot, current); err != nil {
		return ApplyRefused, current, errors.Annotate(err, "nothing was changed")
	}
	next := snapshot.Head
	next.Revision = expected + 1
	next.Token = uuid.NewString()
	if current.Revision > 0 {
		next.History = append([]Change{current.Change}, current.History...)
		next.History = next.History[:min(len(next.History), historyLength)]
	}
	return swapHead(ctx, s, previous, next)
}

func readHeadRetried(ctx context.Context, s sandbarrow.Store) (Head, sandbarrow.StoreRevision, error) {
	var head Head
	var revision sandbarrow.StoreRevision
	err := retried(ctx, func() (err error) {
		head, revision, err = ReadHead(ctx, s)
		return err
	})
	return head, revision, err
}

// writeShards creates the shards that the current head lacks. A shard is
// named by its content, so that a conflict means it is there already.
func writeShards(ctx context.Context, s sandbarrow.Store, snapshot Snapshot, current Head) error {
	there := map[sandbarrow.Digest]bool{}
	for _, digest := range current.Shards {
		there[digest] = true
	}
	for digest, value := range snapshot.Shards {
		if there[digest] {
			continue
		}
		if err := retried(ctx, func() error { return writeShard(ctx, s, digest, value) }); err != nil {
			return err
		}
	}
	return nil
}

// writeShard creates one shard; a lost reply is settled by reading it back.
func writeShard(ctx context.Context, s sandbarrow.Store, digest sandbarrow.Digest, value []byte) error {
	_, err := s.CompareAndSwap(ctx, shardKey(digest), 0, value, "")
	if err == nil || errors.Is(err, sandbarrow.ErrStoreConflict) {
		return nil
	}
	if item, readErr := s.Get(ctx, shardKey(digest)); readErr == nil && sandbarrow.DigestOf(item.Value) == digest {
		return nil
	}
	return err
}

// swapHead swaps the head and settles a lost reply from the history.
func swapHead(ctx context.Context, s sandbarrow.Store, previous sandbarrow.StoreRevision, next Head) (ApplyResult, Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return ApplyRefused, Head{}, errors.Trace(err)
	}
	lost := false
	for range applyTries {
		_, err = s.CompareAndSwap(ctx, HeadKey, previous, value, "")
		switch {
		case err == nil:
			return ApplyAccepted, next, nil
		case errors.Is(err, sandbarrow.ErrStoreUnavailable):
			pause.For(ctx, applyPause)
			continue
		}
		lost = lost || !errors.Is(err, sandbarrow.ErrStoreConflict)
		current, _, readErr := readHeadRetried(ctx, s)
		if readErr != nil {
			return ApplyUnknown, Head{}, errors.Annotate(readErr, "the reply was lost and the head can't be read back")
		}
		if result, ok := settle(current, next); ok {
			return result, current, nil
		}
		if current.Revision >= next.Revision && !historyCovers(current, next.Revision) {
			return ApplyUnknown, current, errors.New("the history does not reach back far enough")
		}
		if errors.Is(err, sandbarrow.ErrStoreConflict) {
			return ApplyConflict, current, errors.Errorf("revision %d was accepted meanwhile", current.Revision)
		}
	}
	if lost {
		return ApplyUnknown, Head{}, errors.Annotate(err, "a reply was lost")
	}
	return ApplyRefused, Head{}, errors.Annotate(err, "nothing was changed")
}

// settle finds an apply in the head that stands.
func settle(current, next Head) (ApplyResult, bool) {
	if current.Token == next.Token {
		return ApplyAccepted, true
	}
	for _, c := range current.History {
		if c.Token == next.Token {
			return ApplySuperseded, true
		}
	}
	return "", false
}

func historyCovers(h Head, r sandbarrow.Revision) bool {
	if h.Revision == r {
		return true
	}
	n := len(h.History)
	return n > 0 && h.History[n-1].Revision <= r
}

// retried repeats a call that is safe to repeat.
func retried(ctx context.Context, call func() error) error {
	var err error
	for range applyTries {
		if err = call(); err == nil || ctx.Err() != nil || errors.Is(err, ErrInvalid) {
			return err
		}
		pause.For(ctx, applyPause)
	}
	return err
}
