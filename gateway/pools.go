package gateway

import (
	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/forward"
)

// pool returns the connections to an upstream.
func (g *Gateway) pool(in *sandbarrow.Instance) *forward.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[in.ID]
	if p == nil {
		p = forward.NewPool(in.Address)
		g.pools[in.ID] = p
		g.closeUnlisted()
	}
	return p
}

// closeUnlisted closes the pools of upstreams that are no longer listed. The caller holds mu.
func (g *Gateway) closeUnlisted() {
	listed := map[sandbarrow.InstanceID]bool{}
	for _, in := range g.directory.View().All() {
		listed[in.ID] = true
	}
	for id, p := range g.pools {
		if !listed[id] {
			p.Close()
			delete(g.pools, id)
		}
	}
}
