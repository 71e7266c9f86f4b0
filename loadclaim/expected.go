package loadclaim

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// maxExpected bounds the expected loads of one engine. It is several times an engine's slots.
	maxExpected = 64
	// reportDelay is how long after it was sent to an engine a load may be missing from the status
	// that the gateway has: a controller with 30 gateways sends a status every 0.15 s.
	reportDelay = 300 * time.Millisecond
)

// Expected holds the loads that a gateway expects at one engine: those that it decided or was told
// and that no status has shown. The zero value is ready to use. It is not safe for concurrent use.
type Expected struct {
	loads map[sandbarrow.AdapterKey]expectation
}

// expectation is the expected load of a version of an adapter.
type expectation struct {
	at      time.Time
	version sandbarrow.AdapterVersion
}

// Add records that the engine is going to load an adapter. An older record of the same load keeps
// its time, so that it expires.
func (e *Expected) Add(now time.Time, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	if e.Has(now, key, v) {
		return
	}
	e.dropExpired(now)
	if len(e.loads) >= maxExpected {
		return
	}
	if e.loads == nil {
		e.loads = map[sandbarrow.AdapterKey]expectation{}
	}
	e.loads[key] = expectation{at: now, version: v}
}

// Clear drops all expectations, because the engine or its controller has restarted.
func (e *Expected) Clear() { e.loads = nil }

// Drop drops the expectation of a load that the engine has refused.
func (e *Expected) Drop(key sandbarrow.AdapterKey) { delete(e.loads, key) }

// Has reports whether the engine is going to load a version of an adapter.
func (e *Expected) Has(now time.Time, key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) bool {
	x, ok := e.loads[key]
	return ok && now.Sub(x.at) < Lifetime && x.version >= v
}

// Unreported returns the number of loads that the engine's status can't show yet.
func (e *Expected) Unreported(now time.Time) int {
	n := 0
	for _, x := range e.loads {
		if now.Sub(x.at) < reportDelay {
			n++
		}
	}
	return n
}

// MarkShown drops the expectation of a load that a status shows. From then on the status counts.
func (e *Expected) MarkShown(key sandbarrow.AdapterKey, v sandbarrow.AdapterVersion) {
	if x, ok := e.loads[key]; ok && v >= x.version {
		delete(e.loads, key)
	}
}

func (e *Expected) dropExpired(now time.Time) {
	for key, x := range e.loads {
		if now.Sub(x.at) >= Lifetime {
			delete(e.loads, key)
		}
	}
}
