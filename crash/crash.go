// Package crash records under which requests upstreams have crashed, and decides which
// requests are refused because of it.
//
// A fatal request crashes each upstream that starts to run it, and its caller retries it at
// any gateway under a new id. Crashes are therefore recorded under a Fingerprint of what the
// request asks for, and shared between processes. Each process has a Log. Logs can be merged
// in any order and any number of times with the same result.
//
// A part of prompts may be fatal too, in requests of which no two are alike. A PartLog records
// crashes by the parts of the requests that broke.
//
// The package owns these records. They are bounded (maxEntries), hold no content of a request
// and expire after the retention. The package relies on its callers for the evidence that an
// upstream has crashed, and for carrying Records between processes. Gateways add and clear
// crashes and decide. Controllers only forward Records.
package crash

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Crash is an exit of an upstream that a request may have caused.
type Crash struct {
	// At is when the request's attempt failed, by this process's clock.
	At time.Time
	// Cleared says that an upstream has responded to the request since. A request that some
	// upstream survives is taken to be unrelated to the crash.
	Cleared bool
	// Sent is when the last request with a part was sent that the crash broke, by this process's
	// clock. It is zero for a crash under a whole request.
	Sent time.Time
	// Upstream is the instance of the upstream that crashed.
	Upstream sandbarrow.InstanceID
}
