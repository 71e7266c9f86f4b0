package directory

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestSuspensionCountsAsOutage(t *testing.T) {
	d := New(list{}, slog.New(slog.DiscardHandler))
	var items []sandbarrow.KeyItem
	for i := range 6 {
		items = append(items, item(fmt.Sprint("u", i), 1, fmt.Sprintf("s %d", i)))
	}
	d.Replace(items, 1)
	boottime.Suspend(outageAfter + time.Second)
	assert.Check(t, d.Age() >= outageAfter)
	d.Replace(items[:1], 2)
	assert.Check(t, len(d.View().All()) == len(items), "%d of %d upstreams are in use", len(d.View().All()), len(items))
}
