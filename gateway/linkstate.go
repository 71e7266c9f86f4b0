package gateway

import (
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/promptcache"
	"sandbarrow.example/sandbarrow/readspeed"
	"sandbarrow.example/sandbarrow/recall"
)

// linkState is what a gateway knows of one engine and its controller. It is safe
// for concurrent use; reconnect and methods whose name ends in Locked want mu held.
type linkState struct {
	mu sync.Mutex
	// kept is what the engine keeps of the prompts it has read.
	kept promptcache.Mirror
	// lastContact is when the link came up or the last status arrived.
	lastContact time.Time
	memory      recall.Memory
	// instance is the last start of the engine that its controller has named.
	instance sandbarrow.InstanceID
	// rpc is nil while the link is down.
	rpc    *jsonrpc2.Conn
	status enginelink.Status
	// ownTokens are this gateway's prompt tokens that were asked for here and whose
	// answer has not begun; countedTokens is the part that the last status counts.
	ownTokens, countedTokens enginelink.Waiting
	// pins are reported to the controller whenever its link comes up again.
	pins map[sandbarrow.RequestID]*enginelink.Acquire
}

// linkView is one look at an engine on behalf of a request.
type linkView struct {
	// kept is how many tokens of the prompt the engine keeps.
	kept int
	// linked says that the controller is linked and has reported what the engine holds.
	linked bool
	// recallable says that the engine's own memory should hold the adapter.
	recallable bool
	status     enginelink.Status
	// waitingTokens estimates the prompt tokens that the request would wait for there.
	waitingTokens int
	// weights are the versions with which the engine would run the request now; zero where
	// it has not loaded the adapter, or they are not known.
	weights sandbarrow.WeightsVersion
}

// report is what the engine's controller has reported last.
func (v *linkView) report() availability.Report {
	return reportOf(&v.status, v.linked)
}

// reportOf is what a controller's status says of whether its engine accepts requests; nothing
// where the controller is not linked.
func reportOf(s *enginelink.Status, linked bool) availability.Report {
	if !linked {
		return availability.Report{}
	}
	return availability.Report{Draining: s.Draining, Instance: s.Instance, Unreachable: s.EngineUnreachable}
}

// view looks at the engine on behalf of a call. A nil link is not linked.
func (l *controllerLink) view(now time.Time, c *call) linkView {
	if l == nil {
		return linkView{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := linkView{
		linked: l.usableLocked(now), recallable: l.memory.Has(c.key, c.version), status: l.status,
		waitingTokens: l.waitingTokensLocked(c.priority()),
	}
	v.weights = l.status.Weights(c.key)
	// Most engines have not loaded the adapter and keep nothing for it (BenchmarkChooseEngineForPrompt).
	if v.weights.Model > 0 {
		v.kept = l.kept.CachedTokens(v.weights, c.stretches)
	}
	return v
}

// keeps is how many tokens of a prompt the engine keeps for weights of a version, by what
// its controller has reported last; 0 where another instance answers by now, or the
// engine runs other weights.
func (l *controllerLink) keeps(now time.Time, in *sandbarrow.Instance, c *call, v sandbarrow.WeightsVersion) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.usableLocked(now) || l.status.EngineUnreachable || l.status.Weights(c.key) != v {
		return 0
	}
	if l.status.Instance != "" && !l.status.Instance.Matches(in.ID) {
		return 0
	}
	return l.kept.CachedTokens(v, c.stretches)
}

// age is how old the last status is.
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

// speed is the last estimate of the engine's speed; zero where there was none.
func (l *linkState) speed() readspeed.Speed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status.Speed
}

// waitingTokens estimates the prompt tokens that a request of a priority waits for at
// the engine, from all gateways by the last status and from this one since then.
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

// addPin keeps a pin that was granted, or taken without the controller.
func (l *linkState) addPin(q *enginelink.Acquire) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pins == nil {
		l.pins = map[sandbarrow.RequestID]*enginelink.Acquire{}
	}
	l.pins[q.ID] = q
}

// addTokens counts the prompt of a request of a priority that the engine has yet to
// read, or no longer has where tokens is negative.
func (l *linkState) addTokens(priority, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownTokens.Add(priority, tokens)
}

// applyStatus replaces the last status, and returns the new one in full and the loads of
// the last one.
func (l *linkState) applyStatus(s enginelink.Status) (full enginelink.Status, before enginelink.Loads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.status.Loads
	s.Expand(&l.status)
	started := s.Instance != "" && l.instance != "" && !s.Instance.Matches(l.instance)
	if len(s.Models) == 0 || started {
		l.memory.Forget()
	}
	if s.Instance != "" {
		l.instance = s.Instance
	}
	l.memory.MarkLoaded(func(yield func(sandbarrow.AdapterKey, sandbarrow.AdapterVersion) bool) {
		for i := range s.Slots {
			if !yield(s.Slots[i].Key(), s.Slots[i].Version) {
				return
			}
		}
	})
	l.status, l.lastContact, l.countedTokens = s, boottime.Now(), l.ownTokens
	return s, before
}

// reconnect begins with a new connection to the controller. What was reported on the last
// one is forgotten until it is reported anew: the engine may have restarted meanwhile, with
// other weights. The engine's speed and the fencing token outlive that.
func (l *linkState) reconnect(rpc *jsonrpc2.Conn) {
	l.rpc, l.lastContact = rpc, boottime.Now()
	l.kept = promptcache.Mirror{}
	l.status = enginelink.Status{Loads: l.status.Loads, Speed: l.status.Speed, Token: l.status.Token}
}

// applyKept follows what the engine keeps of the prompts it has read.
func (l *linkState) applyKept(k *enginelink.CachedPrompts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept.Apply(k.Changes, k.Complete)
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

// setWaiting applies the controller's own count of the prompt tokens that wait.
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

// usableLocked reports whether the link is up and its controller has reported what the
// engine holds.
func (l *linkState) usableLocked(now time.Time) bool {
	return l.upLocked(now) && len(l.status.Models)+len(l.status.Slots) > 0
}
