package gateway

import (
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/loadclaim"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/readspeed"
	"sandbarrow.example/sandbarrow/recall"
)

// linkState is the state of one engine and its controller as last reported. It is safe for
// concurrent use. The caller of reconnect and of methods whose name ends in Locked must hold mu.
type linkState struct {
	mu sync.Mutex
	// cached mirrors the prompt cache of the engine.
	cached promptcache.Mirror
	// lastContact is when the link came up or the last status arrived.
	lastContact  time.Time
	engineMemory recall.Memory
	// expected holds the loads that the engine is going to begin.
	expected loadclaim.Expected
	// instance is the last instance of the engine that its controller has reported.
	instance sandbarrow.InstanceID
	// rpc is nil while the link is down.
	rpc    *jsonrpc2.Conn
	status enginelink.Status
	// ownTokens are the prompt tokens of this gateway's requests whose response has not begun.
	// countedTokens are those of them that the last status includes.
	ownTokens, countedTokens enginelink.Waiting
	// pins are reported to the controller whenever its link reconnects.
	pins map[sandbarrow.RequestID]*enginelink.Acquire
}

// linkView is a snapshot of an engine for one request.
type linkView struct {
	// cached is the number of prompt tokens that the engine has cached.
	cached int
	// expected is set if the engine is going to load the adapter, unreportedLoads the number of
	// loads that are missing from the status.
	expected        bool
	unreportedLoads int
	// linked is set if the controller is linked and has reported what the engine has loaded.
	linked bool
	// recallable is set if the adapter should be in the engine's own memory.
	recallable bool
	status     enginelink.Status
	// waitingTokens estimates the prompt tokens that the request would wait for at the engine.
	waitingTokens int
	// weights are the versions with which the engine would run the request now. They are zero if
	// the engine has not loaded the adapter, or if they are unknown.
	weights sandbarrow.WeightsVersion
}

// report returns the last report of the engine's controller.
func (v *linkView) report() availability.Report {
	return reportOf(&v.status, v.linked)
}

// reportOf returns what a controller's status says about whether its engine accepts requests. It is
// empty if the controller is not linked.
func reportOf(s *enginelink.Status, linked bool) availability.Report {
	if !linked {
		return availability.Report{}
	}
	return availability.Report{Draining: s.Draining, Instance: s.Instance, Started: s.Started, Unreachable: s.EngineUnreachable}
}

// view takes a snapshot of the engine for a call. A nil link is not linked.
func (l *controllerLink) view(now time.Time, c *call) linkView {
	if l == nil {
		return linkView{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := linkView{
		linked: l.usableLocked(now), recallable: l.engineMemory.Has(c.key, c.version), status: l.status,
		waitingTokens: l.waitingTokensLocked(c.priority()), expected: l.expected.Has(now, c.key, c.version), unreportedLoads: l.expected.Unreported(now),
	}
	v.weights = l.status.Weights(c.key)
	// Most engines have not loaded the adapter and so have nothing cached
	// (BenchmarkChooseEngineForPrompt).
	if v.weights.Model > 0 {
		v.cached = l.cached.CachedTokens(v.weights, c.promptPrefixes)
	}
	return v
}

// cachedTokens returns how many tokens of a prompt the engine has cached for the given weights, by
// the last report of its controller. It returns 0 if another instance of the engine has been
// reported, or if the engine runs other weights.
func (l *controllerLink) cachedTokens(now time.Time, in *sandbarrow.Instance, c *call, v sandbarrow.WeightsVersion) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.usableLocked(now) || l.status.EngineUnreachable || l.status.Weights(c.key) != v {
		return 0
	}
	if l.status.Instance != "" && !l.status.Instance.Matches(in.ID) {
		return 0
	}
	return l.cached.CachedTokens(v, c.promptPrefixes)
}

// age returns the age of the last status.
func (l *controllerLink) age() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return boottime.Since(l.lastContact)
}

// lastStatus returns the last status, and whether the link is usable.
func (l *controllerLink) lastStatus(now time.Time) (enginelink.Status, bool) {
	if l == nil {
		return enginelink.Status{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.usableLocked(now)
}

// speed returns the last estimate of the engine's prefill speed; zero if there is none.
func (l *linkState) speed() readspeed.Speed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status.Speed
}

// eventTimes returns the last curve of the engine's event times; unknown if there is none.
func (l *linkState) eventTimes() engineload.Curve {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status.EventTimes
}

// waitingTokens estimates the prompt tokens that a request of a priority waits for at the engine.
// It counts those of all gateways in the last status, and those of this gateway since then.
func (l *controllerLink) waitingTokens(priority int) int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitingTokensLocked(priority)
}

func (l *linkState) waitingTokensLocked(priority int) int {
	var waiting enginelink.Waiting
	if l.status.WaitingByPriority != nil {
		waiting = *l.status.WaitingByPriority
	} else {
		waiting.Add(0, l.status.WaitingTokens)
	}
	for i := range waiting {
		waiting[i] = max(0, waiting[i]+l.ownTokens[i]-l.countedTokens[i])
	}
	return waiting.Ahead(priority)
}

// addPin stores a pin that was granted by the controller or taken without it.
func (l *linkState) addPin(q *enginelink.Acquire) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pins == nil {
		l.pins = map[sandbarrow.RequestID]*enginelink.Acquire{}
	}
	l.pins[q.ID] = q
}

// hasPin reports whether the gateway has a pin for a request.
func (l *linkState) hasPin(id sandbarrow.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pins[id] != nil
}

// addWaitingTokens adds the prompt tokens of a request of a priority that the engine has yet to
// prefill. With a negative number it removes them.
func (l *linkState) addWaitingTokens(priority, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownTokens.Add(priority, tokens)
}

// applyStatus replaces the last status. It returns the new one in full and the loads of the
// previous one.
func (l *linkState) applyStatus(s enginelink.Status) (full enginelink.Status, before enginelink.Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.status.Loads
	s.Expand(&l.status)
	started := s.Instance != "" && l.instance != "" && !s.Instance.Matches(l.instance)
	if len(s.Models) == 0 || started {
		l.engineMemory.Forget()
		l.expected.Clear()
	}
	if s.Instance != "" {
		l.instance = s.Instance
	}
	l.engineMemory.MarkLoaded(func(yield func(sandbarrow.AdapterKey, sandbarrow.AdapterVersion) bool) {
		for i := range s.Slots {
			l.expected.MarkShown(s.Slots[i].Key(), s.Slots[i].Version)
			if !yield(s.Slots[i].Key(), s.Slots[i].Version) {
				return
			}
		}
	})
	l.status, l.lastContact, l.countedTokens = s, boottime.Now(), l.ownTokens
	return s, before
}

// reconnect starts a new connection to the controller. It discards what was reported on the last
// one, because the engine may have restarted since then with other weights. The engine's speed,
// its event times and the fencing token stay valid.
func (l *linkState) reconnect(rpc *jsonrpc2.Conn) {
	l.rpc, l.lastContact = rpc, boottime.Now()
	l.cached = promptcache.Mirror{}
	l.expected.Clear()
	l.status = enginelink.Status{EventTimes: l.status.EventTimes, Loads: l.status.Loads, Speed: l.status.Speed, Token: l.status.Token}
}

// applyCached applies changes of the engine's prompt cache.
func (l *linkState) applyCached(k *enginelink.CachedPrompts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached.Apply(k.Changes, k.Complete)
}

// connection returns the connection to the controller, or nil.
func (l *linkState) connection() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc
}

// everUp reports whether the link has ever been up.
func (l *linkState) everUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastContact.IsZero()
}

// setWaiting applies the controller's own count of waiting prompt tokens.
func (l *linkState) setWaiting(g *enginelink.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.WaitingTokens, l.status.WaitingByPriority, l.countedTokens = g.Waiting, g.WaitingByPriority, l.ownTokens
}

// up reports whether the link is up and its controller's heartbeats arrive.
func (l *linkState) up(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.upLocked(now)
}

func (l *linkState) upLocked(now time.Time) bool {
	return l.rpc != nil && now.Sub(l.lastContact) < enginelink.HeartbeatTimeout
}

// usableLocked reports whether the link is up and its controller has reported what the engine has
// loaded.
func (l *linkState) usableLocked(now time.Time) bool {
	return l.upLocked(now) && len(l.status.Models)+len(l.status.Slots) > 0
}
