//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-event"] = lostEvent }

// configuration returns a table of routes like that of a small deployment.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-stream", "host": "lab.example", "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 0, "service": "llm", "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 400},
			{"name": "r-once", "host": "lab.example", "pathPrefix": "/once/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 1000, "priority": 1, "service": "llm", "maxAttempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 400},
			{"name": "r-unsafe", "host": "lab.example", "pathPrefix": "/unsafe/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "api", "maxAttempts": 1},
			{"name": "r-safe", "host": "lab.example", "pathPrefix": "/safe/", "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "api", "maxAttempts": 2},
		},
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/health", "maxConns": 500, "engine": map[string]any{
				"slots": 96, "kvCapacity": 122543, "kvTokenBytes": 131072, "linkMbps": 550000, "moves": true, "stride": 2, "weightsMb": 16500, "adapterSlots": adapterSlots, "loadsPerS": 2.1,
				"models": []map[string]any{{"name": model, "weightsMb": 16100, "loadS": 0.6, "adapters": 3000, "adapterMb": 14}},
			}},
			{"name": "api", "healthPath": "/health", "maxConns": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// small starts a small deployment: gateways, runners of models with their controllers, and runners of a
// plain service.
func (l *lab) small(gateways, engines int) (fronts, sides []*process) {
	l.store.put("op/config", configuration(1))
	for i := range engines {
		r := l.addRunner(11+i, "llm", true)
		sides = append(sides, l.startController(r, 11+i, nil))
		if l.proxied {
			l.links = append(l.links, newProxy(l.at(11+i, l.ports.link), l.at(11+i, l.ports.rpc)))
		}
	}
	for i := range 2 {
		l.addRunner(101+i, "api", false)
	}
	go l.heartbeats()
	for i := range gateways {
		fronts = append(fronts, l.startGateway(1+i, min(gateways, 3), nil))
	}
	for _, p := range fronts {
		l.awaitReady(p)
		l.awaitLog(p, "controller linked", engines)
	}
	time.Sleep(1500 * time.Millisecond) // all links have reported
	return fronts, sides
}

func streamRequest(id, adapter string, last int) *request {
	q := &request{id: id, method: "POST", path: "/stream/a", body: "question " + id, deadline: 15 * time.Second, header: map[string]string{
		"X-Sandbarrow-Model": model + "/" + adapter, "X-Sandbarrow-Token-Usage": "1460,80", "X-Sandbarrow-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + id[len(id)-4:] + ":250",
	}}
	if last > 0 {
		q.header["Last-Event-Id"] = fmt.Sprint(last)
	}
	return q
}

// lostEvent plays streams that their clients resume while the store is down. One controller is killed
// while resumed streams wait for their first event at its engine.
func lostEvent(l *lab) bool {
	_, sides := l.small(2, 4)
	gateway := l.at(1, l.ports.http)
	const streams = 12
	for i := range 3 { // the adapters are loaded
		l.send(gateway, streamRequest(fmt.Sprintf("warm%04d", i), fmt.Sprintf("a%d", i), 0), 1)
	}
	if l.trouble {
		l.record("the store is down")
		l.store.setDown(true)
		time.Sleep(1200 * time.Millisecond)
	}
	for _, r := range l.runners {
		r.setPace(200*time.Millisecond, 350*time.Millisecond)
	}
	first, second := make([]answer, streams), make([]answer, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("first%04d", i)
			l.record("client sends %s", id)
			first[i] = l.send(gateway, streamRequest(id, fmt.Sprintf("a%d", i%3), 0), 5)
			l.record("client of %s has status %d, events %v, and leaves", id, first[i].status, first[i].events)
		})
	}
	group.Wait()
	for _, r := range l.runners {
		r.setPace(800*time.Millisecond, 40*time.Millisecond)
	}
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("again%04d", i)
			l.record("client sends %s, which resumes after event %d", id, len(first[i].events))
			second[i] = l.send(gateway, streamRequest(id, fmt.Sprintf("a%d", i%3), len(first[i].events)), 0)
			l.record("client of %s has status %d, events %v, whole %v, %v", id, second[i].status, second[i].events, second[i].whole, second[i].err)
		})
	}
	if l.trouble {
		time.Sleep(300 * time.Millisecond)
		killed := l.busiest("again")
		l.signal(sides[killed], syscall.SIGKILL)
		time.Sleep(time.Second)
		l.startController(l.runners[killed], 11+killed, nil)
		l.store.setDown(false)
		l.record("the store is up again")
	}
	group.Wait()
	broken, served := 0, 0
	for i := range streams {
		next := len(first[i].events)
		if len(second[i].events) > 0 {
			served++
		}
		for _, n := range second[i].events {
			if next++; n != next {
				l.record("ORDER: stream %d has event %d after event %d", i, n, next-1)
				broken++
				break
			}
		}
	}
	l.record("%d of %d resumed streams went on, %d of them lack an event", served, streams, broken)
	if served == 0 {
		panic("no stream went on")
	}
	return broken == 0
}

// busiest returns the number of the engine with the most runs of requests whose ids begin so.
func (l *lab) busiest(prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, r := range l.runs {
		if strings.HasPrefix(r.id, prefix) {
			counts[r.runner]++
		}
	}
	best := 0
	for i, r := range l.runners {
		if counts[r.name] > counts[l.runners[best].name] {
			best = i
		}
	}
	return best
}
