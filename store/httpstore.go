// Package store holds implementations and decorators of sandbarrow.Store.
package store

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/httpcall"
)

// leastWatch and mostWatch bound how long one watch call waits at the store; between them it
// is drawn at random. A change ends the watches of all processes at one moment: were the
// next ones equally long, all would be deaf together while their connections are silent, and
// none could tell the others, by their marks (TestSilentStoreIsNoticed).
const (
	leastWatch = 500 * time.Millisecond
	mostWatch  = 8 * time.Second
)

// callTimeout bounds each call but a watch: the matrix's slow store answers after 0.7 s and must
// still be heard.
const callTimeout = time.Second

// idleConnections is how many connections to the store are kept open: an agent's watches, its lease
// and its claims under way.
const idleConnections = 16

// HeaderEra names the store's era in each answer.
const HeaderEra = "Store-Era"

// HTTP is the platform's key-value service over HTTP. It uses net/http, since
// a context must end a call in flight.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a store at a base URL.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}}
}

// CompareAndSwap writes a key that is at previous.
func (s *HTTP) CompareAndSwap(ctx context.Context, key string, previous sandbarrow.StoreRevision, value []byte, lease sandbarrow.LeaseID) (sandbarrow.StoreRevision, error) {
	if len(value) > sandbarrow.MaxValueBytes {
		return 0, errors.Annotatef(sandbarrow.ErrStoreUnavailable, "key %s: value of %d bytes is over %d", key, len(value), sandbarrow.MaxValueBytes)
	}
	q := url.Values{"previous": {strconv.FormatUint(uint64(previous), 10)}}
	if lease != "" {
		q.Set("lease", string(lease))
	}
	item, err := s.call(ctx, callTimeout, http.MethodPut, "/kv/"+key+"?"+q.Encode(), value)
	return item.Revision, errors.Annotatef(err, "swap %s", key)
}

// Get reads a key.
func (s *HTTP) Get(ctx context.Context, key string) (sandbarrow.Item, error) {
	item, err := s.call(ctx, callTimeout, http.MethodGet, "/kv/"+key, nil)
	return item, errors.Annotatef(err, "get %s", key)
}

// GrantLease creates a lease.
func (s *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (sandbarrow.LeaseID, error) {
	item, err := s.call(ctx, callTimeout, http.MethodPost, "/leases?ttl_ms="+strconv.FormatInt(ttl.Milliseconds(), 10), nil)
	if err != nil {
		return "", errors.Annotate(err, "grant lease")
	}
	var reply struct {
		ID sandbarrow.LeaseID `json:"id"`
	}
	if err := json.Unmarshal(item.Value, &reply); err != nil {
		return "", errors.Annotate(sandbarrow.ErrStoreUnknown, "grant lease: "+err.Error())
	}
	return reply.ID, nil
}

// RenewLease starts a lease anew.
func (s *HTTP) RenewLease(ctx context.Context, lease sandbarrow.LeaseID) error {
	_, err := s.call(ctx, callTimeout, http.MethodPut, "/leases/"+string(lease), nil)
	return errors.Annotatef(err, "renew lease %s", lease)
}

// RevokeLease ends a lease.
func (s *HTTP) RevokeLease(ctx context.Context, lease sandbarrow.LeaseID) error {
	_, err := s.call(ctx, callTimeout, http.MethodDelete, "/leases/"+string(lease), nil)
	return errors.Annotatef(err, "revoke lease %s", lease)
}

// Watch waits for a change of a key.
func (s *HTTP) Watch(ctx context.Context, key string, after sandbarrow.StoreRevision) (sandbarrow.Item, error) {
	wait := leastWatch + rand.N(mostWatch-leastWatch)
	q := url.Values{
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	item, err := s.call(ctx, wait+callTimeout, http.MethodGet, "/kv/"+key+"?"+q.Encode(), nil)
	return item, errors.Annotatef(err, "watch %s", key)
}

func (s *HTTP) call(ctx context.Context, timeout time.Duration, method, path string, body []byte) (sandbarrow.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := httpcall.Do(ctx, s.client, httpcall.Call{
		Body: body, Limit: sandbarrow.MaxValueBytes + 1, Method: method, URL: s.base + path,
	})
	httpcall.LeaveSilent(ctx, s.client)
	switch {
	case errors.Is(err, httpcall.ErrNotSent):
		return sandbarrow.Item{}, errors.Annotate(sandbarrow.ErrStoreUnavailable, err.Error())
	case err != nil:
		return sandbarrow.Item{}, errors.Annotate(sandbarrow.ErrStoreUnknown, err.Error())
	}
	if err := statusError(a.Status, a.Body); err != nil {
		return sandbarrow.Item{}, err
	}
	revision, _ := strconv.ParseUint(a.Header.Get("Revision"), 10, 64) // 0 in the answers that have none, those about leases
	return sandbarrow.Item{Revision: sandbarrow.StoreRevision(revision), Value: a.Body}, nil
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
