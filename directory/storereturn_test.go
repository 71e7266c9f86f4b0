package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/await"
)

func rev(era sandbarrow.StoreEra, number uint64) sandbarrow.StoreRevision {
	return sandbarrow.NewStoreRevision(era, number)
}

// changedDirectory returns a directory that has seen a drain, an end, a restart and a new upstream.
func changedDirectory() *Directory {
	d := newDirectory()
	d.Replace([]sandbarrow.KeyItem{
		item("a", rev(1, 1), "s 1"), item("b", rev(1, 2), "s 2"), item("c", rev(1, 3), "s 3@100"), item("d", rev(1, 4), "s 4"),
	}, rev(1, 100))
	d.Update([]sandbarrow.KeyItem{
		item("a", rev(1, 101), "s 1 leaving"), gone("b", rev(1, 102)), item("c", rev(1, 103), "s 3@200"), item("f", rev(1, 104), "s 6"),
	}, rev(1, 104))
	return d
}

// olderList is the list before these changes, as a restored store returns it.
func olderList() []sandbarrow.KeyItem {
	return []sandbarrow.KeyItem{
		item("a", rev(2, 1), "s 1"), item("b", rev(2, 2), "s 2"), item("c", rev(2, 3), "s 3@100"), item("d", rev(2, 4), "s 4"),
	}
}

func TestRestoreDoesNotUndoKnownChanges(t *testing.T) {
	d := changedDirectory()
	for range 2 {
		d.Replace(olderList(), rev(2, 100))
		assert.Equal(t, ids(d, "s"), "a! c@200 d f")
	}
	d.Update([]sandbarrow.KeyItem{item("c", rev(2, 101), "s 3@200"), item("f", rev(2, 102), "s 6")}, rev(2, 102))
	assert.Equal(t, ids(d, "s"), "a! c@200 d f")
	await.Until(t, 2*restoreGrace, "the state after the grace", func() bool { return ids(d, "s") == "a! b c@200 d f" })
}

func TestUpstreamsMissingAfterRestoreExpire(t *testing.T) {
	d := changedDirectory()
	d.Replace(olderList(), rev(2, 100))
	await.Until(t, 2*restoreGrace, "the state after the grace", func() bool { return ids(d, "s") == "a! b c@100 d" })
}

func TestUpstreamsStartedAfterRestoreAreListedImmediately(t *testing.T) {
	d := changedDirectory()
	d.Replace(append(olderList(), item("g", rev(2, 50), "s 7")), rev(2, 100))
	assert.Equal(t, ids(d, "s"), "a! c@200 d f g")
	d.Update([]sandbarrow.KeyItem{item("h", rev(2, 101), "s 8"), item("c", rev(2, 102), "s 3@300"), item("b", rev(2, 103), "s 2")}, rev(2, 103))
	assert.Equal(t, ids(d, "s"), "a! b c@300 d f g h")
	d.Update([]sandbarrow.KeyItem{gone("h", rev(2, 104)), gone("d", rev(2, 105))}, rev(2, 105))
	assert.Equal(t, ids(d, "s"), "a! b c@300 f g")
}

func TestPeerChangesOfAnotherEraAreIgnored(t *testing.T) {
	d := changedDirectory()
	d.ApplyPeerChange(Change{Items: []sandbarrow.KeyItem{item("g", rev(2, 102), "s 7")}, Since: rev(2, 100), Watermark: rev(2, 102)})
	assert.Equal(t, ids(d, "s"), "a! c@200 d f", "a later era, with earlier changes unknown")
	d.Replace(olderList(), rev(2, 100))
	d.ApplyPeerChange(Change{Items: []sandbarrow.KeyItem{item("d", rev(1, 110), "s 4 leaving")}, Since: rev(1, 104), Watermark: rev(1, 110)})
	assert.Equal(t, ids(d, "s"), "a! c@200 d f", "the earlier era")
	d.ApplyPeerChange(Change{Items: []sandbarrow.KeyItem{item("g", rev(2, 102), "s 7")}, Since: rev(2, 100), Watermark: rev(2, 102)})
	assert.Equal(t, ids(d, "s"), "a! c@200 d f g")
}
