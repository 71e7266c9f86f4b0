package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/route"
)

func TestEqualPlainUpstreamsGetEqualShares(t *testing.T) {
	const upstreams, requests = 6, 3000
	g := newLoneGateway()
	var items []sandbarrow.KeyItem
	for i := range upstreams {
		text := fmt.Sprintf(`{"Address":"10.0.0.%d:80","ID":"u%d","Service":"s"}`, 1+i, i)
		items = append(items, sandbarrow.KeyItem{Key: fmt.Sprintf("up/u%d", i), Revision: 1, Value: []byte(text)})
	}
	g.directory.Replace(items, 1)
	c := &call{gateway: g, callerRequest: callerRequest{route: &route.Route{}, service: &route.Service{ID: "s"}}}
	got := map[sandbarrow.InstanceID]int{}
	for range requests {
		got[g.choosePlain(c, nil).ID]++
	}
	for id, n := range got {
		assert.Assert(t, n > requests/upstreams/2 && n < requests/upstreams*2, "%s got %d of %d", id, n, requests)
	}
	assert.Equal(t, len(got), upstreams)
}
