package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/demand"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// preloadPeriod is how long after its start an engine is filled with adapters that are not
	// requested. A base model takes up to 3 s of it.
	preloadPeriod = 10 * time.Second
	// preloadInterval is the interval between two choices of what to preload. It is the time of one
	// load, so that the load window stays filled.
	preloadInterval = 250 * time.Millisecond
	// preloadTimeout bounds the question to a gateway.
	preloadTimeout = 250 * time.Millisecond
	// maxQuestions is how often a gateway is asked about an adapter, and askAgainAfter the time
	// between. The first answer may rest on the status of an engine that has restarted too.
	maxQuestions  = 2
	askAgainAfter = time.Second
	// emptyRounds is the number of choices without an adapter to load after which the preload ends.
	emptyRounds = 4
	// demandReadSpread spreads the reads of the controllers after a loss of all power.
	demandReadSpread = 300 * time.Millisecond
	// demandReadPeriod is how long a failed read is retried, demandReadPause the mean pause.
	demandReadPeriod = 5 * time.Second
	demandReadPause  = 300 * time.Millisecond
)

// preloader fills an engine that came back empty with the adapters that were requested before. It
// reads the stored demand once per start of the engine. A linked gateway then says which engines are
// up and which adapters no engine has.
type preloader struct {
	controller *Controller
	keeper     *demandKeeper
	// due holds one signal that the engine came back empty.
	due chan struct{}
	// seen is set after the first report; guarded by the controller's mu.
	seen bool
}

func newPreloader(c *Controller, k *demandKeeper) *preloader {
	return &preloader{controller: c, keeper: k, due: make(chan struct{}, 1)}
}

// observe makes the preload begin if a report shows that the engine came back empty. A controller
// that restarts beside a running engine preloads nothing. The caller holds the controller's mu.
func (p *preloader) observe(r *sandbarrow.EngineReport, restarted bool) {
	if p == nil {
		return
	}
	began := restarted || !p.seen
	p.seen = true
	if !began || len(r.Loading) > 0 {
		return
	}
	for _, m := range r.Models {
		if len(m.Adapters) > 0 {
			return
		}
	}
	select {
	case p.due <- struct{}{}:
	default:
	}
}

// run preloads adapters after each start of the engine until ctx ends.
func (p *preloader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-p.due:
			p.refill(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// refill preloads adapters after one start of the engine.
func (p *preloader) refill(ctx context.Context) {
	c := p.controller
	began := c.now()
	pause.For(ctx, rand.N(demandReadSpread))
	list := p.readDemand(ctx)
	r := newRefill(c, list)
	for empty := 0; len(list) > 0 && empty < emptyRounds && c.now().Sub(began) < preloadPeriod && ctx.Err() == nil; {
		if r.round(ctx) {
			empty++
		} else {
			empty = 0
		}
		pause.For(ctx, preloadInterval)
		if len(p.due) > 0 {
			break // the engine has restarted again
		}
	}
	c.mu.Lock()
	c.slots.preloads = nil
	c.mu.Unlock()
	if len(list) > 0 {
		c.logger.Info("preload ended", "listed", len(list), "adapters", r.chosen, "took_ms", c.now().Sub(began).Milliseconds())
	}
}

// readDemand reads the stored demand. It retries for demandReadPeriod.
func (p *preloader) readDemand(ctx context.Context) demand.List {
	until := p.controller.now().Add(demandReadPeriod)
	for ctx.Err() == nil {
		list, err := p.keeper.read(ctx)
		if err == nil {
			return list
		}
		if p.controller.now().After(until) {
			p.controller.logger.Warn("stored demand not read", "error", err.Error())
			break
		}
		pause.For(ctx, demandReadPause/2+rand.N(demandReadPause))
	}
	return nil
}

// refill is the state of one preload.
type refill struct {
	// ask asks a gateway which of the given adapters to load. It returns false without a reply.
	ask        func(context.Context, []sandbarrow.AdapterKey) (enginelink.PreloadReply, bool)
	controller *Controller
	list       demand.List
	// asked holds the questions about each adapter, chosen counts the approved adapters.
	asked  map[sandbarrow.AdapterKey]questions
	chosen int
	// engines and self are the addresses of the controllers whose engines are up, and of this one;
	// empty until a gateway has told them.
	engines []string
	self    string
}

// questions is how often, and when last, a gateway was asked about an adapter.
type questions struct {
	count int
	last  time.Time
}

func newRefill(c *Controller, l demand.List) *refill {
	return &refill{ask: c.askPreload, controller: c, asked: map[sandbarrow.AdapterKey]questions{}, list: l}
}

// round asks a gateway which adapters to load next, and orders them. It returns true if there is
// nothing left to load.
func (r *refill) round(ctx context.Context) bool {
	for range 2 { // the first reply of all only tells which engines are up
		keys, ready := r.candidates()
		if !ready {
			return false
		}
		if r.self != "" && len(keys) == 0 {
			return r.isDone()
		}
		known := r.self != ""
		reply, ok := r.ask(ctx, keys)
		if !ok {
			return false
		}
		r.engines, r.self = reply.Engines, reply.Self
		if !reply.Later {
			r.apply(keys, reply.Load)
		}
		if known {
			break
		}
	}
	return false
}

// candidates returns the adapters that the engine would load next, as many as may begin soon. It
// returns false while the engine can't load any.
func (r *refill) candidates() ([]sandbarrow.AdapterKey, bool) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reported.Models) == 0 || c.reported.Draining || c.failedReports > 0 || c.isEvacuated() || c.slots.capacity == 0 {
		return nil, false
	}
	if r.self == "" {
		return nil, true
	}
	keys := r.open(c.now())
	return keys[:min(len(keys), max(0, c.slots.wantedPreloads()))], true
}

// isDone reports whether the engine has, or may not load, all adapters that it would preload.
func (r *refill) isDone() bool {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots.preloadsFull() || len(r.open(c.now().Add(askAgainAfter))) == 0
}

// open returns the adapters to ask about at a time: those that the engine would load, and that were
// not just asked about or declined twice. The caller holds the controller's mu.
func (r *refill) open(at time.Time) []sandbarrow.AdapterKey {
	c := r.controller
	return slices.DeleteFunc(r.list.Owned(r.self, r.engines), func(key sandbarrow.AdapterKey) bool {
		asked := r.asked[key]
		return asked.count >= maxQuestions || at.Sub(asked.last) < askAgainAfter || !c.hasModel(key.Model) ||
			!c.slots.isAbsent(key) || slices.Contains(c.slots.preloads, key)
	})
}

// apply orders the adapters that a gateway has approved. Another engine has the others.
func (r *refill) apply(keys []sandbarrow.AdapterKey, load []int) {
	var approved []sandbarrow.AdapterKey
	for _, i := range load {
		if i >= 0 && i < len(keys) {
			approved = append(approved, keys[i])
		}
	}
	for _, key := range keys {
		r.asked[key] = questions{count: r.asked[key].count + 1, last: r.controller.now()}
	}
	r.chosen += len(approved)
	c := r.controller
	c.metrics.preloads.Add(float64(len(approved)))
	c.mu.Lock()
	c.slots.addPreloads(approved)
	c.mu.Unlock()
	if len(approved) > 0 {
		c.wakeEngineLoop()
	}
}

// askPreload asks one linked gateway. It returns false if there is none or it did not reply.
func (c *Controller) askPreload(ctx context.Context, keys []sandbarrow.AdapterKey) (reply enginelink.PreloadReply, ok bool) {
	c.mu.Lock()
	var gateway *link
	for l := range c.links {
		gateway = l
		break
	}
	c.mu.Unlock()
	if gateway == nil {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, preloadTimeout)
	defer cancel()
	err := gateway.rpc.Call(ctx, enginelink.MethodPreload, enginelink.Preload{Adapters: keys, Service: c.service}, &reply)
	return reply, err == nil && reply.Self != ""
}
