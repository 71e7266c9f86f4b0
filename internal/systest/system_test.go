// Package systest tests the whole system as separate processes, under faults.
package systest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	// The tests run the built binaries. This import makes test results depend on all packages of
	// those binaries. Without it, go test would reuse cached results after they change.
	"sandbarrow.example/sandbarrow/internal/await"
	_ "sandbarrow.example/sandbarrow/internal/cmd"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/standin"
	"sandbarrow.example/sandbarrow/store"
)

// bin is the directory of the built binaries.
var bin string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sandbarrow")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir, "sandbarrow.example/sandbarrow/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// process is one started binary. Its first log lines report its addresses.
type process struct {
	cmd    *exec.Cmd
	log    string
	mu     sync.Mutex
	events map[string]map[string]any // by message
}

func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(bin, name), args...), events: map[string]map[string]any{}}
	stderr, err := p.cmd.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	go p.readLog(bufio.NewScanner(stderr))
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("log of %v:\n%s", args, p.log)
		}
	})
	return p
}

func (p *process) readLog(s *bufio.Scanner) {
	for s.Scan() {
		line := map[string]any{}
		_ = json.Unmarshal(s.Bytes(), &line)
		p.mu.Lock()
		p.log += s.Text() + "\n"
		if message, ok := line["msg"].(string); ok {
			p.events[message] = line
		}
		p.mu.Unlock()
	}
}

// dumpTime is how long a process has to write its goroutine dump.
const dumpTime = 500 * time.Millisecond

// logField waits for a log message and returns one of its fields. If the message is missing, it
// makes the process write a goroutine dump into its log.
func (p *process) logField(t testing.TB, message, key string) string {
	t.Helper()
	var value string
	defer func() {
		if value == "" {
			_ = p.cmd.Process.Signal(syscall.SIGQUIT) // fails for a process that has exited; its log has the reason
			time.Sleep(dumpTime)
		}
	}()
	await.Until(t, 10*time.Second, message, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		value, _ = p.events[message][key].(string)
		return value != ""
	})
	return value
}

func (p *process) signal(t testing.TB, s os.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
	if s == syscall.SIGSTOP {
		p.waitStopped(t)
	}
}

// waitStopped waits until all threads of a process are stopped after SIGSTOP. A thread that still
// runs after the signal was sent can start a request.
func (p *process) waitStopped(t testing.TB) {
	t.Helper()
	began := time.Now()
	for !p.allThreadsStopped(t) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("the process still runs 10 s after SIGSTOP")
		}
		time.Sleep(time.Millisecond)
	}
	t.Logf("stopped after %v", time.Since(began))
}

// allThreadsStopped reports whether all threads of a process are stopped.
func (p *process) allThreadsStopped(t testing.TB) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited
		}
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// waitExit waits until a process exits without an error.
func (p *process) waitExit(t *testing.T, within time.Duration) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(within):
		t.Fatal("process did not exit")
	}
}

// controlClient is for calls of the tests that run in parallel. They can't share the default client: each
// httptest.Server closes the idle connections of that as it is closed.
var controlClient = &http.Client{Transport: &http.Transport{}}

// options describes a system under test.
type options struct {
	checksToken bool
	engines     int
	entries     int
	// entryStopGrace is the setting entry.stop_grace.
	entryStopGrace time.Duration
	leaseTTL       time.Duration
	loadTime       time.Duration
	maxRunning     int
	// standinProcesses starts the stand-ins as separate processes too.
	standinProcesses bool
	slots            int
	tokenTime        time.Duration
	serviceTime      time.Duration
}

func defaultOptions() options {
	return options{
		checksToken: true, engines: 2, entries: 1, entryStopGrace: 20 * time.Second, leaseTTL: 2 * time.Second, loadTime: 20 * time.Millisecond,
		maxRunning: 8, slots: 4, tokenTime: 5 * time.Millisecond, serviceTime: 20 * time.Millisecond,
	}
}

// member is one agent with its upstream and the relay in front of it.
type member struct {
	upstreamURL  string // URL of the upstream
	box          sandbarrow.Box
	settingsFile string
	process      *process
	relay        *relay
}

// system is a running system under test.
type system struct {
	checker        *checker
	dir            string
	entries        []*process
	kv             string // URL of the key-value store
	boxListURL     string
	members        []*member
	options        options
	t              testing.TB
	urls           []string // base URLs of the entries
	weightStoreURL string
}

// startSystem starts agents and entries as separate processes, and the stand-ins in this process
// unless the options say otherwise. The last member is a plain service.
func startSystem(t testing.TB, opts options) *system {
	t.Helper()
	s := &system{dir: t.TempDir(), options: opts, t: t}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s.kv = s.standin(standin.NewKV(standin.KVLimits{}), "kv")
	s.boxListURL = s.standin(standin.NewBoxList(0), "boxlist")
	s.weightStoreURL = s.standin(standin.NewWeightStore(standin.WeightLimits{Load: opts.loadTime, Parallel: 8}),
		"weights", "--load", opts.loadTime.String(), "--parallel", "8")
	result, _, err := config.Apply(ctx, store.NewHTTP(s.kv), testDocument("v1"), 0)
	assert.NilError(t, err)
	assert.Equal(t, result, config.ApplyAccepted)
	for i := range opts.engines {
		s.addMember(i, s.standin(standin.NewEngine(ctx, standin.EngineOptions{
			UpstreamNotices: platform.UpstreamNotices{},
			ChecksToken:     opts.checksToken, MaxBatch: 32, Slots: opts.slots, Step: opts.tokenTime, WeightStore: s.weightStoreURL,
		}), "engine", "--checks-token", "--slots", fmt.Sprint(opts.slots), "--step", opts.tokenTime.String(), "--weight-store", s.weightStoreURL), fmt.Sprintf(`"kind": "engine", "base_model": "base-0", "slots": %d, "checks_token": %t`, opts.slots, opts.checksToken))
	}
	s.addMember(opts.engines, s.standin(standin.NewPlainService(opts.serviceTime, platform.UpstreamNotices{}), "service", "--work", opts.serviceTime.String()), `"kind": "service", "service": "receipts"`)
	s.publishBoxes()
	for i := range opts.entries {
		s.startEntry(i)
	}
	for i := range s.urls {
		s.waitConnected(i, len(s.members))
	}
	s.checker = newChecker(s)
	return s
}

// standin serves a stand-in from this process or starts it as a separate process, and returns its URL.
func (s *system) standin(h http.Handler, kind string, args ...string) string {
	if !s.options.standinProcesses {
		return s.serve(h)
	}
	p := startProcess(s.t, "standin", append([]string{"--listen", "127.0.0.1:0", "--kind", kind}, args...)...)
	return "http://" + p.logField(s.t, "standin started", "http")
}

func (s *system) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = discardLog()
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func (s *system) addMember(i int, upstreamURL, upstreamSettings string) {
	m := &member{
		upstreamURL: upstreamURL,
		box: sandbarrow.Box{
			FailureDomain: sandbarrow.FailureDomain(string(rune('a' + i))), ID: sandbarrow.BoxID(fmt.Sprintf("agent-%d", i)),
			Role: sandbarrow.RoleAgent, State: sandbarrow.BoxLive,
		},
		settingsFile: filepath.Join(s.dir, fmt.Sprintf("agent-%d.json", i)),
		relay:        startRelay(s.t),
	}
	m.box.Address = m.relay.address()
	settings := fmt.Sprintf(`{
		// written by a test
		"box": {"id": %q, "failure_domain": %q},
		"listen": {"http": "127.0.0.1:0", "rpc": "127.0.0.1:0"},
		"log": {"level": "debug"},
		"platform": {"store": %q, "box_list": "%s/boxes"},
		"agent": {
			"lease_ttl": %q, "stop_grace": "20s",
			"upstream": {"id": "upstream-%d", "url": %q, "max_running": %d, %s},
			"weight_store": {"loads_per_second": 50, "parallel_loads": 8},
		},
	}`, m.box.ID, m.box.FailureDomain, s.kv, s.boxListURL, s.options.leaseTTL, i, upstreamURL, s.options.maxRunning, upstreamSettings)
	assert.NilError(s.t, os.WriteFile(m.settingsFile, []byte(settings), 0o600))
	s.members = append(s.members, m)
	s.startAgent(m)
}

// startAgent starts the agent of a member, or a replacement for it.
func (s *system) startAgent(m *member) {
	m.process = startProcess(s.t, "sandbarrow", "agent", "--settings", m.settingsFile)
	m.relay.setTarget(m.process.logField(s.t, "agent started", "rpc"))
}

func (s *system) startEntry(i int) {
	file := filepath.Join(s.dir, fmt.Sprintf("entry-%d.json", i))
	settings := fmt.Sprintf(`{
		"box": {"id": "entry-%d", "failure_domain": "a"},
		"listen": {"http": "127.0.0.1:0"},
		"platform": {"store": %q, "box_list": "%s/boxes"},
		"entry": {"default_deadline": "8s", "stop_grace": %q},
	}`, i, s.kv, s.boxListURL, s.options.entryStopGrace)
	assert.NilError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	p := startProcess(s.t, "sandbarrow", "entry", "--settings", file)
	url := "http://" + p.logField(s.t, "entry started", "http")
	if i < len(s.entries) {
		s.entries[i], s.urls[i] = p, url
		return
	}
	s.entries = append(s.entries, p)
	s.urls = append(s.urls, url)
}

// publishBoxes sends the list of boxes to the platform.
func (s *system) publishBoxes() {
	boxes := make([]sandbarrow.Box, len(s.members))
	for i, m := range s.members {
		boxes[i] = m.box
	}
	s.sendJSON(http.MethodPut, s.boxListURL+"/boxes", boxes)
}

func (s *system) sendJSON(method, url string, v any) {
	s.t.Helper()
	body, err := json.Marshal(v)
	assert.NilError(s.t, err)
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(s.t, err)
	resp, err := controlClient.Do(req)
	assert.NilError(s.t, err)
	_ = resp.Body.Close()
	assert.Equal(s.t, resp.StatusCode, http.StatusOK)
}

// faults sets the faults of a stand-in.
func (s *system) faults(url string, f standin.Faults) {
	s.t.Helper()
	s.sendJSON(http.MethodPost, url+"/faults", f)
}

func (s *system) upstreamLog(url string) standin.Log {
	s.t.Helper()
	var l standin.Log
	s.readJSON(url+"/log", &l)
	return l
}

// readJSON decodes a JSON response of a stand-in.
func (s *system) readJSON(url string, v any) {
	s.t.Helper()
	resp, err := controlClient.Get(url)
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	assert.NilError(s.t, json.NewDecoder(resp.Body).Decode(v))
}

// metric returns one unlabelled metric of a process, or -1 if it is missing.
func metric(url, name string) float64 {
	resp, err := controlClient.Get(url + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		var value float64
		if n, _ := fmt.Sscanf(scanner.Text(), name+" %g", &value); n == 1 {
			return value
		}
	}
	return -1
}

func (s *system) waitConnected(entry, agents int) {
	s.t.Helper()
	await.Until(s.t, 15*time.Second, "agents connected", func() bool {
		return metric(s.urls[entry], "sandbarrow_agents_connected") == float64(agents) &&
			metric(s.urls[entry], "sandbarrow_configuration_revision") >= 1
	})
}

func (s *system) applyVersion(version string, expected sandbarrow.Revision) {
	s.t.Helper()
	result, _, err := config.Apply(context.Background(), store.NewHTTP(s.kv), testDocument(version), expected)
	assert.NilError(s.t, err)
	assert.Equal(s.t, result, config.ApplyAccepted)
}
