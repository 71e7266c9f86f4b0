// Package settings reads and validates the settings of one process, a file of JSON with comments.
package settings

import (
	"log/slog"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/quota/outage"
)

// UpstreamKind is the kind of an agent's upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// EnvironmentVariable is the environment variable that names the settings file if no flag does.
const EnvironmentVariable = "SANDBARROW_SETTINGS"

const maxPort = 65535

// Agent holds the settings that only an agent has.
type Agent struct {
	// LeaseTTL is the time after which the lease on the upstream expires unless it is renewed.
	LeaseTTL jsonc.Duration `json:"lease_ttl"`
	// StopGrace is the longest duration of a planned stop. Requests that still run then are
	// aborted.
	StopGrace   jsonc.Duration `json:"stop_grace"`
	Upstream    Upstream       `json:"upstream"`
	WeightStore WeightStore    `json:"weight_store"`
}

// Box identifies the box that the process runs on.
type Box struct {
	FailureDomain sandbarrow.FailureDomain `json:"failure_domain"`
	ID            sandbarrow.BoxID         `json:"id"`
}

// Entry holds the settings that only an entry has.
type Entry struct {
	// DefaultDeadline is the deadline of requests that specify none.
	DefaultDeadline jsonc.Duration `json:"default_deadline"`
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// RetryShare is the fraction of requests that may be retries.
	RetryShare float64 `json:"retry_share"`
	// StopGrace is the longest duration of a planned stop. Requests that still run shortly before its
	// end are ended with a response.
	StopGrace jsonc.Duration `json:"stop_grace"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// HTTP serves callers (entry, gateway) and metrics (entry, agent).
	HTTP string `json:"http"`
	// Metrics serves the metrics of a gateway or controller.
	Metrics string `json:"metrics"`
	// Peer serves other gateways.
	Peer string `json:"peer"`
	// Ready serves the load balancer's readiness check of a gateway.
	Ready string `json:"ready"`
	// RPC serves entries (agent) or gateways (controller).
	RPC string `json:"rpc"`
}

// Log holds the format and level of the log.
type Log struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// BoxList is the URL of the list of boxes.
	BoxList string `json:"box_list"`
	// Store is the base URL of the key-value service.
	Store string `json:"store"`
}

// Settings holds all settings of one process.
type Settings struct {
	Agent      *Agent      `json:"agent"`
	Box        Box         `json:"box"`
	Controller *Controller `json:"controller"`
	Entry      *Entry      `json:"entry"`
	Gateway    *Gateway    `json:"gateway"`
	Listen     Listen      `json:"listen"`
	Log        Log         `json:"log"`
	Platform   Platform    `json:"platform"`
}

// Upstream describes the upstream of an agent.
type Upstream struct {
	BaseModel sandbarrow.BaseModelID `json:"base_model"`
	// ChecksToken reports that the engine refuses orders with an older fencing token.
	ChecksToken bool                  `json:"checks_token"`
	ID          sandbarrow.UpstreamID `json:"id"`
	Kind        UpstreamKind          `json:"kind"`
	// MaxRunning is the maximum number of requests that run concurrently.
	MaxRunning int                  `json:"max_running"`
	Service    sandbarrow.ServiceID `json:"service"`
	// Slots is the number of adapters that the engine can have loaded.
	Slots int    `json:"slots"`
	URL   string `json:"url"`
}

// WeightStore holds the capacity of the entire weight store. Several agents share it, so each
// also backs off when the weight store rejects its loads.
type WeightStore struct {
	// LoadsPerSecond is the load rate that the entire weight store supports.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// ParallelLoads is the number of concurrent loads that the entire weight store serves at
	// full speed.
	ParallelLoads int `json:"parallel_loads"`
}

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file. Errors contain the given file name.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{Log: Log{Format: "json", Level: "info"}}
	doc, err := jsonc.Decode(file, text, s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	c := checker{doc: doc}
	c.settings(s)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	if e := s.Entry; e != nil {
		setDefault(&e.DefaultDeadline, jsonc.Duration(60*time.Second))
		setDefault(&e.MaxBodyBytes, 1<<20)
		setDefault(&e.RetryShare, 0.1)
		setDefault(&e.StopGrace, jsonc.Duration(120*time.Second))
	}
	if k := s.Controller; k != nil {
		setDefault(&k.Demand, DemandStored)
		setDefault(&k.LoadClaims, LoadClaimsOff)
		setDefault(&k.LimitOrder, quota.OrderClasses)
		setDefault(&k.EngineLoad, EngineLoadLearned)
		setDefault(&k.LimitWindow, jsonc.Duration(10*time.Second))
	}
	if g := s.Gateway; g != nil {
		setDefault(&g.DrainBound, jsonc.Duration(2*time.Second))
		setDefault(&g.LeaderWait, outage.WaitShared)
		setDefault(&g.PlainPermits, PlainPermitsContended)
		setDefault(&g.RetrySlack, 50)
		setDefault(&g.RetryShare, 0.2)
		setDefault(&g.StallBound, jsonc.Duration(20*time.Second))
		setDefault(&g.StopGrace, jsonc.Duration(8*time.Second))
	}
	if a := s.Agent; a != nil {
		setDefault(&a.LeaseTTL, jsonc.Duration(6*time.Second))
		setDefault(&a.StopGrace, jsonc.Duration(120*time.Second))
		setDefault(&a.Upstream.MaxRunning, 32)
		setDefault(&a.WeightStore.LoadsPerSecond, 2)
		setDefault(&a.WeightStore.ParallelLoads, 2)
	}
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

type checker struct {
	doc      *jsonc.Document
	problems jsonc.Problems
}

func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, c.doc.Problem(key, format, args...))
	}
}

func (c *checker) address(key, value string) {
	host, _, err := net.SplitHostPort(value)
	c.require(err == nil, key, "%q: want an IP address and a port, such as \"127.0.0.1:8080\"", value)
	c.require(err != nil || net.ParseIP(host) != nil, key, "%q: host must be an IP address", value)
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	c.require(err == nil && u.Scheme == "http" && u.Host != "", key, "%q: want an http URL", value)
}

func (c *checker) settings(s *Settings) {
	c.require(s.Box.ID != "", "box.id", "is missing")
	c.require(s.Box.FailureDomain != "", "box.failure_domain", "is missing")
	if s.Controller == nil {
		c.address("listen.http", s.Listen.HTTP)
	}
	c.url("platform.store", s.Platform.Store)
	c.require(s.Log.Format == "json" || s.Log.Format == "text", "log.format", "%q: want \"json\" or \"text\"", s.Log.Format)
	var level slog.Level
	c.require(level.UnmarshalText([]byte(s.Log.Level)) == nil, "log.level", "%q: want debug, info, warn or error", s.Log.Level)
	c.require(s.countRoles() == 1, "", "exactly one of the parts agent, controller, entry and gateway is required")
	if s.Entry != nil {
		c.entry(s)
	}
	if s.Agent != nil {
		c.agent(s)
	}
	if s.Controller != nil {
		c.controller(s)
	}
	if s.Gateway != nil {
		c.gateway(s)
	}
}

// countRoles returns the number of roles that have settings.
func (s *Settings) countRoles() int {
	n := 0
	for _, present := range []bool{s.Agent != nil, s.Controller != nil, s.Entry != nil, s.Gateway != nil} {
		if present {
			n++
		}
	}
	return n
}

func (c *checker) entry(s *Settings) {
	e := s.Entry
	c.url("platform.box_list", s.Platform.BoxList)
	c.require(e.DefaultDeadline > 0, "entry.default_deadline", "must be positive")
	c.require(e.MaxBodyBytes > 0, "entry.max_body_bytes", "must be positive")
	c.require(e.RetryShare >= 0 && e.RetryShare <= 1, "entry.retry_share", "%v: want 0 to 1", e.RetryShare)
	c.require(e.StopGrace > 0, "entry.stop_grace", "must be positive")
}

func (c *checker) agent(s *Settings) {
	a := s.Agent
	u := a.Upstream
	c.address("listen.rpc", s.Listen.RPC)
	c.require(time.Duration(a.LeaseTTL) >= time.Second, "agent.lease_ttl", "must be at least 1s")
	c.require(a.StopGrace > 0, "agent.stop_grace", "must be positive")
	c.require(u.ID != "", "agent.upstream.id", "is missing")
	c.url("agent.upstream.url", u.URL)
	c.require(u.MaxRunning > 0, "agent.upstream.max_running", "must be positive")
	c.require(a.WeightStore.LoadsPerSecond > 0, "agent.weight_store.loads_per_second", "must be positive")
	c.require(a.WeightStore.ParallelLoads > 0, "agent.weight_store.parallel_loads", "must be positive")
	switch u.Kind {
	case KindEngine:
		c.require(u.BaseModel != "", "agent.upstream.base_model", "is missing for an engine")
		c.require(u.Slots > 0, "agent.upstream.slots", "must be positive for an engine")
	case KindService:
		c.require(u.Service != "", "agent.upstream.service", "is missing for a plain service")
	default:
		c.require(false, "agent.upstream.kind", "%q: want \"engine\" or \"service\"", u.Kind)
	}
}
