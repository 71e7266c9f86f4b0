package share

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// relayCount is the number of controllers that relay the records. One of them may be lost
	// together with the box of its engine.
	relayCount = 2
	// peersAfter is the time without any controller after which peers are queried. Links come up
	// within some 0.3 s of a start.
	peersAfter = time.Second
)

// Controller is a controller to which this gateway has a link that is up.
type Controller struct {
	Address string
	// Connection is nil while the link has none.
	Connection *jsonrpc2.Conn
	// Source is the source under which the log merges the records that this controller sends.
	Source any
}

// ExchangeConfig is the configuration of an Exchange.
type ExchangeConfig struct {
	// Controllers returns the linked controllers, in any order.
	Controllers func() []Controller
	Crashes     *crash.Log
	// Linked reports whether any controller is linked.
	Linked func() bool
	Logger *slog.Logger
	// Method is that of the messages.
	Method string
	// Peers are addresses of other gateways; some may be stale or down.
	Peers []string
	// PeerTimeout bounds the calls to one peer.
	PeerTimeout time.Duration
}

// Exchange sends this gateway's records of fatal requests to the other gateways. Two controllers
// relay them, and keep them for gateways that start. Without any controller, it exchanges them with
// the peers.
type Exchange struct {
	config ExchangeConfig
	// sentUpTo holds, for each connection to a controller, the number of the last change sent. Only
	// the loop uses it.
	sentUpTo map[*jsonrpc2.Conn]uint64
	started  time.Time
}

// NewExchange returns an Exchange; Run starts it. Peers are not queried within peersAfter of this call.
func NewExchange(c ExchangeConfig) *Exchange {
	return &Exchange{config: c, sentUpTo: map[*jsonrpc2.Conn]uint64{}, started: boottime.Now()}
}

// Run shares records until ctx ends. It returns nil.
func (x *Exchange) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return onChanges(ctx, x.config.Crashes, x.sendToRelays) })
	group.Go(func() error { return onChanges(ctx, x.config.Crashes, x.exchangeWithPeers) })
	return group.Wait()
}

// relays returns the controllers that relay this gateway's records to other gateways. All gateways
// prefer the same ones.
func (x *Exchange) relays() []Controller {
	linked := x.config.Controllers()
	slices.SortFunc(linked, func(a, b Controller) int {
		return cmp.Compare(rendezvous.Rank("crashes", b.Address), rendezvous.Rank("crashes", a.Address))
	})
	return linked[:min(len(linked), relayCount)]
}

// sendToRelays sends each relay the changes since the last message. It sends everything to a new
// relay or on a new connection.
func (x *Exchange) sendToRelays(ctx context.Context) {
	if x.config.Crashes.Empty() {
		return
	}
	sentUpTo := map[*jsonrpc2.Conn]uint64{}
	for _, relay := range x.relays() {
		rpc := relay.Connection
		if rpc == nil {
			continue
		}
		records, next := x.config.Crashes.Since(x.sentUpTo[rpc], relay.Source)
		if len(records) > 0 && rpc.Notify(ctx, x.config.Method, enginelink.Crashes{Records: records}) != nil {
			continue // the link has broken: its next connection receives everything
		}
		sentUpTo[rpc] = next
	}
	x.sentUpTo = sentUpTo
}

// exchangeWithPeers exchanges all records with each peer while no controller is linked. A gateway
// without records queries its peers too, because it may have started after they exchanged theirs.
func (x *Exchange) exchangeWithPeers(ctx context.Context) {
	if x.config.Linked() || boottime.Since(x.started) < peersAfter {
		return
	}
	var group errgroup.Group
	for _, address := range x.config.Peers {
		group.Go(func() error {
			if err := x.exchange(ctx, address); err != nil {
				x.config.Logger.Debug("peer did not reply", "peer", address, "error", err.Error())
			}
			return nil
		})
	}
	_ = group.Wait() // each failed peer is logged and queried again
}

// exchange sends all records to one peer, and merges its reply.
func (x *Exchange) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, x.config.PeerTimeout)
	defer cancel()
	rpc, err := enginelink.DialPeer(ctx, address, forward.DialTimeout)
	if err != nil {
		return err
	}
	defer rpc.Close()
	records, _ := x.config.Crashes.Since(0, nil)
	var reply enginelink.Crashes
	if err := rpc.Call(ctx, x.config.Method, enginelink.Crashes{Records: records}, &reply); err != nil {
		return errors.Trace(err)
	}
	x.config.Crashes.Merge(x, reply.Records)
	return nil
}

// Serve replies to an exchange of a peer. It returns an error for
// a malformed request.
func (x *Exchange) Serve(r *jsonrpc2.Request) (any, error) {
	var received enginelink.Crashes
	if err := wire.Decode(r, &received); err != nil {
		return nil, err
	}
	records, _ := x.config.Crashes.Since(0, nil)
	x.config.Crashes.Merge(x, received.Records)
	return enginelink.Crashes{Records: records}, nil
}
