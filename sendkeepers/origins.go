package sendkeepers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"sync/atomic"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
)

const (
	// recordedAt is how many processes keep where a stream began. One of them may be lost together
	// with the gateway that passes the stream on.
	recordedAt = 2
	// askedAt is how many processes are asked where a stream began. It exceeds recordedAt, because
	// processes may have joined or been lost in the meantime.
	askedAt = 4
	// findTimeout bounds the question where a stream began.
	findTimeout = 150 * time.Millisecond
)

// OriginKeeper is a process that keeps where streams began.
type OriginKeeper interface {
	// Name identifies the process.
	Name() string
	// FindStream asks where a stream began.
	FindStream(ctx context.Context, q enginelink.FindStream) (enginelink.StreamOrigin, error)
	// StreamBegan reports where a stream began.
	StreamBegan(m enginelink.StreamBegan) error
}

// Origins records where streams began at the processes that Coordinators may use, and asks them. Each
// stream has a few keepers, found by consistent hashing: gateways that know different processes still
// agree on most keepers. It is safe for concurrent use.
type Origins struct {
	coordinators *Coordinators
	// own keeps where streams of peers began.
	own  *enginelink.OriginKeeper
	ring atomic.Pointer[ring]
}

// NewOrigins returns the origins that the coordinators keep.
func NewOrigins(c *Coordinators, own *enginelink.OriginKeeper) *Origins {
	return &Origins{coordinators: c, own: own}
}

// Record reports where a stream began to its keepers. It returns the number of those that were
// reached.
func (o *Origins) Record(m enginelink.StreamBegan) int {
	reached := 0
	for _, keeper := range o.keepers(m.ID, askedAt) {
		if err := keeper.StreamBegan(m); err != nil {
			o.markSuspect(keeper, err)
			continue
		}
		if reached++; reached == recordedAt {
			break
		}
	}
	return reached
}

// RecordSoftware reports to all controllers, or to all peers if no controller replies, that streams of a
// service began with a software version, so that every process that may be asked knows of it. It waits
// for those that don't take the report for a short time, and returns the number of those that took it.
func (o *Origins) RecordSoftware(began origin.Origin, lifetime time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	m := enginelink.StreamBegan{
		ID: softwareRecordID(began), LifetimeMS: lifetime.Milliseconds(), Service: began.Service, Software: began.Software,
	}
	keepers := o.originKeepers(o.coordinators.allCandidates())
	taken := make(chan bool, len(keepers))
	for _, keeper := range keepers {
		go func() { // ends with the keeper's connection
			err := keeper.StreamBegan(m)
			if err != nil {
				o.markSuspect(keeper, err)
			}
			taken <- err == nil
		}()
	}
	reached := 0
	for range keepers {
		select {
		case ok := <-taken:
			if ok {
				reached++
			}
		case <-ctx.Done():
			return reached
		}
	}
	return reached
}

// softwareRecordID returns the id of the record that streams of a service began with a software version.
// It has a fixed length, since records with long ids are not kept.
func softwareRecordID(o origin.Origin) sandbarrow.RequestID {
	sum := sha256.Sum256([]byte(string(o.Service) + "\x00" + string(o.Software)))
	return sandbarrow.RequestID("software-" + hex.EncodeToString(sum[:]))
}

// Find asks the keepers of a stream where it began. It returns false if none of them knows.
func (o *Origins) Find(ctx context.Context, id sandbarrow.RequestID) (origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for reply := range o.ask(ctx, id, enginelink.FindStream{ID: id}) {
		if reply.Known {
			return reply.Origin(), true
		}
	}
	return origin.Origin{}, false
}

// IsOnly reports whether no stream of a service is known that began with other software, at the
// keepers of a stream. It returns false if none of them replies. A process that has no other process
// to ask knows by itself.
func (o *Origins) IsOnly(ctx context.Context, id sandbarrow.RequestID, only origin.Origin) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replied := len(o.coordinators.config.Peers) == 0 && len(o.keepers(id, askedAt)) == 0
	for reply := range o.ask(ctx, id, enginelink.FindStream{Service: only.Service, Software: only.Software}) {
		if reply.Others {
			return false
		}
		replied = true
	}
	return replied
}

// IsOnlyAmong reports whether no stream of a service is known that began with other software, at any of
// so many controllers. Fewer than recordedAt of them may not reply, since another one then keeps each
// stream. It returns false if there is no controller: gateways may have been lost together.
func (o *Origins) IsOnlyAmong(ctx context.Context, controllers int, only origin.Origin) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	keepers := o.originKeepers(o.coordinators.config.Controllers())
	replied := 0
	for reply := range o.askAll(ctx, keepers, enginelink.FindStream{Service: only.Service, Software: only.Software}) {
		if reply.Others {
			return false
		}
		replied++
	}
	return replied > 0 && replied > controllers-recordedAt
}

// ask asks the keepers of a stream.
func (o *Origins) ask(ctx context.Context, id sandbarrow.RequestID, q enginelink.FindStream) iter.Seq[enginelink.StreamOrigin] {
	return o.askAll(ctx, o.keepers(id, askedAt), q)
}

// askAll asks keepers side by side, and yields the replies as they arrive until ctx ends.
func (o *Origins) askAll(ctx context.Context, keepers []OriginKeeper, q enginelink.FindStream) iter.Seq[enginelink.StreamOrigin] {
	replies := make(chan *enginelink.StreamOrigin, len(keepers))
	for _, keeper := range keepers {
		go func() { // ends with ctx
			reply, err := keeper.FindStream(ctx, q)
			if err == nil {
				replies <- &reply
				return
			}
			if ctx.Err() == nil && !isUnknownMethod(err) {
				o.markSuspect(keeper, err)
			}
			replies <- nil
		}()
	}
	return func(yield func(enginelink.StreamOrigin) bool) {
		for range keepers {
			select {
			case reply := <-replies:
				if reply != nil && !yield(*reply) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}

func (o *Origins) markSuspect(keeper OriginKeeper, err error) {
	if c, ok := keeper.(Coordinator); ok {
		o.coordinators.markSuspect(c, err)
	}
	o.ring.Store(nil)
}

// keepers returns up to most keepers of a stream, the preferred first.
func (o *Origins) keepers(id sandbarrow.RequestID, most int) []OriginKeeper {
	now := boottime.Now()
	r := o.ring.Load()
	if r == nil || now.Sub(r.built) > ringLifetime {
		r = o.newRing(now)
		o.ring.Store(r)
	}
	return r.keepers(id, most)
}

func (o *Origins) newRing(now time.Time) *ring {
	return newRing(now, o.originKeepers(o.coordinators.choice.Responsive(now, o.coordinators.candidates())))
}

// originKeepers returns the processes that keep where streams began.
func (o *Origins) originKeepers(processes []Coordinator) []OriginKeeper {
	var list []OriginKeeper
	for _, c := range processes {
		if own, ok := c.(ownCoordinator); ok {
			list = append(list, localOrigins{keeper: o.own, name: own.address})
		} else if keeper, ok := c.(OriginKeeper); ok {
			list = append(list, keeper)
		}
	}
	return list
}
