package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/store"
)

// watchLimit is the maximum duration of one watch call.
const watchLimit = 10 * time.Second

// KVLimits are the maximum call rates of a KV per second; 0 is unlimited.
type KVLimits struct {
	Reads, Writes float64
}

// KV is a stand-in for the platform's key-value service.
type KV struct {
	faultSwitch
	// Reads and Writes count calls; a watch counts as a read.
	Reads, Writes atomic.Int64
	handler       http.Handler
	readLimit     *rate.Limiter
	store         *store.Memory
	// snapshot is the state that Faults.Restore restores.
	snapshot   store.MemoryCopy
	writeLimit *rate.Limiter
}

// NewKV returns an empty KV.
func NewKV(l KVLimits) *KV {
	k := &KV{readLimit: newLimiter(l.Reads), store: store.NewMemory(), writeLimit: newLimiter(l.Writes)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", k.serveGet)
	mux.HandleFunc("PUT /kv/{key...}", k.limitWrite(k.servePut))
	mux.HandleFunc("POST /leases", k.limitWrite(k.serveGrant))
	mux.HandleFunc("PUT /leases/{id}", k.limitWrite(func(w http.ResponseWriter, r *http.Request) {
		_, err := k.store.RenewLease(r.Context(), k.leaseID(r.PathValue("id")))
		k.writeStatus(w, err)
	}))
	mux.HandleFunc("DELETE /leases/{id}", k.limitWrite(func(w http.ResponseWriter, r *http.Request) {
		k.writeStatus(w, k.store.RevokeLease(r.Context(), k.leaseID(r.PathValue("id"))))
	}))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int64{"reads": k.Reads.Load(), "writes": k.Writes.Load()})
	})
	k.snapshot = k.store.Copy()
	k.onSet = func(f Faults) {
		if f.Restore {
			k.store.Restore(k.snapshot)
		}
		if f.Copy {
			k.snapshot = k.store.Copy()
		}
	}
	k.handler = k.wrap(mux)
	return k
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// ServeHTTP serves the key-value protocol.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) { k.handler.ServeHTTP(w, r) }

// limitWrite counts a write and rejects it if it exceeds the write rate.
func (k *KV) limitWrite(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k.Writes.Add(1)
		if !k.writeLimit.Allow() {
			http.Error(w, "write rate exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (k *KV) serveGet(w http.ResponseWriter, r *http.Request) {
	k.Reads.Add(1)
	if !k.readLimit.Allow() {
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	era, err := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64)
	if err != nil {
		era = uint64(k.store.Era()) // the client sent no era
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, watchLimit))
	defer cancel()
	item, err := k.store.Watch(ctx, r.PathValue("key"), sandbarrow.NewStoreRevision(sandbarrow.StoreEra(era), after))
	if err != nil {
		k.writeStatus(w, err)
		return
	}
	if item.Lease != "" {
		w.Header().Set(store.HeaderLease, item.Lease.Name())
	}
	writeRevision(w, item.Revision)
	_, _ = w.Write(item.Value)
}

func (k *KV) servePut(w http.ResponseWriter, r *http.Request) {
	previous, err := strconv.ParseUint(r.URL.Query().Get("previous"), 10, 64)
	if err != nil {
		http.Error(w, "previous: "+err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, sandbarrow.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	leaseID := k.leaseID(r.URL.Query().Get("lease"))
	revision, err := k.store.CompareAndSwap(r.Context(), r.PathValue("key"), k.revision(previous), value, leaseID)
	if err != nil {
		k.writeStatus(w, err)
		return
	}
	writeRevision(w, revision)
}

func (k *KV) serveGrant(w http.ResponseWriter, r *http.Request) {
	ttl, err := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl_ms must be a positive number", http.StatusBadRequest)
		return
	}
	id, err := k.store.GrantLease(r.Context(), time.Duration(ttl)*time.Millisecond)
	if err != nil {
		k.writeStatus(w, err)
		return
	}
	writeEra(w, id.Era())
	writeJSON(w, http.StatusOK, map[string]string{"id": id.Name()})
}

// revision returns the revision with this number in the current era.
func (k *KV) revision(number uint64) sandbarrow.StoreRevision {
	return sandbarrow.NewStoreRevision(k.store.Era(), number)
}

// leaseID returns the id of a lease name in the current era, or "" for an empty name.
func (k *KV) leaseID(name string) sandbarrow.LeaseID {
	return sandbarrow.NewLeaseID(k.store.Era(), name)
}

func writeEra(w http.ResponseWriter, era sandbarrow.StoreEra) {
	w.Header().Set(store.HeaderEra, strconv.FormatUint(uint64(era), 10))
}

func writeRevision(w http.ResponseWriter, r sandbarrow.StoreRevision) {
	writeEra(w, r.Era())
	w.Header().Set("Revision", strconv.FormatUint(r.Number(), 10))
}

func (k *KV) writeStatus(w http.ResponseWriter, err error) {
	writeEra(w, k.store.Era())
	status := http.StatusOK
	switch {
	case errors.Is(err, sandbarrow.ErrStoreConflict):
		status = http.StatusConflict
	case errors.Is(err, sandbarrow.ErrStoreLeaseLost):
		status = http.StatusGone
	case errors.Is(err, sandbarrow.ErrStoreNotFound):
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
}
