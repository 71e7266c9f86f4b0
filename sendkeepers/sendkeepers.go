// Package sendkeepers queries the coordinators of upstream limits: the processes that count the
// sends to upstreams which name a limit. Its Choice serves each use of two coordinators per key. The
// same processes keep where streams began (Origins).
//
// A limit applies to all gateways together, and is often far below one request a second for each of
// them, so no gateway can apply it alone. Each send to such an upstream is requested from a
// coordinator that all gateways prefer. The package owns the choice of the coordinator, the list of
// unresponsive ones, and the connections to peers. It depends on package throttle for the counts,
// and on its gateway for the links to controllers.
package sendkeepers

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// SendTimeout bounds one request for a send.
	SendTimeout = 150 * time.Millisecond
	// standaloneShares is the number of shares that a limit is split into if a gateway reaches
	// neither a controller nor a peer.
	standaloneShares = 8
	// unansweredBackoff is the backoff for requests for sends after no coordinator replied.
	unansweredBackoff = 300 * time.Millisecond
	// maxReportsInFlight bounds the concurrent reports. Reports beyond it are dropped.
	maxReportsInFlight = 64
)

// Coordinator is a process that grants sends to limited upstreams.
type Coordinator interface {
	// Name identifies the process.
	Name() string
	// Send requests one send.
	Send(ctx context.Context, q enginelink.Send) (enginelink.SendGrant, error)
	// Sent reports sends that another process has granted.
	Sent(s enginelink.Sent)
}

// Config configures Coordinators.
type Config struct {
	// Controllers returns the linked controllers.
	Controllers func() []Coordinator
	Logger      *slog.Logger
	// Own grants the sends that are requested from this gateway.
	Own *enginelink.SendCoordinator
	// PeerAddress is the address where peers reach this gateway.
	PeerAddress string
	// Peers are addresses of other gateways; some may be stale or down.
	Peers []string
}

// Coordinators chooses the coordinators for a limited upstream. All gateways prefer the same two.
// They are controllers if any is linked, since all gateways are linked to the controllers.
// Otherwise they are peers. A gateway that reaches neither grants its share of the limit alone. It
// is safe for concurrent use.
type Coordinators struct {
	// standalone grants this gateway's share of the limits while it reaches no other process.
	standalone *enginelink.SendCoordinator
	choice     Choice[sandbarrow.InstanceID, Coordinator]
	config     Config
	reports    chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

// New returns the coordinators that a gateway may use.
func New(c Config) *Coordinators {
	return &Coordinators{
		standalone: enginelink.NewSendCoordinator(standaloneShares), config: c, peers: map[string]*peer{}, reports: make(chan struct{}, maxReportsInFlight),
	}
}

// Run closes idle and silent connections to peers until ctx ends, and then closes all.
func (c *Coordinators) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, peerIdleTimeout)
		c.closeIdle(boottime.Now())
		c.closeSilent(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
	return nil
}

func (c *Coordinators) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.closeIdle(now)
	}
}

// closeSilent closes the connections to peers that do not reply.
func (c *Coordinators) closeSilent(ctx context.Context) {
	c.mu.Lock()
	peers := slices.Collect(maps.Values(c.peers))
	c.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range peers {
		group.Go(func() { p.closeSilent(ctx) })
	}
	group.Wait()
}

// RequestSend requests one send from one coordinator after the other until one replies. It reports a
// grant to the other coordinators of the upstream.
func (c *Coordinators) RequestSend(ctx context.Context, q enginelink.Send) enginelink.SendGrant {
	list := c.choice.Responsive(boottime.Now(), c.ranked(q.Instance))
	if len(list) == 0 {
		list = []Coordinator{standaloneCoordinator{c.standalone}}
	}
	for _, coordinator := range list[:min(len(list), coordinatorsPerKey)] {
		grant, err := coordinator.Send(ctx, q)
		if err == nil {
			if grant.Granted {
				c.report(coordinator, enginelink.Sent{Record: q.Record, Sends: 1})
			}
			return grant
		}
		if ctx.Err() != nil {
			break // the caller has left
		}
		c.markSuspect(coordinator, err)
	}
	return enginelink.SendGrant{WaitMS: unansweredBackoff.Milliseconds()}
}

// Report reports sends, or the state of an upstream's limit, to the upstream's coordinators.
func (c *Coordinators) Report(s enginelink.Sent) { c.report(nil, s) }

// report reports to all coordinators of an upstream except one.
func (c *Coordinators) report(except Coordinator, s enginelink.Sent) {
	for _, coordinator := range c.choice.Coordinators(s.Instance, c.candidates()) {
		if except != nil && coordinator.Name() == except.Name() {
			continue
		}
		select {
		case c.reports <- struct{}{}:
		default:
			continue // the next response or request for a send reports the same
		}
		go func() { // ends within SendTimeout
			defer func() { <-c.reports }()
			coordinator.Sent(s)
		}()
	}
}

// ranked returns the processes that may grant sends to an upstream, the preferred first.
func (c *Coordinators) ranked(id sandbarrow.InstanceID) []Coordinator {
	return c.choice.Ranked(id, c.candidates())
}

// candidates returns the linked controllers, or the peers if no controller replies.
func (c *Coordinators) candidates() []Coordinator {
	list := c.config.Controllers()
	if len(c.choice.Responsive(boottime.Now(), list)) == 0 {
		return c.peerCoordinators()
	}
	return list
}

// allCandidates returns the linked controllers, whether they reply or not, and the peers that reply if
// no controller does.
func (c *Coordinators) allCandidates() []Coordinator {
	list, now := c.config.Controllers(), boottime.Now()
	if len(c.choice.Responsive(now, list)) > 0 {
		return list
	}
	return append(list, c.choice.Responsive(now, c.peerCoordinators())...)
}

// peerCoordinators returns the peers, including this gateway if it is in the list.
func (c *Coordinators) peerCoordinators() []Coordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Coordinator
	for _, address := range c.config.Peers {
		if address == c.config.PeerAddress {
			list = append(list, ownCoordinator{address: address, coordinator: c.config.Own})
			continue
		}
		if c.peers[address] == nil {
			c.peers[address] = &peer{address: address}
		}
		list = append(list, c.peers[address])
	}
	return list
}

// markSuspect records that a coordinator did not reply.
func (c *Coordinators) markSuspect(suspect Coordinator, err error) {
	c.config.Logger.Info("keeper of upstreams' limits did not answer", "keeper", suspect.Name(), "error", err.Error())
	c.choice.MarkSuspect(boottime.Now(), suspect)
}

// ownCoordinator is this gateway in its role as a coordinator for its peers.
type ownCoordinator struct {
	address     string
	coordinator *enginelink.SendCoordinator
}

// Name returns the gateway's address.
func (o ownCoordinator) Name() string { return o.address }

// Send grants or refuses one send.
func (o ownCoordinator) Send(_ context.Context, q enginelink.Send) (enginelink.SendGrant, error) {
	grant, _ := o.coordinator.Send(&q)
	return grant, nil
}

// Sent counts sends that another process has granted.
func (o ownCoordinator) Sent(s enginelink.Sent) { o.coordinator.Sent(&s) }

// standaloneCoordinator grants sends in a gateway that reaches no other process.
type standaloneCoordinator struct{ coordinator *enginelink.SendCoordinator }

// Name is empty, since no other process uses this coordinator.
func (s standaloneCoordinator) Name() string { return "" }

// Send grants or refuses one send.
func (s standaloneCoordinator) Send(_ context.Context, q enginelink.Send) (enginelink.SendGrant, error) {
	grant, _ := s.coordinator.Send(&q)
	return grant, nil
}

// Sent counts sends that another process has granted.
func (s standaloneCoordinator) Sent(sent enginelink.Sent) { s.coordinator.Sent(&sent) }
