package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/controller"
	"sandbarrow.example/sandbarrow/estate"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/route"
	"sandbarrow.example/sandbarrow/store"
)

const (
	testModel    = "base"
	testSoftware = sandbarrow.SoftwareVersion("v1")
	testEngines  = sandbarrow.ServiceID("engines")
	testPlain    = sandbarrow.ServiceID("plain")
	testHost     = "fleet.test"
)

// testNames are the header names of the test fleet.
var testNames = sandbarrow.HeaderNames{
	Deadline: "T-Deadline", ExpectInstance: "T-Instance-Wanted", ExpectVersion: "T-Version-Wanted", Instance: "T-Instance",
	LastEvent: "Last-Event-Id", Model: "T-Model", MoveFrom: "T-Move-From", NotRun: "T-Not-Run", Priority: "T-Priority",
	Prompt: "T-Prompt", RequestID: "T-Request", Resumes: "T-Resumes", Reserved: []string{"T-Copy-From", "T-Hold", "T-Instance-Wanted", "T-Move-From", "T-Priority", "T-Version-Wanted"},
	Authorization: "Authorization", Signature: "T-Signature", Tokens: "T-Tokens", Workspace: "T-Workspace",
}

// testDocuments reads tables and versions as JSON.
type testDocuments struct{}

type testTable struct {
	// ColdRate is the request rate that cold upstreams accept.
	ColdRate sandbarrow.RequestRate
	Routes   []route.Route
	Version  uint64
	// Workspaces is nil if callers need no key.
	Workspaces []access.Entry
}

func (testDocuments) EvacuatedDomain(key string) (sandbarrow.FailureDomain, bool) {
	domain, ok := strings.CutPrefix(key, "op/evacuate/")
	return sandbarrow.FailureDomain(domain), ok
}
func (testDocuments) IsTable(key string) bool { return key == "op/table" }
func (testDocuments) Prefix() string          { return "op/" }
func (testDocuments) TableKey() string        { return "op/table" }
func (testDocuments) Table(text []byte) (*route.Table, error) {
	var t testTable
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, errors.Annotate(route.ErrInvalid, err.Error())
	}
	table, err := route.NewTable(t.Version, t.Routes, []route.Service{
		{ColdRate: t.ColdRate, ID: testPlain},
		{ColdRate: t.ColdRate, ID: testEngines, HealthPath: "/health", Engine: &route.Engine{AdapterSlots: 2, KVCacheTokens: 100_000, Models: []route.Model{{ID: testModel}}, MoveTimePerToken: time.Microsecond}},
	}, route.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 4000})
	if err == nil && t.Workspaces != nil {
		table.Keys = access.NewKeys(t.Workspaces)
	}
	return table, err
}

func (testDocuments) Version(it sandbarrow.KeyItem) (sandbarrow.AdapterKey, sandbarrow.AdapterVersion, error) {
	name, ok := strings.CutPrefix(it.Key, "op/version/")
	if !ok {
		return sandbarrow.AdapterKey{}, 0, estate.ErrOtherKey
	}
	number, err := strconv.ParseUint(string(it.Value), 10, 64)
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(name), Model: testModel}, sandbarrow.AdapterVersion(number), err
}

// testInstances reads instances as JSON.
type testInstances struct{}

func (testInstances) Prefix() string { return "up/" }
func (testInstances) ListedID(key string) sandbarrow.ListedID {
	return sandbarrow.ListedID(strings.TrimPrefix(key, "up/"))
}
func (testInstances) Instance(it sandbarrow.KeyItem) (in sandbarrow.Instance, err error) {
	return in, json.Unmarshal(it.Value, &in)
}

// runner is a fake upstream. Tests set its faults.
type runner struct {
	id      sandbarrow.InstanceID
	server  *httptest.Server
	service sandbarrow.ServiceID
	// software is the version in its list entry.
	software sandbarrow.SoftwareVersion

	mu           sync.Mutex
	adapters     map[sandbarrow.AdapterID]sandbarrow.AdapterVersion
	modelVersion sandbarrow.ModelVersion
	// latestVersion is loaded by an order that names no version.
	latestVersion sandbarrow.AdapterVersion
	sequence      uint64
	// promptCache holds its cached prompts; peer finds another runner by its address.
	promptCache testMemory
	peer        func(address string) *runner
	// ran lists the ids of requests that ran, got the headers of all requests.
	ran []string
	got []http.Header
	// cutAfter cuts streams off after this number of events; -1 never does.
	cutAfter int
	// silent makes its reports fail.
	silent bool
	// hang leaves requests without a response. respond writes the response to each request instead.
	hang    bool
	respond func(http.ResponseWriter, *http.Request)
	// notice is sent in each response. claimedInstance is the instance that the response names.
	notice          sandbarrow.RawNotice
	claimedInstance string
	// refuse makes responses say that the request did not run. status is the status of other
	// responses.
	refuse bool
	status int
	// cancelled counts callers that disconnected while their request hung.
	cancelled int
}

func newRunner(id string, service sandbarrow.ServiceID) *runner {
	r := &runner{id: sandbarrow.InstanceID(id), service: service, software: testSoftware, cutAfter: -1, modelVersion: 1, latestVersion: 1, status: http.StatusOK,
		adapters: map[sandbarrow.AdapterID]sandbarrow.AdapterVersion{}}
	r.server = httptest.NewServer(r)
	return r
}

func (r *runner) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *runner) runs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ran...)
}

const testEvents = 5

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get(testNames.RequestID)
	w.Header().Set(testNames.RequestID, id)
	r.mu.Lock()
	r.got = append(r.got, q.Header.Clone())
	_, adapter, _ := strings.Cut(q.Header.Get(testNames.Model), "/")
	version, loaded := r.adapters[sandbarrow.AdapterID(adapter)]
	expected := q.Header.Get(testNames.ExpectVersion)
	misdirected := q.Header.Get(testNames.ExpectInstance) != string(r.id) ||
		adapter != "" && (!loaded || expected != "" && expected != strconv.FormatUint(uint64(version), 10))
	refuse, hang, status, cut, respond := r.refuse, r.hang, r.status, r.cutAfter, r.respond
	platform.UpstreamNotices{}.Write(w.Header(), r.notice)
	if r.claimedInstance != "" {
		w.Header().Set(testNames.Instance, r.claimedInstance)
	}
	if !misdirected && !refuse {
		r.ran = append(r.ran, id)
		r.usePrompt(q.Header, testWeights{adapter: version, model: r.modelVersion})
	}
	r.mu.Unlock()
	switch {
	case misdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case refuse:
		w.Header().Set(testNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case respond != nil:
		respond(w, q)
	case hang:
		<-q.Context().Done()
		r.set(func() { r.cancelled++ })
	case adapter == "":
		w.Header().Set(testNames.Signature, "signed-"+string(r.id))
		w.WriteHeader(status)
		fmt.Fprintf(w, "%s %s", q.Method, q.RequestURI)
	case status >= http.StatusInternalServerError:
		w.Header().Set(testNames.Signature, "signed-"+string(r.id))
		w.WriteHeader(status)
	default:
		r.stream(w, q, cut)
	}
}

// usePrompt copies the cached prompt from another engine if the request names one, and runs the
// prompt with it. The caller holds mu.
func (r *runner) usePrompt(h http.Header, w testWeights) {
	var parts []string
	if list := h.Get(testNames.Prompt); list != "" {
		parts = strings.Split(list, ",")
	}
	if from := h.Get(testNames.MoveFrom); from != "" {
		source := r.peer(from)
		source.mu.Lock()
		r.promptCache.copyFrom(&source.promptCache, parts)
		source.mu.Unlock()
	}
	r.promptCache.run(w, parts)
}

func (r *runner) stream(w http.ResponseWriter, q *http.Request, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(testNames.Signature, "signed-"+string(r.id))
	first, _ := strconv.Atoi(q.Header.Get(testNames.LastEvent))
	for n := first + 1; n <= testEvents; n++ {
		if cut >= 0 && n > first+cut {
			fmt.Fprintf(w, "id: %d\ndata: half", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event\n\n", n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (r *runner) Identify(context.Context, string) (sandbarrow.ListedID, error) {
	return r.id.Listed(), nil
}

func (r *runner) Report(context.Context) (sandbarrow.EngineReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return sandbarrow.EngineReport{}, sandbarrow.ErrUpstreamUnknown
	}
	m := sandbarrow.LoadedModel{Model: testModel, Version: r.modelVersion}
	for a, v := range r.adapters {
		m.Adapters = append(m.Adapters, sandbarrow.LoadedAdapter{Adapter: a, Version: v})
	}
	return sandbarrow.EngineReport{Models: []sandbarrow.LoadedModel{m}, Sequence: r.sequence}, nil
}

func (r *runner) Order(_ context.Context, o sandbarrow.EngineOrder) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != r.sequence {
		return false, sandbarrow.ErrOrderConflict
	}
	r.sequence++
	if !o.Load {
		delete(r.adapters, o.Adapter)
		return true, nil
	}
	r.adapters[o.Adapter] = max(r.latestVersion, o.Version)
	return false, nil
}

// fleet is a gateway with runners and controllers in one process.
type fleet struct {
	// addresses maps addresses to engines; it is complete before the first request.
	addresses map[string]*runner
	// config is the configuration of the first gateway, ctx ends all processes.
	config  Config
	ctx     context.Context
	gateway *Gateway
	runners []*runner
	stop    context.CancelFunc
	store   *store.Memory
	url     string
	version uint64
	// coldRate is the rate of cold upstreams in the next configuration.
	coldRate sandbarrow.RequestRate
	// workspaces are those of the next configuration.
	workspaces []access.Entry
}

// newFleet starts engines and plain services. Each engine has its own loopback address, so that the
// controllers can share a port.
func newFleet(t *testing.T, engines, plain int) *fleet {
	t.Helper()
	return newFleetWith(t, engines, plain, func(*Config) {})
}

// newFleetWith starts a fleet with a changed gateway configuration.
func newFleetWith(t *testing.T, engines, plain int, change func(*Config)) *fleet {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{addresses: map[string]*runner{}, stop: stop, store: store.NewMemory()}
	logger := slog.New(slog.DiscardHandler)
	links, port := listenOnOnePort(t, engines)
	for i := range engines {
		r := newRunner(fmt.Sprintf("engine-%d", i), testEngines)
		engineListener, err := net.Listen("tcp", engineHost(i)+":0")
		assert.NilError(t, err)
		address := engineListener.Addr().String()
		go func() { _ = http.Serve(engineListener, r) }()
		k := controller.New(controller.Config{CoordinateLoads: true, ShareDemand: true,
			Box: sandbarrow.BoxID(fmt.Sprintf("box-%d", i)), Control: r, Documents: testDocuments{}, Engine: address, Logger: logger,
			LeaseStore: f.store, Metrics: prometheus.NewRegistry(), Service: testEngines, Store: f.store,
			Bound: quota.Bound{Overage: 0.1, Window: 2 * time.Second},
		})
		go func() { _ = k.Run(ctx) }()
		go func() { _ = k.Serve(ctx, links[i]) }()
		t.Cleanup(func() { _ = engineListener.Close() })
		r.peer = f.runnerAt
		f.addresses[address] = r
		f.list(t, r, address, false)
		f.runners = append(f.runners, r)
	}
	for i := range plain {
		r := newRunner(fmt.Sprintf("plain-%d", i), testPlain)
		f.list(t, r, r.server.Listener.Addr().String(), false)
		f.runners = append(f.runners, r)
	}
	config := Config{
		UpstreamNotices: platform.UpstreamNotices{},
		AcceptAfterStop: 100 * time.Millisecond, Box: "gateway", ControllerPort: port, Documents: testDocuments{}, Headers: testNames, Instances: testInstances{},
		Logger: logger, Metrics: prometheus.NewRegistry(), RetryShare: 0.2, RetrySlack: 50, StopGrace: 4 * time.Second, Store: f.store, TableStore: f.store,
	}
	change(&config)
	t.Cleanup(func() {
		for _, r := range f.runners {
			r.server.CloseClientConnections()
			r.server.Close()
		}
	})
	f.config, f.ctx = config, ctx
	f.gateway, f.url = f.startGateway(t, config)
	return f
}

// startGateway starts a gateway and returns it with its URL.
func (f *fleet) startGateway(t *testing.T, config Config) (*Gateway, string) {
	t.Helper()
	g := New(config)
	return g, f.runGateway(t, g)
}

// runGateway runs a gateway and returns its URL.
func (f *fleet) runGateway(t *testing.T, g *Gateway) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- g.Run(f.ctx, listener) }()
	t.Cleanup(func() {
		f.stop()
		assert.NilError(t, <-done)
	})
	return "http://" + listener.Addr().String()
}

// moveToNewGateway makes the fleet's callers use a gateway that has just started.
func (f *fleet) moveToNewGateway(t *testing.T) {
	t.Helper()
	config := f.config
	config.Box, config.Metrics = "another", prometheus.NewRegistry()
	f.gateway, f.url = f.startGateway(t, config)
	eventually(t, func() bool { return f.gateway.Ready() && f.linked() })
}

// engineHost returns the loopback address of an engine's box.
func engineHost(i int) string {
	return fmt.Sprintf("127.0.0.%d", 11+i)
}

// listenOnOnePort listens on the same port of the addresses of all boxes. A port that is free on
// the first address may be used on another by a test that runs at the same time.
func listenOnOnePort(t *testing.T, boxes int) ([]net.Listener, string) {
	t.Helper()
	for {
		port := "0"
		var all []net.Listener
		for i := range boxes {
			l, err := net.Listen("tcp", net.JoinHostPort(engineHost(i), port))
			if errors.Is(err, syscall.EADDRINUSE) {
				break
			}
			assert.NilError(t, err)
			all, port = append(all, l), portOf(l.Addr().String())
		}
		if len(all) == boxes {
			return all, port
		}
		for _, l := range all {
			assert.NilError(t, l.Close())
		}
	}
}

// runnerAt returns the engine at an address.
func (f *fleet) runnerAt(address string) *runner {
	return f.addresses[address]
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

func (f *fleet) put(t *testing.T, key string, value any) {
	t.Helper()
	text, ok := value.([]byte)
	if !ok {
		var err error
		text, err = json.Marshal(value)
		assert.NilError(t, err)
	}
	_, err := f.store.Commit(t.Context(), sandbarrow.Transaction{Put: map[string][]byte{key: text}})
	assert.NilError(t, err)
}

func (f *fleet) list(t *testing.T, r *runner, address string, draining bool) {
	t.Helper()
	f.put(t, "up/"+string(r.id), sandbarrow.Instance{Address: address, ID: r.id, Draining: draining, Service: r.service, Slots: 4, Software: r.software})
}

// configure stores routes and waits until they are in force at the gateway.
func (f *fleet) configure(t *testing.T, routes ...route.Route) {
	t.Helper()
	f.version++
	f.put(t, "op/table", testTable{ColdRate: f.coldRate, Routes: routes, Version: f.version, Workspaces: f.workspaces})
	eventually(t, func() bool {
		v := f.gateway.estate.View()
		return v != nil && v.Table.Version == f.version && f.gateway.Ready() && f.linked()
	})
}

// linked reports whether the gateway has a status of each engine.
func (f *fleet) linked() bool {
	for _, in := range f.gateway.directory.View().Service(testEngines) {
		if s, up := f.gateway.engines.link(in.Address).lastStatus(boottime.Now()); !up || s.Free <= 0 {
			return false
		}
	}
	return len(f.gateway.directory.View().All()) == len(f.runners)
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	await.Until(t, 10*time.Second, "the expected condition", ok)
}

func plainRoute(kind route.Kind) route.Route {
	return route.Route{
		Name: "plain", Host: testHost, Prefix: "/p/", Kind: kind, MaxAttempts: 2, Timeout: 2 * time.Second,
		Objective: 150 * time.Millisecond, Targets: []route.Target{{Service: testPlain, Weight: 1}},
	}
}

func streamRoute(resumable bool) route.Route {
	return route.Route{
		Name: "stream", Host: testHost, Prefix: "/s/", Kind: route.KindStream, MaxAttempts: 2, Resumable: resumable,
		Timeout: 5 * time.Second, Objective: time.Second, Targets: []route.Target{{Service: testEngines, Weight: 1}},
	}
}

// testResponse is a response as the caller received it.
type testResponse struct {
	body   string
	err    error
	header http.Header
	status int
}

// send sends one request of a caller.
func (f *fleet) send(ctx context.Context, method, path string, header map[string]string) testResponse {
	q, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader("body"))
	if err != nil {
		return testResponse{err: err}
	}
	q.Host = testHost
	q.Header.Set(testNames.RequestID, "r1")
	q.Header.Set(testNames.Deadline, "2000")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return testResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return testResponse{body: string(body), err: err, header: response.Header, status: response.StatusCode}
}
