package controller

import "time"

const (
	// windowStep is what a load that took as long as the fastest adds to the window.
	windowStep = 0.5
	// windowCut is what a load in a crowd takes from the window.
	windowCut = 0.5
	// usualLoad is how long a load takes out of a crowd, before one was seen.
	usualLoad = 270 * time.Millisecond
	// slowerStep lets the usual time grow with loads that are always slower.
	slowerStep = 1.02
	// crowdedShare is how many times the fastest a load in a crowd takes at least.
	crowdedShare = 1.6
)

// loadWindow bounds how many adapters this engine brings from the weight store
// at once. The weight store shares its speed among all loads of all engines: in
// a crowd, more loads at once make each slower, so that the adapters with the
// most requests behind them come no sooner than the others. The window opens
// while loads are as fast as ever and closes while they are slower.
type loadWindow struct {
	// last is the time of the last load, usual that of a load out of a crowd.
	last, usual time.Duration
	open        float64
}

// newLoadWindow returns a window for one load at a time.
func newLoadWindow() *loadWindow {
	return &loadWindow{open: 1, usual: usualLoad}
}

// size is how many loads may be under way.
func (w *loadWindow) size() int {
	return int(w.open)
}

// crowded reports whether loads take longer than they could.
func (w *loadWindow) crowded() bool {
	return float64(w.last) > crowdedShare*float64(w.usual)
}

// took learns how long a load from the weight store took.
func (w *loadWindow) took(d time.Duration) {
	w.usual = min(d, time.Duration(slowerStep*float64(w.usual)))
	w.last = d
	if w.crowded() {
		w.open = max(1, w.open-windowCut)
		return
	}
	w.open = min(maxComing, w.open+windowStep)
}
