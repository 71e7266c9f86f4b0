package burn

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// serveBox serves the metrics of a tracker. It has 100 current events, of which bad are bad, and
// 100 bad events from ten minutes ago.
func serveBox(t *testing.T, bad int) string {
	tracker := NewTracker()
	tracker.SetTargets(map[sandbarrow.CallerClass]float64{"desk": 0.9})
	now := time.Now()
	for range 100 {
		tracker.Record(now.Add(-10*time.Minute), "desk", ObjectiveResponse, false)
	}
	for i := range 100 {
		tracker.Record(now, "desk", ObjectiveResponse, i >= bad)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(tracker)
	server := httptest.NewServer(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestReportAddsUpBoxes(t *testing.T) {
	r, err := Scrape(t.Context(), []string{serveBox(t, 10), serveBox(t, 30), "http://127.0.0.1:1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Missing), 1)
	assert.Equal(t, len(r.Rows), 1)
	cells := r.Rows[0].Cells
	assert.Equal(t, len(cells), len(Windows))
	assert.Equal(t, cells[1].Burn, 2.0, "40 of 200 events are bad; the budget is a tenth")
	assert.Equal(t, cells[2].Burn, 6.0, "the half-hour window includes the 200 older events")
	var text, page bytes.Buffer
	assert.NilError(t, r.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "desk"))
	assert.Assert(t, strings.Contains(text.String(), "no metrics: http://127.0.0.1:1"))
	assert.NilError(t, r.WriteHTML(&page))
	assert.Equal(t, strings.Count(page.String(), "<rect"), len(Windows))
	assert.Assert(t, !strings.Contains(page.String(), "src="), "the page must not load other files")
}

func TestScrapeFailsWithoutAnyMetrics(t *testing.T) {
	_, err := Scrape(t.Context(), []string{"http://127.0.0.1:1"})
	assert.ErrorContains(t, err, "no box gave metrics")
}
