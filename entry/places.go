package entry

import (
	"sync"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/placement"
	"sandbarrow.example/sandbarrow/policy"
)

type placeKey struct {
	class  sandbarrow.CallerClass
	policy sandbarrow.PolicyID
}

// placeCache keeps which upstreams each policy permits, for one configuration
// and one membership of the fleet.
type placeCache struct {
	mu    sync.Mutex
	epoch int
	sets  map[placeKey]*sandbarrow.IndexSet
	view  *config.View
}

// permitted returns the upstreams where a policy lets a class run.
func (c *placeCache) permitted(v *config.View, f *placement.Fleet, key placeKey) (*sandbarrow.IndexSet, error) {
	count, epoch := f.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sets == nil || c.view != v || c.epoch != epoch {
		c.sets, c.view, c.epoch = map[placeKey]*sandbarrow.IndexSet{}, v, epoch
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
