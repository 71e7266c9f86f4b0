//go:build review

package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent-links"] = silentLinks }

// silentLinks lets the open connections between gateways and controllers go silent, once, while streams
// run on as many adapters as the runners hold. Once all is calm, a route is added, and its clients ask
// for adapters that no runner holds yet. Those of the first route go on as before.
func silentLinks(l *lab) bool {
	const engines, adapters, streams, others, rounds = 4, 24, 48, 12, 5
	l.proxied = true
	l.small(2, engines)
	for _, r := range l.runners {
		r.setPace(200*time.Millisecond, 80*time.Millisecond)
	}
	var group sync.WaitGroup
	send := func(gateway int, id, path, adapter string) bool {
		q := streamRequest(id, adapter, 0)
		q.path = path
		a := l.send(l.at(gateway, l.ports.http), q, 0)
		l.record("client of %s %s (%s) has status %d, %d events, whole %v, after %v", path, id, adapter, a.status, len(a.events), a.whole, a.took.Round(time.Millisecond))
		return a.status == http.StatusOK && a.whole && len(a.events) > 0
	}
	var before atomic.Int32
	for i := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			if send(1+i%2, fmt.Sprintf("first%04d", i), "/stream/a", fmt.Sprintf("a%d", i%adapters)) {
				before.Add(1)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.record("the open connections between gateways and controllers go silent")
		for _, p := range l.links {
			p.silence()
		}
	}
	group.Wait()
	l.record("%d of %d streams were served that began before", before.Load(), streams)
	if before.Load() < streams {
		panic("not all streams were served that began before")
	}
	time.Sleep(5 * time.Second) // the gateways are linked again
	table := configuration(2)
	routes := table["routes"].([]map[string]any)
	later := maps.Clone(routes[0])
	later["name"], later["pathPrefix"] = "r-later", "/later/"
	table["routes"] = append(routes, later)
	l.store.put("op/config", table)
	l.record("a route is added")
	time.Sleep(3 * time.Second)
	var firstServed, laterServed atomic.Int32
	for i := range others {
		for _, route := range []struct {
			served        *atomic.Int32
			path, adapter string
		}{{&firstServed, "/stream/a", "a"}, {&laterServed, "/later/a", "b"}} {
			group.Go(func() {
				for n := range rounds {
					began := time.Now()
					if send(1+(i+n)%2, fmt.Sprintf("%s-%02d%02d", route.adapter, i, n), route.path, fmt.Sprintf("%s%d", route.adapter, i)) {
						route.served.Add(1)
					}
					time.Sleep(max(0, 2200*time.Millisecond-time.Since(began)))
				}
			})
		}
	}
	group.Wait()
	l.record("served: %d of %d requests on the first route, %d of %d on the route added later", firstServed.Load(), others*rounds, laterServed.Load(), others*rounds)
	if firstServed.Load() < others*rounds/2 {
		panic("the first route is not served")
	}
	return 4*laterServed.Load() >= firstServed.Load()
}
