package demo

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDemoResponsesMatchRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	d, err := Start(ctx)
	assert.NilError(t, err)
	defer d.Stop()
	responses := d.Drive(ctx)
	assert.Assert(t, len(responses) > 100)
	for _, r := range responses {
		assert.Equal(t, r.Fault, "", "%s %s %s", r.Class, r.Kind, r.Model)
	}
	totals := d.Totals()
	assert.Assert(t, totals.Loads > 0 && totals.RequestsPerStep > 0)
	report, err := d.Report(ctx)
	assert.NilError(t, err)
	assert.Assert(t, len(report.Rows) >= 6)
}
