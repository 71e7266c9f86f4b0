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
	slots  map[sandbarrow.AdapterKey]*slot
	// pins counts the granted pins of each adapter.
	pins map[sandbarrow.AdapterKey]int
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
	s.countDemand(now, p.key)
	w := &pendingRequest{
		grant: make(chan enginelink.Grant, 1), priority: q.Priority, pin: p,
		usefulUntil: now.Add(time.Duration(q.UsefulMS) * time.Millisecond),
	}
	if sl := s.slots[p.key]; sl.usable(q.Version) {
		s.grant(now, sl, w)
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
func (s *slots) cancel(w *pendingRequest) {
	load := s.pending[w.pin.key]
	if load == nil {
		return
	}
	load.requests = slices.DeleteFunc(load.requests, func(other *pendingRequest) bool { return other == w })
	if len(load.requests) == 0 {
		delete(s.pending, w.pin.key)
	}
}

// grant grants the pin of a request that waited, or need not wait.
func (s *slots) grant(now time.Time, sl *slot, w *pendingRequest) {
	s.pin(now, w.pin)
	w.grant <- enginelink.Grant{Version: sl.version}
}

// grantLoaded grants what waits for adapters that are loaded now.
func (s *slots) grantLoaded(now time.Time) {
	for key, load := range s.pending {
		sl := s.slots[key]
		if !sl.usable(load.version) {
			continue
		}
		for _, w := range load.requests {
			s.grant(now, sl, w)
		}
		delete(s.pending, key)
	}
}

// pin counts a granted pin, whether the engine has reported its adapter yet or not.
func (s *slots) pin(now time.Time, p *pin) {
	p.granted = true
	if !p.begun {
		p.unread = max(0, p.tokens-s.kept.Kept(p.stretches))
		s.reading.granted(now, p)
	}
	s.pins[p.key]++
	if sl := s.slots[p.key]; sl != nil {
		sl.lastUsed = now
	}
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
}

// begun notes that the answer to a pinned request has begun, so that the engine has
// read its prompt and keeps it.
func (s *slots) begun(now time.Time, p *pin) {
	if s.reading.begun(now, p) {
		s.kept.Use(p.key, p.stretches)
	}
}

// remove takes an adapter out of its slot. The engine discards with it what it kept
// of the adapter's prompts.
func (s *slots) remove(key sandbarrow.AdapterKey) {
	delete(s.slots, key)
	s.kept.Drop(key)
}

// refuseAll refuses all that wait.
func (s *slots) refuseAll(reason enginelink.RefuseReason) {
	for key, load := range s.pending {
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
