// Package response decides which responses of HTTP servers are complete. All clients of this project read
// responses through it: of upstreams, engines, the stores and the lists. A client of package net/http uses
// Transport; one that reads from its own connections wraps them by NewConn. The package relies on net/http for the framing of bodies. It owns no state beyond its
// connections, and it neither retries nor interprets a status.
package response

import "github.com/juju/errors"

// ErrReset means that a connection was reset before its server had ended it.
const ErrReset = errors.ConstError("response: connection reset before its end")
