package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
	"sandbarrow.example/sandbarrow/wire"
)

// This file shares records of fatal requests with the other gateways. Two controllers relay them,
// and keep them for gateways that start. Without any controller, gateways exchange them with their
// peers. crashstore.go keeps them in the store in case all processes exit.

const (
	// crashRelays is the number of controllers that relay the records. One of them may be lost
	// together with the box of its engine.
	crashRelays = 2
	// crashRetry is the interval at which failed messages are sent again and peers are queried. It
	// is a third of the 3 s within which a process must act on records of others.
	crashRetry = time.Second
	// crashPeersAfter is the time without any controller after which peers are queried. Links come
	// up within some 0.3 s of a start.
	crashPeersAfter = time.Second
)

// crashSync sends this gateway's records of fatal requests to other processes.
type crashSync struct {
	gateway *Gateway
	// sentUpTo holds, for each connection to a controller, the number of the last change sent. Only
	// the loop uses it.
	sentUpTo map[*jsonrpc2.Conn]uint64
}

func newCrashSync(g *Gateway) *crashSync {
	return &crashSync{gateway: g, sentUpTo: map[*jsonrpc2.Conn]uint64{}}
}

// run shares records until ctx ends.
func (s *crashSync) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return s.gateway.onCrashChanges(ctx, s.sendToRelays) })
	group.Go(func() error { return s.gateway.onCrashChanges(ctx, s.exchangeWithPeers) })
	return group.Wait()
}

// onCrashChanges calls do whenever the crash log has changed, and at least every crashRetry, until
// ctx ends.
func (g *Gateway) onCrashChanges(ctx context.Context, do func(context.Context)) error {
	for ctx.Err() == nil {
		changed := g.crashes.Changed()
		do(ctx)
		pause.For(ctx, crash.FollowPause)
		select {
		case <-changed:
		case <-time.After(crashRetry):
		case <-ctx.Done():
		}
	}
	return nil
}

// relays returns the controllers that relay this gateway's records to other gateways. All gateways
// prefer the same ones.
func (s *crashSync) relays(now time.Time) []*controllerLink {
	up := s.gateway.engines.upLinks(now)
	slices.SortFunc(up, func(a, b *controllerLink) int {
		return cmp.Compare(rendezvous.Rank("crashes", b.address), rendezvous.Rank("crashes", a.address))
	})
	return up[:min(len(up), crashRelays)]
}

// sendToRelays sends each relay the changes since the last message. It sends everything to a new
// relay or on a new connection.
func (s *crashSync) sendToRelays(ctx context.Context) {
	if s.gateway.crashes.Empty() {
		return
	}
	sentUpTo := map[*jsonrpc2.Conn]uint64{}
	for _, l := range s.relays(boottime.Now()) {
		rpc := l.connection()
		if rpc == nil {
			continue
		}
		records, next := s.gateway.crashes.Since(s.sentUpTo[rpc], l)
		if len(records) > 0 && rpc.Notify(ctx, enginelink.MethodCrashes, enginelink.Crashes{Records: records}) != nil {
			continue // the link has broken: its next connection receives everything
		}
		sentUpTo[rpc] = next
	}
	s.sentUpTo = sentUpTo
}

// exchangeWithPeers exchanges all records with each peer while no controller is linked. A gateway
// without records queries its peers too, because it may have started after they exchanged theirs.
func (s *crashSync) exchangeWithPeers(ctx context.Context) {
	if s.gateway.engines.anyUp() || boottime.Since(s.gateway.started) < crashPeersAfter {
		return
	}
	var group errgroup.Group
	for _, address := range s.gateway.config.Peers {
		group.Go(func() error {
			if err := s.gateway.exchangeCrashes(ctx, address); err != nil {
				s.gateway.logger.Debug("peer did not reply", "peer", address, "error", err.Error())
			}
			return nil
		})
	}
	_ = group.Wait() // each failed peer is logged and queried again
}

// exchangeCrashes sends all records to one peer, and merges its reply.
func (g *Gateway) exchangeCrashes(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rpc, err := enginelink.DialPeer(ctx, address, forward.DialTimeout)
	if err != nil {
		return err
	}
	defer rpc.Close()
	records, _ := g.crashes.Since(0, nil)
	var reply enginelink.Crashes
	if err := rpc.Call(ctx, enginelink.MethodCrashes, enginelink.Crashes{Records: records}, &reply); err != nil {
		return errors.Trace(err)
	}
	g.crashes.Merge(g, reply.Records)
	return nil
}

// serveCrashes replies to an exchange of a peer.
func (g *Gateway) serveCrashes(r *jsonrpc2.Request) (any, error) {
	var received enginelink.Crashes
	if err := wire.Decode(r, &received); err != nil {
		return nil, err
	}
	records, _ := g.crashes.Since(0, nil)
	g.crashes.Merge(g, received.Records)
	return enginelink.Crashes{Records: records}, nil
}
