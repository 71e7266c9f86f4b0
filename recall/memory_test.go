package recall

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func keyOf(n int) sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(fmt.Sprint(n))}
}

// adapterAt is one adapter at a version.
func adapterAt(n int, v sandbarrow.AdapterVersion) iter.Seq2[sandbarrow.AdapterKey, sandbarrow.AdapterVersion] {
	return maps.All(map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{keyOf(n): v})
}

func TestMemoryTracksVersions(t *testing.T) {
	var m Memory
	m.MarkLoaded(adapterAt(1, 1))
	assert.Assert(t, m.Has(keyOf(1), 0), "version 0 matches any version")
	assert.Assert(t, m.Has(keyOf(1), 1))
	assert.Assert(t, !m.Has(keyOf(1), 2))
	m.MarkLoaded(adapterAt(1, 2))
	assert.Assert(t, m.Has(keyOf(1), 2))
}

func TestMemoryLearnsItsSize(t *testing.T) {
	for _, engineSize := range []int{12, 54} {
		var engine []int // the newest last
		var m Memory
		random := rand.New(rand.NewPCG(1, 2))
		for range 5000 {
			n := random.IntN(200)
			at := slices.Index(engine, n)
			m.Learn(m.Has(keyOf(n), 1), at >= 0)
			if at >= 0 {
				engine = slices.Delete(engine, at, at+1)
			}
			engine = append(engine, n)
			engine = engine[max(0, len(engine)-engineSize):]
			m.MarkLoaded(adapterAt(n, 1))
		}
		assert.Check(t, m.size() > engineSize-8 && m.size() < engineSize+8, "engine keeps %d, learned %d", engineSize, m.size())
	}
}

func TestMemoryEvictsOldest(t *testing.T) {
	var m Memory
	for n := range defaultSize + 5 {
		m.MarkLoaded(adapterAt(n, 1))
	}
	assert.Assert(t, !m.Has(keyOf(4), 1))
	assert.Assert(t, m.Has(keyOf(5), 1))
	assert.Assert(t, m.Has(keyOf(defaultSize+4), 1))
	m.Forget()
	assert.Assert(t, !m.Has(keyOf(defaultSize+4), 1))
}
