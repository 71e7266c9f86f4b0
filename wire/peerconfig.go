package wire

import (
	"context"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
)

// PullConfig updates a follower from the peer's configuration if the peer's watermark shows that
// it may be newer. A box that starts during a store outage obtains its configuration this way.
func PullConfig(ctx context.Context, rpc *jsonrpc2.Conn, f *config.Follower, peer config.Watermark) error {
	if !f.MayLack(peer) {
		return nil
	}
	known := f.Snapshot().Shards
	pull := ConfigPull{Known: make([]sandbarrow.Digest, 0, len(known))}
	for digest := range known {
		pull.Known = append(pull.Known, digest)
	}
	var reply ConfigReply
	if err := rpc.Call(ctx, MethodConfigPull, pull, &reply); err != nil {
		return errors.Annotate(err, "pull configuration")
	}
	for _, digest := range reply.Snapshot.Head.Shards {
		if value, ok := known[digest]; ok {
			reply.Snapshot.Shards[digest] = value
		}
	}
	err := f.Offer(reply.Snapshot)
	if errors.Is(err, config.ErrReverts) {
		return nil // a newer configuration arrived from another source in the meantime
	}
	return err
}

// NewConfigReply returns a snapshot without the shards that the requester already has.
func NewConfigReply(q ConfigPull, s config.Snapshot) ConfigReply {
	known := make(map[sandbarrow.Digest]bool, len(q.Known))
	for _, digest := range q.Known {
		known[digest] = true
	}
	shards := map[sandbarrow.Digest][]byte{}
	for digest, value := range s.Shards {
		if !known[digest] {
			shards[digest] = value
		}
	}
	return ConfigReply{Snapshot: config.Snapshot{Era: s.Era, Head: s.Head, Shards: shards}}
}
