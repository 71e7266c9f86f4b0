package gateway

import (
	"sync"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
)

// weightStore is what this gateway knows of the weight store, from the loads of all
// engines. It is safe for concurrent use.
type weightStore struct {
	mu    sync.Mutex
	model loadModel
	// underWay is how many loads were under way at the last choice of an engine.
	underWay int
}

func newWeightStore() *weightStore {
	return &weightStore{model: newLoadModel()}
}

// choice returns the model for a choice that sees so many loads under way.
func (w *weightStore) choice(underWay int) loadModel {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay = underWay
	return w.model
}

// learn follows the loads that a controller reports: last is what it reported before.
// Of several loads between two reports the last one counts.
func (w *weightStore) learn(last, now enginelink.Loads) {
	if now.Count == last.Count {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.model.observe(time.Duration(now.TookMS)*time.Millisecond, w.underWay)
}
