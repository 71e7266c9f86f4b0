package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestQuietCountsChecksWithoutMessages(t *testing.T) {
	var q Quiet
	for i, tc := range []struct {
		messages uint64
		want     int
	}{{0, 1}, {0, 2}, {3, 0}, {3, 1}, {4, 0}, {4, 1}, {4, 2}, {4, 3}, {9, 0}} {
		assert.Equal(t, q.Check(tc.messages), tc.want, "check %d", i)
	}
}
