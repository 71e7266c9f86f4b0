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

func TestUpstreamExitIsDetected(t *testing.T) {
	f := newFleet(t, 0, 3)
	f.configure(t, plainRoute(route.KindSafe))
	fatal := crash.NewFingerprint([]byte("broken"))
	at := func(i int) *sandbarrow.Instance {
		return f.gateway.directory.View().At(f.runners[i].server.Listener.Addr().String())
	}
	addBroken := func(i int) {
		<-f.gateway.exits.addBroken(at(i), brokenAttempt{at: boottime.Now(), print: fatal, request: "r"})
	}
	exits := func() int { return f.gateway.crashes.Decide(fatal, 100).Crashes }
	addBroken(0)
	assert.Equal(t, exits(), 0, "it still accepts connections")
	other := sandbarrow.Instance{Address: at(0).Address, ID: "another", Service: testPlain, Slots: 4}
	f.put(t, "up/another", other)
	eventually(t, func() bool { return exits() == 1 })

	assert.NilError(t, f.runners[1].server.Listener.Close())
	addBroken(1)
	assert.Equal(t, exits(), 2, "the connection was refused")
	addBroken(1)
	assert.Equal(t, exits(), 2, "the same exit counts once")

	addBroken(2)
	f.runners[2].set(func() { f.runners[2].id = "back" })
	for exits() < 3 {
		assert.Assert(t, f.send(t.Context(), http.MethodGet, "/p/", nil).err == nil)
		time.Sleep(time.Millisecond)
	}
}
