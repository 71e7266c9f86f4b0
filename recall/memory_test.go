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

// seenAt is one adapter at a version.
func seenAt(n int, v sandbarrow.AdapterVersion) iter.Seq2[sandbarrow.AdapterKey, sandbarrow.AdapterVersion] {
	return maps.All(map[sandbarrow.AdapterKey]sandbarrow.AdapterVersion{keyOf(n): v})
}

func TestMemoryIsOfAVersion(t *testing.T) {
	var m Memory
	m.MarkLoaded(seenAt(1, 1))
	assert.Assert(t, m.Has(keyOf(1), 0), "no version is named: any will do")
	assert.Assert(t, m.Has(keyOf(1), 1))
	assert.Assert(t, !m.Has(keyOf(1), 2))
	m.MarkLoaded(seenAt(1, 2))
	assert.Assert(t, m.Has(keyOf(1), 2))
}

func TestMemoryLearnsItsSize(t *testing.T) {
	for _, kept := range []int{12, 54} {
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
			engine = engine[max(0, len(engine)-kept):]
			m.MarkLoaded(seenAt(n, 1))
		}
		assert.Check(t, m.size() > kept-8 && m.size() < kept+8, "keeps %d, learnt %d", kept, m.size())
	}
}

func TestMemoryKeepsTheNewest(t *testing.T) {
	var m Memory
	for n := range remembered + 5 {
		m.MarkLoaded(seenAt(n, 1))
	}
	assert.Assert(t, !m.Has(keyOf(4), 1))
	assert.Assert(t, m.Has(keyOf(5), 1))
	assert.Assert(t, m.Has(keyOf(remembered+4), 1))
	m.Forget()
	assert.Assert(t, !m.Has(keyOf(remembered+4), 1))
}
