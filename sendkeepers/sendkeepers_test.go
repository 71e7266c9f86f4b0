package sendkeepers

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/throttle"
)

// fakeCoordinator grants all sends, or replies to none.
type fakeCoordinator struct {
	address      string
	unresponsive bool

	mu                sync.Mutex
	requests, reports int
}

func (f *fakeCoordinator) Name() string { return f.address }

func (f *fakeCoordinator) Send(context.Context, enginelink.Send) (enginelink.SendGrant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if f.unresponsive {
		return enginelink.SendGrant{}, errors.New("no reply")
	}
	return enginelink.SendGrant{Granted: true}, nil
}

func (f *fakeCoordinator) Sent(enginelink.Sent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

func (f *fakeCoordinator) counts() (requests, reports int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests, f.reports
}

// newCoordinators returns the coordinators of a gateway that is linked to controllers.
func newCoordinators(controllers ...*fakeCoordinator) *Coordinators {
	list := func() []Coordinator {
		var all []Coordinator
		for _, f := range controllers {
			all = append(all, f)
		}
		return all
	}
	return New(Config{Controllers: list, Logger: slog.New(slog.DiscardHandler), Own: enginelink.NewSendCoordinator(1)})
}

func sendRequest(id sandbarrow.InstanceID) enginelink.Send {
	return enginelink.Send{Record: throttle.Record{Instance: id, Rate: 1000}}
}

func TestAllGatewaysQueryTheSameCoordinator(t *testing.T) {
	var list []*fakeCoordinator
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		list = append(list, &fakeCoordinator{address: address})
	}
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	first, second := newCoordinators(list...), newCoordinators(reversed...)
	for range 3 {
		assert.Assert(t, first.RequestSend(t.Context(), sendRequest("u@1")).Granted)
		assert.Assert(t, second.RequestSend(t.Context(), sendRequest("u@1")).Granted)
	}
	await.Until(t, 5*time.Second, "reports to the other coordinator", func() bool {
		var requests, reports []int
		for _, f := range list {
			requested, reported := f.counts()
			requests, reports = append(requests, requested), append(reports, reported)
		}
		slices.Sort(requests)
		slices.Sort(reports)
		return slices.Equal(requests, []int{0, 0, 0, 6}) && slices.Equal(reports, []int{0, 0, 0, 6})
	})
}

func TestUnresponsiveCoordinatorIsSkipped(t *testing.T) {
	a, b := &fakeCoordinator{address: "a:1", unresponsive: true}, &fakeCoordinator{address: "b:1", unresponsive: true}
	coordinators := newCoordinators(a, b)
	refused := coordinators.RequestSend(t.Context(), sendRequest("u@1"))
	assert.Assert(t, !refused.Granted && refused.WaitMS > 0, "no coordinator replies")
	for range 3 {
		coordinators.RequestSend(t.Context(), sendRequest("u@1"))
	}
	requests, _ := a.counts()
	assert.Equal(t, requests, 1, "a suspect coordinator is queried again too soon")
}

func TestGatewayWithoutCoordinatorsGrantsItsShare(t *testing.T) {
	coordinators := newCoordinators()
	granted := 0
	for began := time.Now(); time.Since(began) < 100*time.Millisecond; time.Sleep(time.Millisecond) {
		if coordinators.RequestSend(t.Context(), sendRequest("u@1")).Granted {
			granted++
		}
	}
	assert.Assert(t, granted > 0 && granted <= 1000/standaloneShares/5, "%d granted in 0.1 s", granted)
}
