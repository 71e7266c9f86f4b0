package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/route"
)

func TestEndOfAnUpstream(t *testing.T) {
	f := newFleet(t, 0, 3)
	f.configure(t, plainRoute(route.KindSafe))
	broken := crash.NewFingerprint([]byte("broken"))
	at := func(i int) *sandbarrow.Instance {
		return f.gateway.directory.View().At(f.runners[i].server.Listener.Addr().String())
	}
	broke := func(i int) {
		<-f.gateway.ends.broke(at(i), brokenAttempt{at: boottime.Now(), print: broken, request: "r"})
	}
	ends := func() int { return f.gateway.crashes.Decide(broken, 100).Crashes }
	broke(0)
	assert.Equal(t, ends(), 0, "it still listens")
	other := sandbarrow.Instance{Address: at(0).Address, ID: "another", Service: testPlain, Slots: 4}
	f.put(t, "up/another", other)
	eventually(t, func() bool { return ends() == 1 })

	assert.NilError(t, f.runners[1].server.Listener.Close())
	broke(1)
	assert.Equal(t, ends(), 2, "nothing listens")
	broke(1)
	assert.Equal(t, ends(), 2, "the same end")

	broke(2)
	f.runners[2].set(func() { f.runners[2].id = "back" })
	for ends() < 3 {
		assert.Assert(t, f.send(t.Context(), http.MethodGet, "/p/", nil).err == nil)
		time.Sleep(time.Millisecond)
	}
}
