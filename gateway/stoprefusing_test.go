package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

// Guards against a stop that hangs or cuts requests while new connections are refused.
func TestPlannedStopWhileConnectionsAreRefused(t *testing.T) {
	for name, resume := range map[string]bool{"until its end": false, "and accepted again": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 1)
			f.configure(t, plainRoute(route.KindUnsafe))
			release := make(chan struct{})
			f.runners[0].set(func() {
				f.runners[0].respond = func(w http.ResponseWriter, _ *http.Request) {
					<-release
					w.Header().Set(testNames.Signature, "signed")
				}
			})
			got := make(chan testResponse, 1)
			go func() { got <- f.send(t.Context(), http.MethodPost, "/p/", nil) }()
			eventually(t, func() bool { return len(f.runners[0].runs()) == 1 })
			assert.NilError(t, f.gateway.callers.listener.Pause(causeFull))
			f.stop()
			eventually(t, func() bool { return f.gateway.stopping.Load() != nil })
			if resume {
				assert.NilError(t, f.gateway.callers.listener.Resume(causeFull))
			}
			time.Sleep(500 * time.Millisecond)
			assert.NilError(t, f.gateway.callers.listener.Resume(causeFull), "after the listener was closed")
			assert.Assert(t, f.send(t.Context(), http.MethodPost, "/p/", nil).err != nil, "a connection is accepted after the listener was closed")
			close(release)
			assert.Equal(t, (<-got).status, http.StatusOK)
			eventually(t, func() bool { return f.gateway.callers.open.Load() == 0 })
			assert.Assert(t, boottime.Until(f.gateway.stopping.Load().callsEnd) > 0, "the stop waits for nothing")
		})
	}
}
