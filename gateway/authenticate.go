package gateway

import (
	"net/http"

	"sandbarrow.example/sandbarrow/access"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// authenticate finds the workspace that the caller speaks for, where the configuration
// has workspaces and the route is not public. An unknown key is refused: the request is
// sent to no upstream.
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

// findWorkspace finds the workspace of the caller's key.
func (c *call) findWorkspace(keys *access.Keys) *access.Workspace {
	return keys.Find(c.request.Header[c.gateway.config.Headers.Authorization])
}

// forbidden decides, right before each send, whether the request may still be sent: it may
// have waited for long since its key was looked up. It returns the reason where it may not.
//
// Inputs: the newest configuration that this process knows, and for how long that is known
// to be the newest.
func (c *call) forbidden() reason {
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

// hideKey takes the caller's key and its own claim to a workspace out of what goes on to
// upstreams, where the configuration has workspaces.
func (c *call) hideKey() {
	if c.view.Table.Keys == nil {
		return
	}
	names := &c.gateway.config.Headers
	c.header.Del(names.Authorization)
	c.header.Del(names.Workspace)
}
