// Package route matches requests to services, by host and longest path prefix.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
)

// Kind says whether the requests of a route may be retried.
type Kind string

// The kinds of a route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindStream requests get a stream of events as response.
	KindStream Kind = "stream"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
)

// ErrInvalid is the error for an inconsistent table.
const ErrInvalid = errors.ConstError("route: invalid table")

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service sandbarrow.ServiceID
	Weight  int
}

// Route describes how the requests under a host and path prefix are handled.
type Route struct {
	Host string
	Kind Kind
	// EventGapTarget is the longest pause that the operators want between two events of a
	// stream; 0 if there is no target.
	EventGapTarget time.Duration
	// MaxAttempts is the largest number of upstreams tried for one request.
	MaxAttempts int
	Name        string
	// Objective is the time within which the operators want a response, or the first event of a
	// stream. It decides nothing but StreamPatience.
	Objective time.Duration
	Prefix    string
	// Priority is 0 for the most urgent.
	Priority int
	// Public routes serve callers without a key, even if other routes require one.
	Public bool
	// Regions are the regions whose upstreams may serve the route; empty means all.
	Regions []sandbarrow.Region
	// Resumable streams may be continued at another upstream.
	Resumable bool
	Targets   []Target
	// Timeout bounds the time spent on a request.
	Timeout time.Duration
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Callers give a stream up that makes no event for the longest of these.
const (
	leastStreamPatience  = 2 * time.Second
	objectivesOfPatience = 4
	gapTargetsOfPatience = 8
)

// StreamPatience returns how long callers of a stream wait for an event; 0 if the route is for no stream.
func (r *Route) StreamPatience() time.Duration {
	if r.Kind != KindStream {
		return 0
	}
	return max(leastStreamPatience, objectivesOfPatience*r.Objective, gapTargetsOfPatience*r.EventGapTarget)
}

// Service selects a target by weight and returns its service. point is a number from 0
// up to, but not including, 1.
func (r *Route) Service(point float64) sandbarrow.ServiceID {
	total := 0.0 // as integers, large weights could overflow
	for _, t := range r.Targets {
		total += float64(t.Weight)
	}
	left := point * total
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is a base model that the engines of a service may load.
type Model struct {
	ID sandbarrow.BaseModelID
}

// Engine describes the engines of a service.
type Engine struct {
	// AdapterSlots is the number of adapters that an engine can have loaded at once.
	AdapterSlots int
	// EventTokens is the number of tokens in one event of a stream; 0 if unknown.
	EventTokens int
	// KVCacheTokens is the capacity of an engine's KV cache in tokens, for running requests
	// and cached prompts; 0 if unknown.
	KVCacheTokens int
	// MaxRunning is the number of requests that an engine runs at once; 0 if unknown.
	MaxRunning int
	// MoveTimePerToken is the time to move one token of an engine's KV cache to another
	// engine; 0 if the engines can't move them.
	MoveTimePerToken time.Duration
	Models           []Model
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	// ColdRate is the request rate that a cold upstream accepts from all processes together; 0
	// means any.
	ColdRate sandbarrow.RequestRate
	// Engine is nil for plain services.
	Engine *Engine
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	ID         sandbarrow.ServiceID
}

// Limits bound what a caller may send.
type Limits struct {
	IdleTimeout    time.Duration
	MaxBodyBytes   int
	MaxHeaderBytes int
}

// Table is an immutable set of routes and services.
type Table struct {
	// Keys are the API keys of the workspaces; nil if callers need none.
	Keys     *access.Keys
	Limits   Limits
	Services map[sandbarrow.ServiceID]*Service
	// Version is the number that the operators gave the table.
	Version uint64

	hosts map[string][]*Route
}

// NewTable validates and indexes routes and services.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Limits:   limits,
		Services: make(map[sandbarrow.ServiceID]*Service, len(services)),
		Version:  version,
		hosts:    map[string][]*Route{},
	}
	for i := range services {
		t.Services[services[i].ID] = &services[i]
	}
	for i := range routes {
		if err := t.add(&routes[i]); err != nil {
			return nil, err
		}
	}
	for _, byHost := range t.hosts {
		slices.SortFunc(byHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return errors.Annotatef(ErrInvalid, "route %q: host %q and prefix %q", r.Name, r.Host, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.Annotatef(ErrInvalid, "route %q names no service", r.Name)
	}
	for _, target := range r.Targets {
		if t.Services[target.Service] == nil || target.Weight < 0 {
			return errors.Annotatef(ErrInvalid, "route %q: service %q weight %d", r.Name, target.Service, target.Weight)
		}
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

// Match returns the route of a request, or nil if there is none. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
