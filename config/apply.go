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

// ApplyResult is the result of an apply.
type ApplyResult string

// The results of an apply.
const (
	// ApplyAccepted means that the configuration was accepted and is the newest one.
	ApplyAccepted ApplyResult = "accepted"
	// ApplyConflict means that another revision than the expected one was in force. Nothing was changed.
	ApplyConflict ApplyResult = "conflict"
	// ApplyRefused means that the store refused a call, the document is not valid, or it changes the weights
	// of an existing version. Nothing was changed.
	ApplyRefused ApplyResult = "refused"
	// ApplySuperseded means that the configuration was accepted and then replaced by a later one.
	ApplySuperseded ApplyResult = "superseded"
	// ApplyUnknown means that the configuration may or may not have been accepted.
	ApplyUnknown ApplyResult = "unknown"
)

// The attempts for each store call of an apply, and the delay between them.
const (
	applyAttempts   = 5
	applyRetryDelay = 200 * time.Millisecond
)

// ReadHead reads the head from the store. It returns a zero head if the store has none.
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

// ReadSnapshot returns a head with its shards. Shards in known are not read from the store.
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

// Apply stores d as the revision after the expected one. If a reply of the store is lost, it reads the state
// back to find out whether the write took effect.
func Apply(ctx context.Context, s sandbarrow.Store, d *Document, expected sandbarrow.Revision) (ApplyResult, Head, error) {
	snapshot, err := split(d)
	if err != nil {
		return ApplyRefused, Head{}, err
	}
	current, previous, err := readHeadWithRetry(ctx, s)
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

func readHeadWithRetry(ctx context.Context, s sandbarrow.Store) (Head, sandbarrow.StoreRevision, error) {
	var head Head
	var revision sandbarrow.StoreRevision
	err := withRetry(ctx, func() (err error) {
		head, revision, err = ReadHead(ctx, s)
		return err
	})
	return head, revision, err
}

// writeShards creates the shards that the current head lacks. Shards are content-addressed: a conflict means
// that the shard already exists.
func writeShards(ctx context.Context, s sandbarrow.Store, snapshot Snapshot, current Head) error {
	existing := map[sandbarrow.Digest]bool{}
	for _, digest := range current.Shards {
		existing[digest] = true
	}
	for digest, value := range snapshot.Shards {
		if existing[digest] {
			continue
		}
		if err := withRetry(ctx, func() error { return writeShard(ctx, s, digest, value) }); err != nil {
			return err
		}
	}
	return nil
}

// writeShard creates one shard. If the reply is lost, it reads the shard back.
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

// swapHead swaps the head. If a reply is lost, the history of the current head shows whether the swap succeeded.
func swapHead(ctx context.Context, s sandbarrow.Store, previous sandbarrow.StoreRevision, next Head) (ApplyResult, Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return ApplyRefused, Head{}, errors.Trace(err)
	}
	replyLost := false
	for range applyAttempts {
		_, err = s.CompareAndSwap(ctx, HeadKey, previous, value, "")
		switch {
		case err == nil:
			return ApplyAccepted, next, nil
		case errors.Is(err, sandbarrow.ErrStoreUnavailable):
			pause.For(ctx, applyRetryDelay)
			continue
		}
		replyLost = replyLost || !errors.Is(err, sandbarrow.ErrStoreConflict)
		current, _, readErr := readHeadWithRetry(ctx, s)
		if readErr != nil {
			return ApplyUnknown, Head{}, errors.Annotate(readErr, "the reply was lost and the head can't be read back")
		}
		if result, ok := findApply(current, next); ok {
			return result, current, nil
		}
		if current.Revision >= next.Revision && !historyCovers(current, next.Revision) {
			return ApplyUnknown, current, errors.New("the history of the head does not reach back to this apply")
		}
		if errors.Is(err, sandbarrow.ErrStoreConflict) {
			return ApplyConflict, current, errors.Errorf("revision %d was accepted in the meantime", current.Revision)
		}
	}
	if replyLost {
		return ApplyUnknown, Head{}, errors.Annotate(err, "a reply was lost")
	}
	return ApplyRefused, Head{}, errors.Annotate(err, "nothing was changed")
}

// findApply looks for the apply that wrote next in the current head and its history.
func findApply(current, next Head) (ApplyResult, bool) {
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

// withRetry makes an idempotent call and retries it after an error, unless ctx has ended or the data is invalid.
func withRetry(ctx context.Context, call func() error) error {
	var err error
	for range applyAttempts {
		if err = call(); err == nil || ctx.Err() != nil || errors.Is(err, ErrInvalid) {
			return err
		}
		pause.For(ctx, applyRetryDelay)
	}
	return err
}
