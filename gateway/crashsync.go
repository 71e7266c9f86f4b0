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

// This file shares what is known of requests that end upstreams: with the other gateways
// through two controllers, which keep it for gateways that start, and, without any
// controller, with the peers. crashkeeper.go keeps it in the store, for the case that all
// processes end.

const (
	// crashRelays is through how many controllers a gateway tells the others: one may be
	// lost with the box that its engine ran on.
	crashRelays = 2
	// crashRetry is after how long what could not be told is told again, and peers are asked for
	// what they know: a third of the 3 s after which a process must act on what others know.
	crashRetry = time.Second
	// crashPeersAfter is after how long without any controller peers are asked: links come up
	// within some 0.3 s of a start.
	crashPeersAfter = time.Second
)

// crashSync tells others what this gateway knows of requests that end upstreams.
type crashSync struct {
	gateway *Gateway
	// told has, for each connection to a controller, up to which number it was told; the
	// loop's own.
	told map[*jsonrpc2.Conn]uint64
}

func newCrashSync(g *Gateway) *crashSync {
	return &crashSync{gateway: g, told: map[*jsonrpc2.Conn]uint64{}}
}

// run shares what is known until ctx ends.
func (s *crashSync) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return s.gateway.onCrashes(ctx, s.tellRelays) })
	group.Go(func() error { return s.gateway.onCrashes(ctx, s.tellPeers) })
	return group.Wait()
}

// onCrashes calls do whenever the log of crashes has changed, and each crashRetry, until ctx
// ends.
func (g *Gateway) onCrashes(ctx context.Context, do func(context.Context)) error {
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

// relays are the controllers that pass on to other gateways what this one tells. All
// gateways prefer the same ones.
func (s *crashSync) relays(now time.Time) []*controllerLink {
	up := s.gateway.engines.upLinks(now)
	slices.SortFunc(up, func(a, b *controllerLink) int {
		return cmp.Compare(rendezvous.Rank("crashes", b.address), rendezvous.Rank("crashes", a.address))
	})
	return up[:min(len(up), crashRelays)]
}

// tellRelays tells each relay what has changed since it was told, or all where it is
// another one or its connection is new.
func (s *crashSync) tellRelays(ctx context.Context) {
	if s.gateway.crashes.Empty() {
		return
	}
	told := map[*jsonrpc2.Conn]uint64{}
	for _, l := range s.relays(boottime.Now()) {
		rpc := l.connection()
		if rpc == nil {
			continue
		}
		records, next := s.gateway.crashes.Since(s.told[rpc], l)
		if len(records) > 0 && rpc.Notify(ctx, enginelink.MethodCrashes, enginelink.Crashes{Records: records}) != nil {
			continue // the link has broken: its next connection is told all
		}
		told[rpc] = next
	}
	s.told = told
}

// tellPeers tells each peer what this gateway knows and learns what the peer knows, where no
// controller is linked. One that knows nothing asks too: it may have started after the
// others were told.
func (s *crashSync) tellPeers(ctx context.Context) {
	if s.gateway.engines.anyUp() || boottime.Since(s.gateway.started) < crashPeersAfter {
		return
	}
	var group errgroup.Group
	for _, address := range s.gateway.config.Peers {
		group.Go(func() error {
			if err := s.gateway.exchangeCrashes(ctx, address); err != nil {
				s.gateway.logger.Debug("peer did not answer", "peer", address, "error", err.Error())
			}
			return nil
		})
	}
	_ = group.Wait() // each peer that does not answer is logged, and asked again
}

// exchangeCrashes tells one peer all that is known, and merges its answer.
func (g *Gateway) exchangeCrashes(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rpc, err := enginelink.DialPeer(ctx, address, forward.DialTimeout)
	if err != nil {
		return err
	}
	defer rpc.Close()
	records, _ := g.crashes.Since(0, nil)
	var answer enginelink.Crashes
	if err := rpc.Call(ctx, enginelink.MethodCrashes, enginelink.Crashes{Records: records}, &answer); err != nil {
		return errors.Trace(err)
	}
	g.crashes.Merge(g, answer.Records)
	return nil
}

// serveCrashes answers a peer's exchange.
func (g *Gateway) serveCrashes(r *jsonrpc2.Request) (any, error) {
	var told enginelink.Crashes
	if err := wire.Decode(r, &told); err != nil {
		return nil, err
	}
	records, _ := g.crashes.Since(0, nil)
	g.crashes.Merge(g, told.Records)
	return enginelink.Crashes{Records: records}, nil
}
