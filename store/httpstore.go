// Package store holds implementations and decorators of sandbarrow.Store.
package store

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/httpcall"
	"sandbarrow.example/sandbarrow/internal/response"
	"sandbarrow.example/sandbarrow/internal/storeera"
)

// The wait of a watch call at the store is random, between minWatchWait and maxWatchWait. A change ends the
// watches of all processes at the same time. If their next watches were equally long and their connections
// hung, no process would receive a change before all watches time out. With random waits some watches end
// early, and those processes publish the change to the others with their watermarks
// (TestChangeIsSeenWhileConnectionsHang).
const (
	minWatchWait = 500 * time.Millisecond
	maxWatchWait = 8 * time.Second
)

// callTimeout is the timeout of each call; that of a watch is longer by its wait. The slow store of the test
// matrix responds after 0.7 s, and its responses must still be accepted.
const callTimeout = time.Second

// maxIdleConnections is the number of idle connections kept open to the store. It covers an agent's watches, its
// lease and its concurrent claims.
const maxIdleConnections = 16

// The headers of responses.
const (
	// HeaderEra is the response header with the era of the store.
	HeaderEra = "Store-Era"
	// HeaderLease is the response header with the lease to which a key is attached.
	HeaderLease = "Lease"

	headerRevision = "Revision"
)

// HTTP is a client of the platform's key-value service over HTTP. It uses net/http because calls in flight must
// end with their context.
type HTTP struct {
	base   string
	client *http.Client
	eras   *storeera.Tracker
	// lastCallFailed says that the last call got no response. The store may have been restored since then.
	lastCallFailed atomic.Bool
}

// NewHTTP returns a client for the store at a base URL.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, client: &http.Client{Transport: response.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxResponseHeaderBytes: httpcall.MaxHeaderBytes}, &net.Dialer{})}, eras: storeera.NewTracker()}
}

// CompareAndSwap writes a key if it is at the previous revision.
func (s *HTTP) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	if len(value) > sandbarrow.MaxValueBytes {
		return 0, errors.Annotatef(sandbarrow.ErrStoreUnavailable, "key %s: value of %d bytes is over %d", key, len(value), sandbarrow.MaxValueBytes)
	}
	current := s.eras.Current()
	switch {
	case lease != "" && lease.Era() != current:
		return 0, errors.Annotatef(sandbarrow.ErrStoreLeaseLost, "key %s: lease of era %d in era %d", key, lease.Era(), current)
	case previous != 0 && previous.Era() != current:
		return 0, errors.Annotatef(sandbarrow.ErrStoreConflict, "key %s: revision of era %d in era %d", key, previous.Era(), current)
	}
	q := url.Values{"previous": {strconv.FormatUint(previous.Number(), 10)}}
	if lease != "" {
		q.Set("lease", lease.Name())
	}
	item, era, err := s.call(ctx, callTimeout, http.MethodPut, "/kv/"+key+"?"+q.Encode(), value)
	if err == nil && era != current && (previous != 0 || lease != "") {
		return 0, errors.Annotatef(sandbarrow.ErrStoreUnknown, "swap %s: era %d began during the call", key, era)
	}
	return item.Revision, errors.Annotatef(err, "swap %s", key)
}

// EraSince returns when this process first saw the current era of the store.
func (s *HTTP) EraSince() (since time.Time, first bool) { return s.eras.Since() }

// Get reads a key.
func (s *HTTP) Get(ctx context.Context, key string) (sandbarrow.Item, error) {
	item, _, err := s.call(ctx, callTimeout, http.MethodGet, "/kv/"+key, nil)
	return item, errors.Annotatef(err, "get %s", key)
}

// GrantLease creates a lease that expires after ttl unless it is renewed.
func (s *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (sandbarrow.LeaseID, error) {
	item, era, err := s.call(ctx, callTimeout, http.MethodPost, "/leases?ttl_ms="+strconv.FormatInt(ttl.Milliseconds(), 10), nil)
	if err != nil {
		return "", errors.Annotate(err, "grant lease")
	}
	var reply struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(item.Value, &reply); err != nil {
		return "", errors.Annotate(sandbarrow.ErrStoreUnknown, "grant lease: "+err.Error())
	}
	return sandbarrow.NewLeaseID(era, reply.ID), nil
}

// RenewLease restarts the time to live of a lease.
func (s *HTTP) RenewLease(ctx context.Context, lease sandbarrow.LeaseID) (sandbarrow.StoreEra, error) {
	_, era, err := s.call(ctx, callTimeout, http.MethodPut, "/leases/"+lease.Name(), nil)
	return era, errors.Annotatef(err, "renew lease %s", lease)
}

// RevokeLease revokes a lease.
func (s *HTTP) RevokeLease(ctx context.Context, lease sandbarrow.LeaseID) error {
	if current := s.eras.Current(); lease.Era() != current {
		return errors.Annotatef(sandbarrow.ErrStoreLeaseLost, "revoke lease of era %d in era %d", lease.Era(), current)
	}
	_, _, err := s.call(ctx, callTimeout, http.MethodDelete, "/leases/"+lease.Name(), nil)
	return errors.Annotatef(err, "revoke lease %s", lease)
}

// Watch waits for a change of a key. If after belongs to an earlier era, it returns the current value
// immediately: the revisions of the current era may still be lower than after.
func (s *HTTP) Watch(ctx context.Context, key string, after sandbarrow.StoreRevision) (sandbarrow.Item, error) {
	if s.lastCallFailed.Load() {
		item, err := s.Get(ctx, key)
		if err != nil || item.Revision > after {
			return item, err
		}
	}
	number := after.Number()
	if after.Era() < s.eras.Current() {
		number = 0
	}
	wait := minWatchWait + rand.N(maxWatchWait-minWatchWait)
	q := url.Values{
		"after":   {strconv.FormatUint(number, 10)},
		"era":     {strconv.FormatUint(uint64(after.Era()), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	current := s.eras.Current()
	call, cancel := s.eras.WithinEra(ctx, current)
	defer cancel()
	item, _, err := s.call(call, wait+callTimeout, http.MethodGet, "/kv/"+key+"?"+q.Encode(), nil)
	if err != nil && s.eras.Current() > current {
		return s.Get(ctx, key)
	}
	return item, errors.Annotatef(err, "watch %s", key)
}

func (s *HTTP) call(ctx context.Context, timeout time.Duration, method, path string, body []byte) (sandbarrow.Item, sandbarrow.StoreEra, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := httpcall.Do(ctx, s.client, httpcall.Call{
		Body: body, Limit: sandbarrow.MaxValueBytes, Method: method, URL: s.base + path,
	})
	httpcall.CloseHungConnections(ctx, s.client)
	s.lastCallFailed.Store(err != nil)
	switch {
	case errors.Is(err, httpcall.ErrNotSent):
		return sandbarrow.Item{}, 0, errors.Annotate(sandbarrow.ErrStoreUnavailable, err.Error())
	case err != nil:
		return sandbarrow.Item{}, 0, errors.Annotate(sandbarrow.ErrStoreUnknown, err.Error())
	}
	era, err := s.eras.Observe(response.Header.Get(HeaderEra))
	if err != nil {
		return sandbarrow.Item{}, 0, errors.Annotate(sandbarrow.ErrStoreUnknown, err.Error())
	}
	if err := statusError(response.Status, response.Body); err != nil {
		return sandbarrow.Item{}, era, err
	}
	number, _ := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64) // 0 if the response has no revision, as for lease calls
	return sandbarrow.Item{
		Lease: sandbarrow.NewLeaseID(era, response.Header.Get(HeaderLease)), Revision: sandbarrow.NewStoreRevision(era, number), Value: response.Body,
	}, era, nil
}

func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return sandbarrow.ErrStoreConflict
	case http.StatusGone:
		return sandbarrow.ErrStoreLeaseLost
	case http.StatusNotFound:
		return sandbarrow.ErrStoreNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Annotatef(sandbarrow.ErrStoreUnavailable, "status %d", status)
	default:
		return errors.Annotatef(sandbarrow.ErrStoreUnknown, "status %d: %.100s", status, body)
	}
}
