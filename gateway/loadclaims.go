package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/sendkeepers"
)

const (
	// claimTimeout bounds the question which engine loads an adapter. A coordinator replies within
	// a round trip of 2 to 4 ms; without a reply, a load too many costs less than a longer wait.
	claimTimeout = 20 * time.Millisecond
	// maxClaims bounds the questions of one choice: the first, and one more if the engine that was
	// decided can't be used or would be too late.
	maxClaims = 2
	// maxClaimReports bounds the concurrent reports of decisions. Reports beyond it are dropped.
	maxClaimReports = 256
)

// loadClaimOutcome says how it was decided that an engine loads an adapter.
type loadClaimOutcome string

// Outcomes.
const (
	// claimFirst is for the gateway's own choice.
	claimFirst loadClaimOutcome = "first"
	// claimTold is for a decision that another request had made.
	claimTold loadClaimOutcome = "told"
	// claimUnanswered is for the gateway's own choice because no coordinator replied.
	claimUnanswered loadClaimOutcome = "unanswered"
)

// loadCoordinator is a process that decides which engine loads an adapter.
type loadCoordinator interface {
	sendkeepers.Named
	// ClaimLoad asks which engine loads an adapter.
	ClaimLoad(ctx context.Context, q enginelink.ClaimLoad) (enginelink.LoadDecision, error)
	// LoadClaimed tells the process what another coordinator has decided.
	LoadClaimed(q enginelink.ClaimLoad)
}

// loadClaims asks the coordinators of adapters which engine loads an adapter, or one more copy of it.
// It is safe for concurrent use.
type loadClaims struct {
	choice sendkeepers.Choice[sandbarrow.AdapterID, loadCoordinator]
	// coordinators returns the processes that decide for the engines of a service.
	coordinators func(sandbarrow.ServiceID) []loadCoordinator
	gateway      *Gateway
	reports      chan struct{}
}

func newLoadClaims(g *Gateway) *loadClaims {
	l := &loadClaims{gateway: g, reports: make(chan struct{}, maxClaimReports)}
	l.coordinators = l.controllers
	return l
}

// controllers returns the controllers of a service whose links are up.
func (l *loadClaims) controllers(id sandbarrow.ServiceID) []loadCoordinator {
	var list []loadCoordinator
	for _, link := range l.gateway.engines.serviceLinks(boottime.Now(), id) {
		list = append(list, link)
	}
	return list
}

// coordinateLoad returns the engine to use for a call whose best choice is e. If that engine would have
// to load the adapter, it asks a coordinator which one does, and chooses again with that knowledge. So
// the call goes to that engine if it is eligible, unless it would be so late there that yet another
// copy is the better choice. That is coordinated too, so that the number of copies follows what all
// gateways need together.
func (c *call) coordinateLoad(ctx context.Context, s *engineSearch, e *candidate) *candidate {
	var unusable sandbarrow.InstanceID
	if s.excluded[s.loadsAt] {
		unusable = s.loadsAt
	}
	for range maxClaims {
		if e == nil || !e.newCopy {
			return e
		}
		decided, outcome := c.gateway.loads.claim(ctx, c.service.ID, enginelink.ClaimLoad{
			Adapter: c.key.Adapter, Copies: e.copies, Instance: e.instance.ID, Model: c.key.Model, Unusable: unusable, Version: c.version,
		})
		if outcome == claimUnanswered {
			e.loadClaim = outcome
			return e
		}
		s.loadsAt = decided
		c.gateway.expectLoad(c, decided)
		if outcome == claimFirst {
			e.loadClaim = outcome
			return e
		}
		if again := c.gateway.chooseEngine(c, s.excluded); again != nil {
			e = again
		}
		e.loadClaim, unusable = outcome, decided
	}
	c.gateway.expectLoad(c, e.instance.ID)
	return e
}

// claim asks the first responsive coordinator of an adapter which engine loads it. It tells the
// other coordinator if the proposal is taken.
func (l *loadClaims) claim(ctx context.Context, id sandbarrow.ServiceID, q enginelink.ClaimLoad) (sandbarrow.InstanceID, loadClaimOutcome) {
	decided, outcome := q.Instance, claimUnanswered
	list := l.choice.Coordinators(q.Adapter, l.coordinators(id))
	if responsive := l.choice.Responsive(boottime.Now(), list); len(responsive) > 0 {
		decision, ok := l.ask(ctx, responsive[0], q)
		switch {
		case !ok:
		case decision.Instance.Matches(q.Instance):
			outcome = claimFirst
			l.report(responsive[0], list, q)
		default:
			decided, outcome = decision.Instance, claimTold
		}
	}
	l.gateway.metrics.loadClaims.WithLabelValues(string(id), string(outcome)).Inc()
	return decided, outcome
}

// ask asks one coordinator and returns false if it does not decide. It is not asked again for a
// while then.
func (l *loadClaims) ask(ctx context.Context, coordinator loadCoordinator, q enginelink.ClaimLoad) (enginelink.LoadDecision, bool) {
	within, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decision, err := coordinator.ClaimLoad(within, q)
	if err == nil && decision.Instance != "" {
		return decision, true
	}
	if ctx.Err() != nil {
		return decision, false // the caller has left
	}
	l.choice.MarkSuspect(boottime.Now(), coordinator)
	if err != nil && !isMethodNotFound(err) {
		l.gateway.logger.Info("load coordinator did not answer", "coordinator", coordinator.Name(), "error", err.Error())
	}
	return decision, false
}

// isMethodNotFound reports whether an error is the reply of a process that does not know the
// method.
func isMethodNotFound(err error) bool {
	var reply *jsonrpc2.Error
	return errors.As(err, &reply) && reply.Code == jsonrpc2.CodeMethodNotFound
}

// report tells the other coordinators of an adapter what one has decided.
func (l *loadClaims) report(except loadCoordinator, list []loadCoordinator, q enginelink.ClaimLoad) {
	for _, other := range list {
		if other.Name() == except.Name() {
			continue
		}
		select {
		case l.reports <- struct{}{}:
		default:
			continue // the decision is then known to one coordinator only
		}
		go func() { // ends as soon as the message is written, or the link breaks
			defer func() { <-l.reports }()
			other.LoadClaimed(q)
		}()
	}
}

// expectLoad records that an engine is going to load the adapter of a call.
func (g *Gateway) expectLoad(c *call, id sandbarrow.InstanceID) {
	now := boottime.Now()
	for _, m := range g.engines.members(c.service.ID) {
		if m.link != nil && m.instance.ID.Matches(id) {
			m.link.expectLoad(now, c.key, c.version)
		}
	}
}

// dropExpected records that the engine has refused to load an adapter.
func (l *linkState) dropExpected(key sandbarrow.AdapterKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected.Drop(key)
}

// expectLoad records that the engine is going to load an adapter.
func (l *linkState) expectLoad(now time.Time, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected.Add(now, key, v)
}

// ClaimLoad asks the controller which engine loads an adapter.
func (l *controllerLink) ClaimLoad(ctx context.Context, q enginelink.ClaimLoad) (decision enginelink.LoadDecision, err error) {
	rpc := l.connection()
	if rpc == nil {
		return decision, errNoConnection
	}
	err = rpc.Call(ctx, enginelink.MethodClaimLoad, q, &decision)
	return decision, err
}

// LoadClaimed tells the controller which engine loads an adapter.
func (l *controllerLink) LoadClaimed(q enginelink.ClaimLoad) {
	if rpc := l.connection(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodLoadClaimed, q) // the decision is then known to one coordinator only
	}
}
