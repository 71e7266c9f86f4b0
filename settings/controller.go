package settings

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/quota"
)

// The values of Controller.Demand.
const (
	// DemandStored keeps the busiest adapters in the store.
	DemandStored = "stored"
	// DemandOff keeps nothing.
	DemandOff = "off"
)

// The values of Controller.EngineLoad.
const (
	// EngineLoadLearned makes a controller learn how the engine's load slows its streams, and
	// gateways choose engines by it.
	EngineLoadLearned = "learned"
	EngineLoadOff     = "off"
)

// The values of Controller.LoadClaims.
const (
	// LoadClaimsShared lets the controllers decide together which engine loads an adapter.
	LoadClaimsShared = "shared"
	// LoadClaimsOff lets each gateway choose alone.
	LoadClaimsOff = "off"
)

// Controller holds the settings that only a controller has.
type Controller struct {
	// Demand says whether the demand for adapters outlives the processes: DemandStored or DemandOff.
	Demand string `json:"demand"`
	// Engine is the engine's address, on the same box.
	Engine string `json:"engine"`
	// LimitOrder is how the units of a workspace over its limit are allocated to its requests.
	LimitOrder quota.Order `json:"limit_order"`
	// EngineLoad is EngineLoadLearned or EngineLoadOff.
	EngineLoad string `json:"engine_load"`
	// LoadClaims says who decides which engine loads an adapter: LoadClaimsShared or LoadClaimsOff.
	LoadClaims string `json:"load_claims"`
	// LimitOverage is the fraction by which workspaces may exceed their limits.
	LimitOverage float64 `json:"limit_overage"`
	// LimitSlack is the number of units by which they may additionally exceed them in each
	// window.
	LimitSlack float64 `json:"limit_slack"`
	// LimitWindow is the window over which the usage of a workspace is summed.
	LimitWindow jsonc.Duration `json:"limit_window"`
	// Service is the service that the engine belongs to.
	Service sandbarrow.ServiceID `json:"service"`
}

func (c *checker) controller(s *Settings) {
	c.address("listen.rpc", s.Listen.RPC)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("controller.engine", s.Controller.Engine)
	claims := s.Controller.LoadClaims
	c.require(claims == LoadClaimsShared || claims == LoadClaimsOff, "controller.load_claims", "%q: want \"shared\" or \"off\"", claims)
	c.require(s.Controller.Demand == DemandStored || s.Controller.Demand == DemandOff, "controller.demand", "%q: want \"stored\" or \"off\"", s.Controller.Demand)
	c.require(s.Controller.Service != "", "controller.service", "is missing")
	order := s.Controller.LimitOrder
	c.require(order == quota.OrderArrival || order == quota.OrderClasses, "controller.limit_order", "%q: want \"arrival\" or \"classes\"", order)
	c.require(s.Controller.EngineLoad == EngineLoadLearned || s.Controller.EngineLoad == EngineLoadOff, "controller.engine_load",
		"%q: want %q or %q", s.Controller.EngineLoad, EngineLoadLearned, EngineLoadOff)
	c.require(s.Controller.LimitOverage >= 0, "controller.limit_overage", "must not be negative")
	c.require(s.Controller.LimitSlack >= 0, "controller.limit_slack", "must not be negative")
	c.require(s.Controller.LimitWindow > 0, "controller.limit_window", "must be positive")
}
