package entry

import (
	"sync"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/policy"
)

type permitKey struct {
	class  sandbarrow.CallerClass
	policy sandbarrow.PolicyID
}

// permitCache caches which upstreams each policy permits for a class. It is valid for one
// configuration and one membership of the fleet.
type permitCache struct {
	mu    sync.Mutex
	epoch int
	sets  map[permitKey]*sandbarrow.IndexSet
	view  *config.View
}

// permitted returns the upstreams at which a policy permits a class to run.
func (c *permitCache) permitted(v *config.View, f *placement.Fleet, key permitKey) (*sandbarrow.IndexSet, error) {
	count, epoch := f.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sets == nil || c.view != v || c.epoch != epoch {
		c.sets, c.view, c.epoch = map[permitKey]*sandbarrow.IndexSet{}, v, epoch
	}
	if set, ok := c.sets[key]; ok {
		return set, nil
	}
	set := &sandbarrow.IndexSet{}
	for i := range count {
		info := f.Info(i)
		ok, err := v.PermitsUpstream(key.policy, key.class, policy.Upstream{Box: info.Box, FailureDomain: info.FailureDomain, ID: info.ID})
		if err != nil {
			return nil, err
		}
		if ok {
			set.Add(i)
		}
	}
	c.sets[key] = set
	return set, nil
}
