package sandbarrow

import (
	"strconv"
	"strings"
	"time"
)

// ListedID is the id under which an upstream is listed. A restarted upstream may keep its id.
type ListedID string

// UnixMillis is a Unix time in milliseconds; 0 means unknown.
type UnixMillis int64

// InstanceID identifies one start of an upstream. It consists of the ListedID and, if the
// upstream reports it, the start time. All state about an upstream is keyed by InstanceID,
// because a restarted upstream has lost the state it had before.
type InstanceID string

// startSeparator separates the ListedID from the start time in an InstanceID.
const startSeparator = "@"

// NewInstanceID returns the id of the upstream that started at the given time.
func NewInstanceID(id ListedID, started UnixMillis) InstanceID {
	if started == 0 {
		return InstanceID(id)
	}
	return InstanceID(string(id) + startSeparator + strconv.FormatInt(int64(started), 10))
}

// Listed returns the id under which the instance is listed. Other processes address it by that id.
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

// Matches reports whether two ids may identify the same start. They do if they are equal, or if
// they have the same ListedID and at least one has no start time.
func (i InstanceID) Matches(other InstanceID) bool {
	if i == other {
		return true
	}
	id, started, known := strings.Cut(string(i), startSeparator)
	otherID, otherStarted, otherKnown := strings.Cut(string(other), startSeparator)
	return id == otherID && (!known || !otherKnown || started == otherStarted)
}

// SoftwareVersion is the version of an upstream's software, not of the weights that it has loaded;
// empty means unknown.
type SoftwareVersion string

// Matches reports whether two versions are known to be the same. Unknown versions match none, not
// even other unknown ones.
func (v SoftwareVersion) Matches(other SoftwareVersion) bool {
	return v != "" && v == other
}

// AdapterVersion numbers the versions of an adapter; 0 means unknown.
type AdapterVersion uint64

// ModelVersion numbers the versions of a base model's weights; 0 means unknown.
type ModelVersion uint64

// AdapterKey identifies an adapter of a base model.
type AdapterKey struct {
	Adapter AdapterID   `json:"adapter"`
	Model   BaseModelID `json:"model"`
}

// LoadedAdapter is an adapter version that an engine has loaded.
type LoadedAdapter struct {
	Adapter AdapterID
	Version AdapterVersion
}

// LoadedModel is a base model that an engine has loaded, with its loaded adapters.
type LoadedModel struct {
	Adapters []LoadedAdapter
	Model    BaseModelID
	// Version is the version of the base model's weights. It differs between engines: each
	// engine loads the version that is the newest at that time, and keeps it until it restarts.
	Version ModelVersion
}

// Instance is the list entry of an upstream.
type Instance struct {
	Address string
	// ColdLeft is how much longer the upstream was cold when the entry was written. ColdUntil is the
	// end of this time by this process's clock; zero if the upstream is warm. The end is late by the
	// age of the entry at its arrival.
	ColdLeft      time.Duration
	ColdUntil     time.Time
	FailureDomain FailureDomain
	ID            InstanceID
	// Draining reports that the upstream accepts no new requests.
	Draining bool
	Models   []LoadedModel
	Service  ServiceID
	// Slots is the number of requests that can run concurrently.
	Slots int
	// Software is the version of the software that this start of the upstream runs.
	Software SoftwareVersion
}

// InstanceList parses the keys and values of the platform's store that describe
// upstreams.
type InstanceList interface {
	// Instance parses one item. It returns an error if the item is deleted or malformed.
	Instance(item KeyItem) (Instance, error)
	// ListedID returns the id of the upstream that a key describes.
	ListedID(key string) ListedID
	// Prefix returns the prefix of the keys.
	Prefix() string
}
