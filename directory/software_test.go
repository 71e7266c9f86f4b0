package directory

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestOnlySoftwareCountsVersionsThatWereListed(t *testing.T) {
	d := New(list{}, slog.New(slog.DiscardHandler))
	put := func(revision sandbarrow.StoreRevision, id, software string) {
		d.Update([]sandbarrow.KeyItem{item(id, revision, "s "+id+"~"+software)}, revision)
	}
	assert.Equal(t, d.OnlySoftware("s"), sandbarrow.SoftwareVersion(""))
	put(1, "a", "v1")
	put(2, "b", "v1")
	assert.Equal(t, d.OnlySoftware("s"), sandbarrow.SoftwareVersion("v1"))
	put(3, "b", "v2")
	assert.Equal(t, d.OnlySoftware("s"), sandbarrow.SoftwareVersion(""))
	put(4, "a", "v2")
	assert.Equal(t, d.OnlySoftware("s"), sandbarrow.SoftwareVersion(""), "streams that began with v1 may still be resumed")
	for s, at := range d.formerSoftware {
		d.formerSoftware[s] = at.Add(-SoftwareRetention)
	}
	assert.Equal(t, d.OnlySoftware("s"), sandbarrow.SoftwareVersion("v2"))
	put(5, "c", "")
	assert.Equal(t, d.OnlySoftware("s"), sandbarrow.SoftwareVersion(""))
}
