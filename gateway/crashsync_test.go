package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
	"sandbarrow.example/sandbarrow/store"
)

var fatalPrint = crash.NewFingerprint([]byte("fatal"))

// noteFatal notes so many ends of upstreams under one request at a gateway.
func noteFatal(g *Gateway, ends int) {
	for i := range ends {
		g.crashes.AddCrash(sandbarrow.InstanceID(fmt.Sprint("u", i)), boottime.Now(), fatalPrint)
	}
}

func (f *fleet) addGateway(ctx context.Context, t *testing.T, change func(*Config)) *Gateway {
	t.Helper()
	config := f.gateway.config
	config.Metrics, config.Box = prometheus.NewRegistry(), "another"
	change(&config)
	g := New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

func TestCrashesReachGatewaysThroughControllers(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.configure(t, streamRoute(true))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	first := f.addGateway(ctx, t, func(*Config) {})
	eventually(t, func() bool { return len(first.engines.upLinks(boottime.Now())) == 3 })
	noteFatal(first, 3)
	began := time.Now()
	eventually(t, func() bool { return f.gateway.crashes.Decide(fatalPrint, 100).Refused })
	assert.Assert(t, time.Since(began) < time.Second)
	stop()
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = f.gateway.ServePeers(t.Context(), peers) }()
	later := f.addGateway(t.Context(), t, func(c *Config) { c.Store, c.Peers = downStore{}, []string{peers.Addr().String()} })
	eventually(t, func() bool { return later.crashes.Decide(fatalPrint, 100).Refused })
	told := false
	for _, l := range later.engines.upLinks(boottime.Now()) {
		records, _ := later.crashes.Since(0, l)
		told = told || len(records) == 0
	}
	assert.Assert(t, told, "by a controller")
}

func TestCrashesReachGatewaysThroughTheStore(t *testing.T) {
	kept := store.NewMemory()
	lone := func(box string) *Gateway {
		g := New(Config{
			Box: sandbarrow.BoxID(box), Documents: testDocuments{}, Headers: testNames, Instances: testInstances{}, Logger: slog.New(slog.DiscardHandler),
			Metrics: prometheus.NewRegistry(), Store: kept,
		})
		go func() { _ = newCrashKeeper(g).run(t.Context()) }()
		return g
	}
	a, b := lone("a"), lone("b")
	noteFatal(a, 2)
	eventually(t, func() bool { return b.crashes.Decide(fatalPrint, 100).Crashes == 2 })
	b.crashes.AddCrash("u9", boottime.Now(), fatalPrint)
	eventually(t, func() bool { return a.crashes.Decide(fatalPrint, 100).Refused })
	c := lone("c")
	eventually(t, func() bool { return c.crashes.Decide(fatalPrint, 100).Refused })

	outdated := []byte(`{"fingerprint":"` + fatalPrint.String() + `","crashes":[{"upstream":"u1","age_ms":1}],"written":1000}`)
	_, err := kept.Commit(t.Context(), sandbarrow.Transaction{Put: map[string][]byte{crashPrefix + "old/gone": outdated, crashPrefix + "odd": []byte("{")}})
	assert.NilError(t, err)
	eventually(t, func() bool {
		_, err := kept.Get(t.Context(), crashPrefix+"old/gone")
		return err != nil
	})
}

func TestCrashesAreRewrittenAfterStoreRestore(t *testing.T) {
	kept := store.NewMemory()
	empty := kept.Copy()
	g := New(Config{
		Box: "a", Documents: testDocuments{}, Headers: testNames, Instances: testInstances{}, Logger: slog.New(slog.DiscardHandler),
		Metrics: prometheus.NewRegistry(), Store: kept,
	})
	k := newCrashKeeper(g)
	noteFatal(g, 2)
	stored := func() int {
		items, at, err := kept.Range(t.Context(), crashPrefix)
		assert.NilError(t, err)
		g.directory.Replace(nil, at)
		return len(items)
	}
	k.keep(t.Context())
	assert.Equal(t, stored(), 1)
	kept.Restore(empty)
	_, err := kept.Commit(t.Context(), sandbarrow.Transaction{Put: map[string][]byte{"other": nil}})
	assert.NilError(t, err)
	assert.Equal(t, stored(), 0)
	k.keep(t.Context())
	assert.Equal(t, stored(), 1)
}

// Without controllers and without the store they learn it from their peers.
func TestCrashesReachGatewaysThroughPeers(t *testing.T) {
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	known := newLoneGateway()
	go func() { _ = known.ServePeers(t.Context(), peers) }()
	noteFatal(known, 3)
	other := newLoneGateway("127.0.0.1:1", peers.Addr().String())
	go func() { _ = newCrashSync(other).run(t.Context()) }()
	eventually(t, func() bool { return other.crashes.Decide(fatalPrint, 100).Refused })
	other.crashes.Clear(fatalPrint)
	eventually(t, func() bool { return !known.crashes.Decide(fatalPrint, 100).Refused })
}

func TestRefusesWhatEndsUpstreams(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.configure(t, plainRoute(route.KindUnsafe))
	c := &call{gateway: f.gateway}
	c.request, _ = http.NewRequest(http.MethodPost, f.url+"/p/x", nil)
	c.request.Host, c.request.RequestURI, c.body = testHost, "/p/x", []byte("body")
	for i := range 3 {
		f.gateway.crashes.AddCrash(sandbarrow.InstanceID(fmt.Sprint("u", i)), boottime.Now(), c.fingerprint())
	}
	got := f.send(t.Context(), http.MethodPost, "/p/x", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, string(reasonEndsUpstreams)+"\n")
	assert.Assert(t, len(got.header.Get("Retry-After")) > 2, "some minutes")
	assert.Equal(t, len(f.runners[0].runs())+len(f.runners[1].runs()), 0)
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/y", nil).status, http.StatusOK)
	f.gateway.crashes.Clear(c.fingerprint())
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", nil).status, http.StatusOK)
}

// Repeats have the fingerprint of the first try; other bodies, models and workspaces differ.
func TestFingerprintOfRepeats(t *testing.T) {
	g := newLoneGateway()
	of := func(body, model, id, last string) crash.Fingerprint {
		q, _ := http.NewRequest(http.MethodPost, "http://h/p", nil)
		q.RequestURI = "/p"
		q.Header.Set(testNames.Model, model)
		q.Header.Set(testNames.RequestID, id)
		q.Header.Set(testNames.LastEvent, last)
		q.Header.Set(testNames.Deadline, id)
		c := &call{gateway: g}
		c.request, c.body = q, []byte(body)
		return c.fingerprint()
	}
	assert.Equal(t, of("b", "m/a", "1", ""), of("b", "m/a", "2", "7"))
	assert.Assert(t, of("b", "m/a", "1", "") != of("c", "m/a", "1", ""))
	assert.Assert(t, of("b", "m/a", "1", "") != of("b", "m/a2", "1", ""))
}
