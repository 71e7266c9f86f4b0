package controller

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// maxLoading is the maximum number of adapters that an engine loads at the same time. The
// load window lowers it further under contention for the weight store.
const maxLoading = 4

// nextOrder decides the next order to the engine. It loads the adapter whose waiting
// requests have accumulated the most priority, replaces its older version, or unloads another adapter
// to free a slot for it. If no request waits for a load that may start, it loads an adapter that was
// requested before a restart.
//
// The decision depends on the pending loads with their waiting requests, the engine's last report
// with the orders sent since (15 ms old while loads are in progress), and the pins. An
// older version is replaced only after its last pin is released. pinsKnown reports that no
// pin is unreported. Until then nothing is evicted or replaced, and only free slots are
// used.
func (s *slots) nextOrder(now time.Time, pinsKnown bool) (sandbarrow.EngineOrder, bool) {
	for _, load := range s.pendingInOrder(now) {
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
	return s.nextPreload()
}

// pendingInOrder returns the pending loads by the priority that their requests have accumulated. Equal
// ones are ordered by their most urgent request, then by the number of requests and by age.
func (s *slots) pendingInOrder(now time.Time) []*pendingLoad {
	list := make([]*pendingLoad, 0, len(s.pending))
	accumulated := make(map[*pendingLoad]time.Duration, len(s.pending))
	for _, load := range s.pending {
		list = append(list, load)
		accumulated[load] = load.accumulated(now)
	}
	slices.SortFunc(list, func(a, b *pendingLoad) int {
		return cmp.Or(cmp.Compare(accumulated[b], accumulated[a]), cmp.Compare(a.mostUrgent(), b.mostUrgent()),
			cmp.Compare(len(b.requests), len(a.requests)), a.since.Compare(b.since))
	})
	return list
}

// loadOrEvict orders a load into a free slot, or evicts an adapter to free one. It orders
// nothing while the maximum number of loads is in progress. If a slot must be freed, it
// also waits until all pins are known.
func (s *slots) loadOrEvict(now time.Time, load *pendingLoad, pinsKnown bool) (sandbarrow.EngineOrder, bool) {
	if !s.mayLoad(load) {
		return sandbarrow.EngineOrder{}, false
	}
	if len(s.slots) < s.capacity {
		return load.order(), true
	}
	if !pinsKnown {
		return sandbarrow.EngineOrder{}, false
	}
	return s.evict(now, load)
}

// mayLoad decides whether one more load may start. An adapter in the engine's own memory is
// exempt from the load window because loading it does not use the weight store.
func (s *slots) mayLoad(load *pendingLoad) bool {
	return s.loading() < maxLoading && (s.recallMemory.Has(load.key, load.version) || s.loadingForRequests() < s.window.size())
}

// evict decides which adapter to unload. The evictor chooses by demand and last use among
// the adapters without pins and waiting requests.
func (s *slots) evict(now time.Time, load *pendingLoad) (sandbarrow.EngineOrder, bool) {
	var idle []sandbarrow.SlotView
	var keys []sandbarrow.AdapterKey
	for key, sl := range s.slots {
		if !s.evictable(key, sl) {
			continue
		}
		idle = append(idle, sandbarrow.SlotView{
			Demand: s.evictionDemand(now, sl), LastUsed: sl.lastUsed, Loaded: sl.loaded,
			Model: sandbarrow.ModelRef{Adapter: key.Adapter},
		})
		keys = append(keys, key)
	}
	incoming := sandbarrow.SlotView{Demand: s.demandRate(now, load.key), LastUsed: now, Model: sandbarrow.ModelRef{Adapter: load.key.Adapter}}
	victim, ok := s.evictor.Evict(now, incoming, idle)
	if !ok {
		return sandbarrow.EngineOrder{}, false
	}
	return sandbarrow.EngineOrder{Adapter: keys[victim].Adapter, Model: keys[victim].Model}, true
}

// loading returns the number of adapters that are being loaded, replaced or unloaded.
func (s *slots) loading() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state != enginelink.SlotLoaded {
			n++
		}
	}
	return n
}

// loadingFromStore returns the number of adapters that are being loaded from the weight
// store.
func (s *slots) loadingFromStore() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state == enginelink.SlotLoading && !sl.recalled {
			n++
		}
	}
	return n
}
