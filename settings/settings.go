// Package settings reads and checks the settings of one process, JSON with
// comments.
package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/jsonc"
)

// UpstreamKind says what stands behind an agent.
type UpstreamKind string

// The kinds of an upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// EnvironmentVariable names the settings file where no flag does.
const EnvironmentVariable = "SANDBARROW_SETTINGS"

const maxPort = 65535

// Agent is the part of an agent alone.
type Agent struct {
	// LeaseTTL is the life of the lease on the upstream.
	LeaseTTL jsonc.Duration `json:"lease_ttl"`
	// StopGrace bounds a planned stop; what still runs then is cut.
	StopGrace   jsonc.Duration `json:"stop_grace"`
	Upstream    Upstream       `json:"upstream"`
	WeightStore WeightStore    `json:"weight_store"`
}

// Box says where the process runs.
type Box struct {
	FailureDomain sandbarrow.FailureDomain `json:"failure_domain"`
	ID            sandbarrow.BoxID         `json:"id"`
}

// Controller is the part of a controller alone.
type Controller struct {
	// Engine is the engine's address, on the same box.
	Engine string `json:"engine"`
	// LimitOverage is the share by which workspaces may exceed their limits.
	LimitOverage float64 `json:"limit_overage"`
	// LimitSlack is by how many units they may exceed them beside that, in each window.
	LimitSlack float64 `json:"limit_slack"`
	// LimitWindow is the span over which what a workspace uses is summed up.
	LimitWindow jsonc.Duration `json:"limit_window"`
	// Service is the service that the engine belongs to.
	Service sandbarrow.ServiceID `json:"service"`
}

// Gateway is the part of a gateway alone.
type Gateway struct {
	// ControllerPort is the port of the controllers on the engines' boxes.
	ControllerPort int `json:"controller_port"`
	// LeaveBound is how soon a leaving upstream must get nothing new.
	LeaveBound jsonc.Duration `json:"leave_bound"`
	// Peers are peer addresses of other gateways, which are asked when the store
	// can't be read at the start; some may be stale or down.
	Peers []string `json:"peers"`
	// RetryShare is the share of a service's requests that all gateways together
	// may send again.
	RetryShare float64 `json:"retry_share"`
	// RetrySlack is how many repeats they may send beyond that share.
	RetrySlack float64 `json:"retry_slack"`
	// RevokeBound is how soon after its withdrawal a key must not be served any more, also
	// where the store can't be reached; 0 serves callers by the last configuration known.
	RevokeBound jsonc.Duration `json:"revoke_bound"`
	// StopGrace bounds a planned stop; what still runs then is cut.
	StopGrace jsonc.Duration `json:"stop_grace"`
}

// Entry is the part of an entry alone.
type Entry struct {
	// DefaultDeadline bounds requests that state none.
	DefaultDeadline jsonc.Duration `json:"default_deadline"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// RetryShare is the share of requests that may be retries.
	RetryShare float64 `json:"retry_share"`
	// StopGrace bounds a planned stop; what still runs then is cut.
	StopGrace jsonc.Duration `json:"stop_grace"`
}

// Listen holds the process's own addresses.
type Listen struct {
	// HTTP serves callers (entry, gateway) and metrics (entry, agent).
	HTTP string `json:"http"`
	// Metrics serves the metrics of a gateway or controller.
	Metrics string `json:"metrics"`
	// Peer serves other gateways.
	Peer string `json:"peer"`
	// Ready serves the balancer's readiness check of a gateway.
	Ready string `json:"ready"`
	// RPC serves entries (agent) or gateways (controller).
	RPC string `json:"rpc"`
}

// Log says how logs are written.
type Log struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Platform holds the platform's addresses.
type Platform struct {
	// BoxList is the URL of the list of boxes.
	BoxList string `json:"box_list"`
	// Store is the base URL of the key-value service.
	Store string `json:"store"`
}

// Settings are all settings of one process.
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

// Upstream describes the back end of an agent.
type Upstream struct {
	BaseModel sandbarrow.BaseModelID `json:"base_model"`
	// ChecksToken says that the engine refuses orders with an older fencing token.
	ChecksToken bool                  `json:"checks_token"`
	ID          sandbarrow.UpstreamID `json:"id"`
	Kind        UpstreamKind          `json:"kind"`
	// MaxRunning is the number of requests that run at once.
	MaxRunning int                  `json:"max_running"`
	Service    sandbarrow.ServiceID `json:"service"`
	// Slots is the number of adapters that the engine holds.
	Slots int    `json:"slots"`
	URL   string `json:"url"`
}

// WeightStore tells what the whole weight store bears; agents that share it
// back off on its own push-back.
type WeightStore struct {
	// LoadsPerSecond is the rate of the whole weight store.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// ParallelLoads is the number at full speed of the whole weight store.
	ParallelLoads int `json:"parallel_loads"`
}

// Load reads and checks a file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	return Parse(file, text)
}

// Parse reads and checks a text; file names it in errors.
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
		setDefault(&k.LimitWindow, jsonc.Duration(10*time.Second))
	}
	if g := s.Gateway; g != nil {
		setDefault(&g.LeaveBound, jsonc.Duration(2*time.Second))
		setDefault(&g.RetrySlack, 50)
		setDefault(&g.RetryShare, 0.2)
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

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
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
	c.require(err == nil, key, "%q: want an IP number and a port, such as \"127.0.0.1:8080\"", value)
	c.require(err != nil || net.ParseIP(host) != nil, key, "%q: host must be an IP number", value)
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
	c.require(s.parts() == 1, "", "exactly one of the parts agent, controller, entry and gateway must stand")
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

// parts counts the parts of single roles.
func (s *Settings) parts() int {
	n := 0
	for _, stands := range []bool{s.Agent != nil, s.Controller != nil, s.Entry != nil, s.Gateway != nil} {
		if stands {
			n++
		}
	}
	return n
}

func (c *checker) controller(s *Settings) {
	c.address("listen.rpc", s.Listen.RPC)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("controller.engine", s.Controller.Engine)
	c.require(s.Controller.Service != "", "controller.service", "is missing")
	c.require(s.Controller.LimitOverage >= 0, "controller.limit_overage", "must not be negative")
	c.require(s.Controller.LimitSlack >= 0, "controller.limit_slack", "must not be negative")
	c.require(s.Controller.LimitWindow > 0, "controller.limit_window", "must be positive")
}

func (c *checker) gateway(s *Settings) {
	g := s.Gateway
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.metrics", s.Listen.Metrics)
	c.require(g.ControllerPort > 0 && g.ControllerPort <= maxPort, "gateway.controller_port", "%d is no port", g.ControllerPort)
	c.require(g.LeaveBound > 0, "gateway.leave_bound", "must be positive")
	for i, peer := range g.Peers {
		c.address(fmt.Sprintf("gateway.peers[%d]", i), peer)
	}
	c.require(g.RetrySlack >= 0, "gateway.retry_slack", "must not be negative")
	c.require(g.RetryShare >= 0 && g.RetryShare <= 1, "gateway.retry_share", "%v: want 0 to 1", g.RetryShare)
	c.require(g.RevokeBound >= 0, "gateway.revoke_bound", "must not be negative")
	c.require(g.StopGrace > 0, "gateway.stop_grace", "must be positive")
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
