package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestColdStartIsReportedToPeersOnce(t *testing.T) {
	d, peer := newDirectory(), newDirectory()
	for i, step := range []struct {
		what, value string
		reported    bool
	}{
		{"cold", "s 1#3000", true},
		{"a heartbeat of the same cold start", "s 1#2900", false},
		{"cold for longer", "s 1#6000", true},
		{"warm before its time", "s 1", true},
		{"a heartbeat", "s 1", false},
	} {
		revision := sandbarrow.StoreRevision(6 + i)
		change := d.Advance([]sandbarrow.KeyItem{item("a", revision, step.value)}, revision)
		assert.Equal(t, len(change.Items) == 1, step.reported, step.what)
		peer.ApplyPeerChange(change)
	}
	assert.Assert(t, peer.View().At("1").ColdUntil.IsZero())
}

func TestColdStartEndsByOwnClock(t *testing.T) {
	d := newDirectory()
	before := boottime.Now()
	d.Update([]sandbarrow.KeyItem{item("a", 6, "s 1#3000")}, 6)
	until := d.View().At("1").ColdUntil
	assert.Assert(t, !until.Before(before.Add(3*time.Second)) && until.Before(boottime.Now().Add(3*time.Second)))
}
