package demo

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	d, err := Start(ctx)
	assert.NilError(t, err)
	defer d.Stop()
	answers := d.Drive(ctx)
	assert.Assert(t, len(answers) > 100)
	for _, a := range answers {
		assert.Equal(t, a.Fault, "", "%s %s %s", a.Class, a.Kind, a.Model)
	}
	totals := d.Totals()
	assert.Assert(t, totals.Loads > 0 && totals.PerStep > 0)
	report, err := d.Report(ctx)
	assert.NilError(t, err)
	assert.Assert(t, len(report.Rows) >= 6)
}
