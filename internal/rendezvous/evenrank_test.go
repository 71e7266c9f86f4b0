package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEvenRankSpreadsPurposesOverSimilarAddresses(t *testing.T) {
	const addresses, purposes = 40, 4000
	first := map[int]int{}
	for p := range purposes {
		best, bestRank := 0, uint64(0)
		for a := range addresses {
			if rank := EvenRank(HashOf(fmt.Sprint("model/a", p)), HashOf(fmt.Sprint("e", a))); rank > bestRank {
				best, bestRank = a, rank
			}
		}
		first[best]++
	}
	for a := range addresses {
		assert.Check(t, first[a] > purposes/addresses/2 && first[a] < purposes/addresses*2, "address %d: %d", a, first[a])
	}
}
