package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/quota"
	"sandbarrow.example/sandbarrow/route"
)

// redAndBlueWorkspaces returns two workspaces without limits.
func redAndBlueWorkspaces() []access.Entry {
	return []access.Entry{
		{Keys: []string{"red-key"}, Workspace: access.Workspace{ID: "red"}},
		{Keys: []string{"blue-key"}, Workspace: access.Workspace{ID: "blue"}},
	}
}

func withKey(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

func publicRoute() route.Route {
	r := plainRoute(route.KindSafe)
	r.Name, r.Prefix, r.Public = "public", "/open/", true
	return r
}

func TestWorkspaceIsSetFromKey(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.workspaces = redAndBlueWorkspaces()
	f.configure(t, plainRoute(route.KindSafe), streamRoute(true), publicRoute())
	forged := withKey("red-key")
	forged["t-workspace"], forged["X-T-Workspace"] = "blue", "blue"
	for _, path := range []string{"/p/x", "/s/x"} {
		header := map[string]string{testNames.Model: testModel}
		for name, value := range forged {
			header[name] = value
		}
		got := f.send(t.Context(), http.MethodPost, path, header)
		assert.Equal(t, got.status, http.StatusOK, "%s: %s", path, got.body)
	}
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/open/x", map[string]string{"Authorization": "Bearer whatever", testNames.Workspace: "blue"}).status, http.StatusOK)
	for i, r := range f.runners {
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Assert(t, len(r.got) > 0)
		for _, h := range r.got {
			if h.Get(testNames.RequestID) == "" {
				continue // a report or a health check
			}
			assert.Equal(t, h.Get("Authorization"), "")
			if want := h.Values(testNames.Workspace); len(want) > 0 || i == 0 {
				assert.DeepEqual(t, want, []string{"red"})
			}
		}
	}
}

// A caller without a known key is refused, and its request is sent to no upstream.
func TestUnknownKeyIsRefused(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.workspaces = redAndBlueWorkspaces()
	f.configure(t, plainRoute(route.KindSafe))
	for _, header := range []map[string]string{nil, withKey("green-key"), {"Authorization": "red-key"}, {"Authorization": "Basic red-key"}} {
		got := f.send(t.Context(), http.MethodPost, "/p/x", header)
		assert.Equal(t, got.status, http.StatusUnauthorized)
		assert.Equal(t, got.header.Get("Content-Type"), "application/problem+json")
		assert.Assert(t, strings.Contains(got.body, "did not run"), got.body)
		assert.Assert(t, !strings.Contains(got.body, "green-key"), got.body)
	}
	assert.Equal(t, len(f.runners[0].runs()), 0)
}

// A revoked key is refused, and an added one is accepted.
func TestKeyChangesApplyToNextRequest(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.workspaces = redAndBlueWorkspaces()
	f.configure(t, plainRoute(route.KindSafe))
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key")).status, http.StatusOK)
	f.workspaces[0].Keys = []string{"red-key-2"}
	f.configure(t, plainRoute(route.KindSafe))
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key")).status, http.StatusUnauthorized)
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key-2")).status, http.StatusOK)
}

func TestRevokedKeyIsRefusedBeforeSend(t *testing.T) {
	f := newFleet(t, 0, 1)
	f.workspaces = redAndBlueWorkspaces()
	f.configure(t, plainRoute(route.KindSafe))
	c := &call{gateway: f.gateway}
	c.request, _ = http.NewRequest(http.MethodPost, "/p/x", http.NoBody)
	c.request.Header.Set("Authorization", "Bearer red-key")
	c.view = f.gateway.estate.View()
	c.workspace = c.findWorkspace(c.view.Table.Keys)
	assert.Equal(t, c.recheckKey(), reason(""))
	f.workspaces[0].Keys, f.workspaces[1].Keys = nil, []string{"red-key"}
	f.configure(t, plainRoute(route.KindSafe))
	assert.Equal(t, c.recheckKey(), reason(""))
	assert.Equal(t, c.workspace.ID, sandbarrow.WorkspaceID("blue"))
	f.workspaces[1].Keys = nil
	f.configure(t, plainRoute(route.KindSafe))
	assert.Equal(t, c.recheckKey(), reasonUnknownKey)
}

func TestWorkspaceOverLimitIsRefused(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.workspaces = redAndBlueWorkspaces()
	f.workspaces[0].Workspace.Limit = access.Limit{Burst: 4, PerSecond: 4, Unit: access.UnitRequests}
	f.workspaces[1].Workspace.Limit = access.Limit{Burst: 10_000, PerSecond: 10_000, Unit: access.UnitRequests}
	f.configure(t, plainRoute(route.KindUnsafe))
	f.awaitLeaders(t)
	served, refused := 0, 0
	for range 40 {
		switch got := f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key")); got.status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			assert.Assert(t, got.header.Get("Retry-After") != "")
		default:
			t.Fatalf("status %d: %s", got.status, got.body)
		}
		assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", withKey("blue-key")).status, http.StatusOK)
	}
	assert.Assert(t, served > 0 && refused > 20, "%d served, %d refused", served, refused)
	assert.Equal(t, len(f.runners[2].runs()), served+40)
}

// awaitLeaders waits until each shard has a leader.
func (f *fleet) awaitLeaders(t *testing.T) {
	t.Helper()
	eventually(t, func() bool {
		for s := range f.gateway.leaders.needed() {
			if l, _ := f.gateway.leaders.leader(s); l == nil {
				return false
			}
		}
		return true
	})
}

func TestOtherLimitShareServesAfterLeaderLoss(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.workspaces = redAndBlueWorkspaces()
	f.workspaces[0].Workspace.Limit = access.Limit{Burst: 1000, PerSecond: 1000, Unit: access.UnitRequests}
	f.configure(t, plainRoute(route.KindUnsafe))
	f.awaitLeaders(t)
	shards := quota.ShardsOf("red")
	lead, term := f.gateway.leaders.leader(shards[0])
	lead.cancel() // the link to the leader breaks for good
	eventually(t, func() bool { l, _ := f.gateway.leaders.leader(shards[0]); return l != lead })
	if other, _ := f.gateway.leaders.leader(shards[1]); other != nil {
		assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key")).status, http.StatusOK)
	}
	// The leader keeps its lease as long as it renews it, so its key is removed as well.
	_, err := f.store.Commit(t.Context(), sandbarrow.Transaction{Remove: []string{fmt.Sprintf("sandbarrow/quota/%d", shards[0])}})
	assert.NilError(t, err)
	eventually(t, func() bool { l, now := f.gateway.leaders.leader(shards[0]); return l != nil && now > term })
}

// cuttableStore is a store that can be read until it is cut off.
type cuttableStore struct {
	cut   atomic.Bool
	store interface {
		Get(ctx context.Context, key string) (sandbarrow.Item, error)
	}
}

func (u *cuttableStore) Get(ctx context.Context, key string) (sandbarrow.Item, error) {
	if u.cut.Load() {
		return sandbarrow.Item{}, errors.New("cut off")
	}
	return u.store.Get(ctx, key)
}

func TestStaleConfigurationRefusesCallersWithKeys(t *testing.T) {
	u := &cuttableStore{}
	f := newFleetWith(t, 0, 1, func(c *Config) {
		u.store, _ = c.Store.(interface {
			Get(ctx context.Context, key string) (sandbarrow.Item, error)
		})
		c.RevokeBound, c.TableStore = 2*time.Second, u
	})
	f.workspaces = redAndBlueWorkspaces()
	f.configure(t, plainRoute(route.KindSafe), publicRoute())
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key")).status, http.StatusOK)
	u.cut.Store(true)
	began := time.Now()
	eventually(t, func() bool { return !f.gateway.trusts(boottime.Now()) })
	assert.Assert(t, time.Since(began) < 2*time.Second, "trusted for %v", time.Since(began))
	got := f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, f.send(t.Context(), http.MethodPost, "/open/x", nil).status, http.StatusOK)
	u.cut.Store(false)
	eventually(t, func() bool {
		return f.send(t.Context(), http.MethodPost, "/p/x", withKey("red-key")).status == http.StatusOK
	})
}

func TestConfigurationTrustExpires(t *testing.T) {
	assert.Assert(t, isTrusted(time.Hour, 0))
	assert.Assert(t, isTrusted(4*time.Second, 5*time.Second))
	assert.Assert(t, !isTrusted(4500*time.Millisecond, 5*time.Second))
}
