package sandbarrow

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// EngineReport is what an engine reports of itself, as of now.
type EngineReport struct {
	// Busy says that an order for a base model is being carried out.
	Busy bool
	// Loading lists the adapters that are being loaded.
	Loading  []LoadingAdapter
	Draining bool
	Models   []LoadedModel
	// Sequence counts the orders that the engine accepted since its start.
	Sequence uint64
	// Started is when the engine started; 0 where it does not say.
	Started UnixMillis
}

// LoadingAdapter is an adapter version that an engine is loading.
type LoadingAdapter struct {
	Key     AdapterKey
	Version AdapterVersion
}

// EngineOrder orders an engine to load or unload a base model or an adapter.
type EngineOrder struct {
	// Adapter is empty for the base model itself.
	Adapter AdapterID
	// Expected is the Sequence that must stand when the order is carried out.
	Expected uint64
	// Holder is the box of the process that orders.
	Holder BoxID
	// Instance is the only instance that may carry out the order; empty for any.
	Instance InstanceID
	Load     bool
	Model    BaseModelID
	// Token is the newest fencing token; an engine that checks tokens refuses an older
	// one.
	Token FencingToken
	// Version is the adapter's version; 0 means the newest.
	Version AdapterVersion
}

// The errors of an EngineControl.
const (
	// ErrOrderConflict means that the sequence differs or another order is under way.
	ErrOrderConflict = errors.ConstError("engine: order conflicts")
	// ErrOrderFenced means that a newer fencing token was seen.
	ErrOrderFenced = errors.ConstError("engine: order fenced")
	// ErrOrderInvalid means that the engine knows no such order.
	ErrOrderInvalid = errors.ConstError("engine: order invalid")
	// ErrOrderMisdirected means that another instance has the address.
	ErrOrderMisdirected = errors.ConstError("engine: another instance")
	// ErrOrderUnknown means that the order may be carried out, now or later.
	ErrOrderUnknown = errors.ConstError("engine: order without answer")
)

// BackoffError is the refusal of an engine that wants no orders for a time.
type BackoffError struct {
	// Err is the error without the time.
	Err  error
	Wait time.Duration
}

// Error returns the refusal as one line.
func (e *BackoffError) Error() string { return e.Err.Error() + ", wants none for " + e.Wait.String() }

// Unwrap returns the error without the time.
func (e *BackoffError) Unwrap() error { return e.Err }

// EngineControl gives orders to one engine and reads its state. It may be called from
// several goroutines. The errors of Identify and Report are ErrUpstreamUnknown where
// no answer came, and ErrUpstreamBroken for a malformed one.
type EngineControl interface {
	// Identify asks which upstream answers; path is the service's health check. The report
	// says which of its starts.
	Identify(ctx context.Context, path string) (ListedID, error)
	// Order gives an order. It returns true when the engine already is as ordered, and
	// the errors above, of an engine that wants no orders for a time in a BackoffError.
	Order(ctx context.Context, o EngineOrder) (done bool, err error)
	// Report reads the state.
	Report(ctx context.Context) (EngineReport, error)
}
