// Package controller runs beside an engine and decides which adapters occupy
// its slots. Gateways ask it for the use of an adapter and send their requests
// to the engine themselves.
package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/decay"
	"sandbarrow.example/sandbarrow/recall"
)

const (
	// maxComing is how many adapters an engine loads at the same time.
	maxComing = 4
	// demandHalfLife is the time in which the memory of past demand halves.
	demandHalfLife = 15 * time.Second
	// rememberedAdapters bounds the history of demand.
	rememberedAdapters = 512
	// priorityStep is how much less each lower priority counts in the queue.
	priorityStep = 0.4
	// lateWorth is the share that a late answer counts.
	lateWorth = 0.3
)

// slot is one adapter on the engine.
type slot struct {
	key      sandbarrow.AdapterKey
	lastUsed time.Time
	loaded   time.Time
	// ordered is when the load was ordered; zero where it was not seen.
	ordered time.Time
	// recalled says that the engine's own memory had the adapter.
	recalled bool
	state    enginelink.SlotState
	version  sandbarrow.AdapterVersion
}

// want is a set of requests that wait for one adapter.
type want struct {
	key     sandbarrow.AdapterKey
	since   time.Time
	version sandbarrow.AdapterVersion
	waiters []*waiter
}

// value is what a load for these requests brings now: urgent requests count
// more, and those that can't be answered in time any more count less, so that
// an overload does not make all of them late.
func (w *want) value(now time.Time) float64 {
	var sum float64
	for _, one := range w.waiters {
		worth := 1 / (1 + priorityStep*float64(one.priority))
		if now.After(one.useful) {
			worth *= lateWorth
		}
		sum += worth
	}
	return sum
}

// waiter is one request that waits. Its channel holds one grant.
type waiter struct {
	grant    chan enginelink.Grant
	priority int
	// useful is until when a grant still lets the answer be in time.
	useful time.Time
	use    *use
}

// use is one request that was granted an adapter, or waits for it.
type use struct {
	begun   bool
	granted bool
	key     sandbarrow.AdapterKey
	tokens  int
}

// slots is the state of an engine's slots and of what waits for them. It is
// not safe for concurrent use.
type slots struct {
	capacity int
	// demands counts the requests for each adapter, decayed.
	demands map[sandbarrow.AdapterKey]*decay.Count
	evictor sandbarrow.Evictor
	// loadTook is told how long each load took.
	loadTook func(sandbarrow.AdapterKey, time.Duration)
	// memory is what the engine's own memory should hold.
	memory recall.Memory
	slots  map[sandbarrow.AdapterKey]*slot
	// uses counts the granted uses of each adapter.
	uses   map[sandbarrow.AdapterKey]int
	wants  map[sandbarrow.AdapterKey]*want
	window *loadWindow
}

func newSlots(e sandbarrow.Evictor) *slots {
	return &slots{
		demands:  map[sandbarrow.AdapterKey]*decay.Count{},
		evictor:  e,
		loadTook: func(sandbarrow.AdapterKey, time.Duration) {},
		slots:    map[sandbarrow.AdapterKey]*slot{},
		uses:     map[sandbarrow.AdapterKey]int{},
		wants:    map[sandbarrow.AdapterKey]*want{},
		window:   newLoadWindow(),
	}
}

// usable reports whether a slot can serve a version now.
func (s *slot) usable(v sandbarrow.AdapterVersion) bool {
	return s != nil && s.state == enginelink.SlotLoaded && s.version >= v
}

// ask grants a use at once, or queues it until settle.
func (s *slots) ask(now time.Time, q *enginelink.Acquire, u *use) *waiter {
	s.note(now, u.key)
	w := &waiter{
		grant: make(chan enginelink.Grant, 1), priority: q.Priority, use: u,
		useful: now.Add(time.Duration(q.UsefulMS) * time.Millisecond),
	}
	if sl := s.slots[u.key]; sl.usable(q.Version) {
		s.grant(now, sl, w)
		return w
	}
	wanted := s.wants[u.key]
	if wanted == nil {
		wanted = &want{key: u.key, since: now}
		s.wants[u.key] = wanted
	}
	wanted.version = max(wanted.version, q.Version)
	wanted.waiters = append(wanted.waiters, w)
	return w
}

func (s *slots) grant(now time.Time, sl *slot, w *waiter) {
	s.hold(now, w.use)
	w.grant <- enginelink.Grant{Version: sl.version}
}

func (s *slots) note(now time.Time, key sandbarrow.AdapterKey) {
	d := s.demands[key]
	if d == nil {
		if len(s.demands) >= rememberedAdapters {
			s.forget(now)
		}
		d = &decay.Count{}
		s.demands[key] = d
	}
	d.Add(now, demandHalfLife)
}

// forget drops the half of the demands that are least.
func (s *slots) forget(now time.Time) {
	keys := make([]sandbarrow.AdapterKey, 0, len(s.demands))
	for k := range s.demands {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b sandbarrow.AdapterKey) int {
		if s.demands[a].Value(now, demandHalfLife) < s.demands[b].Value(now, demandHalfLife) {
			return -1
		}
		return 1
	})
	for _, k := range keys[:len(keys)/2] {
		delete(s.demands, k)
	}
}

// withdraw takes back a use that waits.
func (s *slots) withdraw(w *waiter) {
	wanted := s.wants[w.use.key]
	if wanted == nil {
		return
	}
	wanted.waiters = slices.DeleteFunc(wanted.waiters, func(other *waiter) bool { return other == w })
	if len(wanted.waiters) == 0 {
		delete(s.wants, w.use.key)
	}
}

// release ends a granted use.
func (s *slots) release(now time.Time, u *use) {
	if !u.granted {
		return
	}
	u.granted = false
	s.uses[u.key]--
	if s.uses[u.key] <= 0 {
		delete(s.uses, u.key)
	}
	if sl := s.slots[u.key]; sl != nil {
		sl.lastUsed = now
	}
}

// hold counts a granted use, whether the engine has reported its adapter yet
// or not.
func (s *slots) hold(now time.Time, u *use) {
	u.granted = true
	s.uses[u.key]++
	if sl := s.slots[u.key]; sl != nil {
		sl.lastUsed = now
	}
}

// settle grants what waits for adapters that are loaded now.
func (s *slots) settle(now time.Time) {
	for key, wanted := range s.wants {
		sl := s.slots[key]
		if !sl.usable(wanted.version) {
			continue
		}
		for _, w := range wanted.waiters {
			s.grant(now, sl, w)
		}
		delete(s.wants, key)
	}
}

// waitingTokens counts the prompts that wait for their adapter.
func (s *slots) waitingTokens() int {
	n := 0
	for _, wanted := range s.wants {
		for _, w := range wanted.waiters {
			n += w.use.tokens
		}
	}
	return n
}

// refuseAll refuses all that wait.
func (s *slots) refuseAll(reason enginelink.RefuseReason) {
	for key, wanted := range s.wants {
		for _, w := range wanted.waiters {
			w.grant <- enginelink.Grant{Refused: reason}
		}
		delete(s.wants, key)
	}
}

// take brings the slots in line with what the engine reports.
func (s *slots) take(now time.Time, models []sandbarrow.LoadedModel, coming []sandbarrow.ComingAdapter) {
	held := map[sandbarrow.AdapterKey]bool{}
	for _, m := range models {
		for _, a := range m.Adapters {
			key := sandbarrow.AdapterKey{Adapter: a.Adapter, Model: m.Model}
			held[key] = true
			s.holds(now, key, a.Version)
		}
	}
	for _, c := range coming {
		if held[c.Key] {
			s.slots[c.Key].state = enginelink.SlotReplacing
			continue
		}
		held[c.Key] = true
		s.slots[c.Key] = s.kept(c.Key)
		s.slots[c.Key].state = enginelink.SlotLoading
		s.slots[c.Key].version = c.Version
	}
	for key := range s.slots {
		if !held[key] {
			delete(s.slots, key)
		}
	}
	if len(models) == 0 {
		s.memory.Forget()
	}
	s.memory.Note(maps.Keys(held))
}

func (s *slots) kept(key sandbarrow.AdapterKey) *slot {
	if sl := s.slots[key]; sl != nil {
		return sl
	}
	return &slot{key: key}
}

func (s *slots) holds(now time.Time, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	sl := s.kept(key)
	if sl.state != enginelink.SlotLoaded {
		if sl.state == enginelink.SlotLoading && !sl.ordered.IsZero() {
			s.loadTook(key, now.Sub(sl.ordered))
			if !sl.recalled {
				s.window.took(now.Sub(sl.ordered))
			}
		}
		sl.state, sl.loaded = enginelink.SlotLoaded, now
		sl.lastUsed = now
	}
	sl.version = v
	s.slots[key] = sl
}

// coming counts the adapters on their way.
func (s *slots) coming() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state != enginelink.SlotLoaded {
			n++
		}
	}
	return n
}

// brought counts the adapters on their way from the weight store.
func (s *slots) brought() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state == enginelink.SlotLoading && !sl.recalled {
			n++
		}
	}
	return n
}

// free counts the slots that are free or could be made free at once, less
// those that waiting requests will take.
func (s *slots) free() int {
	n := s.capacity - len(s.slots)
	for key, sl := range s.slots {
		if sl.state == enginelink.SlotLoaded && s.uses[key] == 0 && s.wants[key] == nil {
			n++
		}
	}
	for key := range s.wants {
		if s.slots[key] == nil {
			n--
		}
	}
	return n
}

// next chooses the next order, for the want of most value first.
func (s *slots) next(now time.Time) (sandbarrow.EngineOrder, bool) {
	for _, wanted := range s.byValue(now) {
		sl := s.slots[wanted.key]
		switch {
		case sl == nil:
			if o, ok := s.bring(now, wanted); ok {
				return o, true
			}
		case sl.state == enginelink.SlotLoaded && sl.version < wanted.version && s.uses[wanted.key] == 0 && s.coming() < maxComing:
			return loadOrder(wanted), true
		}
	}
	return sandbarrow.EngineOrder{}, false
}

// byValue lists the wants, the most valuable first and the oldest of equals.
func (s *slots) byValue(now time.Time) []*want {
	list := make([]*want, 0, len(s.wants))
	values := make(map[*want]float64, len(s.wants))
	for _, w := range s.wants {
		list = append(list, w)
		values[w] = w.value(now)
	}
	slices.SortFunc(list, func(a, b *want) int {
		if c := cmp.Compare(values[b], values[a]); c != 0 {
			return c
		}
		return a.since.Compare(b.since)
	})
	return list
}

func loadOrder(w *want) sandbarrow.EngineOrder {
	return sandbarrow.EngineOrder{Adapter: w.key.Adapter, Load: true, Model: w.key.Model, Version: w.version}
}

// bring orders a load into a free slot, or frees one.
func (s *slots) bring(now time.Time, w *want) (sandbarrow.EngineOrder, bool) {
	if s.coming() >= maxComing || !s.memory.Has(w.key) && s.brought() >= s.window.size() {
		return sandbarrow.EngineOrder{}, false
	}
	if len(s.slots) < s.capacity {
		return loadOrder(w), true
	}
	var idle []sandbarrow.SlotView
	var keys []sandbarrow.AdapterKey
	for key, sl := range s.slots {
		if sl.state != enginelink.SlotLoaded || s.uses[key] > 0 || s.wants[key] != nil {
			continue
		}
		idle = append(idle, sandbarrow.SlotView{
			Demand: s.rate(now, key), LastUsed: sl.lastUsed, Loaded: sl.loaded,
			Model: sandbarrow.ModelRef{Adapter: key.Adapter},
		})
		keys = append(keys, key)
	}
	wanted := sandbarrow.SlotView{Demand: s.rate(now, w.key), LastUsed: now, Model: sandbarrow.ModelRef{Adapter: w.key.Adapter}}
	victim, ok := s.evictor.Evict(now, wanted, idle)
	if !ok {
		return sandbarrow.EngineOrder{}, false
	}
	return sandbarrow.EngineOrder{Adapter: keys[victim].Adapter, Model: keys[victim].Model}, true
}

// rate is the decayed demand of an adapter in requests per second.
func (s *slots) rate(now time.Time, key sandbarrow.AdapterKey) float64 {
	d := s.demands[key]
	if d == nil {
		return 0
	}
	return d.Value(now, demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}

// ordered takes note of an order that the engine has accepted; done says that
// it is carried out already. An adapter that is still to be unloaded keeps its
// slot until the engine reports it gone.
func (s *slots) ordered(now time.Time, o *sandbarrow.EngineOrder, done bool) {
	key := sandbarrow.AdapterKey{Adapter: o.Adapter, Model: o.Model}
	sl := s.slots[key]
	switch {
	case !o.Load && done:
		delete(s.slots, key)
	case !o.Load:
		sl.state = enginelink.SlotReplacing
	case sl != nil:
		sl.state = enginelink.SlotReplacing
	default:
		s.slots[key] = &slot{
			key: key, lastUsed: now, ordered: now, recalled: s.memory.Has(key), state: enginelink.SlotLoading, version: o.Version,
		}
	}
}

// status lists the slots.
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
