package controller

import (
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
)

// The steps of the window are additive in both directions.
const (
	// windowIncrease is added to the window for a load that is as fast as the fastest, in
	// loads.
	windowIncrease = 0.5
	// windowDecrease is subtracted from the window for a slow load, in loads.
	windowDecrease = 0.5
	// contendedRatio is the least ratio to the fastest load at which a load counts as slow.
	// The times of uncontended loads vary by less. With twice as many loads as the weight
	// store can serve without contention, each takes twice as long.
	contendedRatio = 1.6
)

// loadWindow decides how many adapters this engine loads from the weight store at once,
// based on the durations of its own loads. The weight store shares its bandwidth among all
// loads of all engines. Under contention, more concurrent loads make each one slower, and
// the adapters with the most waiting requests are no longer ready sooner than the others.
// The window grows while loads are as fast as the fastest one and shrinks while they are
// slower. It is not safe for concurrent use.
type loadWindow struct {
	fastest time.Duration
	// limit is the size of the window in loads, from 1 to maxLoading.
	limit float64
	// observed is the load statistics published to gateways.
	observed enginelink.Loads
}

// newLoadWindow returns a window for one load at a time.
func newLoadWindow() *loadWindow {
	return &loadWindow{limit: 1}
}

// size returns the number of loads that may be in progress.
func (w *loadWindow) size() int {
	return int(w.limit)
}

// took records a load from the weight store and its duration.
func (w *loadWindow) took(d time.Duration) {
	w.observed.Count++
	w.observed.LastLoadMS = d.Milliseconds()
	if w.fastest == 0 || d < w.fastest {
		w.fastest = d
	}
	if float64(d) > contendedRatio*float64(w.fastest) {
		w.limit = max(1, w.limit-windowDecrease)
		return
	}
	w.limit = min(maxLoading, w.limit+windowIncrease)
}
