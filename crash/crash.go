// Package crash remembers under which requests upstreams have ended, and decides which
// requests are refused for it.
//
// A request may end each upstream that begins to run it, and its caller repeats it at any
// gateway under another id. So what counts is kept under a Fingerprint of what the request
// asks for, and shared: each process has a Log, and Logs are merged in any order and any
// number of times with the same result.
//
// The package owns that memory: bounded (mostEntries), without any content of a request, and
// forgotten after keepFor. It relies on its callers for the evidence that an upstream has
// ended, and for carrying Records between processes. Gateways note, clear and judge;
// controllers only pass on.
package crash

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Crash is the end of an upstream under a request.
type Crash struct {
	// At is when the request's attempt broke, by this process's clock.
	At time.Time
	// Cleared says that the request has been answered since, by any upstream: it ends not
	// each one that runs it, so it was beside when this one ended.
	Cleared bool
	// Upstream is the start of the upstream that ended.
	Upstream sandbarrow.InstanceID
}
