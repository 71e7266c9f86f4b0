package retry

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestGatewayBurst(t *testing.T) {
	for name, tc := range map[string]struct {
		slack    float64
		gateways int
		want     float64
	}{
		"no gateway known":              {50, 0, FallbackBurst},
		"no gateway known, small slack": {1, 0, 1},
		"one gateway":                   {50, 1, 35},
		"five gateways":                 {50, 5, 7},
		"more gateways than slack":      {50, 80, 1},
	} {
		assert.Assert(t, math.Abs(GatewayBurst(tc.slack, tc.gateways)-tc.want) < 1e-9, name)
	}
}
