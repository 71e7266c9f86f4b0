package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// sendTimeout bounds one question for a send.
	sendTimeout = 150 * time.Millisecond
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

// sendKeeper is a process that grants sends to limited upstreams.
type sendKeeper interface {
	// name tells processes apart.
	name() string
	// send asks for one send.
	send(ctx context.Context, q enginelink.Send) (enginelink.SendGrant, error)
	// sent reports sends that another process has granted.
	sent(s enginelink.Sent)
}

// sendKeepers chooses which processes are asked for sends to a limited upstream: all gateways
// prefer the same two. These are controllers where any is linked, since all gateways are linked
// to them; else the peers; else this gateway grants its part alone. It is safe for concurrent
// use.
type sendKeepers struct {
	permits *sendPermits
	reports chan struct{}

	mu      sync.Mutex
	peers   map[string]*peerLink
	suspect map[string]time.Time
}

func newSendKeepers(p *sendPermits) *sendKeepers {
	return &sendKeepers{permits: p, peers: map[string]*peerLink{}, reports: make(chan struct{}, reportsAtOnce), suspect: map[string]time.Time{}}
}

// run closes connections to peers that rest, until ctx ends, and then all.
func (k *sendKeepers) run(ctx context.Context) error {
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

func (k *sendKeepers) closeIdle(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.peers {
		p.closeIdle(now)
	}
}

// ask asks for one send, one process after the other until one answers. The others that count
// the sends to the upstream hear of a grant.
func (k *sendKeepers) ask(ctx context.Context, q enginelink.Send) enginelink.SendGrant {
	list := k.answering(k.of(q.Instance))
	if len(list) == 0 {
		list = []sendKeeper{aloneKeeper{k.permits.alone}}
	}
	for _, keeper := range list[:min(len(list), keepersPerLimit)] {
		grant, err := keeper.send(ctx, q)
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

// report reports to the processes that count the sends to an upstream, but to one.
func (k *sendKeepers) report(except sendKeeper, s enginelink.Sent) {
	list := k.of(s.Instance)
	for _, keeper := range list[:min(len(list), keepersPerLimit)] {
		if except != nil && keeper.name() == except.name() {
			continue
		}
		select {
		case k.reports <- struct{}{}:
		default:
			continue // the upstream's next answer, or the next question, says the same
		}
		go func() { // ends within sendTimeout
			defer func() { <-k.reports }()
			keeper.sent(s)
		}()
	}
}

// of returns the processes that may grant sends to an upstream, the preferred first.
func (k *sendKeepers) of(id sandbarrow.InstanceID) []sendKeeper {
	var list []sendKeeper
	for _, l := range k.permits.gateway.engines.upLinks(boottime.Now()) {
		list = append(list, l)
	}
	if len(k.answering(list)) == 0 {
		list = k.peerKeepers()
	}
	slices.SortFunc(list, func(a, b sendKeeper) int {
		return cmp.Compare(rankFor(string(id), b.name()), rankFor(string(id), a.name()))
	})
	return list
}

// peerKeepers are the peers, this gateway among them where it is one.
func (k *sendKeepers) peerKeepers() []sendKeeper {
	c := &k.permits.gateway.config
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []sendKeeper
	for _, address := range c.Peers {
		if address == c.PeerAddress {
			list = append(list, ownKeeper{address: address, permits: k.permits})
			continue
		}
		if k.peers[address] == nil {
			k.peers[address] = &peerLink{address: address}
		}
		list = append(list, k.peers[address])
	}
	return list
}

// answering leaves out those that did not answer lately.
func (k *sendKeepers) answering(list []sendKeeper) []sendKeeper {
	now := boottime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(list), func(s sendKeeper) bool { return now.Sub(k.suspect[s.name()]) < keeperSuspectFor })
}

// doubt notes that a process did not answer.
func (k *sendKeepers) doubt(s sendKeeper, err error) {
	k.permits.gateway.logger.Info("keeper of upstreams' limits did not answer", "keeper", s.name(), "error", err.Error())
	now := boottime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, at := range k.suspect {
		if now.Sub(at) >= keeperSuspectFor {
			delete(k.suspect, name)
		}
	}
	k.suspect[s.name()] = now
}

// ownKeeper is this gateway as one that its peers ask.
type ownKeeper struct {
	address string
	permits *sendPermits
}

func (o ownKeeper) name() string { return o.address }

func (o ownKeeper) send(_ context.Context, q enginelink.Send) (enginelink.SendGrant, error) {
	grant, _ := o.permits.kept.Send(&q)
	return grant, nil
}

func (o ownKeeper) sent(s enginelink.Sent) { o.permits.kept.Sent(&s) }

// aloneKeeper is this gateway where it reaches no other process.
type aloneKeeper struct{ keeper *enginelink.SendKeeper }

func (a aloneKeeper) name() string { return "" }

func (a aloneKeeper) send(_ context.Context, q enginelink.Send) (enginelink.SendGrant, error) {
	grant, _ := a.keeper.Send(&q)
	return grant, nil
}

func (a aloneKeeper) sent(s enginelink.Sent) { a.keeper.Sent(&s) }

// name is the controller's address.
func (l *controllerLink) name() string { return l.address }

// send asks the controller for one send.
func (l *controllerLink) send(ctx context.Context, q enginelink.Send) (grant enginelink.SendGrant, err error) {
	rpc := l.connection()
	if rpc == nil {
		return grant, errNoConnection
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err = rpc.Call(ctx, enginelink.MethodSend, q, &grant)
	return grant, err
}

// sent reports to the controller what another process granted.
func (l *controllerLink) sent(s enginelink.Sent) {
	if rpc := l.connection(); rpc != nil {
		_ = rpc.Notify(context.Background(), enginelink.MethodSent, s) // a link that has broken has lost its count too
	}
}
