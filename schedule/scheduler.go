package schedule

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// batchTarget is the group size at which a group stops waiting for a batch.
	batchTarget = 4
	// defaultLoadTime, defaultLoadInterval and defaultServiceTime are the initial
	// estimates. The last two are low: a cold start must not refuse a burst.
	defaultLoadTime     = time.Second
	defaultLoadInterval = 100 * time.Millisecond
	defaultServiceTime  = 100 * time.Millisecond
	// groupBonus is added to a group's age for each further ticket when loads are ordered,
	// because one load serves them all (docs/design/loads.md).
	groupBonus = time.Second
	// loadRetryPause is the delay before a failed load of an adapter is retried.
	loadRetryPause = 2 * time.Second
	// drainAfter is how long a group waits for an adapter to become idle before a busy one
	// is drained for it (docs/design/loads.md).
	drainAfter = time.Second
	// loadSmoothing and serviceSmoothing are the weights of a new measurement in the
	// estimates, from 0 to 1.
	loadSmoothing    = 0.3
	serviceSmoothing = 0.1
)

// Options describe an upstream and its scheduling rules.
type Options struct {
	// BatchWait is how long a small group waits at most for further tickets before its
	// load; 0 disables the wait.
	BatchWait time.Duration
	Evictor   sandbarrow.Evictor
	// MaxQueued bounds the number of waiting tickets.
	MaxQueued  int
	MaxRunning int
	Order      sandbarrow.QueueOrder
	// Slots is the number of adapter slots; 0 for plain services, which need no adapter.
	Slots int
}

// Order is an adapter to load, and the adapter to evict for it.
type Order struct {
	// Evict is zero if a slot is free.
	Evict   sandbarrow.ModelRef
	Model   sandbarrow.ModelRef
	Weights string
	// engineStart is the engine's start for which the order was decided.
	engineStart int
}

// Stats are measurements of one scheduler.
type Stats struct {
	// LoadTime is the expected time of one load.
	LoadTime time.Duration
	// LoadWait is the expected time until a newly requested adapter is loaded.
	LoadWait time.Duration
	Queued   int
	Running  int
	RunTime  time.Duration
}

// Scheduler makes the decisions for one upstream. admission.go decides which tickets are
// admitted and which are dropped, orders.go which adapters are loaded and evicted, and
// NextStart which ticket runs next. It is not safe for concurrent use.
type Scheduler struct {
	demands map[sandbarrow.ModelRef]*demand
	// draining is the model that was drained last; zero after undrain.
	draining sandbarrow.ModelRef
	// epoch is when the first run started.
	epoch    time.Time
	groups   map[sandbarrow.ModelRef]*group
	loadTime estimate
	// loadInterval is the mean time between the ends of two loads while other groups wait.
	loadInterval estimate
	// lastLoadEnd is when the last load ended; zero if no other group waited for a load then.
	lastLoadEnd time.Time
	options     Options
	queued      int
	running     int
	serviceTime estimate
	slots       map[sandbarrow.ModelRef]*slot
	// engineStart is the number of the engine's current start. Loaded adapters belong to it.
	engineStart int
	// startOffsetSum is the sum of the start times of the current runs, relative to epoch.
	startOffsetSum time.Duration
	candidates     []sandbarrow.SlotView
	// waitingSince is when the last load ended or when the first group began to wait for a
	// load, whichever is later.
	waitingSince time.Time
}

// New returns a scheduler for an upstream with no requests and no loaded adapters.
func New(o Options) *Scheduler {
	return &Scheduler{
		demands:      map[sandbarrow.ModelRef]*demand{},
		groups:       map[sandbarrow.ModelRef]*group{},
		loadTime:     newEstimate(defaultLoadTime, loadSmoothing),
		loadInterval: newEstimate(defaultLoadInterval, loadSmoothing),
		options:      o,
		serviceTime:  newEstimate(defaultServiceTime, serviceSmoothing),
		slots:        map[sandbarrow.ModelRef]*slot{},
	}
}

// Adopt records a model as loaded that the engine lists and the scheduler did not.
func (s *Scheduler) Adopt(now time.Time, model sandbarrow.ModelRef) {
	if s.slots[model] == nil {
		s.slots[model] = &slot{model: model, loadedAt: now, lastUsed: now}
	}
}

// Finish ends a running ticket and measures its service time.
func (s *Scheduler) Finish(now time.Time, t *Ticket) {
	if t.State != TicketRunning {
		return
	}
	t.State = TicketDone
	s.running--
	s.startOffsetSum -= t.Started.Sub(s.epoch)
	s.serviceTime.add(now, now.Sub(t.Started))
	if t.slot != nil {
		t.slot.running--
		t.slot.lastUsed = now
	}
}

// Forget removes a model that the engine turned out not to have loaded.
func (s *Scheduler) Forget(model sandbarrow.ModelRef) {
	if sl := s.slots[model]; sl != nil && sl.isResident() {
		delete(s.slots, model)
	}
}

// Protect keeps a loaded model from being evicted until the given time.
func (s *Scheduler) Protect(model sandbarrow.ModelRef, until time.Time) {
	if sl := s.slots[model]; sl != nil && sl.protectedUntil.Before(until) {
		sl.protectedUntil = until
	}
}

// NextStart moves the next ticket to running and returns it: the most urgent and oldest
// one whose adapter is loaded. It returns nil if none can start.
func (s *Scheduler) NextStart(now time.Time) *Ticket {
	if !s.draining.IsZero() && s.unloadedGroups(nil) == 0 {
		s.undrain()
	}
	if s.running >= s.options.MaxRunning {
		return nil
	}
	t := s.bestGroup(now, 0, func(model sandbarrow.ModelRef, _ *group) bool {
		return s.options.Slots == 0 || s.isLoaded(model)
	})
	if t == nil {
		return nil
	}
	s.Remove(t)
	t.State = TicketRunning
	t.Started = now
	if s.epoch.IsZero() {
		s.epoch = now
	}
	s.running++
	s.startOffsetSum += now.Sub(s.epoch)
	if sl := s.slots[t.Model]; sl != nil {
		sl.running++
		sl.lastUsed = now
		t.slot = sl
		if t.Stall {
			t.StallTime = sl.loadedAt.Sub(t.Arrived)
		}
	}
	return t
}

// Remove removes a ticket from the queue and reports whether it was waiting.
func (s *Scheduler) Remove(t *Ticket) bool {
	if t.State != TicketWaiting {
		return false
	}
	t.State = TicketDone
	g := s.groups[t.Model]
	g.tickets = slices.DeleteFunc(g.tickets, func(o *Ticket) bool { return o == t })
	if len(g.tickets) == 0 {
		delete(s.groups, t.Model)
	}
	s.queued--
	return true
}

// Reset replaces the known set of loaded adapters after a start of the agent or of the
// engine. Adapters on which requests of a previous agent may still run are protected from
// eviction until protectedUntil. An order in progress keeps its slot, because it may still
// reach the restarted engine. Its result is recorded for the previous start.
func (s *Scheduler) Reset(now time.Time, loaded []sandbarrow.ModelRef, protectedUntil time.Time) {
	s.engineStart++
	for _, sl := range s.slots {
		if sl.isResident() {
			delete(s.slots, sl.model)
		}
	}
	for _, model := range loaded {
		if s.slots[model] == nil {
			s.slots[model] = &slot{model: model, loadedAt: now, lastUsed: now, protectedUntil: protectedUntil}
		}
	}
}

// Resident returns the loaded adapters, sorted by name.
func (s *Scheduler) Resident() []sandbarrow.ModelRef {
	resident := make([]sandbarrow.ModelRef, 0, len(s.slots))
	for model, sl := range s.slots {
		if sl.isResident() {
			resident = append(resident, model)
		}
	}
	slices.SortFunc(resident, compareModels)
	return resident
}

// IsCurrent reports whether an order was decided after the engine's last restart.
func (s *Scheduler) IsCurrent(o Order) bool {
	return o.engineStart == s.engineStart
}

// SetBatchWait changes the longest wait for a batch.
func (s *Scheduler) SetBatchWait(d time.Duration) {
	s.options.BatchWait = d
}

// Stats returns the current measurements.
func (s *Scheduler) Stats(now time.Time) Stats {
	st := Stats{LoadTime: s.loadTime.get(now), Queued: s.queued, Running: s.running, RunTime: s.runTime(now)}
	st.LoadWait = s.loadWait(now, s.unloadedGroups(nil))
	return st
}

// bestGroup returns the first ticket of the eligible group that goes first. Each further
// ticket adds bonus to its group's age.
func (s *Scheduler) bestGroup(now time.Time, bonus time.Duration, eligible func(sandbarrow.ModelRef, *group) bool) *Ticket {
	var best *Ticket
	var bestWaiting sandbarrow.Waiting
	for model, g := range s.groups {
		if len(g.tickets) == 0 || !eligible(model, g) {
			continue
		}
		w := g.waiting(bonus)
		if best == nil || s.groupLess(now, w, bestWaiting, model, best.Model) {
			best, bestWaiting = g.tickets[0], w
		}
	}
	return best
}

// groupLess reports whether group a goes before group b. Ties are broken by model name,
// which makes decisions deterministic.
func (s *Scheduler) groupLess(now time.Time, a, b sandbarrow.Waiting, aModel, bModel sandbarrow.ModelRef) bool {
	if s.options.Order.Less(now, a, b) {
		return true
	}
	return !s.options.Order.Less(now, b, a) && compareModels(aModel, bModel) < 0
}

func (s *Scheduler) isLoaded(model sandbarrow.ModelRef) bool {
	sl := s.slots[model]
	return sl != nil && sl.state == slotLoaded
}

func compareModels(a, b sandbarrow.ModelRef) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
