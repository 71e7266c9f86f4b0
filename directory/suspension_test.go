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

// A machine may be suspended for seconds: its steady clock stands still meanwhile, while
// what others hold runs on (a lease in the store, a caller's patience, the other end of a
// link). An age that the steady clock counts is then too young, and guards nothing.
//
// A list that was confirmed before a suspension is as old as that, and upstreams that are
// missing after it may have lapsed in an outage of the store.
func TestSuspension(t *testing.T) {
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
