package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// The story of the failure: a gateway asks the store what changed, and the answer is
// slow. Meanwhile another gateway tells it that upstream a is leaving and that b is gone.
// Then the slow answer arrives, with what stood before: a counts as ready and b as
// listed again. Nobody tells of b's end a second time, so requests go on being sent to
// an upstream whose leaving the store acknowledged long ago (rule DRAIN).
func TestOwnWatchThatAnswersLate(t *testing.T) {
	d := newDirectory()
	d.Learn(Change{Items: []sandbarrow.KeyItem{item("a", 7, "s 1 leaving"), gone("b", 8)}, Since: 5, Mark: 9})
	d.Update([]sandbarrow.KeyItem{item("a", 6, "s 1"), item("b", 6, "s 2")}, 6)
	assert.Equal(t, ids(d, "s"), "a! c d")
	assert.Equal(t, d.Mark(), sandbarrow.StoreRevision(9))
}

// The story of the failure: a gateway starts while the store is slow and asks for the
// whole list. Before the answer comes it learns from its peers that a is leaving, b is
// gone and f is new. Then the answer arrives, read before all of that: a is ready again,
// b is listed again and f is missing, until each of them writes its entry anew; b never
// does.
func TestWholeReadThatAnswersLate(t *testing.T) {
	d := newDirectory()
	d.Learn(Change{Items: []sandbarrow.KeyItem{item("a", 6, "s 1 leaving"), gone("b", 8), item("f", 9, "s 6")}, Since: 5, Mark: 9})
	d.Replace([]sandbarrow.KeyItem{
		item("a", 1, "s 1"), item("b", 2, "s 2"), item("c", 3, "s 3"), item("d", 4, "s 4"), item("e", 5, "t 5"),
	}, 5)
	assert.Equal(t, ids(d, "s"), "a! c d f")
	assert.Equal(t, d.Mark(), sandbarrow.StoreRevision(9))
}
