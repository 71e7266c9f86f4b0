package config

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/await"
	"sandbarrow.example/sandbarrow/standin"
	"sandbarrow.example/sandbarrow/store"
)

// maxFirstObserverDelay bounds the time after an apply until the first of many processes has the change, while
// all calls in flight to the store hang. The other processes would receive the change from that one.
const maxFirstObserverDelay = 4 * time.Second

func TestChangeIsSeenWhileConnectionsHang(t *testing.T) {
	kv := standin.NewKV(standin.KVLimits{})
	var hangs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hangsBefore := hangs.Load()
		response := httptest.NewRecorder()
		kv.ServeHTTP(response, r)
		if hangs.Load() != hangsBefore {
			<-r.Context().Done()
			return
		}
		for name, values := range response.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes()) // the test notices a failed write
	}))
	t.Cleanup(server.Close)
	operator := store.NewHTTP(server.URL)
	apply := func(n int) {
		head, _, err := ReadHead(t.Context(), operator)
		assert.NilError(t, err)
		result, _, err := Apply(t.Context(), operator, distinctDocument(n), head.Revision)
		assert.NilError(t, err)
		assert.Equal(t, result, ApplyAccepted)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(stop)
	followers := make([]*Follower, 20)
	for i := range followers {
		followers[i] = NewFollower(store.NewHTTP(server.URL), slog.New(slog.DiscardHandler))
		running.Go(func() { _ = followers[i].Run(ctx) }) // returns when ctx ends
	}
	followersAt := func(revision uint64) (n int) {
		for _, f := range followers {
			if uint64(f.Watermark().Revision) >= revision {
				n++
			}
		}
		return n
	}
	apply(1)
	await.Until(t, 10*time.Second, "the first configuration", func() bool { return followersAt(1) == len(followers) })
	hangs.Add(1)
	hangStart := time.Now()
	apply(2)
	await.Until(t, 20*time.Second, "the second configuration", func() bool { return followersAt(2) > 0 })
	assert.Assert(t, time.Since(hangStart) < maxFirstObserverDelay, "the first process had the change only after %v", time.Since(hangStart))
}
