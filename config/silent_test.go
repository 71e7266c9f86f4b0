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

// silentFrom is how long after a silence the first of many processes may hear a change: it
// tells the others.
const silentFrom = 4 * time.Second

func TestSilentStoreIsNoticed(t *testing.T) {
	kv := standin.NewKV(standin.KVLimits{})
	var lost atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := lost.Load()
		answer := httptest.NewRecorder()
		kv.ServeHTTP(answer, r)
		if lost.Load() != began {
			<-r.Context().Done()
			return
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // the test sees what was not written
	}))
	t.Cleanup(server.Close)
	operator := store.NewHTTP(server.URL)
	apply := func(n int) {
		head, _, err := ReadHead(t.Context(), operator)
		assert.NilError(t, err)
		result, _, err := Apply(t.Context(), operator, document(n), head.Revision)
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
		running.Go(func() { _ = followers[i].Run(ctx) }) // it ends with ctx
	}
	known := func(revision uint64) (n int) {
		for _, f := range followers {
			if uint64(f.Watermark().Revision) >= revision {
				n++
			}
		}
		return n
	}
	apply(1)
	await.Until(t, 10*time.Second, "the first configuration", func() bool { return known(1) == len(followers) })
	lost.Add(1)
	ended := time.Now()
	apply(2)
	await.Until(t, 20*time.Second, "the second configuration", func() bool { return known(2) > 0 })
	assert.Assert(t, time.Since(ended) < silentFrom, "the first process knew it after %v", time.Since(ended))
}
