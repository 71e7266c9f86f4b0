// Package burn measures the error budget burn rate of each caller class over several windows.
package burn

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow"
)

const (
	// bucketSpan is the duration of one bucket, the resolution of the windows.
	bucketSpan = 10 * time.Second
	// EventsMetric is the gauge that boxes export and the report reads.
	EventsMetric = "sandbarrow_slo_events"
	// TargetMetric is the gauge with the target share of good events of each class.
	TargetMetric = "sandbarrow_slo_objective"
)

// Windows are the windows of the report, in ascending order.
var Windows = []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// The objectives of a class.
const (
	// ObjectiveResponse counts complete responses as good.
	ObjectiveResponse = "answer"
	// ObjectiveFirstToken counts responses as good if they started within the target time.
	ObjectiveFirstToken = "first-token"
)

type series struct {
	class     sandbarrow.CallerClass
	objective string
}

// counts holds the number of events in one bucket or window.
type counts struct {
	bad, good float64
}

// ring holds the buckets of one series.
type ring struct {
	buckets []counts
	newest  int64 // number of the newest bucket, counted from the Unix epoch
}

// Tracker counts good and bad events and exports the counts for each window.
type Tracker struct {
	events  *prometheus.Desc
	mu      sync.Mutex
	rings   map[series]*ring
	target  *prometheus.Desc
	targets map[sandbarrow.CallerClass]float64
}

// NewTracker returns a tracker without events. It implements prometheus.Collector.
func NewTracker() *Tracker {
	return &Tracker{
		events: prometheus.NewDesc(EventsMetric, "Events within a window, by result.",
			[]string{"class", "objective", "result", "window"}, nil),
		rings:  map[series]*ring{},
		target: prometheus.NewDesc(TargetMetric, "The aimed share of good events.", []string{"class"}, nil),
	}
}

// Collect exports the counts of all windows and the target shares.
func (t *Tracker) Collect(ch chan<- prometheus.Metric) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for s, r := range t.rings {
		for _, w := range Windows {
			c := r.sum(now, w)
			for result, n := range map[string]float64{"good": c.good, "bad": c.bad} {
				ch <- prometheus.MustNewConstMetric(t.events, prometheus.GaugeValue, n, string(s.class), s.objective, result, w.String())
			}
		}
	}
	for class, target := range t.targets {
		ch <- prometheus.MustNewConstMetric(t.target, prometheus.GaugeValue, target, string(class))
	}
}

// Describe describes the exported metrics.
func (t *Tracker) Describe(ch chan<- *prometheus.Desc) {
	ch <- t.events
	ch <- t.target
}

// Record counts one event.
func (t *Tracker) Record(now time.Time, class sandbarrow.CallerClass, objective string, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := series{class: class, objective: objective}
	r := t.rings[key]
	if r == nil {
		longest := slices.Max(Windows)
		r = &ring{buckets: make([]counts, longest/bucketSpan+1)}
		t.rings[key] = r
	}
	r.advance(now)
	b := &r.buckets[r.newest%int64(len(r.buckets))]
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// SetTargets replaces the target share of good events of each class.
func (t *Tracker) SetTargets(targets map[sandbarrow.CallerClass]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets = targets
}

// advance clears the buckets from the newest one up to the current time.
func (r *ring) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketSpan)
	n := int64(len(r.buckets))
	for b := max(r.newest+1, current-n+1); b <= current; b++ {
		r.buckets[b%n] = counts{}
	}
	r.newest = max(r.newest, current)
}

// sum adds up the buckets of a window.
func (r *ring) sum(now time.Time, window time.Duration) counts {
	r.advance(now)
	var c counts
	n := int64(len(r.buckets))
	for b := r.newest - int64(window/bucketSpan) + 1; b <= r.newest; b++ {
		c.bad += r.buckets[b%n].bad
		c.good += r.buckets[b%n].good
	}
	return c
}
