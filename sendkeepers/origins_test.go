package sendkeepers

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
)

// fakeKeeper is a controller that keeps where streams began.
type fakeKeeper struct {
	enginelink.OriginKeeper
	name string
	// down is read by questions that are on their way while a test goes on.
	down atomic.Bool
}

var errDown = errors.ConstError("down")

func (k *fakeKeeper) Name() string { return k.name }
func (k *fakeKeeper) Send(context.Context, enginelink.Send) (enginelink.SendGrant, error) {
	return enginelink.SendGrant{}, errDown
}
func (k *fakeKeeper) Sent(enginelink.Sent) {}
func (k *fakeKeeper) FindStream(ctx context.Context, q enginelink.FindStream) (enginelink.StreamOrigin, error) {
	if k.down.Load() {
		<-ctx.Done()
		return enginelink.StreamOrigin{}, ctx.Err()
	}
	return k.Find(q), nil
}
func (k *fakeKeeper) StreamBegan(m enginelink.StreamBegan) error {
	if k.down.Load() {
		return errDown
	}
	k.Add(m)
	return nil
}

// newFakeKeepers returns keepers and a gateway's Origins that uses them.
func newFakeKeepers(count int) ([]*fakeKeeper, func(skipped ...int) *Origins) {
	var all []*fakeKeeper
	for i := range count {
		all = append(all, &fakeKeeper{name: fmt.Sprintf("10.0.0.%d:9000", i)})
	}
	return all, func(skipped ...int) *Origins {
		c := New(Config{Logger: slog.New(slog.DiscardHandler), Controllers: func() []Coordinator {
			var list []Coordinator
			for i, k := range all {
				if len(skipped) == 0 || i != skipped[0] {
					list = append(list, k)
				}
			}
			return list
		}})
		return NewOrigins(c, &enginelink.OriginKeeper{})
	}
}

func began(i int) enginelink.StreamBegan {
	return enginelink.StreamBegan{ID: sandbarrow.RequestID(fmt.Sprintf("r%d", i)), LifetimeMS: 60_000, Service: "s", Software: "v1"}
}

func TestStreamIsFoundAtAnotherGatewayWithoutOneKeeper(t *testing.T) {
	keepers, gateway := newFakeKeepers(12)
	a := gateway()
	for i := range 100 {
		assert.Equal(t, a.Record(began(i)), recordedAt)
	}
	unlinked, all := gateway(7), gateway()
	for i := range 100 {
		o, known := unlinked.Find(t.Context(), began(i).ID)
		assert.Assert(t, known && o.Allows("s", "v1"), "stream %d", i)
	}
	keepers[3].down.Store(true)
	for i := range 100 {
		o, known := all.Find(t.Context(), began(i).ID)
		assert.Assert(t, known && o.Allows("s", "v1"), "stream %d", i)
	}
}

func TestOnlySoftwareNeedsReplyWithoutOtherStreams(t *testing.T) {
	keepers, gateway := newFakeKeepers(4)
	a, only := gateway(), began(0)
	a.Record(only)
	known := enginelink.StreamOrigin{Service: only.Service, Software: only.Software}
	assert.Assert(t, a.IsOnly(t.Context(), "another", known.Origin()))
	other := began(1)
	other.Software = "v2"
	a.Record(other)
	assert.Assert(t, !a.IsOnly(t.Context(), "another", known.Origin()))
	for _, k := range keepers {
		k.down.Store(true)
	}
	assert.Assert(t, !gateway().IsOnly(t.Context(), "another", known.Origin()))
}

func TestOnlySoftwareIsConcludedFromAllControllersButOne(t *testing.T) {
	const controllers = 9
	only := origin.Origin{Service: "s", Software: "v1"}
	for i := range 2 * controllers {
		keepers, gateway := newFakeKeepers(controllers)
		other := began(i)
		assert.Assert(t, gateway().IsOnlyAmong(t.Context(), controllers, only))
		other.Software = "v2"
		gateway().Record(other)
		assert.Assert(t, !gateway().IsOnlyAmong(t.Context(), controllers, only), "stream %d", i)
		keepers[i%controllers].down.Store(true)
		assert.Assert(t, !gateway().IsOnlyAmong(t.Context(), controllers, only), "stream %d, a keeper is down", i)
	}
	keepers, gateway := newFakeKeepers(controllers)
	keepers[0].down.Store(true)
	assert.Assert(t, gateway().IsOnlyAmong(t.Context(), controllers, only))
	assert.Assert(t, !gateway().IsOnlyAmong(t.Context(), controllers+1, only), "another controller is not linked")
	keepers[1].down.Store(true)
	assert.Assert(t, !gateway().IsOnlyAmong(t.Context(), controllers, only))
	_, alone := newFakeKeepers(0)
	assert.Assert(t, !alone().IsOnlyAmong(t.Context(), 0, only))
}

func TestSoftwareIsKnownAtAllControllers(t *testing.T) {
	keepers, gateway := newFakeKeepers(12)
	keepers[5].down.Store(true)
	v1 := origin.Origin{Service: "s", Software: "v1"}
	assert.Equal(t, gateway().RecordSoftware(v1, time.Minute), 11)
	assert.Equal(t, gateway().RecordSoftware(v1, time.Minute), 11)
	for _, k := range keepers {
		others := k.Find(enginelink.FindStream{Service: "s", Software: "v2"}).Others
		assert.Equal(t, others, !k.down.Load(), k.name)
		assert.Assert(t, k.Count() <= 1)
		assert.Assert(t, !k.Find(enginelink.FindStream{Service: "s", Software: "v1"}).Others)
	}
	_, alone := newFakeKeepers(0)
	assert.Equal(t, alone().RecordSoftware(v1, time.Minute), 0)
}

func TestUnknownStreamIsKnownToBeSoAtOnce(t *testing.T) {
	_, gateway := newFakeKeepers(12)
	started := time.Now()
	_, known := gateway().Find(t.Context(), "another")
	assert.Assert(t, !known)
	assert.Assert(t, time.Since(started) < findTimeout/2)
}

func TestStreamIsRecordedElsewhereWhileKeepersAreDown(t *testing.T) {
	keepers, gateway := newFakeKeepers(6)
	a := gateway()
	for _, k := range keepers[:3] {
		k.down.Store(true)
	}
	for i := range 50 {
		a.Record(began(i))
	}
	for i := range 50 {
		_, known := a.Find(t.Context(), began(i).ID)
		assert.Assert(t, known, "stream %d", i)
	}
}

func TestRecordsAreSpreadOverAllKeepers(t *testing.T) {
	const processes, streams = 100, 10_000
	keepers, gateway := newFakeKeepers(processes)
	a := gateway()
	for i := range streams {
		a.Record(began(i))
	}
	for _, k := range keepers {
		assert.Assert(t, k.Count() < 4*recordedAt*streams/processes, "%s keeps %d", k.name, k.Count())
	}
}

func BenchmarkKeepersOfStream(b *testing.B) {
	_, gateway := newFakeKeepers(1000)
	r := gateway().newRing(boottime.Now())
	for b.Loop() {
		r.keepers("a stream", askedAt)
	}
}
