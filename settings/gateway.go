package settings

import (
	"fmt"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/quota/outage"
)

// PlainPermits says which sends to plain upstreams need a permit.
type PlainPermits string

// The values of PlainPermits.
const (
	PlainPermitsContended PlainPermits = "contended"
	PlainPermitsOff       PlainPermits = "off"
)

// Gateway holds the settings that only a gateway has.
type Gateway struct {
	// ControllerPort is the port of the controllers on the engines' boxes.
	ControllerPort int `json:"controller_port"`
	// DrainBound is the time after which a draining upstream must get no new requests.
	DrainBound jsonc.Duration `json:"leave_bound"`
	// LeaderWait is how requests wait for a leader of their workspace's limit: "shared" or "request".
	LeaderWait outage.Wait `json:"leader_wait"`
	// MaxDescriptors is the number of files and connections that the process may open. If it is 0, it
	// bounds no connections of callers.
	MaxDescriptors int `json:"max_descriptors"`
	// MemoryMB is the memory of the box in MiB. If it is 0, what a gateway holds for requests has no
	// bound.
	MemoryMB int `json:"memory_mb"`
	// Peers are the peer addresses of other gateways. A gateway queries them if it can't read
	// the store at its start. Some may be stale or down.
	Peers []string `json:"peers"`
	// PlainPermits is PlainPermitsContended if sends to contended plain upstreams need a permit, and
	// PlainPermitsOff otherwise.
	PlainPermits PlainPermits `json:"plain_permits"`
	// Regions names the region of each failure domain. Operators may restrict routes and workspaces
	// to regions. A failure domain that is missing here serves unrestricted requests only.
	Regions map[sandbarrow.FailureDomain]sandbarrow.Region `json:"regions"`
	// RetryShare is the fraction of a service's requests that all gateways together may retry.
	RetryShare float64 `json:"retry_share"`
	// RetrySlack is the number of retries that they may send beyond that fraction.
	RetrySlack float64 `json:"retry_slack"`
	// RevokeBound is the time after which a revoked key must be refused, even if the store
	// is unreachable. If it is 0, a gateway that can't reach the store keeps serving callers by
	// the last known configuration.
	RevokeBound jsonc.Duration `json:"revoke_bound"`
	// StallBound is how long a caller may read nothing of its response before it is disconnected,
	// if the route's timeout is not longer.
	StallBound jsonc.Duration `json:"stall_bound"`
	// StopGrace is the longest duration of a planned stop. Requests that still run then are
	// aborted.
	StopGrace jsonc.Duration `json:"stop_grace"`
}

func (c *checker) gateway(s *Settings) {
	g := s.Gateway
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.metrics", s.Listen.Metrics)
	c.require(g.ControllerPort > 0 && g.ControllerPort <= maxPort, "gateway.controller_port", "%d is no port", g.ControllerPort)
	c.require(g.DrainBound > 0, "gateway.leave_bound", "must be positive")
	for i, peer := range g.Peers {
		c.address(fmt.Sprintf("gateway.peers[%d]", i), peer)
	}
	c.require(g.LeaderWait == outage.WaitShared || g.LeaderWait == outage.WaitPerRequest, "gateway.leader_wait", "%q: want \"shared\" or \"request\"", g.LeaderWait)
	c.require(g.MaxDescriptors >= 0, "gateway.max_descriptors", "must not be negative")
	c.require(g.MemoryMB >= 0, "gateway.memory_mb", "must not be negative")
	c.require(g.PlainPermits == PlainPermitsContended || g.PlainPermits == PlainPermitsOff, "gateway.plain_permits", "%q: want \"contended\" or \"off\"", g.PlainPermits)
	c.require(g.RetrySlack >= 0, "gateway.retry_slack", "must not be negative")
	c.require(g.RetryShare >= 0 && g.RetryShare <= 1, "gateway.retry_share", "%v: want 0 to 1", g.RetryShare)
	c.require(g.RevokeBound >= 0, "gateway.revoke_bound", "must not be negative")
	c.require(g.StallBound > 0, "gateway.stall_bound", "must be positive")
	c.require(g.StopGrace > 0, "gateway.stop_grace", "must be positive")
}
