package gateway

import (
	"net/http"

	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// authenticate determines the caller's workspace from its key. This applies if the configuration
// has workspaces and the route is not public. A request with an unknown key is refused and sent to
// no upstream.
func (c *call) authenticate() bool {
	keys := c.view.Table.Keys
	if keys == nil || c.route.Public {
		return true
	}
	if !c.gateway.trusts(boottime.Now()) {
		c.refuse(http.StatusServiceUnavailable, reasonStale)
		return false
	}
	if c.workspace = c.findWorkspace(keys); c.workspace == nil {
		c.refuse(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	return true
}

// findWorkspace returns the workspace of the caller's key, or nil.
func (c *call) findWorkspace(keys *access.Keys) *access.Workspace {
	return keys.Find(c.request.Header[c.gateway.config.Headers.Authorization])
}

// recheckKey decides right before each send whether the request may still be sent. The request may
// have waited for a long time since its key was checked. It returns the reason if the request may
// not be sent, and "" otherwise.
//
// Inputs: the newest configuration that this process has, and the time since it was confirmed to be
// the newest.
func (c *call) recheckKey() reason {
	if c.workspace == nil {
		return ""
	}
	if !c.gateway.trusts(boottime.Now()) {
		return reasonStale
	}
	view := c.gateway.estate.View()
	if view == c.view || view.Table == c.view.Table || view.Table.Keys == nil {
		return ""
	}
	w := c.findWorkspace(view.Table.Keys)
	if w == nil {
		return reasonUnknownKey
	}
	c.workspace = w
	return ""
}

// removeKeyHeaders removes the caller's key and any workspace that the caller names from the
// headers for upstreams. It does so only if the configuration has workspaces.
func (c *call) removeKeyHeaders() {
	if c.view.Table.Keys == nil {
		return
	}
	names := &c.gateway.config.Headers
	c.header.Del(names.Authorization)
	c.header.Del(names.Workspace)
}
