package gateway

import (
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/crash/share"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// newCrashExchange returns the exchange of a log's records with other processes, by messages of a
// method.
func newCrashExchange(g *Gateway, method string, crashes *crash.Log) *share.Exchange {
	return share.NewExchange(share.ExchangeConfig{
		Controllers: g.linkedControllers, Crashes: crashes, Method: method, Linked: g.engines.anyUp, Logger: g.logger, Peers: g.config.Peers, PeerTimeout: peerTimeout,
	})
}

// newCrashStore returns what writes a log's records under a prefix of the platform's store, and reads
// those of other gateways.
func newCrashStore(g *Gateway, prefix string, crashes *crash.Log) *share.Store {
	return share.NewStore(share.StoreConfig{
		Box: g.config.Box, Crashes: crashes, Prefix: prefix, Era: g.knownEra, Linked: g.engines.anyUp, Logger: g.logger, Store: g.config.Store,
	})
}

// knownEra returns the store's era as the list of upstreams shows it.
func (g *Gateway) knownEra() sandbarrow.StoreEra {
	return g.directory.Watermark().Era()
}

// linkedControllers returns the controllers whose links are up.
func (g *Gateway) linkedControllers() []share.Controller {
	var linked []share.Controller
	for _, l := range g.engines.upLinks(boottime.Now()) {
		linked = append(linked, share.Controller{Address: l.address, Connection: l.connection(), Source: l})
	}
	return linked
}

// serveCrashes replies to an exchange of a peer.
func (g *Gateway) serveCrashes(r *jsonrpc2.Request) (any, error) {
	if r.Method == enginelink.MethodPartCrashes {
		return g.partCrashSync.Serve(r)
	}
	return g.crashSync.Serve(r)
}
