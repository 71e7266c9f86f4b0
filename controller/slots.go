package controller

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/decay"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/recall"
)

// slots is the state of an engine's slots, the pins on its adapters and the requests that
// wait for a slot. It is not safe for concurrent use; the controller's mu guards it. This
// file maintains the pins and the queue. The engine's reports are applied in reconcile.go,
// loads and evictions are chosen in nextorder.go, and requests are counted in demand.go.
type slots struct {
	// capacity is the number of slots; 0 while it is unknown.
	capacity int
	// curve is how long the engine's streams take from one event to the next.
	curve engineCurve
	// demands holds the decayed number of requests for each adapter.
	demands map[sandbarrow.AdapterKey]*decay.Count
	evictor sandbarrow.Evictor
	// cached predicts which prompt prefixes the engine has cached.
	cached promptcache.Memory
	// gapTargets counts the granted pins by the gap target of their route.
	gapTargets map[time.Duration]int
	// observeHold is called once for each prompt that has to wait.
	observeHold func(holdReason)
	// observeLoad is called with the duration of each load.
	observeLoad func(sandbarrow.AdapterKey, time.Duration)
	// room is how many requests the engine can run.
	room engineRoom
	// recallMemory predicts which adapters are in the engine's own memory.
	recallMemory recall.Memory
	// models holds the versions of the base models that the engine has loaded.
	models map[sandbarrow.BaseModelID]sandbarrow.ModelVersion
	slots  map[sandbarrow.AdapterKey]*slot
	// pins counts the granted pins of each adapter.
	pins map[sandbarrow.AdapterKey]int
	// awaitingPrefill holds the requests whose adapter is pinned and whose prefill may not
	// start yet.
	awaitingPrefill prefillQueue
	// prefills tracks the granted pins whose prompts the engine has not finished prefilling.
	prefills prefills
	// gapPrefills tells which prompts lengthen the gaps of the running streams.
	gapPrefills gapPrefills
	pending     map[sandbarrow.AdapterKey]*pendingLoad
	// preloads are the adapters to load before they are requested, the busiest first.
	preloads []sandbarrow.AdapterKey
	window   *loadWindow
}

func newSlots(e sandbarrow.Evictor) *slots {
	return &slots{
		demands:     map[sandbarrow.AdapterKey]*decay.Count{},
		evictor:     e,
		gapTargets:  map[time.Duration]int{},
		observeHold: func(holdReason) {},
		observeLoad: func(sandbarrow.AdapterKey, time.Duration) {},
		slots:       map[sandbarrow.AdapterKey]*slot{},
		pins:        map[sandbarrow.AdapterKey]int{},
		pending:     map[sandbarrow.AdapterKey]*pendingLoad{},
		window:      newLoadWindow(),
	}
}

// acquire grants a pin immediately, or queues it until grantLoaded.
func (s *slots) acquire(now time.Time, q *enginelink.Acquire, p *pin) *pendingRequest {
	w := &pendingRequest{
		arrived: now, grant: make(chan enginelink.Grant, 1), priority: q.Priority, pin: p,
		latestGrant: now.Add(time.Duration(q.SpareMS) * time.Millisecond),
	}
	if p.key.Adapter == "" {
		s.grant(now, 0, w)
		return w
	}
	s.countDemand(now, p.key)
	if sl := s.slots[p.key]; sl.usable(q.Version) {
		s.grant(now, sl.version, w)
		return w
	}
	load := s.pending[p.key]
	if load == nil {
		load = &pendingLoad{key: p.key, since: now}
		s.pending[p.key] = load
	}
	load.version = max(load.version, q.Version)
	load.requests = append(load.requests, w)
	return w
}

// cancel removes a waiting request from the queue.
func (s *slots) cancel(now time.Time, w *pendingRequest) {
	if s.awaitingPrefill.remove(w) {
		s.unpin(now, w.pin)
		return
	}
	load := s.pending[w.pin.key]
	if load == nil {
		return
	}
	load.requests = slices.DeleteFunc(load.requests, func(other *pendingRequest) bool { return other == w })
	if len(load.requests) == 0 {
		delete(s.pending, w.pin.key)
	}
}

// grant pins the adapter of a request. The gateway gets the grant as soon as the engine may
// prefill the prompt.
func (s *slots) grant(now time.Time, v sandbarrow.AdapterVersion, w *pendingRequest) {
	s.countPin(now, w.pin)
	w.pin.weights = sandbarrow.WeightsVersion{Adapter: v, Model: s.models[w.pin.key.Model]}
	w.pin.toPrefill = s.uncachedTokens(w.pin)
	s.awaitingPrefill.add(w, v)
	s.admitPrompts(now)
}

// admitPrompts sends the grants of the requests whose prefill may start now, the most
// urgent first.
func (s *slots) admitPrompts(now time.Time) {
	for {
		w, v := s.awaitingPrefill.next(now, s.mayPrefill)
		if w == nil {
			return
		}
		s.startPrefill(now, w.pin)
		w.grant <- enginelink.Grant{ModelVersion: w.pin.weights.Model, Version: v}
	}
}

// grantLoaded grants the requests whose adapters are loaded now.
func (s *slots) grantLoaded(now time.Time) {
	for key, load := range s.pending {
		sl := s.slots[key]
		if !sl.usable(load.version) {
			continue
		}
		for _, w := range load.requests {
			s.grant(now, sl.version, w)
		}
		delete(s.pending, key)
	}
}

// pin counts a granted pin whose request is sent to the engine immediately. The engine may
// not have reported its adapter yet.
func (s *slots) pin(now time.Time, p *pin) {
	s.countPin(now, p)
	if !p.responseStarted {
		s.startPrefill(now, p)
	}
}

// countPin counts a granted pin.
func (s *slots) countPin(now time.Time, p *pin) {
	p.granted = true
	s.pins[p.key]++
	s.countGapTarget(p.gapTarget, 1)
	if sl := s.slots[p.key]; sl != nil {
		sl.lastUsed, sl.preloaded = now, false
	}
}

// startPrefill records that the engine is about to receive a request.
func (s *slots) startPrefill(now time.Time, p *pin) {
	p.toPrefill = s.uncachedTokens(p)
	s.prefills.add(now, p)
	s.awaitingPrefill.window.PrefillStarted(now, s.prefills.pendingTokens(now))
}

// uncachedTokens returns the number of prompt tokens that the engine has not cached.
func (s *slots) uncachedTokens(p *pin) int {
	return max(0, p.tokens-s.cached.CachedTokens(p.weights, p.promptPrefixes))
}

// requestDone releases the pin of a finished request.
func (s *slots) requestDone(now time.Time, p *pin) {
	s.awaitingPrefill.window.RequestEnded()
	s.unpin(now, p)
}

// streamPaused records that a stream paused for longer than its route allows. It returns
// the size of the prefill window, and whether the pause reduced it.
func (s *slots) streamPaused(now time.Time) (int, bool) {
	closed := s.awaitingPrefill.window.StreamPaused(now)
	return s.awaitingPrefill.window.Size(), closed
}

// unpin releases a granted pin. It ignores a pin that was not granted.
func (s *slots) unpin(now time.Time, p *pin) {
	if !p.granted {
		return
	}
	p.granted = false
	s.prefills.remove(p)
	s.countGapTarget(p.gapTarget, -1)
	s.pins[p.key]--
	if s.pins[p.key] <= 0 {
		delete(s.pins, p.key)
	}
	if sl := s.slots[p.key]; sl != nil {
		sl.lastUsed = now
	}
	s.admitPrompts(now)
}

// responseStarted records that the response to a pinned request has started. By then the
// engine has prefilled the prompt and cached it for the weights that serve the request.
// Those weights may be newer than the requested ones.
func (s *slots) responseStarted(now time.Time, p *pin) {
	if s.prefills.responseStarted(now, p) {
		s.gapPrefills.markPrefilled(p)
		s.cached.Use(p.key, p.weights, p.promptPrefixes)
		s.admitPrompts(now)
	}
}

// remove removes an adapter from its slot. The engine discards the adapter's cached prompts
// with it.
func (s *slots) remove(key sandbarrow.AdapterKey) {
	delete(s.slots, key)
	s.cached.Drop(key)
}

// engineRestarted discards the state of the engine's previous start. The waiting requests
// name that start. The engine would load their adapters, refuse the requests, and cost each
// of them a retry. The prompts prefilled for them are lost too, even if a report about them
// is still in transit.
func (s *slots) engineRestarted(now time.Time) {
	s.curve.engineRestarted()
	s.prefills.toPrefill = nil
	s.refuseAll(now, enginelink.RefuseInstance)
	s.cached.Clear()
}

// refuseAll refuses all waiting requests.
func (s *slots) refuseAll(now time.Time, reason enginelink.RefuseReason) {
	for _, w := range s.awaitingPrefill.removeAll() {
		w.grant <- enginelink.Grant{Refused: reason}
		s.unpin(now, w.pin)
	}
	for key, load := range s.pending {
		for _, w := range load.requests {
			w.grant <- enginelink.Grant{Refused: reason}
		}
		delete(s.pending, key)
	}
}

// needsOrder reports whether the engine must be ordered to load this version of an adapter.
func (s *slots) needsOrder(key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	sl := s.slots[key]
	return key.Adapter != "" && !sl.usable(v) && (sl == nil || sl.state != enginelink.SlotLoading)
}

// refuseUnordered refuses the requests whose adapter the engine has not been ordered to
// load.
func (s *slots) refuseUnordered(reason enginelink.RefuseReason) {
	for key, load := range s.pending {
		if !s.needsOrder(key, load.version) {
			continue
		}
		for _, w := range load.requests {
			w.grant <- enginelink.Grant{Refused: reason}
		}
		delete(s.pending, key)
	}
}

// waiting counts the prompts that the engine has yet to prefill. These are the granted ones
// whose response has not started, and those that wait for their adapter.
func (s *slots) waiting() enginelink.Waiting {
	waiting := s.prefills.waiting()
	s.awaitingPrefill.count(&waiting)
	for _, load := range s.pending {
		for _, w := range load.requests {
			waiting.Add(w.pin.priority, w.pin.tokens)
		}
	}
	return waiting
}

// free returns the number of slots that are free or can be freed immediately, minus those
// needed for the pending loads. It is negative if the pending loads need more.
func (s *slots) free() int {
	n := s.capacity - len(s.slots)
	for key, sl := range s.slots {
		if s.evictable(key, sl) {
			n++
		}
	}
	for key := range s.pending {
		if s.slots[key] == nil {
			n--
		}
	}
	return n
}

// evictable reports whether an adapter may be unloaded. It must be loaded, with no pins and
// no waiting requests.
func (s *slots) evictable(key sandbarrow.AdapterKey, sl *slot) bool {
	return sl.state == enginelink.SlotLoaded && s.pins[key] == 0 && s.pending[key] == nil
}

// status returns the slots sorted by adapter.
func (s *slots) status() []enginelink.SlotStatus {
	list := make([]enginelink.SlotStatus, 0, len(s.slots))
	for key, sl := range s.slots {
		list = append(list, enginelink.SlotStatus{Adapter: key.Adapter, Model: key.Model, State: sl.state, Version: sl.version})
	}
	slices.SortFunc(list, func(a, b enginelink.SlotStatus) int {
		if a.Adapter < b.Adapter {
			return -1
		}
		return 1
	})
	return list
}
