package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestLearn(t *testing.T) {
	for name, tc := range map[string]struct {
		change Change
		want   string
		mark   sandbarrow.StoreRevision
	}{
		"what follows": {
			Change{Items: []sandbarrow.KeyItem{item("a", 6, "s 1 leaving"), gone("b", 7)}, Since: 5, Watermark: 8}, "a! c d", 8,
		},
		"nothing but that it is complete": {Change{Since: 4, Watermark: 9}, "a b c d", 9},
		"a gap in between":                {Change{Items: []sandbarrow.KeyItem{gone("a", 7)}, Since: 6, Watermark: 8}, "a b c d", 5},
		"older than what is known":        {Change{Items: []sandbarrow.KeyItem{gone("a", 3)}, Since: 2, Watermark: 4}, "a b c d", 5},
		"older in part": {
			Change{Items: []sandbarrow.KeyItem{gone("a", 3), gone("b", 6)}, Since: 2, Watermark: 6}, "a c d", 6,
		},
	} {
		d := newDirectory()
		d.ApplyPeerChange(tc.change)
		assert.Equal(t, ids(d, "s"), tc.want, name)
		assert.Equal(t, d.Watermark(), tc.mark, name)
	}
}

// What is told to others leaves heartbeats out.
func TestAdvanceTellsWhatChanged(t *testing.T) {
	d := newDirectory()
	change := d.Advance([]sandbarrow.KeyItem{
		item("a", 6, "s 1"), item("b", 7, "s 2 leaving"), item("f", 8, "s 6"), gone("c", 9),
	}, 10)
	assert.Equal(t, change.Since, sandbarrow.StoreRevision(5))
	assert.Equal(t, change.Watermark, sandbarrow.StoreRevision(10))
	var keys []string
	for _, it := range change.Items {
		keys = append(keys, it.Key)
	}
	assert.DeepEqual(t, keys, []string{"b", "f", "c"})
	other := newDirectory()
	other.ApplyPeerChange(change)
	assert.Equal(t, ids(other, "s"), ids(d, "s"))
}

func TestAdvanceTellsWhatReturned(t *testing.T) {
	d, other := newDirectory(), newDirectory()
	other.ApplyPeerChange(d.Advance([]sandbarrow.KeyItem{gone("a", 6), gone("b", 7), item("b", 8, "s 2"), item("b", 9, "s 2")}, 9))
	assert.Equal(t, ids(d, "s"), "b c d")
	assert.Equal(t, ids(other, "s"), "b c d")
}

// A directory that knows nothing yet can't follow a change.
func TestLearnNeedsAStart(t *testing.T) {
	d := New(list{}, nil)
	d.ApplyPeerChange(Change{Since: 0, Watermark: 3})
	assert.Equal(t, d.Watermark(), sandbarrow.StoreRevision(0))
	assert.Assert(t, d.View() == nil)
}

func TestChangeAheadOfItsTurnIsTold(t *testing.T) {
	d, other := newDirectory(), newDirectory()
	d.Replace([]sandbarrow.KeyItem{
		item("a", 1, "s 1"), item("b", 2, "s 2"), item("c", 3, "s 3"), item("d", 7, "s 4 leaving"), item("e", 5, "t 5"),
	}, 5)
	other.ApplyPeerChange(d.Advance([]sandbarrow.KeyItem{item("d", 7, "s 4 leaving")}, 8))
	assert.Equal(t, ids(other, "s"), "a b c d!")
}
