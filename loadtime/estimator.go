package loadtime

import (
	"sync"
	"time"
)

// Estimator maintains a Model from the loads of all engines. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	model Model
	// inProgress is the number of loads in progress when an engine was last chosen.
	inProgress int
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{model: NewModel()}
}

// ModelFor returns the model for the choice of an engine while inProgress loads are in progress.
func (e *Estimator) ModelFor(inProgress int) Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inProgress = inProgress
	return e.model
}

// ObserveLoad updates the model with the time of one load. If an engine finishes several loads between
// two reports, only the last one is observed.
func (e *Estimator) ObserveLoad(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Observe(took, e.inProgress)
}
