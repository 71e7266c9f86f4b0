package controller

import (
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
)

// The steps of the window, additive both ways.
const (
	// windowStep is what a load as fast as the fastest adds to the window, in loads.
	windowStep = 0.5
	// windowCut is what a slow load takes from the window, in loads.
	windowCut = 0.5
	// contendedRatio is how many times the fastest a load takes at least to count as
	// slow: loads alone vary by less, at twice the free loads they take twice as long.
	contendedRatio = 1.6
)

// loadWindow decides how many adapters this engine loads from the weight store at
// once, by the time that each of its own loads took. The weight store shares its
// speed among all loads of all engines: under contention more loads at once make
// each slower, so that the adapters with the most requests behind them come no
// sooner than the others. The window opens while loads are as fast as ever and
// closes while they are slower. It is not safe for concurrent use.
type loadWindow struct {
	fastest time.Duration
	// open is the size of the window in loads, from 1 to maxLoading.
	open float64
	// seen is what gateways are told of the loads.
	seen enginelink.Loads
}

// newLoadWindow returns a window for one load at a time.
func newLoadWindow() *loadWindow {
	return &loadWindow{open: 1}
}

// size is how many loads may be under way.
func (w *loadWindow) size() int {
	return int(w.open)
}

// took counts a load from the weight store and how long it took.
func (w *loadWindow) took(d time.Duration) {
	w.seen.Count++
	w.seen.LastLoadMS = d.Milliseconds()
	if w.fastest == 0 || d < w.fastest {
		w.fastest = d
	}
	if float64(d) > contendedRatio*float64(w.fastest) {
		w.open = max(1, w.open-windowCut)
		return
	}
	w.open = min(maxLoading, w.open+windowStep)
}
