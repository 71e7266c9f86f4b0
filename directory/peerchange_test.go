package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestApplyPeerChange(t *testing.T) {
	for name, tc := range map[string]struct {
		change    Change
		want      string
		watermark sandbarrow.StoreRevision
	}{
		"the next change": {
			Change{Items: []sandbarrow.KeyItem{item("a", 6, "s 1 leaving"), deleted("b", 7)}, Since: 5, Watermark: 8}, "a! c d", 8,
		},
		"no entries":                {Change{Since: 4, Watermark: 9}, "a b c d", 9},
		"a gap":                     {Change{Items: []sandbarrow.KeyItem{deleted("a", 7)}, Since: 6, Watermark: 8}, "a b c d", 5},
		"older than the known list": {Change{Items: []sandbarrow.KeyItem{deleted("a", 3)}, Since: 2, Watermark: 4}, "a b c d", 5},
		"partly older": {
			Change{Items: []sandbarrow.KeyItem{deleted("a", 3), deleted("b", 6)}, Since: 2, Watermark: 6}, "a c d", 6,
		},
	} {
		d := newDirectory()
		d.ApplyPeerChange(tc.change)
		assert.Equal(t, ids(d, "s"), tc.want, name)
		assert.Equal(t, d.Watermark(), tc.watermark, name)
	}
}

// Changes for other gateways must not include heartbeats.
func TestAdvanceReturnsOnlyRealChanges(t *testing.T) {
	d := newDirectory()
	change := d.Advance([]sandbarrow.KeyItem{
		item("a", 6, "s 1"), item("b", 7, "s 2 leaving"), item("f", 8, "s 6"), deleted("c", 9),
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

func TestAdvanceReturnsRelistedUpstream(t *testing.T) {
	d, other := newDirectory(), newDirectory()
	other.ApplyPeerChange(d.Advance([]sandbarrow.KeyItem{deleted("a", 6), deleted("b", 7), item("b", 8, "s 2"), item("b", 9, "s 2")}, 9))
	assert.Equal(t, ids(d, "s"), "b c d")
	assert.Equal(t, ids(other, "s"), "b c d")
}

// An empty directory has no base to which a change could be applied.
func TestPeerChangeIsIgnoredBeforeFirstRead(t *testing.T) {
	d := New(list{}, nil)
	d.ApplyPeerChange(Change{Since: 0, Watermark: 3})
	assert.Equal(t, d.Watermark(), sandbarrow.StoreRevision(0))
	assert.Assert(t, d.View() == nil)
}

func TestAdvanceReturnsChangeThatAFullReadAlreadyHad(t *testing.T) {
	d, other := newDirectory(), newDirectory()
	d.Replace([]sandbarrow.KeyItem{
		item("a", 1, "s 1"), item("b", 2, "s 2"), item("c", 3, "s 3"), item("d", 7, "s 4 leaving"), item("e", 5, "t 5"),
	}, 5)
	other.ApplyPeerChange(d.Advance([]sandbarrow.KeyItem{item("d", 7, "s 4 leaving")}, 8))
	assert.Equal(t, ids(other, "s"), "a b c d!")
}
