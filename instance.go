package sandbarrow

// InstanceID names one start of an upstream; a restart has another.
type InstanceID string

// AdapterVersion numbers the versions of an adapter; 0 means not known.
type AdapterVersion uint64

// ModelVersion numbers the versions of a base model's weights; 0 means not known.
type ModelVersion uint64

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
	// Version is that of the base model's weights. It differs between engines: each has
	// what was the newest when it loaded the model, and keeps it until it restarts.
	Version ModelVersion
}

// Instance is one upstream as it is listed.
type Instance struct {
	Address       string
	FailureDomain FailureDomain
	ID            InstanceID
	// Draining says that the upstream accepts no new requests.
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
