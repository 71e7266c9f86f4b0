// Package estate follows the operators' state: the table of routes and the named
// versions of adapters. It owns this process's view of it, which comes from the
// platform's store and from peers, is merged by the store's revision of each key, across
// eras of the store by the operators' version, and never goes back. It relies on
// Documents to translate the operators' keys; gateways and controllers use it. All its
// methods are safe for concurrent use.
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
	"sandbarrow.example/sandbarrow/route"
)

// Documents translates the operators' keys.
type Documents interface {
	// IsTable reports whether a key holds the table of routes.
	IsTable(key string) bool
	// Prefix is the prefix of the operators' keys.
	Prefix() string
	// TableKey is the key that holds the table of routes.
	TableKey() string
	// Table reads the table of routes.
	Table(text []byte) (*route.Table, error)
	// Version reads a key that names an adapter version. ErrOtherKey means that the
	// key names none, another error that its value is malformed.
	Version(item sandbarrow.KeyItem) (key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion, err error)
}

// ErrOtherKey means that a key does not name an adapter version.
const ErrOtherKey = errors.ConstError("estate: key names no adapter version")

// View is an immutable state of the estate.
type View struct {
	// InForceSince is when the table came into force here.
	InForceSince time.Time
	// Revision is the store's revision of the table.
	Revision sandbarrow.StoreRevision
	Table    *route.Table
	versions map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion
}

// LeastVersion returns the least version of an adapter that may run a request: the newest
// named one, or 0 where none is named or the state is not known yet (v is nil). A named
// version of a base model binds no request: engines run the one that they loaded.
func (v *View) LeastVersion(key sandbarrow.AdapterKey) sandbarrow.AdapterVersion {
	if v == nil || key.Adapter == "" {
		return 0
	}
	return v.Version(key)
}

// Version returns the newest named version of an adapter, or 0.
func (v *View) Version(key sandbarrow.AdapterKey) sandbarrow.AdapterVersion {
	return v.versions[key]
}

// Estate holds the newest state that this process knows.
type Estate struct {
	documents Documents
	logger    *slog.Logger
	view      atomic.Pointer[View]

	// Fetching is held while changes are fetched from a peer, so that a change
	// which many peers announce is fetched from one.
	Fetching sync.Mutex

	mu sync.Mutex
	// answered is when the store last answered this process about this state.
	answered     time.Time
	changed      chan struct{}
	confirmation confirmation
	items        map[string]sandbarrow.KeyItem
	// latest has all items applied. It is apart from view, which stays nil until there is
	// a table, so that a version named before that is not lost.
	latest View
	mark   Watermark
}

// New returns an estate that knows nothing yet.
func New(d Documents, logger *slog.Logger) *Estate {
	return &Estate{
		changed: make(chan struct{}), documents: d, items: map[string]sandbarrow.KeyItem{}, logger: logger,
		confirmation: confirmation{notNewer: map[sandbarrow.StoreEra]sandbarrow.StoreRevision{}},
	}
}

// View returns the state in force, or nil before the first table.
func (e *Estate) View() *View {
	return e.view.Load()
}

// Watermark returns up to which revisions this estate is complete, and a channel that closes
// at its next change.
func (e *Estate) Watermark() (Watermark, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mark, e.changed
}

// Since returns the items that a peer with the given mark may lack, and the mark up to
// which they make it complete.
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
	return items, e.mark
}

// Answered is when the store last answered this process about the operators' state, be it
// that nothing has changed; zero where it never did.
func (e *Estate) Answered() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered
}

// Learn applies changes that a peer has sent and the mark up to which they are complete.
func (e *Estate) Learn(items []sandbarrow.KeyItem, mark Watermark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(fromPeer, items, mark)
}

// Replace applies the whole prefix, as the store has it.
func (e *Estate) Replace(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	e.Update(items, at)
}

// Update applies changes that the store has sent and the revision up to which they are
// complete.
func (e *Estate) Update(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = time.Now()
	e.merge(fromStore, items, Watermark{Revision: at})
}

// source says who has sent a change, for log lines.
type source string

const (
	fromPeer  source = "peer"
	fromStore source = "store"
)

// merge keeps what is newer than what is known. The caller holds mu.
func (e *Estate) merge(from source, items []sandbarrow.KeyItem, mark Watermark) {
	e.confirmation.observeEra(mark.Revision, items)
	var changed []sandbarrow.KeyItem
	for _, it := range items {
		known, exists := e.items[it.Key]
		switch {
		case it.Deleted: // a removed key keeps its last meaning: nothing goes back
		case exists && !e.supersedes(it, known):
			e.ignoreOlder(from, it, known)
		default:
			e.items[it.Key] = it
			changed = append(changed, it)
		}
	}
	e.mark = e.mark.merge(mark)
	if len(changed) == 0 {
		return
	}
	e.compile(from, changed)
	close(e.changed)
	e.changed = make(chan struct{})
}

// supersedes reports whether an item replaces the known one of its key. Within an era of
// the store the higher revision wins. Across eras the operators' own version decides,
// since the store may have been restored from a copy older than what is known.
func (e *Estate) supersedes(it, known sandbarrow.KeyItem) bool {
	if it.Revision.Era() == known.Revision.Era() {
		return it.Revision > known.Revision
	}
	version, err := e.versionOf(it)
	if err != nil {
		e.logger.Warn("malformed operators' key of another era ignored", "key", it.Key, "revision", it.Revision, "error", err.Error())
		return false
	}
	knownVersion, err := e.versionOf(known)
	if err != nil {
		return true // the known one was refused
	}
	return version > knownVersion || version == knownVersion && it.Revision > known.Revision
}

// versionOf returns the version that the operators gave an item, or 0 for a key without
// versions.
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

// ignoreOlder logs an item that does not replace the known one and, if that is the table
// in force, records that the item is no newer. The caller holds mu.
func (e *Estate) ignoreOlder(from source, it, known sandbarrow.KeyItem) {
	if bytes.Equal(it.Value, known.Value) {
		return
	}
	e.logger.Info("older operators' key ignored", "key", it.Key, "revision", it.Revision, "known", known.Revision, "from", string(from))
	if e.documents.IsTable(it.Key) && known.Revision == e.latest.Revision {
		e.confirmation.addNotNewer(it.Revision)
	}
}

// compile puts new items in force, if there is a table. A malformed one keeps the last good
// one. The caller holds mu.
func (e *Estate) compile(from source, items []sandbarrow.KeyItem) {
	next := e.latest
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

// apply puts one item in force: a named version where it is newer, or the table.
func (e *Estate) apply(next *View, from source, it sandbarrow.KeyItem) {
	key, version, err := e.documents.Version(it)
	switch {
	case err == nil:
		if version > next.versions[key] {
			next.versions[key] = version
			e.logNamed(key, version, it.Revision)
		}
		return
	case !errors.Is(err, ErrOtherKey):
		e.logger.Warn("adapter version refused, the last one stays", "key", it.Key, "revision", it.Revision, "error", err.Error())
		return
	}
	if !e.documents.IsTable(it.Key) {
		return
	}
	table, err := e.documents.Table(it.Value)
	if err != nil {
		e.logger.Error("configuration refused, the last one stays", "key", it.Key, "revision", it.Revision, "error", err.Error())
		return
	}
	sameEra := next.Table == nil || it.Revision.Era() == next.Revision.Era()
	if sameEra && it.Revision <= next.Revision || !sameEra && table.Version < next.Table.Version {
		return
	}
	e.confirmation.addNotNewer(it.Revision)
	if it.Revision < next.Revision {
		e.confirmation.invalidate(e.mark)
	}
	if sameEra || table.Version > next.Table.Version {
		next.InForceSince = time.Now()
	}
	next.Table, next.Revision = table, it.Revision
	e.logger.Info("configuration in force", "version", table.Version, "revision", it.Revision, "from", string(from))
}

// logNamed writes a line for a version that is in force now.
func (e *Estate) logNamed(key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion, at sandbarrow.StoreRevision) {
	if key.Adapter == "" {
		// Engines that run keep the weights that they have: only those that load the model
		// from now on differ.
		e.logger.Info("base model version named", "model", string(key.Model), "model_version", uint64(v), "revision", at)
		return
	}
	e.logger.Info("adapter version named", "model", string(key.Model), "adapter", string(key.Adapter), "version", uint64(v), "revision", at)
}
