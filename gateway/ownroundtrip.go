package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

const (
	// minBusyCalls is the number of requests in progress from which round trips are measured. Fewer
	// congest no gateway.
	minBusyCalls = 16
	// echoWait is how long the first controllers have to reply before others are queried too.
	echoWait = 100 * time.Millisecond
)

// echoCounts are how many controllers are queried at first, and how many more after echoWait. Only
// if none replies, the gateway itself is congested or cut off.
var echoCounts = [...]int{2, 3}

// ownRoundTrip measures how long the messages of this gateway take. The reply of the fastest of a few
// controllers counts: what delays it is the link or the processor of this gateway.
type ownRoundTrip struct {
	gateway *Gateway
	// last is the last round trip in nanoseconds.
	last atomic.Int64
}

// newOwnRoundTrip returns a measurement and registers its metric.
func newOwnRoundTrip(g *Gateway) *ownRoundTrip {
	t := &ownRoundTrip{gateway: g}
	g.config.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sandbarrow_gateway_own_round_trip_seconds", Help: "Time of a message to the fastest of a few controllers and back; 0 while few requests are in progress.",
	}, func() float64 { return time.Duration(t.last.Load()).Seconds() }))
	return t
}

// measure returns the current round trip with so many requests in progress, or bound if it takes at
// least that long. It is 0 if they are few or no controller is linked.
func (t *ownRoundTrip) measure(ctx context.Context, calls int, bound time.Duration) time.Duration {
	var took time.Duration
	if calls >= minBusyCalls {
		took = t.race(ctx, bound)
	}
	t.last.Store(int64(took))
	return took
}

func (t *ownRoundTrip) race(ctx context.Context, bound time.Duration) time.Duration {
	links := t.gateway.engines.upLinks(boottime.Now())
	if len(links) == 0 {
		return 0
	}
	rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan time.Duration, len(links))
	for i, count := range echoCounts {
		count = min(count, len(links))
		for _, l := range links[:count] {
			go l.echo(ctx, replies)
		}
		links = links[count:]
		wait := echoWait
		if i == len(echoCounts)-1 || len(links) == 0 {
			wait = bound
		}
		if took, ok := firstReply(ctx, replies, wait); ok || wait == bound {
			return min(took, bound)
		}
	}
	return bound
}

// firstReply returns the first round trip, or wait and false if there is none in time.
func firstReply(ctx context.Context, replies <-chan time.Duration, wait time.Duration) (time.Duration, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case took := <-replies:
		return took, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return wait, false
}

// echo sends the round trip of one message to the controller, beyond its distance, to replies.
func (l *controllerLink) echo(ctx context.Context, replies chan<- time.Duration) {
	rpc := l.connection()
	if rpc == nil {
		return
	}
	began := time.Now()
	err := rpc.Call(ctx, enginelink.MethodEcho, nil, nil)
	var refused *jsonrpc2.Error
	if err != nil && !errors.As(err, &refused) {
		return // a controller that does not know the method has replied too
	}
	replies <- max(0, time.Since(began)-l.gateway.distances.RoundTrips().To(l.domain))
}
