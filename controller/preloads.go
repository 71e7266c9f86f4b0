package controller

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// maxPreloadedShare is the share of an engine's slots that preloaded adapters may fill. The others
// stay free for adapters that are requested.
const maxPreloadedShare = 0.75

// addPreloads appends adapters to load before they are requested, the busiest first. It drops those
// that have been ordered or requested.
func (s *slots) addPreloads(keys []sandbarrow.AdapterKey) {
	s.preloads = append(slices.DeleteFunc(s.preloads, func(key sandbarrow.AdapterKey) bool { return !s.isAbsent(key) }), keys...)
}

// isAbsent reports whether an adapter is neither present nor requested.
func (s *slots) isAbsent(key sandbarrow.AdapterKey) bool {
	return s.slots[key] == nil && s.pending[key] == nil
}

// nextPreload decides the next load of an adapter that no request waits for. It uses free slots
// only, and the part of the load window that other loads leave.
func (s *slots) nextPreload() (sandbarrow.EngineOrder, bool) {
	for _, key := range s.preloads {
		if s.isAbsent(key) && s.preloadPlaces() > 0 {
			return sandbarrow.EngineOrder{Adapter: key.Adapter, Load: true, Model: key.Model}, true
		}
	}
	return sandbarrow.EngineOrder{}, false
}

// preloadPlaces returns how many adapters may be preloaded now.
func (s *slots) preloadPlaces() int {
	free := int(maxPreloadedShare*float64(s.capacity)) - len(s.slots)
	return max(0, min(free, maxLoading-s.loading(), s.window.size()-s.loadingFromStore()))
}

// wantedPreloads returns how many more adapters to choose: those that may begin now, and one so that
// the next load begins as soon as one ends.
func (s *slots) wantedPreloads() int {
	s.addPreloads(nil)
	return s.preloadPlaces() + 1 - len(s.preloads)
}

// preloadsFull reports whether preloaded adapters may take no more slots.
func (s *slots) preloadsFull() bool {
	return len(s.slots) >= int(maxPreloadedShare*float64(s.capacity))
}

// loadingForRequests returns the number of adapters that are being loaded from the weight store
// because requests wait for them. Requests do not wait until a preload leaves the load window.
func (s *slots) loadingForRequests() int {
	n := 0
	for key, sl := range s.slots {
		if sl.state == enginelink.SlotLoading && !sl.recalled && (!sl.preloaded || s.pending[key] != nil) {
			n++
		}
	}
	return n
}

// queuedLoads returns the number of adapters that requests wait for and whose load has not begun.
func (s *slots) queuedLoads() int {
	n := 0
	for key := range s.pending {
		if s.slots[key] == nil {
			n++
		}
	}
	return n
}

// evictionDemand returns the demand by which an idle adapter is evicted. A preloaded adapter that was
// not requested since is evicted before all others.
func (s *slots) evictionDemand(now time.Time, sl *slot) float64 {
	if sl.preloaded {
		return -1
	}
	return s.demandRate(now, sl.key)
}

// dropPreload gives up the preload of a failed order. It is not repeated: the adapter may no longer
// exist, and no request waits for it.
func (c *Controller) dropPreload(o *sandbarrow.EngineOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}
	c.slots.preloads = slices.DeleteFunc(c.slots.preloads, func(other sandbarrow.AdapterKey) bool { return other == key })
}
