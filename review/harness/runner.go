//go:build review

package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is the arrival of a request at a runner.
type arrival struct {
	at time.Time
	id string
}

// plainRunner is a stand-in for a runner of a service without engines. While it is cold, it falls over
// once more than fallsOver requests have arrived within a second.
type plainRunner struct {
	address, id, zone string
	work              time.Duration
	fallsOver         int
	store             *kvStore
	server            *http.Server
	slots             chan struct{}

	mu        sync.Mutex
	arrivals  []arrival
	cold      time.Time // the end of the cold time
	coldSince time.Time
	fallen    bool
	seq       uint64
}

const (
	service        = "refund-app"
	slotsPerRunner = 6
)

func startPlainRunner(store *kvStore, id, zone string, work time.Duration, fallsOver int) *plainRunner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &plainRunner{address: l.Addr().String(), id: id, zone: zone, work: work, fallsOver: fallsOver, store: store, slots: make(chan struct{}, slotsPerRunner)}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.write()
	go func() {
		for !r.hasFallen() {
			time.Sleep(1200 * time.Millisecond)
			if !r.hasFallen() {
				r.write()
			}
		}
	}()
	return r
}

func (r *plainRunner) hasFallen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fallen
}

// write writes the runner's entry.
func (r *plainRunner) write() uint64 {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slotsPerRunner, "state": "ready",
		"coldLeftMs": max(0, time.Until(r.cold).Milliseconds()), "seq": r.seq,
	}
	r.mu.Unlock()
	return r.store.put("servers/"+r.id, entry)
}

// turnCold makes the runner cold, and returns once the store has taken its entry that says so.
func (r *plainRunner) turnCold(lasts time.Duration) {
	r.mu.Lock()
	r.coldSince, r.cold = time.Now(), time.Now().Add(lasts)
	r.mu.Unlock()
	note("runner %s turns cold for %v; the store has its entry at revision %d", r.id, lasts, r.write())
}

func (r *plainRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Sandbarrow-Instance-Id", r.id)
	if q.URL.Path == "/health" {
		r.mu.Lock()
		w.Header().Set("X-Sandbarrow-Cold-Ms", strconv.FormatInt(max(0, time.Until(r.cold).Milliseconds()), 10))
		r.mu.Unlock()
		return
	}
	id := q.Header.Get("X-Sandbarrow-Request-Id")
	if id != "" {
		w.Header().Set("X-Sandbarrow-Request-Id", id)
	}
	if want := q.Header.Get("X-Sandbarrow-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if id != "" {
		r.arrive(id)
	}
	r.slots <- struct{}{}
	time.Sleep(r.work)
	<-r.slots
	w.Header().Set("X-Sandbarrow-Server-Stamp", "stamp-"+r.id)
	_, _ = io.WriteString(w, "whole answer of "+id)
}

// arrive records an arrival. The runner falls over if it is cold and gets far more than it can bear.
func (r *plainRunner) arrive(id string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{now, id})
	if !now.Before(r.cold) || r.fallen {
		return
	}
	recent := 0
	for i := len(r.arrivals) - 1; i >= 0 && now.Sub(r.arrivals[i].at) < time.Second && !r.arrivals[i].at.Before(r.coldSince); i-- {
		recent++
	}
	if recent > r.fallsOver {
		r.fallen = true
		note("runner %s falls over: %d requests within a second while cold", r.id, recent)
		go func() { _ = r.server.Close() }()
	}
}

// coldArrivals returns the arrivals while the runner was cold.
func (r *plainRunner) coldArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []arrival
	for _, a := range r.arrivals {
		if !r.coldSince.IsZero() && !a.at.Before(r.coldSince) && a.at.Before(r.cold) {
			list = append(list, a)
		}
	}
	return list
}
