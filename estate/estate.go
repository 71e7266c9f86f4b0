// Package estate follows the operators' state: the table of routes, the named versions of adapters and the
// evacuated failure domains.
//
// Gateways and controllers use it to keep their view of this state. Changes come from the platform's store
// and from peers. Within one era of the store, the higher revision of a key wins. Across eras, the higher
// version given by the operators wins. An older state never replaces a newer one. evacuation.go has the rules
// for evacuations, the only state that ends with the removal of its key. Documents parses the operators' keys.
// All methods are safe for concurrent use.
package estate

import (
	"bytes"
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/refusallog"
	"sandbarrow.example/sandbarrow/route"
)

// Documents parses the operators' keys.
type Documents interface {
	// EvacuatedDomain returns the failure domain that is evacuated while a key exists. It returns false if the
	// key is of another kind.
	EvacuatedDomain(key string) (sandbarrow.FailureDomain, bool)
	// IsTable reports whether a key holds the table of routes.
	IsTable(key string) bool
	// Prefix returns the prefix of the operators' keys.
	Prefix() string
	// TableKey returns the key that holds the table of routes.
	TableKey() string
	// Table parses the table of routes.
	Table(text []byte) (*route.Table, error)
	// Version parses a key that names an adapter version. It returns ErrOtherKey if the key is of another
	// kind, and another error if the value is malformed.
	Version(item sandbarrow.KeyItem) (key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion, err error)
}

// ErrOtherKey means that a key does not name an adapter version.
const ErrOtherKey = errors.ConstError("estate: key names no adapter version")

// View is an immutable snapshot of the operators' state.
type View struct {
	// InForceSince is when this process applied the table.
	InForceSince time.Time
	// Revision is the store revision of the table.
	Revision  sandbarrow.StoreRevision
	Table     *route.Table
	evacuated map[sandbarrow.FailureDomain]bool
	versions  map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion
}

// MinVersion returns the lowest adapter version that may run a request. This is the newest named version, or 0
// if none is named or no state is known yet (v is nil). It is 0 for base models: engines keep running the base
// model version that they have loaded.
func (v *View) MinVersion(key sandbarrow.AdapterKey) sandbarrow.AdapterVersion {
	if v == nil || key.Adapter == "" {
		return 0
	}
	return v.Version(key)
}

// Version returns the newest named version of an adapter, or 0 if none is named.
func (v *View) Version(key sandbarrow.AdapterKey) sandbarrow.AdapterVersion {
	return v.versions[key]
}

// Estate holds the newest operators' state known to this process.
type Estate struct {
	documents Documents
	logger    *slog.Logger
	refusals  *refusallog.Log
	view      atomic.Pointer[View]

	// Fetching is held while changes are fetched from a peer. If many peers publish the same change, it is
	// fetched from only one of them.
	Fetching sync.Mutex

	mu sync.Mutex
	// lastResponse is when this process last received a response from the store about this state.
	lastResponse time.Time
	changed      chan struct{}
	confirmation confirmation
	items        map[string]sandbarrow.KeyItem
	// latest is the state with all items applied. view stays nil until there is a table; latest also keeps
	// the versions and evacuations that were named before that.
	latest    View
	watermark Watermark
}

// New returns an estate without any state.
func New(d Documents, logger *slog.Logger) *Estate {
	return &Estate{
		changed: make(chan struct{}), documents: d, items: map[string]sandbarrow.KeyItem{}, logger: logger, refusals: refusallog.New(logger),
		confirmation: confirmation{notNewer: map[sandbarrow.StoreEra]sandbarrow.StoreRevision{}},
	}
}

// View returns the state in force, or nil before the first table.
func (e *Estate) View() *View {
	return e.view.Load()
}

// Watermark returns the revisions up to which this estate is complete, and a channel that is closed at the
// next change.
func (e *Estate) Watermark() (Watermark, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watermark, e.changed
}

// Since returns the items that a peer with the given watermark may lack. With them the peer is complete up to
// the returned watermark.
func (e *Estate) Since(known Watermark) ([]sandbarrow.KeyItem, Watermark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var items []sandbarrow.KeyItem
	for _, it := range e.items {
		if !known.covers(it.Revision) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b sandbarrow.KeyItem) int { return cmp.Compare(a.Revision, b.Revision) })
	return items, e.watermark
}

// LastStoreResponse returns when the store last responded about the operators' state, including responses
// without changes. It is zero if there was no response yet.
func (e *Estate) LastStoreResponse() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastResponse
}

// ApplyPeerChange applies changes sent by a peer, which are complete up to the given watermark.
func (e *Estate) ApplyPeerChange(items []sandbarrow.KeyItem, watermark Watermark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(fromPeer, items, watermark)
}

// Replace applies a complete read of the prefix from the store.
func (e *Estate) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateFromStore(append(items, e.endedEvacuations(items, at)...), at)
}

// Update applies changes sent by the store, which are complete up to the given revision.
func (e *Estate) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateFromStore(items, at)
}

// updateFromStore applies items sent by the store. The caller holds mu.
func (e *Estate) updateFromStore(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	e.lastResponse = time.Now()
	e.merge(fromStore, items, Watermark{Revision: at})
}

// source is the sender of a change, for log lines.
type source string

const (
	fromPeer  source = "peer"
	fromStore source = "store"
)

// merge applies the items that are newer than the known ones. The caller holds mu.
func (e *Estate) merge(from source, items []sandbarrow.KeyItem, watermark Watermark) {
	e.confirmation.observeEra(watermark.Revision, items)
	var changed []sandbarrow.KeyItem
	for _, it := range items {
		known, exists := e.items[it.Key]
		switch {
		case it.Deleted && !e.isEvacuation(it.Key): // the key keeps its last value, since an older state must never return
		case exists && !e.supersedes(it, known):
			e.ignoreOlder(from, it, known)
		default:
			e.items[it.Key] = it
			changed = append(changed, it)
		}
	}
	e.watermark = e.watermark.merge(watermark)
	if len(changed) == 0 {
		return
	}
	e.compile(from, changed)
	close(e.changed)
	e.changed = make(chan struct{})
}

// supersedes reports whether an item replaces the known one of its key. Within an era of the store the higher
// revision wins. Across eras the operators' own version decides, because the store may have been restored from
// a copy that is older than the known state.
func (e *Estate) supersedes(it, known sandbarrow.KeyItem) bool {
	if it.Revision.Era() == known.Revision.Era() {
		return it.Revision > known.Revision
	}
	version, err := e.versionOf(it)
	if err != nil {
		e.refusals.Warn("malformed operators' key of another era ignored", it.Key, err, "revision", it.Revision)
		return false
	}
	knownVersion, err := e.versionOf(known)
	if err != nil {
		return true // the known item is malformed and was never applied
	}
	return version > knownVersion || version == knownVersion && it.Revision > known.Revision
}

// versionOf returns the version that the operators gave an item, or 0 for a key without versions.
func (e *Estate) versionOf(it sandbarrow.KeyItem) (uint64, error) {
	_, version, err := e.documents.Version(it)
	if !errors.Is(err, ErrOtherKey) {
		return uint64(version), err
	}
	if !e.documents.IsTable(it.Key) {
		return 0, nil
	}
	table, err := e.documents.Table(it.Value)
	if err != nil {
		return 0, err
	}
	return table.Version, nil
}

// ignoreOlder logs an item that does not replace the known one. If the known one is the table in force, it also
// records that the item is no newer. The caller holds mu.
func (e *Estate) ignoreOlder(from source, it, known sandbarrow.KeyItem) {
	if bytes.Equal(it.Value, known.Value) {
		return
	}
	e.logger.Info("older operators' key ignored", "key", it.Key, "revision", it.Revision, "known", known.Revision, "from", string(from))
	if e.documents.IsTable(it.Key) && known.Revision == e.latest.Revision {
		e.confirmation.addNotNewer(it.Revision)
	}
}

// compile applies new items to the latest state, and publishes it as the view if there is a table. A malformed
// item leaves the last valid one in force. The caller holds mu.
func (e *Estate) compile(from source, items []sandbarrow.KeyItem) {
	next := e.latest
	next.evacuated = map[sandbarrow.FailureDomain]bool{}
	maps.Copy(next.evacuated, e.latest.evacuated)
	next.versions = map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{}
	maps.Copy(next.versions, e.latest.versions)
	for _, it := range items {
		e.apply(&next, from, it)
	}
	e.latest = next
	if next.Table != nil {
		e.view.Store(&next)
	}
}

// apply applies one item to next: the table, an evacuation, or a named version if it is newer.
func (e *Estate) apply(next *View, from source, it sandbarrow.KeyItem) {
	if domain, ok := e.documents.EvacuatedDomain(it.Key); ok {
		e.applyEvacuation(next, from, domain, it)
		return
	}
	key, version, err := e.documents.Version(it)
	switch {
	case err == nil:
		if version > next.versions[key] {
			next.versions[key] = version
			e.logNamedVersion(key, version, it.Revision)
		}
		return
	case !errors.Is(err, ErrOtherKey):
		e.refusals.Warn("adapter version refused, the last one stays", it.Key, err, "revision", it.Revision)
		return
	}
	if !e.documents.IsTable(it.Key) {
		return
	}
	table, err := e.documents.Table(it.Value)
	if err != nil {
		e.logger.Error("configuration refused, the last one stays", "key", it.Key, "revision", it.Revision, "error", refusallog.Clip(err.Error()))
		return
	}
	sameEra := next.Table == nil || it.Revision.Era() == next.Revision.Era()
	if sameEra && it.Revision <= next.Revision || !sameEra && table.Version < next.Table.Version {
		return
	}
	e.confirmation.addNotNewer(it.Revision)
	if it.Revision < next.Revision {
		e.confirmation.invalidate(e.watermark)
	}
	if sameEra || table.Version > next.Table.Version {
		next.InForceSince = time.Now()
	}
	next.Table, next.Revision = table, it.Revision
	e.logger.Info("configuration in force", "version", table.Version, "revision", it.Revision, "from", string(from))
}

// logNamedVersion logs a named version that has come into force.
func (e *Estate) logNamedVersion(key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion, at sandbarrow.StoreRevision) {
	if key.Adapter == "" {
		// Running engines keep the weights that they have loaded. Only engines that load the model from now on
		// use this version.
		e.logger.Info("base model version named", "model", string(key.Model), "model_version", uint64(v), "revision", at)
		return
	}
	e.logger.Info("adapter version named", "model", string(key.Model), "adapter", string(key.Adapter), "version", uint64(v), "revision", at)
}
