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

// watchLimit is the longest wait of one watch call.
const watchLimit = 10 * time.Second

// KVLimits are the call rates that a KV bears, per second; 0 is unlimited.
type KVLimits struct {
	Reads, Writes float64
}

// KV is a stand-in for the platform's key-value service.
type KV struct {
	faultSwitch
	// Reads and Writes count calls; a watch is a read.
	Reads, Writes atomic.Int64
	handler       http.Handler
	readLimit     *rate.Limiter
	store         *store.Memory
	// copied is the state that the fault Restore restores.
	copied     store.MemoryCopy
	writeLimit *rate.Limiter
}

// NewKV returns an empty KV.
func NewKV(l KVLimits) *KV {
	k := &KV{readLimit: limiter(l.Reads), store: store.NewMemory(), writeLimit: limiter(l.Writes)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", k.serveGet)
	mux.HandleFunc("PUT /kv/{key...}", k.write(k.servePut))
	mux.HandleFunc("POST /leases", k.write(k.serveGrant))
	mux.HandleFunc("PUT /leases/{id}", k.write(func(w http.ResponseWriter, r *http.Request) {
		_, err := k.store.RenewLease(r.Context(), k.lease(r.PathValue("id")))
		k.writeStatus(w, err)
	}))
	mux.HandleFunc("DELETE /leases/{id}", k.write(func(w http.ResponseWriter, r *http.Request) {
		k.writeStatus(w, k.store.RevokeLease(r.Context(), k.lease(r.PathValue("id"))))
	}))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int64{"reads": k.Reads.Load(), "writes": k.Writes.Load()})
	})
	k.copied = k.store.Copy()
	k.onSet = func(f Faults) {
		if f.Restore {
			k.store.Restore(k.copied)
		}
		if f.Copy {
			k.copied = k.store.Copy()
		}
	}
	k.handler = k.wrap(mux)
	return k
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// ServeHTTP serves the key-value protocol.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) { k.handler.ServeHTTP(w, r) }

// write counts a write and holds it to the rate.
func (k *KV) write(next http.HandlerFunc) http.HandlerFunc {
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
		era = uint64(k.store.Era()) // the caller sends no era
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
	lease := k.lease(r.URL.Query().Get("lease"))
	revision, err := k.store.CompareAndSwap(r.Context(), r.PathValue("key"), k.revision(previous), value, lease)
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

// revision returns the revision with a number in the current era.
func (k *KV) revision(number uint64) sandbarrow.StoreRevision {
	return sandbarrow.NewStoreRevision(k.store.Era(), number)
}

// lease returns the id of a lease name in the current era, or "" for an empty name.
func (k *KV) lease(name string) sandbarrow.LeaseID {
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
