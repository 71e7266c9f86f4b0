package directory

import (
	"slices"
	"strings"

	"sandbarrow.example/sandbarrow"
)

// View is an immutable list of upstreams.
type View struct {
	byService map[sandbarrow.ServiceID][]*sandbarrow.Instance
}

// Find returns an upstream's current entry, or nil if it is no longer listed.
func (v *View) Find(in *sandbarrow.Instance) *sandbarrow.Instance {
	for _, other := range v.Service(in.Service) {
		if other.ID == in.ID {
			return other
		}
	}
	return nil
}

// Entry returns the upstream of the same service that is now listed at an upstream's address, or nil.
func (v *View) Entry(in *sandbarrow.Instance) *sandbarrow.Instance {
	list := v.Service(in.Service)
	i, found := slices.BinarySearchFunc(list, in.Address, func(other *sandbarrow.Instance, address string) int {
		return strings.Compare(other.Address, address)
	})
	if !found {
		return nil
	}
	return list[i]
}

// At returns the upstream listed at an address, or nil.
func (v *View) At(address string) *sandbarrow.Instance {
	if v == nil {
		return nil
	}
	for _, list := range v.byService {
		for _, in := range list {
			if in.Address == address {
				return in
			}
		}
	}
	return nil
}

// All returns all upstreams in no particular order.
func (v *View) All() []*sandbarrow.Instance {
	var all []*sandbarrow.Instance
	if v == nil {
		return nil
	}
	for _, list := range v.byService {
		all = append(all, list...)
	}
	return all
}

// Service returns the upstreams of a service, ordered by address. It returns none for a
// nil view.
func (v *View) Service(id sandbarrow.ServiceID) []*sandbarrow.Instance {
	if v == nil {
		return nil
	}
	return v.byService[id]
}
