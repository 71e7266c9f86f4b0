package sendkeepers

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/permit"
)

// permitSlack is how much longer than the request may wait its reply may take. It covers a round trip to any
// box. A coordinator that is later does not respond, and the next one is asked.
const permitSlack = 60 * time.Millisecond

// maxPermitReports bounds the permits whose reports are under way. Reports of others are dropped, and
// the permits expire.
const maxPermitReports = 1024

// PermitCoordinator is a process that grants permits for contended plain upstreams.
type PermitCoordinator interface {
	// Name identifies the process.
	Name() string
	// Permit requests a permit and waits for the decision.
	Permit(ctx context.Context, q enginelink.PermitRequest) (enginelink.PermitGrant, error)
	// PermitReport reports a permit, the end of a wait, or a sign of contention.
	PermitReport(p enginelink.PermitReport)
}

// heartbeatSource is a coordinator that sends heartbeats.
type heartbeatSource interface {
	// Up reports whether it has lately sent one.
	Up() bool
}

// heartbeatCheck is the time between two checks of a coordinator's heartbeats while a request waits there.
const heartbeatCheck = 100 * time.Millisecond

// cancelWhenLost calls cancel once a coordinator sends no more heartbeats, until ctx ends.
func cancelWhenLost(ctx context.Context, c PermitCoordinator, cancel context.CancelFunc) {
	source, ok := c.(heartbeatSource)
	if !ok {
		return
	}
	go func() { // ends with ctx
		for ctx.Err() == nil && source.Up() {
			pause.For(ctx, heartbeatCheck)
		}
		cancel()
	}()
}

// Permits requests permits for contended plain upstreams from the coordinators that Coordinators ranks
// for them. It is safe for concurrent use.
type Permits struct {
	coordinators *Coordinators
	// own grants the permits that are requested from this gateway.
	own     *enginelink.PermitCoordinator
	reports chan struct{}
	// standalone grants this gateway's share of the slots while it reaches no other process.
	standalone *enginelink.PermitCoordinator
}

// NewPermits returns the permits that the coordinators grant.
func NewPermits(c *Coordinators, own *enginelink.PermitCoordinator) *Permits {
	return &Permits{coordinators: c, own: own, reports: make(chan struct{}, maxPermitReports), standalone: enginelink.NewPermitCoordinator(nil)}
}

// Permit is a granted permit. It must be returned.
type Permit struct {
	permits *Permits
	grantor PermitCoordinator
	request enginelink.PermitRequest
	// told is closed once the other coordinators were told of the grant; nil if the upstream is not
	// contended and the permit counts nowhere.
	told chan struct{}
}

// Request requests a permit from one coordinator after the other until one replies. The returned permit is
// not nil if and only if it is granted. err is not nil if ctx ended first.
func (p *Permits) Request(ctx context.Context, q enginelink.PermitRequest) (granted *Permit, grant enginelink.PermitGrant, err error) {
	list := p.coordinators.choice.Responsive(boottime.Now(), p.coordinators.ranked(q.Instance))
	until := time.Now().Add(time.Duration(q.LeftMS) * time.Millisecond)
	for _, candidate := range list[:min(len(list), coordinatorsPerKey)] {
		coordinator := p.permitsOf(candidate)
		if coordinator == nil {
			continue
		}
		q.ID = newPermitID()
		q.LeftMS = time.Until(until).Milliseconds()
		grant, err = p.ask(ctx, coordinator, q)
		if err == nil {
			return p.grant(coordinator, q, grant), grant, nil
		}
		if ctx.Err() != nil {
			return nil, grant, errors.Trace(ctx.Err())
		}
		if !isUnknownMethod(err) {
			p.coordinators.markSuspect(candidate, err)
		}
	}
	if isUnknownMethod(err) {
		// The coordinators are of a build without permits, and the upstream gets its sends without.
		return p.grant(nil, q, enginelink.PermitGrant{}), enginelink.PermitGrant{Granted: true}, nil
	}
	alone := localPermits{coordinator: p.standalone}
	q.ID, q.Slots, q.LeftMS = newPermitID(), max(1, q.Slots/standaloneShares), time.Until(until).Milliseconds()
	q.Sign = true // nobody else tells this gateway's own coordinator
	grant, err = p.ask(ctx, alone, q)
	if err != nil {
		return nil, grant, err
	}
	return p.grant(alone, q, grant), grant, nil
}

// ask requests a permit from one coordinator. It cancels the request if no reply arrives, or no heartbeat
// while the request waits.
func (p *Permits) ask(ctx context.Context, c PermitCoordinator, q enginelink.PermitRequest) (enginelink.PermitGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(0, q.LeftMS))*time.Millisecond+permitSlack)
	defer cancel()
	cancelWhenLost(ctx, c, cancel)
	grant, err := c.Permit(ctx, q)
	if err != nil && !isUnknownMethod(err) {
		p.inBackground(func() {
			c.PermitReport(enginelink.PermitReport{ID: q.ID, Instance: q.Instance, Kind: permit.Returned})
		})
	}
	return grant, err
}

// grant returns the permit that follows from a reply, or nil. It tells the other coordinators.
func (p *Permits) grant(c PermitCoordinator, q enginelink.PermitRequest, g enginelink.PermitGrant) *Permit {
	granted := &Permit{permits: p, grantor: c, request: q}
	switch {
	case c == nil, g.Granted && !g.Contended:
		return granted
	case !g.Granted:
		return nil
	}
	granted.told = make(chan struct{})
	started := p.inBackground(func() {
		defer close(granted.told)
		granted.report(enginelink.PermitReport{ID: q.ID, Instance: q.Instance, Kind: permit.Granted, Slots: q.Slots, TTLMS: q.TTLMS})
	})
	if !started {
		close(granted.told)
	}
	return granted
}

// Return returns the permit. took is how long the request took at the upstream, 0 if it was not
// completed. full is set if the upstream rejected it because it was full.
func (p *Permit) Return(took time.Duration, full bool) {
	if p.told == nil {
		return
	}
	report := enginelink.PermitReport{Full: full, ID: p.request.ID, Instance: p.request.Instance, Kind: permit.Returned, TookUS: took.Microseconds()}
	p.permits.inBackground(func() {
		p.grantor.PermitReport(report)
		<-p.told // a return must not overtake the grant
		p.report(report)
	})
}

// report reports to the coordinators of the permit's upstream other than its grantor.
func (p *Permit) report(r enginelink.PermitReport) {
	if p.grantor.Name() == "" {
		return // no other process can be reached
	}
	for _, c := range p.permits.ranked(p.request) {
		if c.Name() != p.grantor.Name() {
			c.PermitReport(r)
		}
	}
}

// Sign reports a sign of contention to the upstream's coordinators.
func (p *Permits) Sign(q enginelink.PermitRequest) {
	p.inBackground(func() {
		for _, c := range p.ranked(q) {
			c.PermitReport(enginelink.PermitReport{Instance: q.Instance, Kind: permit.Sign, Slots: q.Slots})
		}
	})
}

// inBackground runs a report in its own goroutine. It reports false if too many run.
func (p *Permits) inBackground(report func()) bool {
	select {
	case p.reports <- struct{}{}:
	default:
		return false
	}
	go func() { // ends within SendTimeout for each coordinator, or when its link closes
		defer func() { <-p.reports }()
		report()
	}()
	return true
}

// ranked returns the coordinators of an upstream.
func (p *Permits) ranked(q enginelink.PermitRequest) []PermitCoordinator {
	list := p.coordinators.ranked(q.Instance)
	var all []PermitCoordinator
	for _, c := range list[:min(len(list), coordinatorsPerKey)] {
		if coordinator := p.permitsOf(c); coordinator != nil {
			all = append(all, coordinator)
		}
	}
	return all
}

// permitsOf returns a coordinator in its role for permits, or nil.
func (p *Permits) permitsOf(c Coordinator) PermitCoordinator {
	if own, ok := c.(ownCoordinator); ok {
		return localPermits{coordinator: p.own, name: own.address}
	}
	other, _ := c.(PermitCoordinator)
	return other
}

func newPermitID() permit.ID { return permit.ID(strconv.FormatUint(rand.Uint64(), 36)) }

// isUnknownMethod reports whether the process is of a build without permits.
func isUnknownMethod(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e) && e.Code == jsonrpc2.CodeMethodNotFound
}
