package retry

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBurstOf(t *testing.T) {
	for name, tc := range map[string]struct {
		slack    float64
		gateways int
		want     float64
	}{
		"nobody known":        {50, 0, FallbackBurst},
		"nobody known, tight": {1, 0, 1},
		"alone":               {50, 1, 35},
		"five":                {50, 5, 7},
		"more than the slack": {50, 80, 1},
	} {
		assert.Assert(t, math.Abs(GatewayBurst(tc.slack, tc.gateways)-tc.want) < 1e-9, name)
	}
}
