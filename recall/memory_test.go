package recall

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func keyOf(n int) sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(fmt.Sprint(n))}
}

// Loads show how many adapters an engine's own memory keeps, be it less or more than is
// assumed.
func TestMemoryLearnsItsSize(t *testing.T) {
	for _, kept := range []int{12, 54} {
		var engine []int // the newest last
		var m Memory
		random := rand.New(rand.NewPCG(1, 2))
		for range 5000 {
			n := random.IntN(200)
			at := slices.Index(engine, n)
			m.Learn(m.Has(keyOf(n)), at >= 0)
			if at >= 0 {
				engine = slices.Delete(engine, at, at+1)
			}
			engine = append(engine, n)
			engine = engine[max(0, len(engine)-kept):]
			m.Note(slices.Values([]sandbarrow.AdapterKey{keyOf(n)}))
		}
		assert.Check(t, m.size() > kept-8 && m.size() < kept+8, "keeps %d, learnt %d", kept, m.size())
	}
}

func TestMemoryKeepsTheNewest(t *testing.T) {
	var m Memory
	for n := range remembered + 5 {
		m.Note(slices.Values([]sandbarrow.AdapterKey{keyOf(n)}))
	}
	assert.Assert(t, !m.Has(keyOf(4)))
	assert.Assert(t, m.Has(keyOf(5)))
	assert.Assert(t, m.Has(keyOf(remembered+4)))
	m.Forget()
	assert.Assert(t, !m.Has(keyOf(remembered+4)))
}
