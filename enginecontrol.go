package sandbarrow

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// EngineReport is the current state of an engine, as the engine reports it.
type EngineReport struct {
	// Busy reports that the engine is executing an order for a base model.
	Busy bool
	// Loading lists the adapters that are being loaded.
	Loading  []LoadingAdapter
	Draining bool
	Load     EngineLoad
	Models   []LoadedModel
	// Sequence counts the orders that the engine accepted since its start.
	Sequence uint64
	// Started is when the engine started. It is 0 if the engine does not report it.
	Started UnixMillis
}

// LoadingAdapter is an adapter version that an engine is loading.
type LoadingAdapter struct {
	Key     AdapterKey
	Version AdapterVersion
}

// EngineOrder is a command to an engine to load or unload a base model or an adapter.
type EngineOrder struct {
	// Adapter is empty if the order is for the base model itself.
	Adapter AdapterID
	// Expected is the value that EngineReport.Sequence must have when the order is executed.
	Expected uint64
	// Holder is the box of the process that sends the order.
	Holder BoxID
	// Instance is the only instance that may execute the order. If it is empty, any may.
	Instance InstanceID
	Load     bool
	Model    BaseModelID
	// Token is the newest fencing token. An engine that checks tokens refuses an older
	// one.
	Token FencingToken
	// Version is the adapter's version; 0 means the newest.
	Version AdapterVersion
}

// The errors of an EngineControl.
const (
	// ErrOrderConflict means that the sequence differs or another order is in progress.
	ErrOrderConflict = errors.ConstError("engine: order conflicts")
	// ErrOrderFenced means that the engine has seen a newer fencing token.
	ErrOrderFenced = errors.ConstError("engine: order fenced")
	// ErrOrderInvalid means that the engine does not support the order.
	ErrOrderInvalid = errors.ConstError("engine: order invalid")
	// ErrOrderMisdirected means that the address now belongs to another instance.
	ErrOrderMisdirected = errors.ConstError("engine: another instance")
	// ErrOrderUnknown means that the order may have been executed or may still be.
	ErrOrderUnknown = errors.ConstError("engine: no response to order")
)

// BackoffError is the refusal of an engine that is in backoff.
type BackoffError struct {
	// Err is the error without the backoff time.
	Err  error
	Wait time.Duration
}

// Error returns the refusal as one line.
func (e *BackoffError) Error() string { return e.Err.Error() + ", retry after " + e.Wait.String() }

// Unwrap returns the error without the backoff time.
func (e *BackoffError) Unwrap() error { return e.Err }

// EngineControl sends orders to one engine and reads its state. It is safe for concurrent
// use. The errors of Identify and Report are ErrUpstreamUnknown if there was no response,
// and ErrUpstreamBroken if the response was malformed.
type EngineControl interface {
	// Identify returns the id of the upstream that responds; path is the path of the service's
	// health check. EngineReport.Started distinguishes the starts of one upstream.
	Identify(ctx context.Context, path string) (ListedID, error)
	// Order sends an order. It returns true if the engine is already in the ordered state. Its
	// errors are those above, wrapped in a BackoffError if the engine is in backoff.
	Order(ctx context.Context, o EngineOrder) (done bool, err error)
	// Report reads the engine's state.
	Report(ctx context.Context) (EngineReport, error)
}
