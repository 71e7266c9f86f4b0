package schedule

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// batchTarget is the size of a group that ends its wait for a batch.
	batchTarget = 4
	// defaultLoad, defaultPace and defaultService are assumed until some are seen. Pace and service
	// are assumed fast: a cold start must not refuse a burst.
	defaultLoad    = time.Second
	defaultPace    = 100 * time.Millisecond
	defaultService = 100 * time.Millisecond
	// groupBonus is what each further ticket of a group is worth when loads are ordered:
	// one load serves them all (docs/design/loads.md).
	groupBonus = time.Second
	// loadRetryPause is the pause after a failed load of an adapter.
	loadRetryPause = 2 * time.Second
	// drainAfter is how long a group waits for an idle adapter to make place before a busy
	// one is drained for it (docs/design/loads.md).
	drainAfter = time.Second
	// loadSmoothing and serviceSmoothing are the weights of a new measurement, from 0 to 1.
	loadSmoothing    = 0.3
	serviceSmoothing = 0.1
)

// Options describe an upstream and the rules for it.
type Options struct {
	// BatchWait is the longest wait of a small group for a load; 0 is none.
	BatchWait time.Duration
	Evictor   sandbarrow.Evictor
	// MaxQueued bounds the waiting tickets.
	MaxQueued  int
	MaxRunning int
	Order      sandbarrow.QueueOrder
	// Slots is 0 for plain services, which need no adapter.
	Slots int
}

// Order is a load to be made, and the adapter that gives up its slot for it.
type Order struct {
	// Evict is zero when a slot is free.
	Evict   sandbarrow.ModelRef
	Model   sandbarrow.ModelRef
	Weights string
	// start is the engine's start for which the order was decided.
	start int
}

// Stats are measurements of one scheduler.
type Stats struct {
	// LoadTime is the time of one load.
	LoadTime time.Duration
	// LoadWait is the expected time until a new adapter would be loaded.
	LoadWait time.Duration
	Queued   int
	Running  int
	RunTime  time.Duration
}

// Scheduler decides for one upstream: admission.go who is admitted and who is given
// up, orders.go what is loaded and evicted, NextStart who runs. It is not safe for
// concurrent use.
type Scheduler struct {
	demands map[sandbarrow.ModelRef]*demand
	// draining is the model that was drained last, zero if it was given back.
	draining sandbarrow.ModelRef
	// epoch is when the first run started.
	epoch  time.Time
	groups map[sandbarrow.ModelRef]*group
	load   estimate
	// loadPace is the mean time between two loads while others wait.
	loadPace estimate
	// loadedAt is when the last load ended, if others waited for theirs then.
	loadedAt time.Time
	options  Options
	queued   int
	running  int
	service  estimate
	slots    map[sandbarrow.ModelRef]*slot
	// start counts the engine's starts; what is loaded belongs to one of them.
	start int
	// startSum adds up when the runs in progress started, since the epoch.
	startSum time.Duration
	views    []sandbarrow.SlotView
	// waitingSince is when the last load ended, or since when a group waits.
	waitingSince time.Time
}

// New returns a scheduler for an empty upstream.
func New(o Options) *Scheduler {
	return &Scheduler{
		demands:  map[sandbarrow.ModelRef]*demand{},
		groups:   map[sandbarrow.ModelRef]*group{},
		load:     newEstimate(defaultLoad, loadSmoothing),
		loadPace: newEstimate(defaultPace, loadSmoothing),
		options:  o,
		service:  newEstimate(defaultService, serviceSmoothing),
		slots:    map[sandbarrow.ModelRef]*slot{},
	}
}

// Adopt counts a model as loaded that the engine holds and that was not known.
func (s *Scheduler) Adopt(now time.Time, model sandbarrow.ModelRef) {
	if s.slots[model] == nil {
		s.slots[model] = &slot{model: model, loadedAt: now, lastUsed: now}
	}
}

// Finish ends a running ticket.
func (s *Scheduler) Finish(now time.Time, t *Ticket) {
	if t.State != TicketRunning {
		return
	}
	t.State = TicketEnded
	s.running--
	s.startSum -= t.Started.Sub(s.epoch)
	s.service.add(now, now.Sub(t.Started))
	if t.slot != nil {
		t.slot.running--
		t.slot.lastUsed = now
	}
}

// Forget drops a model that the engine does not hold after all.
func (s *Scheduler) Forget(model sandbarrow.ModelRef) {
	if sl := s.slots[model]; sl != nil && sl.isHeld() {
		delete(s.slots, model)
	}
}

// Protect protects a loaded model from unloading until a time.
func (s *Scheduler) Protect(model sandbarrow.ModelRef, until time.Time) {
	if sl := s.slots[model]; sl != nil && sl.keepUntil.Before(until) {
		sl.keepUntil = until
	}
}

// NextStart decides which ticket starts next, the most urgent and oldest whose adapter
// is loaded, and moves it to running; nil where none can start.
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
	s.startSum += now.Sub(s.epoch)
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

// Remove takes a waiting ticket out; it reports whether it was waiting.
func (s *Scheduler) Remove(t *Ticket) bool {
	if t.State != TicketWaiting {
		return false
	}
	t.State = TicketEnded
	g := s.groups[t.Model]
	g.tickets = slices.DeleteFunc(g.tickets, func(o *Ticket) bool { return o == t })
	if len(g.tickets) == 0 {
		delete(s.groups, t.Model)
	}
	s.queued--
	return true
}

// Reset replaces what is loaded as far as known, after a start of the agent or of the
// engine. keepUntil protects what a previous agent may be running. An order under way
// keeps its place, as it may yet reach the new start; its end counts for the old one.
func (s *Scheduler) Reset(now time.Time, loaded []sandbarrow.ModelRef, keepUntil time.Time) {
	s.start++
	for _, sl := range s.slots {
		if sl.isHeld() {
			delete(s.slots, sl.model)
		}
	}
	for _, model := range loaded {
		if s.slots[model] == nil {
			s.slots[model] = &slot{model: model, loadedAt: now, lastUsed: now, keepUntil: keepUntil}
		}
	}
}

// Resident lists the loaded adapters, in order.
func (s *Scheduler) Resident() []sandbarrow.ModelRef {
	resident := make([]sandbarrow.ModelRef, 0, len(s.slots))
	for model, sl := range s.slots {
		if sl.isHeld() {
			resident = append(resident, model)
		}
	}
	slices.SortFunc(resident, compareModels)
	return resident
}

// IsCurrent reports whether an order was decided for the engine's present start.
func (s *Scheduler) IsCurrent(o Order) bool {
	return o.start == s.start
}

// SetBatchWait changes the longest wait for a batch.
func (s *Scheduler) SetBatchWait(d time.Duration) {
	s.options.BatchWait = d
}

// Stats returns the measurements.
func (s *Scheduler) Stats(now time.Time) Stats {
	st := Stats{LoadTime: s.load.get(now), Queued: s.queued, Running: s.running, RunTime: s.runTime(now)}
	st.LoadWait = s.loadWait(now, s.unloadedGroups(nil))
	return st
}

// bestGroup returns the ticket that goes first among the groups that pass. A
// group's ticket counts as older by bonus for each ticket behind it.
func (s *Scheduler) bestGroup(now time.Time, bonus time.Duration, pass func(sandbarrow.ModelRef, *group) bool) *Ticket {
	var best *Ticket
	var bestWaiting sandbarrow.Waiting
	for model, g := range s.groups {
		if len(g.tickets) == 0 || !pass(model, g) {
			continue
		}
		w := g.waiting(bonus)
		if best == nil || s.goesBefore(now, w, bestWaiting, model, best.Model) {
			best, bestWaiting = g.tickets[0], w
		}
	}
	return best
}

// goesBefore compares two groups; equal ones go by name, so that decisions
// repeat.
func (s *Scheduler) goesBefore(now time.Time, a, b sandbarrow.Waiting, aModel, bModel sandbarrow.ModelRef) bool {
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
