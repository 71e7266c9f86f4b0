package recall

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func keyOf(n int) sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(fmt.Sprint(n))}
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
