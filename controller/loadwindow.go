package controller

import "time"

const (
	// windowStep is what a load that took as long as the fastest adds to the window.
	windowStep = 0.5
	// windowCut is what a load in a crowd takes from the window.
	windowCut = 0.5
	// crowdedShare is how many times the fastest a load in a crowd takes at least.
	crowdedShare = 1.6
)

// loadWindow bounds how many adapters this engine brings from the weight store
// at once. The weight store shares its speed among all loads of all engines: in
// a crowd, more loads at once make each slower, so that the adapters with the
// most requests behind them come no sooner than the others. The window opens
// while loads are as fast as ever and closes while they are slower.
type loadWindow struct {
	fastest time.Duration
	open    float64
}

// newLoadWindow returns a window for one load at a time.
func newLoadWindow() *loadWindow {
	return &loadWindow{open: 1}
}

// size is how many loads may be under way.
func (w *loadWindow) size() int {
	return int(w.open)
}

// took learns how long a load from the weight store took.
func (w *loadWindow) took(d time.Duration) {
	if w.fastest == 0 || d < w.fastest {
		w.fastest = d
	}
	if float64(d) > crowdedShare*float64(w.fastest) {
		w.open = max(1, w.open-windowCut)
		return
	}
	w.open = min(maxComing, w.open+windowStep)
}
