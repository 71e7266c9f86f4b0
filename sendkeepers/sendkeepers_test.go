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

// fakeKeeper grants all sends, or answers none.
type fakeKeeper struct {
	address string
	silent  bool

	mu          sync.Mutex
	asked, told int
}

func (f *fakeKeeper) Name() string { return f.address }

func (f *fakeKeeper) Send(context.Context, enginelink.Send) (enginelink.SendGrant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.silent {
		return enginelink.SendGrant{}, errors.New("no answer")
	}
	return enginelink.SendGrant{Granted: true}, nil
}

func (f *fakeKeeper) Sent(enginelink.Sent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told++
}

func (f *fakeKeeper) counts() (asked, told int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked, f.told
}

// newKeepers returns the keepers of a gateway that is linked to controllers.
func newKeepers(controllers ...*fakeKeeper) *Coordinators {
	list := func() []Coordinator {
		var all []Coordinator
		for _, f := range controllers {
			all = append(all, f)
		}
		return all
	}
	return New(Config{Controllers: list, Logger: slog.New(slog.DiscardHandler), Own: enginelink.NewSendKeeper(1)})
}

func question(id sandbarrow.InstanceID) enginelink.Send {
	return enginelink.Send{Record: throttle.Record{Instance: id, Rate: 1000}}
}

func TestAllGatewaysAskTheSameKeeper(t *testing.T) {
	var list []*fakeKeeper
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		list = append(list, &fakeKeeper{address: address})
	}
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	first, second := newKeepers(list...), newKeepers(reversed...)
	for range 3 {
		assert.Assert(t, first.RequestSend(t.Context(), question("u@1")).Granted)
		assert.Assert(t, second.RequestSend(t.Context(), question("u@1")).Granted)
	}
	await.Until(t, 5*time.Second, "reports to the other keeper", func() bool {
		var asked, told []int
		for _, f := range list {
			a, s := f.counts()
			asked, told = append(asked, a), append(told, s)
		}
		slices.Sort(asked)
		slices.Sort(told)
		return slices.Equal(asked, []int{0, 0, 0, 6}) && slices.Equal(told, []int{0, 0, 0, 6})
	})
}

func TestKeeperThatDoesNotAnswerIsPassedOver(t *testing.T) {
	a, b := &fakeKeeper{address: "a:1", silent: true}, &fakeKeeper{address: "b:1", silent: true}
	k := newKeepers(a, b)
	refused := k.RequestSend(t.Context(), question("u@1"))
	assert.Assert(t, !refused.Granted && refused.WaitMS > 0, "neither answers")
	for range 3 {
		k.RequestSend(t.Context(), question("u@1"))
	}
	asked, _ := a.counts()
	assert.Equal(t, asked, 1, "it is not asked again so soon")
}

func TestGatewayWithoutKeepersGrantsAPart(t *testing.T) {
	k := newKeepers()
	granted := 0
	for began := time.Now(); time.Since(began) < 100*time.Millisecond; time.Sleep(time.Millisecond) {
		if k.RequestSend(t.Context(), question("u@1")).Granted {
			granted++
		}
	}
	assert.Assert(t, granted > 0 && granted <= 1000/aloneParts/5, "%d granted in 0.1 s", granted)
}
