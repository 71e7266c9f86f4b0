package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
)

// lateInstances is a list that does not show the upstreams of a software version yet.
type lateInstances struct {
	testInstances
	missing sandbarrow.SoftwareVersion
}

func (l lateInstances) Instance(it sandbarrow.KeyItem) (sandbarrow.Instance, error) {
	in, err := l.testInstances.Instance(it)
	if err == nil && in.Software == l.missing {
		return in, errors.New("not there yet")
	}
	return in, err
}

// moveToGatewayBehind makes the fleet's callers use a gateway that has run for long and whose list does
// not show a software version yet.
func (f *fleet) moveToGatewayBehind(t *testing.T, missing sandbarrow.SoftwareVersion) {
	t.Helper()
	config := f.config
	config.Box, config.Instances, config.Metrics = "behind", lateInstances{missing: missing}, prometheus.NewRegistry()
	g := New(config)
	g.started = g.started.Add(-2 * directory.SoftwareRetention)
	f.gateway, f.url = g, f.runGateway(t, g)
	eventually(t, func() bool {
		return g.Ready() && !slices.ContainsFunc(f.runners, func(r *runner) bool {
			return r.software != missing && !f.linkedTo(r)
		})
	})
}

// linkedTo reports whether the gateway has a status of an engine.
func (f *fleet) linkedTo(r *runner) bool {
	in := f.gateway.directory.View().At(f.addressOf(r))
	if in == nil || f.gateway.engines.link(in.Address) == nil {
		return false
	}
	s, up := f.gateway.engines.link(in.Address).lastStatus(boottime.Now())
	return up && s.Free > 0
}

// breakStreamAt sends streams until one of them has begun with a software version and broken off.
func (f *fleet) breakStreamAt(t *testing.T, v sandbarrow.SoftwareVersion) {
	t.Helper()
	before := f.runsOf(v)
	for i := 0; f.runsOf(v) == before; i++ {
		assert.Assert(t, i < 500, "no stream at %s", v)
		f.send(t.Context(), http.MethodPost, "/s/", f.streamHeader(fmt.Sprintf("first-%s-%d", v, i)))
	}
}

// streamHeader returns the header of a request for a stream whose caller waits for long.
func (f *fleet) streamHeader(id string) map[string]string {
	header := map[string]string{testNames.RequestID: id, testNames.Deadline: "20000"}
	for name, value := range adapterHeader {
		header[name] = value
	}
	return header
}

// takeUpUnnamed sends requests that resume a stream without naming it, and returns the number of those
// that were served.
func (f *fleet) takeUpUnnamed(t *testing.T, requests int) int {
	t.Helper()
	served := 0
	for i := range requests {
		header := f.streamHeader(fmt.Sprintf("again-%d", i))
		header[testNames.LastEvent] = "2"
		if got := f.send(t.Context(), http.MethodPost, "/s/", header); got.status == http.StatusOK {
			served++
		} else {
			assert.Check(t, got.status == http.StatusServiceUnavailable, "status %d", got.status)
		}
	}
	return served
}

// versions returns the software versions of engines, v2 after v1.
func versions(v1, v2 int) []sandbarrow.SoftwareVersion {
	return append(slices.Repeat([]sandbarrow.SoftwareVersion{"v1"}, v1), slices.Repeat([]sandbarrow.SoftwareVersion{"v2"}, v2)...)
}

func TestUnnamedStreamOfSoftwareNotListedYetIsRefused(t *testing.T) {
	for _, known := range []int{9, 12} {
		t.Run(fmt.Sprintf("%d controllers", known), func(t *testing.T) {
			f := newVersionedFleet(t, versions(known, 4)...)
			f.breakStreamAt(t, "v2")
			f.moveToGatewayBehind(t, "v2")
			f.healAll()
			assert.Equal(t, f.takeUpUnnamed(t, 30), 0, "take-ups went on at v1")
		})
	}
}

func TestUnnamedStreamIsServedByGatewayInStep(t *testing.T) {
	f := newVersionedFleet(t, versions(9, 0)...)
	f.breakStreamAt(t, "v1")
	f.moveToGatewayBehind(t, "v2")
	f.healAll()
	began := time.Now()
	assert.Equal(t, f.takeUpUnnamed(t, 30), 30)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

// newPeers returns addresses at which gateways serve their peers and nothing else.
func newPeers(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		g := newLoneGateway()
		addresses = append(addresses, servePeers(t, g))
	}
	return addresses
}

// servePeers makes a gateway serve its peers and returns the address.
func servePeers(t *testing.T, g *Gateway) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = g.ServePeers(t.Context(), l) }()
	return l.Addr().String()
}

func TestUnnamedStreamOfSoftwareNotListedYetIsRefusedWithoutControllers(t *testing.T) {
	peers := newPeers(t, 6)
	behind := newLoneGateway(peers...)
	behind.started = behind.started.Add(-2 * directory.SoftwareRetention)
	other := newLoneGateway(append(peers, servePeers(t, behind))...)
	v1, v2 := origin.Origin{Service: testPlain, Software: "v1"}, origin.Origin{Service: testPlain, Software: "v2"}
	record := func(id sandbarrow.RequestID, o origin.Origin) {
		c := &call{gateway: other}
		c.origin = &o
		c.callerDeadline = boottime.Now().Add(20 * time.Second)
		c.recordOrigin(id)
	}
	wrong := 0
	record("r0", v1)
	for i := range 30 {
		assert.Check(t, behind.software.isOnly(t.Context(), sandbarrow.RequestID(fmt.Sprintf("calm-%d", i)), v1))
	}
	record("r1", v2)
	eventually(t, func() bool {
		_, known := behind.origins.Find(t.Context(), "r1")
		return known
	})
	for i := range 30 {
		if behind.software.isOnly(t.Context(), sandbarrow.RequestID(fmt.Sprintf("again-%d", i)), v1) {
			wrong++
		}
	}
	assert.Equal(t, wrong, 0)
}
