package sandbarrow

import (
	"strconv"
	"strings"
)

// ListedID is the id under which an upstream lists itself. It may start again under it.
type ListedID string

// UnixMillis is a time of day in milliseconds since 1970; 0 means not known.
type UnixMillis int64

// InstanceID names one start of an upstream: its ListedID and when it started, where it
// says so. All that is remembered of an upstream is remembered of an InstanceID, since one
// that has started again holds and knows nothing of before.
type InstanceID string

// startSeparator stands between the parts of an InstanceID.
const startSeparator = "@"

// NewInstanceID names the start of an upstream at a time.
func NewInstanceID(id ListedID, started UnixMillis) InstanceID {
	if started == 0 {
		return InstanceID(id)
	}
	return InstanceID(string(id) + startSeparator + strconv.FormatInt(int64(started), 10))
}

// Listed is the id under which the instance lists itself, by which others address it.
func (i InstanceID) Listed() ListedID {
	id, _, _ := strings.Cut(string(i), startSeparator)
	return ListedID(id)
}

// Started returns when the instance started, or 0 if the id has no start time.
func (i InstanceID) Started() UnixMillis {
	_, started, _ := strings.Cut(string(i), startSeparator)
	number, _ := strconv.ParseInt(started, 10, 64) // NewInstanceID wrote it
	return UnixMillis(number)
}

// Matches reports whether two ids may name the same start: those that do, and those of the same
// upstream where one does not say when it started.
func (i InstanceID) Matches(other InstanceID) bool {
	if i == other {
		return true
	}
	id, started, known := strings.Cut(string(i), startSeparator)
	otherID, otherStarted, otherKnown := strings.Cut(string(other), startSeparator)
	return id == otherID && (!known || !otherKnown || started == otherStarted)
}

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
	// ListedID returns the upstream that a key is about.
	ListedID(key string) ListedID
	// Prefix is the prefix of the keys.
	Prefix() string
}
