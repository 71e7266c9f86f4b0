package sandbarrow

import (
	"context"

	"github.com/juju/errors"
)

// InstanceID names one start of an upstream; a restart has another.
type InstanceID string

// AdapterVersion numbers the versions of an adapter; 0 means not known.
type AdapterVersion uint64

// AdapterKey names an adapter of a base model.
type AdapterKey struct {
	Adapter AdapterID   `json:"adapter"`
	Model   BaseModelID `json:"model"`
}

// LoadedAdapter is an adapter version that an engine holds.
type LoadedAdapter struct {
	Adapter AdapterID
	Version AdapterVersion
}

// LoadedModel is a base model that an engine holds, with its adapters.
type LoadedModel struct {
	Adapters []LoadedAdapter
	Model    BaseModelID
}

// Instance is one upstream as discovery tells of it.
type Instance struct {
	Address       string
	FailureDomain FailureDomain
	ID            InstanceID
	// Draining says that the upstream takes no new work.
	Draining bool
	Models   []LoadedModel
	Service  ServiceID
	// Slots is the number of requests that run at once.
	Slots int
}

// InstanceList translates the keys of the platform's store that describe
// upstreams.
type InstanceList interface {
	// Instance reads one item; a removed or malformed item is an error.
	Instance(item KeyItem) (Instance, error)
	// InstanceID returns the instance that a key is about.
	InstanceID(key string) InstanceID
	// Prefix is the prefix of the keys.
	Prefix() string
}

// EngineReport is what an engine reports of itself.
type EngineReport struct {
	// Busy says that an order for a base model is being carried out.
	Busy bool
	// Coming lists the adapters that are being loaded.
	Coming   []ComingAdapter
	Draining bool
	Models   []LoadedModel
	// Sequence counts the orders taken since the start.
	Sequence uint64
}

// ComingAdapter is an adapter version on its way to an engine.
type ComingAdapter struct {
	Key     AdapterKey
	Version AdapterVersion
}

// EngineOrder tells an engine to load or unload a base model or an adapter.
type EngineOrder struct {
	// Adapter is empty for the base model itself.
	Adapter AdapterID
	// Expected is the Sequence that must stand when the order is carried out.
	Expected uint64
	Holder   BoxID
	// Instance is the only instance that may take the order; empty for any.
	Instance InstanceID
	Load     bool
	Model    BaseModelID
	Token    FencingToken
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

// EngineControl gives orders to one engine and reads its state.
type EngineControl interface {
	// Identify asks which instance answers; path is the service's health check.
	Identify(ctx context.Context, path string) (InstanceID, error)
	// Order gives an order. It returns true when the engine already is as ordered.
	Order(ctx context.Context, o EngineOrder) (done bool, err error)
	// Report reads the state.
	Report(ctx context.Context) (EngineReport, error)
}

// HeaderNames are the names of the headers by which callers, the system and
// upstreams tell each other about a request.
type HeaderNames struct {
	// Deadline holds the milliseconds that the caller still waits.
	Deadline string
	// ExpectInstance names the only instance that may run the request.
	ExpectInstance string
	// ExpectVersion holds the adapter version that must run the request.
	ExpectVersion string
	Instance      string
	LastEvent     string
	// Model holds a base model, or a base model, a slash and an adapter.
	Model string
	// NotRun marks an answer to a request that the upstream did not run.
	NotRun string
	// Priority is 0 for the most urgent.
	Priority string
	// Prompt lists the parts of the prompt.
	Prompt    string
	RequestID string
	// Signature proves that an upstream made the answer.
	Signature string
	// Tokens holds the prompt's tokens and the most that may be produced.
	Tokens string
}
