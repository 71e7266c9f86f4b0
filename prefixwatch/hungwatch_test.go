package prefixwatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/store"
)

// These tests guard against hung watches. A response is lost, or the store stops responding,
// while a watch waits. Its connection then hangs without a reset, even after the store has
// recovered. An earlier change has ended the watches of all gateways at the same moment. All
// of them therefore wait equally long, and none sees the next change to send it to the others.
// If operators add a route then, all gateways reject requests to it for seconds although the
// store has acknowledged the change.
//
// In two of four runs with a change 0.3 s after such a hang, the change exceeded its bound of
// 2 s. The watches of all four gateways ended 4.5 s after they had begun, their longest time.
// The change was in force 3.8 s after its acknowledgement, within 0.2 s at all gateways. The
// last response of the store to one of them was 8.7 s old when that gateway rejected a request.
// TestRouteSoak/100 shows the same with real processes and sockets.

const (
	// maxMissedTime is how long after the end of a hang changes may be missed. From 3 s after the
	// end of all faults, a process must apply changes within their bound of 2 s again. A change
	// acknowledged 0.5 s after that end must be known by then.
	maxMissedTime = 2500 * time.Millisecond
	// firstSeenBound is the time within which one of many processes must see a change. The change
	// still has to reach the others after that.
	firstSeenBound = time.Second
)

// hangingStore loses the responses of all calls that began before the end of its hang, without
// an error.
type hangingStore struct {
	*store.Memory
	calls      atomic.Int32
	hangsEnded atomic.Int32
	hanging    atomic.Bool
}

// endHang ends the hang: calls that begin from now on get a response.
func (s *hangingStore) endHang() {
	s.hangsEnded.Add(1)
	s.hanging.Store(false)
}

// begin counts a call. The returned function blocks until the call's context ends if its
// response is lost.
func (s *hangingStore) begin() (respond func(context.Context) error) {
	s.calls.Add(1)
	began, hanging := s.hangsEnded.Load(), s.hanging.Load()
	return func(ctx context.Context) error {
		if !hanging && s.hangsEnded.Load() == began {
			return nil
		}
		<-ctx.Done()
		return sandbarrow.ErrStoreUnknown
	}
}

func (s *hangingStore) Range(ctx context.Context, prefix string) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, error) {
	respond := s.begin()
	items, at, _ := s.Memory.Range(ctx, prefix) // memory never fails
	return items, at, respond(ctx)
}

func (s *hangingStore) WatchPrefix(ctx context.Context, prefix string, after sandbarrow.StoreRevision, wait time.Duration) ([]sandbarrow.KeyItem, sandbarrow.StoreRevision, error) {
	respond := s.begin()
	items, at, _ := s.Memory.WatchPrefix(ctx, prefix, after, wait) // memory never fails
	return items, at, respond(ctx)
}

func (s *hangingStore) put(t *testing.T, value string) {
	t.Helper()
	_, err := s.Commit(t.Context(), sandbarrow.Transaction{Put: map[string][]byte{"p/a": []byte(value)}})
	assert.NilError(t, err)
}

// awaitCall waits until another call begins. A hang that follows then affects a call that has
// just begun, which is the worst case.
func (s *hangingStore) awaitCall(t *testing.T) {
	t.Helper()
	calls := s.calls.Load()
	eventually(t, func() bool { return s.calls.Load() > calls })
}

// follow runs the watch of one of several processes that share it, until the test ends.
func follow(t *testing.T, s *hangingStore, processes int, busy bool) *view {
	t.Helper()
	v := &view{}
	w := Watch{
		Busy: busy, Consumer: v, Logger: slog.New(slog.DiscardHandler), Prefix: "p/", ProcessCount: func() int { return processes }, Store: s, Wait: DefaultWait,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return v
}

func TestHungWatchTimesOutInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		processes int
		hangTime  time.Duration
		busy      bool
	}{
		"one process, a lost response":    {1, 0, false},
		"one of four, a lost response":    {4, 0, false},
		"one of ten, a lost response":     {10, 0, false},
		"one of four, a short hang":       {4, 2 * time.Second, false},
		"one of four, a longer hang":      {4, 8 * time.Second, false},
		"one of ten, a longer hang":       {10, 8 * time.Second, false},
		"one of a hundred, a busy prefix": {100, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &hangingStore{Memory: store.NewMemory()}
			s.put(t, "1")
			v := follow(t, s, tc.processes, tc.busy)
			eventually(t, func() bool { return v.get("p/a") == "1" })
			s.hanging.Store(tc.hangTime > 0)
			time.Sleep(tc.hangTime)
			s.awaitCall(t)
			s.endHang()
			recoveredAt := time.Now()
			s.put(t, "2")
			eventually(t, func() bool { return v.get("p/a") == "2" })
			assert.Assert(t, time.Since(recoveredAt) < maxMissedTime, "the change was known %v after the hang", time.Since(recoveredAt))
		})
	}
}

func TestOneOfManyProcessesSeesChangeSoon(t *testing.T) {
	const processes = 60
	s := &hangingStore{Memory: store.NewMemory()}
	s.put(t, "1")
	views := make([]*view, processes)
	var followed sync.WaitGroup
	for i := range views {
		followed.Go(func() { views[i] = follow(t, s, processes, false) })
	}
	followed.Wait()
	known := func(value string) (n int) {
		for _, v := range views {
			if v.get("p/a") == value {
				n++
			}
		}
		return n
	}
	eventually(t, func() bool { return known("1") == processes })
	s.put(t, "2") // ends all watches; the next ones begin together
	eventually(t, func() bool { return known("2") == processes })
	s.endHang()
	recoveredAt := time.Now()
	s.put(t, "3")
	eventually(t, func() bool { return known("3") > 0 })
	t.Logf("the first of %d knew the change after %v", processes, time.Since(recoveredAt))
	assert.Assert(t, time.Since(recoveredAt) < firstSeenBound, "the first process knew the change after %v", time.Since(recoveredAt))
}
