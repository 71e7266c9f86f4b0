package store

import (
	"context"
	"strconv"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// Memory is an in-memory store for stand-ins, tests and embedders that run as a single process.
type Memory struct {
	mu      sync.Mutex
	changed chan struct{}
	era     sandbarrow.StoreEra
	// restoredAt is when the current era began. It is zero in the first era.
	restoredAt time.Time
	deleted    map[string]uint64
	items      map[string]memoryItem
	// leases is keyed by lease name, without the era.
	leases    map[string]*memoryLease
	nextLease int
	now       func() time.Time
	// revision is the number of the last change, without the era.
	revision uint64
}

type memoryItem struct {
	lease    string
	revision uint64
	value    []byte
}

type memoryLease struct {
	expires time.Time
	ttl     time.Duration
}

// MemoryOption configures a Memory store.
type MemoryOption func(*Memory)

// WithMemoryClock sets the clock that is used instead of time.Now.
func WithMemoryClock(now func() time.Time) MemoryOption {
	return func(m *Memory) { m.now = now }
}

// NewMemory returns an empty store.
func NewMemory(options ...MemoryOption) *Memory {
	m := &Memory{
		changed: make(chan struct{}),
		deleted: map[string]uint64{},
		items:   map[string]memoryItem{},
		leases:  map[string]*memoryLease{},
		now:     time.Now,
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// CompareAndSwap writes a key if it is at the previous revision.
func (m *Memory) CompareAndSwap(_ context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if lease != "" && (lease.Era() != m.era || m.leases[lease.Name()] == nil) {
		return 0, sandbarrow.ErrStoreLeaseLost
	}
	if m.inEra(m.items[key].revision) != previous {
		return 0, sandbarrow.ErrStoreConflict
	}
	m.bump()
	m.items[key] = memoryItem{lease: lease.Name(), revision: m.revision, value: value}
	delete(m.deleted, key)
	return m.inEra(m.revision), nil
}

// EraSince returns when the current era began.
func (m *Memory) EraSince() (since time.Time, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restoredAt, m.restoredAt.IsZero()
}

// Get reads a key.
func (m *Memory) Get(_ context.Context, key string) (sandbarrow.Item, error) {
	item, ok, _ := m.read(key)
	if !ok {
		return sandbarrow.Item{}, sandbarrow.ErrStoreNotFound
	}
	return item, nil
}

// GrantLease creates a lease that expires after ttl unless it is renewed.
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (sandbarrow.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextLease++
	name := "l" + strconv.Itoa(m.nextLease)
	m.leases[name] = &memoryLease{expires: m.now().Add(ttl), ttl: ttl}
	return sandbarrow.NewLeaseID(m.era, name), nil
}

// RenewLease restarts the time to live of a lease.
func (m *Memory) RenewLease(_ context.Context, lease sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	l := m.leases[lease.Name()]
	if l == nil {
		return m.era, sandbarrow.ErrStoreLeaseLost
	}
	l.expires = m.now().Add(l.ttl)
	return m.era, nil
}

// RevokeLease revokes a lease and deletes its keys.
func (m *Memory) RevokeLease(_ context.Context, lease sandbarrow.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lease.Era() != m.era {
		return sandbarrow.ErrStoreLeaseLost
	}
	m.endLease(lease.Name())
	return nil
}

// Watch waits until a key has a later revision than after, or until ctx ends.
func (m *Memory) Watch(ctx context.Context, key string, after sandbarrow.StoreRevision) (sandbarrow.Item, error) {
	for {
		item, ok, changed := m.read(key)
		if ok && item.Revision > after {
			return item, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return sandbarrow.Item{}, sandbarrow.ErrStoreNotFound
		}
	}
}

// bump increments the revision and wakes all watches. The caller holds mu.
func (m *Memory) bump() {
	m.revision++
	close(m.changed)
	m.changed = make(chan struct{})
}

// endLease removes a lease and deletes its keys. The caller holds mu.
func (m *Memory) endLease(lease string) {
	delete(m.leases, lease)
	for key, it := range m.items {
		if it.lease == lease {
			m.bump()
			m.remove(key)
		}
	}
}

// expireLeases ends the leases that have expired. The caller holds mu.
func (m *Memory) expireLeases() {
	now := m.now()
	for id, l := range m.leases {
		if now.After(l.expires) {
			m.endLease(id)
		}
	}
}

func (m *Memory) read(key string) (sandbarrow.Item, bool, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	it, ok := m.items[key]
	item := sandbarrow.Item{Lease: sandbarrow.NewLeaseID(m.era, it.lease), Revision: m.inEra(it.revision), Value: it.value}
	return item, ok, m.changed
}

// inEra returns the revision that has a number in the current era. The caller holds mu.
func (m *Memory) inEra(number uint64) sandbarrow.StoreRevision {
	return sandbarrow.NewStoreRevision(m.era, number)
}
