package splitmix

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFinalizeMatchesSplitMix64(t *testing.T) {
	const increment = 0x9e3779b97f4a7c15
	x := uint64(0)
	for _, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		x += increment
		assert.Equal(t, Finalize(x), want)
	}
}
