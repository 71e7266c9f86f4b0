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

// slots is the state of an engine's slots, of the pins on its adapters and of what
// waits for a slot. It is not safe for concurrent use: the controller's mu guards
// it. This file keeps pins and the queue; reconcile.go follows the engine's reports,
// nextorder.go chooses what is loaded and evicted, demand.go counts requests.
type slots struct {
	// capacity is the number of slots; 0 while it is not known.
	capacity int
	// demands counts the requests for each adapter, decayed.
	demands map[sandbarrow.AdapterKey]*decay.Count
	evictor sandbarrow.Evictor
	// kept is what the engine's memory should keep of the prompts it has read.
	kept promptcache.Memory
	// loadTook is called with the time of each load.
	loadTook func(sandbarrow.AdapterKey, time.Duration)
	// memory is what the engine's own memory should hold.
	memory recall.Memory
	// models has the versions of the base models that the engine holds.
	models map[sandbarrow.BaseModelID]sandbarrow.ModelVersion
	slots  map[sandbarrow.AdapterKey]*slot
	// pins counts the granted pins of each adapter.
	pins map[sandbarrow.AdapterKey]int
	// toRead are the requests whose adapter is pinned and whose prompt the engine may not
	// read yet.
	toRead readQueue
	// reading follows what the engine has yet to read of the prompts of granted pins.
	reading reading
	pending map[sandbarrow.AdapterKey]*pendingLoad
	window  *loadWindow
}

func newSlots(e sandbarrow.Evictor) *slots {
	return &slots{
		demands:  map[sandbarrow.AdapterKey]*decay.Count{},
		evictor:  e,
		loadTook: func(sandbarrow.AdapterKey, time.Duration) {},
		slots:    map[sandbarrow.AdapterKey]*slot{},
		pins:     map[sandbarrow.AdapterKey]int{},
		pending:  map[sandbarrow.AdapterKey]*pendingLoad{},
		window:   newLoadWindow(),
	}
}

// acquire grants a pin at once, or queues it until grantLoaded.
func (s *slots) acquire(now time.Time, q *enginelink.Acquire, p *pin) *pendingRequest {
	w := &pendingRequest{
		grant: make(chan enginelink.Grant, 1), priority: q.Priority, pin: p,
		usefulUntil: now.Add(time.Duration(q.SlackMS) * time.Millisecond),
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

// cancel takes a request that waits out of the queue.
func (s *slots) cancel(now time.Time, w *pendingRequest) {
	if s.toRead.remove(w) {
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

// grant pins the adapter of a request that waited for it, or need not wait, and tells the
// gateway as soon as the engine may read the prompt.
func (s *slots) grant(now time.Time, v sandbarrow.AdapterVersion, w *pendingRequest) {
	s.hold(now, w.pin)
	w.pin.weights = sandbarrow.WeightsVersion{Adapter: v, Model: s.models[w.pin.key.Model]}
	w.pin.unread = s.unreadOf(w.pin)
	s.toRead.add(now, w, v)
	s.admitPrompts(now)
}

// admitPrompts tells the gateways of those requests whose prompts the engine may read
// now, the most urgent first.
func (s *slots) admitPrompts(now time.Time) {
	for {
		w, v := s.toRead.next(now, s.reading.tokens(now))
		if w == nil {
			return
		}
		s.startReading(now, w.pin)
		w.grant <- enginelink.Grant{ModelVersion: w.pin.weights.Model, Version: v}
	}
}

// grantLoaded grants what waits for adapters that are loaded now.
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

// pin counts a granted pin whose request goes to the engine at once, whether the engine
// has reported its adapter yet or not.
func (s *slots) pin(now time.Time, p *pin) {
	s.hold(now, p)
	if !p.begun {
		s.startReading(now, p)
	}
}

// hold counts a granted pin.
func (s *slots) hold(now time.Time, p *pin) {
	p.granted = true
	s.pins[p.key]++
	if sl := s.slots[p.key]; sl != nil {
		sl.lastUsed = now
	}
}

// startReading notes that the engine is about to get a request.
func (s *slots) startReading(now time.Time, p *pin) {
	p.unread = s.unreadOf(p)
	s.reading.granted(now, p)
	s.toRead.window.began(now, s.reading.tokens(now))
}

// unreadOf is the part of a prompt that the engine does not keep.
func (s *slots) unreadOf(p *pin) int {
	return max(0, p.tokens-s.kept.CachedTokens(p.weights, p.stretches))
}

// done ends the pin of a request that has ended.
func (s *slots) done(now time.Time, p *pin) {
	s.toRead.window.ended()
	s.unpin(now, p)
}

// paused notes that a stream has paused for longer than its route allows. It returns the
// size of the read window, and whether that closed it.
func (s *slots) paused(now time.Time) (int, bool) {
	closed := s.toRead.window.paused(now)
	return s.toRead.window.size(), closed
}

// unpin ends a granted pin; one that was not granted is left alone.
func (s *slots) unpin(now time.Time, p *pin) {
	if !p.granted {
		return
	}
	p.granted = false
	s.reading.forget(p)
	s.pins[p.key]--
	if s.pins[p.key] <= 0 {
		delete(s.pins, p.key)
	}
	if sl := s.slots[p.key]; sl != nil {
		sl.lastUsed = now
	}
	s.admitPrompts(now)
}

// begun notes that the answer to a pinned request has begun, so that the engine has
// read its prompt and keeps it, for the weights with which it runs: they may be newer than
// those that the request asked for.
func (s *slots) begun(now time.Time, p *pin) {
	if s.reading.begun(now, p) {
		s.kept.Use(p.key, p.weights, p.stretches)
		s.admitPrompts(now)
	}
}

// remove takes an adapter out of its slot. The engine discards with it what it kept
// of the adapter's prompts.
func (s *slots) remove(key sandbarrow.AdapterKey) {
	delete(s.slots, key)
	s.kept.Drop(key)
}

// restarted ends what belongs to the engine's last start. The requests that wait name that
// start: the engine would refuse them after a load for nothing, and each would take a
// retry. What has been read for them is gone, also where a report of it is still on its
// way.
func (s *slots) restarted(now time.Time) {
	s.reading.unread = nil
	s.refuseAll(now, enginelink.RefuseInstance)
	s.kept.Clear()
}

// refuseAll refuses all that wait.
func (s *slots) refuseAll(now time.Time, reason enginelink.RefuseReason) {
	for _, w := range s.toRead.removeAll() {
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

// needsOrder reports whether the engine must be ordered to load an adapter of a version.
func (s *slots) needsOrder(key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	sl := s.slots[key]
	return key.Adapter != "" && !sl.usable(v) && (sl == nil || sl.state != enginelink.SlotLoading)
}

// refuseUnordered refuses the requests that wait for an adapter which the engine was not ordered
// to load.
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

// waiting counts the prompts that the engine has yet to read: those granted whose
// answer has not begun, and those that wait for their adapter.
func (s *slots) waiting() enginelink.Waiting {
	waiting := s.reading.waiting()
	s.toRead.count(&waiting)
	for _, load := range s.pending {
		for _, w := range load.requests {
			waiting.Add(w.pin.priority, w.pin.tokens)
		}
	}
	return waiting
}

// free counts the slots that are free or could be made free at once, less those
// that waiting requests will take; it is negative where more wait.
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

// evictable reports whether an adapter may be unloaded: it is loaded, and nobody
// has pinned it or waits for it.
func (s *slots) evictable(key sandbarrow.AdapterKey, sl *slot) bool {
	return sl.state == enginelink.SlotLoaded && s.pins[key] == 0 && s.pending[key] == nil
}

// status lists the slots in the order of their adapters.
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
