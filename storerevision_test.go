package sandbarrow_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func TestStoreRevisionOrdersErasFirst(t *testing.T) {
	before := sandbarrow.NewStoreRevision(3, 1_000_000)
	after := sandbarrow.NewStoreRevision(4, 12)
	assert.Assert(t, after > before)
	assert.Equal(t, after.Era(), sandbarrow.StoreEra(4))
	assert.Equal(t, after.Number(), uint64(12))
	assert.Equal(t, sandbarrow.NewStoreRevision(0, 12), sandbarrow.StoreRevision(12), "no era")
	assert.Equal(t, sandbarrow.NewStoreRevision(4, 0), sandbarrow.StoreRevision(0), "absent key")
	assert.Equal(t, after.LogValue().String(), "4/12")
	assert.Equal(t, sandbarrow.StoreRevision(12).LogValue().Uint64(), uint64(12))
	const maxExactFloat = 1 << 53
	assert.Assert(t, sandbarrow.NewStoreRevision(8000, 1<<39) < maxExactFloat)
}

func TestLeaseIDIncludesEra(t *testing.T) {
	for era, text := range map[sandbarrow.StoreEra]sandbarrow.LeaseID{0: "l7", 2: "l7@2"} {
		id := sandbarrow.NewLeaseID(era, "l7")
		assert.Equal(t, id, text)
		assert.Equal(t, id.Era(), era)
		assert.Equal(t, id.Name(), "l7")
	}
}
