package controller

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// maxLoading is how many adapters an engine loads at the same time. The load window
// bounds them further while there is contention for the weight store.
const maxLoading = 4

// nextOrder decides what the engine is ordered to do next: to load the adapter
// whose waiting requests are worth most, to replace its older version, or to unload
// an adapter that gives up its slot for it.
//
// Inputs: the pending loads with their values, what the engine holds by its last
// report and the orders since (15 ms old while loads are under way), and the pins. An
// older version is replaced only after its last pin. pinsKnown says that no pin is
// unreported; until then nothing is evicted or replaced, only free slots are used.
func (s *slots) nextOrder(now time.Time, pinsKnown bool) (sandbarrow.EngineOrder, bool) {
	for _, load := range s.byValue(now) {
		sl := s.slots[load.key]
		switch {
		case sl == nil:
			if o, ok := s.loadOrEvict(now, load, pinsKnown); ok {
				return o, true
			}
		case pinsKnown && sl.state == enginelink.SlotLoaded && sl.version < load.version && s.pins[load.key] == 0 && s.loading() < maxLoading:
			return load.order(), true
		}
	}
	return sandbarrow.EngineOrder{}, false
}

// byValue lists the pending loads, the most valuable first and the oldest of equals.
func (s *slots) byValue(now time.Time) []*pendingLoad {
	list := make([]*pendingLoad, 0, len(s.pending))
	values := make(map[*pendingLoad]float64, len(s.pending))
	for _, w := range s.pending {
		list = append(list, w)
		values[w] = w.value(now)
	}
	slices.SortFunc(list, func(a, b *pendingLoad) int {
		if c := cmp.Compare(values[b], values[a]); c != 0 {
			return c
		}
		return a.since.Compare(b.since)
	})
	return list
}

// loadOrEvict orders a load into a free slot, or frees one for it. Where as many
// adapters as may be are loading, it waits; so it does where a slot must be freed
// and the pins are not all known.
func (s *slots) loadOrEvict(now time.Time, w *pendingLoad, pinsKnown bool) (sandbarrow.EngineOrder, bool) {
	if !s.mayLoad(w) {
		return sandbarrow.EngineOrder{}, false
	}
	if len(s.slots) < s.capacity {
		return w.order(), true
	}
	if !pinsKnown {
		return sandbarrow.EngineOrder{}, false
	}
	return s.evict(now, w)
}

// mayLoad decides whether one more load may begin: an adapter that the engine's own
// memory holds passes the window, since it does not use the weight store.
func (s *slots) mayLoad(w *pendingLoad) bool {
	return s.loading() < maxLoading && (s.memory.Has(w.key, w.version) || s.loadingFromStore() < s.window.size())
}

// evict decides which adapter gives up its slot: the evictor chooses among those
// that nobody has pinned or waits for, by their demand and last use.
func (s *slots) evict(now time.Time, w *pendingLoad) (sandbarrow.EngineOrder, bool) {
	var idle []sandbarrow.SlotView
	var keys []sandbarrow.AdapterKey
	for key, sl := range s.slots {
		if !s.evictable(key, sl) {
			continue
		}
		idle = append(idle, sandbarrow.SlotView{
			Demand: s.demandRate(now, key), LastUsed: sl.lastUsed, Loaded: sl.loaded,
			Model: sandbarrow.ModelRef{Adapter: key.Adapter},
		})
		keys = append(keys, key)
	}
	wanted := sandbarrow.SlotView{Demand: s.demandRate(now, w.key), LastUsed: now, Model: sandbarrow.ModelRef{Adapter: w.key.Adapter}}
	victim, ok := s.evictor.Evict(now, wanted, idle)
	if !ok {
		return sandbarrow.EngineOrder{}, false
	}
	return sandbarrow.EngineOrder{Adapter: keys[victim].Adapter, Model: keys[victim].Model}, true
}

// loading counts the adapters that are being loaded, replaced or unloaded.
func (s *slots) loading() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state != enginelink.SlotLoaded {
			n++
		}
	}
	return n
}

// loadingFromStore counts the adapters that are being loaded from the weight store.
func (s *slots) loadingFromStore() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state == enginelink.SlotLoading && !sl.recalled {
			n++
		}
	}
	return n
}
