package loadtime

import (
	"sync"
	"time"
)

// Estimator keeps a Model from the loads of all engines. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	model Model
	// underWay is how many loads were under way at the last choice of an engine.
	underWay int
}

// NewEstimator returns an Estimator that has seen no load.
func NewEstimator() *Estimator {
	return &Estimator{model: NewModel()}
}

// ModelFor returns the model for a choice that sees so many loads under way.
func (e *Estimator) ModelFor(underWay int) Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.underWay = underWay
	return e.model
}

// ObserveLoad follows a load that took so long. Of several loads between two reports of an engine
// the last one counts.
func (e *Estimator) ObserveLoad(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Observe(took, e.underWay)
}
