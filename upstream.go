package sandbarrow

import (
	"context"

	"github.com/juju/errors"
)

// The errors of an Upstream.
const (
	// ErrUpstreamBroken means that the answer is incomplete or not the one asked for.
	ErrUpstreamBroken = errors.ConstError("upstream: broken answer")
	// ErrUpstreamFenced means that the order's token is older than one already seen.
	ErrUpstreamFenced = errors.ConstError("upstream: order fenced")
	// ErrUpstreamNotLoaded means that the adapter is not loaded, so nothing ran.
	ErrUpstreamNotLoaded = errors.ConstError("upstream: adapter not loaded")
	// ErrUpstreamRefused means that the call certainly did not run.
	ErrUpstreamRefused = errors.ConstError("upstream: refused")
	// ErrUpstreamUnknown means that the call may have run.
	ErrUpstreamUnknown = errors.ConstError("upstream: outcome unknown")
)

// Job is one request as it is given to an upstream.
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

// ResponseHeader is the head of an upstream's answer.
type ResponseHeader struct {
	ContentType string
	Status      int
}

// Sink takes the parts of an answer in order.
type Sink interface {
	// Begin takes the head, once, before any part.
	Begin(a ResponseHeader) error
	// Write takes one part; it does not keep p.
	Write(p []byte) (int, error)
}

// UpstreamState is what an upstream reports of itself, with a lag.
type UpstreamState struct {
	// Loaded lists the loaded adapters with their running requests.
	Loaded map[ModelRef]int
	// Start marks one start of the upstream.
	Start string
}

// Upstream is a back end that runs requests.
type Upstream interface {
	// Run gives a job to the upstream and its whole answer to the sink.
	Run(ctx context.Context, j Job, s Sink) error
	// State reads what the upstream reports of itself.
	State(ctx context.Context) (UpstreamState, error)
}

// Order tells an engine to load or unload an adapter version.
type Order struct {
	Model   ModelRef
	Token   FencingToken
	Weights string
}

// Engine is an Upstream that holds adapters in slots.
type Engine interface {
	Upstream
	// Load brings an adapter version into a free slot.
	Load(ctx context.Context, o Order) error
	// Unload frees the slot of an adapter version.
	Unload(ctx context.Context, o Order) error
}
