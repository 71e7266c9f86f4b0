// Package sendkeepers asks the processes that count the sends to upstreams which name a limit.
//
// A limit is for all gateways together, and often far below one request a second for each, so that
// none can keep to it by itself: each send to such an upstream is asked for at a process that all
// gateways prefer. The package owns the choice of that process, what is known of those that do not
// answer, and the connections to peers. It relies on package throttle for the counts, and on its
// gateway for the links to controllers.
package sendkeepers

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
)

const (
	// SendTimeout bounds one question for a send.
	SendTimeout = 150 * time.Millisecond
	// aloneParts is into how many parts a limit is split among gateways that reach neither a
	// controller nor a peer.
	aloneParts = 8
	// keepersPerLimit is how many processes count the sends to one upstream: what one grants
	// is reported to the other, so that it knows how much is left when it is asked.
	keepersPerLimit = 2
	// keeperSuspectFor is how long a process is not asked that did not answer.
	keeperSuspectFor = time.Second
	// unansweredPause is how long no send is asked for after no process answered.
	unansweredPause = 300 * time.Millisecond
	// reportsAtOnce bounds the reports that are on their way; of more some are left out.
	reportsAtOnce = 64
)

// Coordinator is a process that grants sends to limited upstreams.
type Coordinator interface {
	// Name tells processes apart.
	Name() string
	// Send asks for one send.
	Send(ctx context.Context, q enginelink.Send) (enginelink.SendGrant, error)
	// Sent reports sends that another process has granted.
	Sent(s enginelink.Sent)
}

// Config is what Keepers need.
type Config struct {
	// Controllers returns the controllers that are linked.
	Controllers func() []Coordinator
	Logger      *slog.Logger
	// Own grants sends where this gateway is asked by its peers.
	Own *enginelink.SendKeeper
	// PeerAddress is where peers reach this gateway.
	PeerAddress string
	// Peers are addresses of other gateways; some may be stale or down.
	Peers []string
}

// Coordinators chooses which processes are asked for sends to a limited upstream: all gateways
// prefer the same two. These are controllers where any is linked, since all gateways are linked
// to them; else the peers; else this gateway grants its part alone. It is safe for concurrent
// use.
type Coordinators struct {
	// alone grants this gateway's part of the limits while it reaches no other process.
	alone   *enginelink.SendKeeper
	config  Config
	reports chan struct{}

	mu      sync.Mutex
	peers   map[string]*peer
	suspect map[string]time.Time
}

// New returns the processes that a gateway may ask.
func New(c Config) *Coordinators {
	return &Coordinators{
		alone: enginelink.NewSendKeeper(aloneParts), config: c, peers: map[string]*peer{}, reports: make(chan struct{}, reportsAtOnce), suspect: map[string]time.Time{},
	}
}

// Run closes connections to peers that rest, until ctx ends, and then all.
func (k *Coordinators) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, peerIdleTimeout)
		k.closeIdle(boottime.Now())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.peers {
		p.close()
	}
	return nil
}

func (k *Coordinators) closeIdle(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.peers {
		p.closeIdle(now)
	}
}

// RequestSend asks for one send, one process after the other until one answers. The others that count
// the sends to the upstream hear of a grant.
func (k *Coordinators) RequestSend(ctx context.Context, q enginelink.Send) enginelink.SendGrant {
	list := k.answering(k.of(q.Instance))
	if len(list) == 0 {
		list = []Coordinator{aloneKeeper{k.alone}}
	}
	for _, keeper := range list[:min(len(list), keepersPerLimit)] {
		grant, err := keeper.Send(ctx, q)
		if err == nil {
			if grant.Granted {
				k.report(keeper, enginelink.Sent{Record: q.Record, Sends: 1})
			}
			return grant
		}
		if ctx.Err() != nil {
			break // the caller has left
		}
		k.doubt(keeper, err)
	}
	return enginelink.SendGrant{WaitMS: unansweredPause.Milliseconds()}
}

// Report reports sends, or what an upstream says of its limit, to the processes that count them.
func (k *Coordinators) Report(s enginelink.Sent) { k.report(nil, s) }

// report reports to the processes that count the sends to an upstream, but to one.
func (k *Coordinators) report(except Coordinator, s enginelink.Sent) {
	list := k.of(s.Instance)
	for _, keeper := range list[:min(len(list), keepersPerLimit)] {
		if except != nil && keeper.Name() == except.Name() {
			continue
		}
		select {
		case k.reports <- struct{}{}:
		default:
			continue // the upstream's next answer, or the next question, says the same
		}
		go func() { // ends within SendTimeout
			defer func() { <-k.reports }()
			keeper.Sent(s)
		}()
	}
}

// of returns the processes that may grant sends to an upstream, the preferred first.
func (k *Coordinators) of(id sandbarrow.InstanceID) []Coordinator {
	list := k.config.Controllers()
	if len(k.answering(list)) == 0 {
		list = k.peerKeepers()
	}
	slices.SortFunc(list, func(a, b Coordinator) int {
		return cmp.Compare(rendezvous.Rank(string(id), b.Name()), rendezvous.Rank(string(id), a.Name()))
	})
	return list
}

// peerKeepers are the peers, this gateway among them where it is one.
func (k *Coordinators) peerKeepers() []Coordinator {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Coordinator
	for _, address := range k.config.Peers {
		if address == k.config.PeerAddress {
			list = append(list, ownKeeper{address: address, keeper: k.config.Own})
			continue
		}
		if k.peers[address] == nil {
			k.peers[address] = &peer{address: address}
		}
		list = append(list, k.peers[address])
	}
	return list
}

// answering leaves out those that did not answer lately.
func (k *Coordinators) answering(list []Coordinator) []Coordinator {
	now := boottime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(list), func(s Coordinator) bool { return now.Sub(k.suspect[s.Name()]) < keeperSuspectFor })
}

// doubt notes that a process did not answer.
func (k *Coordinators) doubt(s Coordinator, err error) {
	k.config.Logger.Info("keeper of upstreams' limits did not answer", "keeper", s.Name(), "error", err.Error())
	now := boottime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, at := range k.suspect {
		if now.Sub(at) >= keeperSuspectFor {
			delete(k.suspect, name)
		}
	}
	k.suspect[s.Name()] = now
}

// ownKeeper is this gateway as one that its peers ask.
type ownKeeper struct {
	address string
	keeper  *enginelink.SendKeeper
}

// Name tells it apart.
func (o ownKeeper) Name() string { return o.address }

// Send grants or refuses one send.
func (o ownKeeper) Send(_ context.Context, q enginelink.Send) (enginelink.SendGrant, error) {
	grant, _ := o.keeper.Send(&q)
	return grant, nil
}

// Sent counts sends that another process has granted.
func (o ownKeeper) Sent(s enginelink.Sent) { o.keeper.Sent(&s) }

// aloneKeeper is this gateway where it reaches no other process.
type aloneKeeper struct{ keeper *enginelink.SendKeeper }

// Name tells it apart.
func (a aloneKeeper) Name() string { return "" }

// Send grants or refuses one send.
func (a aloneKeeper) Send(_ context.Context, q enginelink.Send) (enginelink.SendGrant, error) {
	grant, _ := a.keeper.Send(&q)
	return grant, nil
}

// Sent counts sends that another process has granted.
func (a aloneKeeper) Sent(s enginelink.Sent) { a.keeper.Sent(&s) }
