package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/retry"
	"sandbarrow.example/sandbarrow/route"
)

// downStore is a store that can't be reached.
type downStore struct{}

func (downStore) Commit(context.Context, sandbarrow.Transaction) (sandbarrow.StoreRevision, error) {
	return 0, sandbarrow.ErrStoreUnavailable
}

func (downStore) Range(context.Context, string) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, error) {
	return nil, 0, sandbarrow.ErrStoreUnavailable
}

func (downStore) WatchPrefix(context.Context, string, sandbarrow.StoreRevision, time.Duration) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, error) {
	return nil, 0, sandbarrow.ErrStoreUnavailable
}

func newLoneGateway(peers ...string) *Gateway {
	return New(Config{
		Documents: testDocuments{}, Headers: testNames, Instances: testInstances{}, Logger: slog.New(slog.DiscardHandler),
		Metrics: prometheus.NewRegistry(), Peers: peers, RetryShare: 0.2, RetrySlack: 60, Store: downStore{}, StopGrace: time.Second,
	})
}

func TestStartInOutageLearnsFromPeers(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.configure(t, plainRoute(route.KindSafe))
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.gateway.ServePeers(ctx, peers) }()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, gone.Close())

	g := newLoneGateway(gone.Addr().String(), peers.Addr().String())
	go func() { _ = g.learnFromPeers(ctx) }()
	eventually(t, g.Ready)
	assert.Equal(t, g.estate.View().Table.Version, f.version)
	assert.Equal(t, len(g.directory.View().All()), 2)

	// What changes later reaches it too, though its own store stays down.
	f.list(t, f.runners[1], f.runners[1].server.Listener.Addr().String(), true)
	eventually(t, func() bool {
		plain := g.directory.View().Service(testPlain)
		return len(plain) == 1 && plain[0].Draining
	})
}

func TestAskersShareOneAnswer(t *testing.T) {
	const askers, upstreams, most = 1000, 160, 4 << 20
	g := newLoneGateway()
	var items []sandbarrow.KeyItem
	for i := range upstreams {
		text := fmt.Sprintf(`{"Address":"10.0.0.%d:80","ID":"e%d","Service":"%s","Models":[%s]}`, i, i, testEngines, strings.Repeat(" ", 1500))
		items = append(items, sandbarrow.KeyItem{Key: fmt.Sprintf("up/e%d", i), Revision: 7, Value: []byte(text)})
	}
	g.directory.Replace(items, 7)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range askers {
		text, err := g.list.since(0)
		assert.NilError(t, err)
		assert.Assert(t, len(text) > upstreams*1500)
	}
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < most, "%d askers allocated %d bytes", askers, after.TotalAlloc-before.TotalAlloc)

	text, err := g.list.since(7)
	assert.NilError(t, err)
	var got enginelink.Estate
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, got.Watermark, sandbarrow.StoreRevision(7))
	assert.Equal(t, len(got.Items), 0)

	g.directory.Update([]sandbarrow.KeyItem{{Key: "up/e3", Deleted: true, Revision: 9}}, 9)
	text, err = g.list.since(7)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, got.Watermark, sandbarrow.StoreRevision(9))
	assert.Equal(t, len(got.Items), upstreams-1)
}

func TestIsolation(t *testing.T) {
	g := newLoneGateway()
	g.estate.Update([]sandbarrow.KeyItem{{Key: "op/table", Revision: 1, Value: []byte("{}")}}, 1)
	g.directory.Replace(nil, 1)
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		g.engines.links[address] = &controllerLink{gateway: g, linkState: linkState{lastContact: boottime.Now(), rpc: &jsonrpc2.Conn{}}}
	}
	assert.Assert(t, g.Ready())
	silence := func(addresses ...string) {
		for _, a := range addresses {
			g.engines.links[a].lastContact = boottime.Now().Add(-2 * enginelink.HeartbeatTimeout)
		}
	}
	silence("a", "b", "c")
	assert.Assert(t, g.Ready())
	silence("d")
	assert.Assert(t, !g.Ready())
	g.engines.links["a"].lastContact = boottime.Now()
	assert.Assert(t, g.Ready())
}

func TestRetryAllowanceIsShared(t *testing.T) {
	g := newLoneGateway()
	burst := func() float64 { return retry.GatewayBurst(g.config.RetrySlack, g.engines.gateways()) }
	assert.Equal(t, burst(), float64(retry.FallbackBurst))
	status := enginelink.Status{Gateways: 10, Models: []sandbarrow.BaseModelID{testModel}}
	g.engines.links["a"] = &controllerLink{gateway: g, linkState: linkState{lastContact: boottime.Now(), rpc: &jsonrpc2.Conn{}, status: status}}
	assert.Assert(t, math.Abs(burst()-4.2) < 1e-9)
	taken := 0
	b := g.retryBudget("s")
	for b.AllowRetry() {
		taken++
	}
	assert.Equal(t, taken, 1, "a gateway that starts has not saved up all")
	for range 100 {
		g.retryBudget("s").Request()
	}
	for b.AllowRetry() {
		taken++
	}
	assert.Equal(t, taken, 5, "no more than the burst is saved up")
}

// However many gateways share the slack, each may repeat a request at times.
func TestManyGatewaysMayRepeat(t *testing.T) {
	g := newLoneGateway()
	status := enginelink.Status{Gateways: 1000, Models: []sandbarrow.BaseModelID{testModel}}
	g.engines.links["a"] = &controllerLink{gateway: g, linkState: linkState{lastContact: boottime.Now(), rpc: &jsonrpc2.Conn{}, status: status}}
	for range 100 {
		g.retryBudget("s").Request()
	}
	assert.Assert(t, g.retryBudget("s").AllowRetry())
	assert.Assert(t, !g.retryBudget("s").AllowRetry())
}
