package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestOwnWatchThatAnswersLate(t *testing.T) {
	d := newDirectory()
	d.ApplyPeerChange(Change{Items: []sandbarrow.KeyItem{item("a", 7, "s 1 leaving"), gone("b", 8)}, Since: 5, Watermark: 9})
	d.Update([]sandbarrow.KeyItem{item("a", 6, "s 1"), item("b", 6, "s 2")}, 6)
	assert.Equal(t, ids(d, "s"), "a! c d")
	assert.Equal(t, d.Watermark(), sandbarrow.StoreRevision(9))
}

func TestWholeReadThatAnswersLate(t *testing.T) {
	d := newDirectory()
	d.ApplyPeerChange(Change{Items: []sandbarrow.KeyItem{item("a", 6, "s 1 leaving"), gone("b", 8), item("f", 9, "s 6")}, Since: 5, Watermark: 9})
	d.Replace([]sandbarrow.KeyItem{
		item("a", 1, "s 1"), item("b", 2, "s 2"), item("c", 3, "s 3"), item("d", 4, "s 4"), item("e", 5, "t 5"),
	}, 5)
	assert.Equal(t, ids(d, "s"), "a! c d f")
	assert.Equal(t, d.Watermark(), sandbarrow.StoreRevision(9))
}
