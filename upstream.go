package sandbarrow

import (
	"context"

	"github.com/juju/errors"
)

// The errors of an Upstream.
const (
	// ErrUpstreamBroken means that the response is incomplete or does not match the request.
	ErrUpstreamBroken = errors.ConstError("upstream: broken response")
	// ErrUpstreamFenced means that the order's fencing token is older than one already seen.
	ErrUpstreamFenced = errors.ConstError("upstream: order fenced")
	// ErrUpstreamNotLoaded means that the adapter is not loaded, so nothing ran.
	ErrUpstreamNotLoaded = errors.ConstError("upstream: adapter not loaded")
	// ErrUpstreamRefused means that the call certainly did not run.
	ErrUpstreamRefused = errors.ConstError("upstream: refused")
	// ErrUpstreamUnknown means that the call may have run.
	ErrUpstreamUnknown = errors.ConstError("upstream: outcome unknown")
)

// Job is one request to an upstream.
type Job struct {
	Body        []byte
	ContentType string
	ID          RequestID
	Method      string
	Model       ModelRef
	Path        string
	Priority    int
	Stream      bool
}

// ResponseHeader is the header of an upstream's response.
type ResponseHeader struct {
	ContentType string
	Status      int
}

// Sink receives a response in order: the header, then the body in parts.
type Sink interface {
	// Begin receives the header. It is called once, before Write.
	Begin(h ResponseHeader) error
	// Write receives one part of the body. It must not retain p.
	Write(p []byte) (int, error)
}

// UpstreamState is the state that an upstream reports. It lags behind the actual state.
type UpstreamState struct {
	// Loaded holds the number of running requests of each loaded adapter.
	Loaded map[ModelRef]int
	// Start identifies one start of the upstream.
	Start string
}

// Upstream is a back end that runs requests.
type Upstream interface {
	// Run runs a job on the upstream and writes the complete response to the sink.
	Run(ctx context.Context, j Job, s Sink) error
	// State reads the state that the upstream reports.
	State(ctx context.Context) (UpstreamState, error)
}

// Order is a command to an engine to load or unload an adapter version.
type Order struct {
	Model   ModelRef
	Token   FencingToken
	Weights string
}

// Engine is an Upstream that loads adapters into slots.
type Engine interface {
	Upstream
	// Load loads an adapter version into a free slot.
	Load(ctx context.Context, o Order) error
	// Unload frees the slot of an adapter version.
	Unload(ctx context.Context, o Order) error
}
